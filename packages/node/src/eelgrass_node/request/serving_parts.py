"""What the process lends to each request that it serves."""

from collections.abc import Callable

import msgspec

from ..process.backends import Backend, ServerLife
from ..process.metrics import Metrics
from ..process.poison_requests import PoisonRequests
from ..process.reach import DataCentreReach
from ..process.retry_window import RetryWindows
from ..version.deployment import ServiceName
from .arrival import EngineHead, Routed, WireCodec
from .final_times import FinalTimes
from .graph import RunPieces, StagePlan

__all__ = ["ServingParts"]


class ServingParts(msgspec.Struct, frozen=True):
    """What the process lends to a request.

    ``choose`` picks a server of a service for a prompt with a shared part and
    its tokens, rather not one of those tried and near its large inputs, and
    ``warm_engine`` another that holds the part already. ``data_centre_of`` tells
    where the result of a handle lies, and ``is_over`` whether a life of a server
    has ended. ``plan`` says when the stages of a request should be done;
    ``refuse_hopeless`` returns when to come back where they cannot be done in
    time.
    """

    codec: WireCodec
    choose: Callable[
        [ServiceName, str | None, int, frozenset[ServerLife], str], Backend | None
    ]
    warm_engine: Callable[[Backend, str | None, int], Backend | None]
    data_centre_of: Callable[[str], str]
    is_over: Callable[[ServerLife], bool]
    plan: Callable[[Routed], StagePlan]
    refuse_hopeless: Callable[[Routed], float | None]
    run_pieces: RunPieces
    free_results: Callable[[ServiceName, list[str]], None]
    final_times: FinalTimes
    retries: RetryWindows
    reach: DataCentreReach
    note_load: Callable[[Backend, EngineHead], None]
    server_gone: Callable[[Backend], None]
    server_fails: Callable[[Backend], None]
    poison: PoisonRequests
    count: Callable[[str], None]
    metrics: Metrics
