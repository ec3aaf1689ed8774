"""The parts of the process that the execution of a request uses."""

from collections.abc import Awaitable, Callable

import msgspec

from ..exceptions import RequestRefused
from ..process.backends import Backend, ServerIncarnation
from ..process.brittle_servers import BrittleServers
from ..process.metrics import Metrics
from ..process.poison_parts import TrialAdmission
from ..process.poison_requests import PoisonRequests
from ..process.reachability import DataCentreReachability
from ..process.retry_budget import RetryBudgets
from ..process.server_choice import ServerCriteria
from ..process.stream_origins import StreamOrigins
from ..process.warm_up import Permit
from .final_call_latency import FinalCallLatency
from .graph import FreeResults, RunItems, StagePlan
from .incoming_request import RoutedRequest, WireCodec
from .server_checks import ServerChecks

__all__ = ["ServingContext"]


class ServingContext(msgspec.Struct, frozen=True):
    """The parts of the process that a request uses.

    ``choose`` selects a server; if there is none, ``no_server_refusal`` returns the
    refusal that says why. ``unavailable`` returns a refusal if no server of the service
    can be reached, and ``is_allowed`` whether a server still may receive a request.
    ``admit`` grants or denies a
    permit to send it one request, and ``copy_source`` returns another engine that
    already has a prompt prefix of so many tokens cached. ``data_centre_of`` returns the
    data centre of the result with a handle, and ``has_ended`` whether a server
    incarnation has ended. ``plan`` returns when the stages of a request should be
    complete, and ``infeasible_retry_after_s`` a Retry-After in seconds if they cannot
    be in time. ``is_list_recent`` returns whether the list of servers was confirmed
    lately. ``stages_rest_s`` returns for how many seconds a stage has no server
    that wants requests.
    """

    codec: WireCodec
    choose: Callable[[ServerCriteria], Backend | None]
    no_server_refusal: Callable[[ServerCriteria], RequestRefused]
    unavailable: Callable[[ServerCriteria], RequestRefused | None]
    is_allowed: Callable[[ServerCriteria, Backend], bool]
    admit: Callable[[Backend], Awaitable[Permit]]
    copy_source: Callable[[Backend, str | None, int], Backend | None]
    data_centre_of: Callable[[str], str]
    has_ended: Callable[[ServerIncarnation], bool]
    plan: Callable[[RoutedRequest], StagePlan]
    infeasible_retry_after_s: Callable[[RoutedRequest], float | None]
    stages_rest_s: Callable[[RoutedRequest], float]
    run_items: RunItems
    free_results: FreeResults
    final_call_latency: FinalCallLatency
    retries: RetryBudgets
    reachability: DataCentreReachability
    brittle_servers: BrittleServers
    origins: StreamOrigins
    is_list_recent: Callable[[], bool]
    server_checks: ServerChecks
    on_server_replaced: Callable[[Backend], None]
    on_server_failing: Callable[[Backend], None]
    poison_requests: PoisonRequests
    part_trials: TrialAdmission
    count: Callable[[str], None]
    metrics: Metrics
