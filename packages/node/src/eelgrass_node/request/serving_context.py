"""What the process lends to each request that it serves."""

from collections.abc import Awaitable, Callable

import msgspec

from ..process.backends import Backend, ServerIncarnation
from ..process.metrics import Metrics
from ..process.poison_requests import PoisonRequests
from ..process.reachability import DataCentreReachability
from ..process.retry_budget import RetryBudgets
from ..process.server_choice import ServerCriteria
from ..process.warm_up import Permit
from .final_call_latency import FinalCallLatency
from .graph import FreeResults, RunItems, StagePlan
from .incoming_request import RoutedRequest, WireCodec

__all__ = ["ServingContext"]


class ServingContext(msgspec.Struct, frozen=True):
    """What the process lends to a request.

    ``choose`` picks a server, ``admit`` gives or denies a permit for one request to it,
    and ``warm_engine`` names another that holds a shared part of a prompt with so many
    tokens already. ``data_centre_of`` tells
    where the result of a handle lies, and ``is_over`` whether a life of a server
    has ended. ``plan`` says when the stages of a request should be done;
    ``refuse_hopeless`` returns when to come back where they cannot be done in
    time.
    """

    codec: WireCodec
    choose: Callable[[ServerCriteria], Backend | None]
    admit: Callable[[Backend], Awaitable[Permit]]
    copy_source: Callable[[Backend, str | None, int], Backend | None]
    data_centre_of: Callable[[str], str]
    has_ended: Callable[[ServerIncarnation], bool]
    plan: Callable[[RoutedRequest], StagePlan]
    infeasible_retry_after_s: Callable[[RoutedRequest], float | None]
    run_items: RunItems
    free_results: FreeResults
    final_call_latency: FinalCallLatency
    retries: RetryBudgets
    reach: DataCentreReachability
    on_server_replaced: Callable[[Backend], None]
    on_server_failing: Callable[[Backend], None]
    poison: PoisonRequests
    count: Callable[[str], None]
    metrics: Metrics
