"""Batch items of pipeline stages and their outcomes, as plain values."""

from enum import Enum

import msgspec

from eelgrass_coordination.ids import NodeId

from .crash_subjects import Fingerprint
from .host_entry import ServerIncarnation

__all__ = [
    "NOT_CONNECTED_FAILURES",
    "NOT_RUN_FAILURES",
    "BatchItem",
    "ItemFailure",
    "ItemOutcome",
]


class ItemFailure(Enum):
    """Why a batch item has no result.

    ``CONNECT_TIMED_OUT`` and ``CONNECT_FAILED`` mean that no connection to the server
    was established, ``UNREACHABLE`` that the call did not reach it, ``TIMED_OUT`` that
    no answer came in time, ``LOST`` that the connection broke during the call,
    ``RESTING`` that it was not sent because the server has asked for rest, or has
    reached its request limit,
    ``FAILED`` that the server reported an error, and ``NO_ROOM`` that it had no memory
    for the result. ``OVERLOADED`` is a refusal by the queue, ``LATE`` an item
    that could not finish before its deadline, and ``INPUT_GONE`` one whose inputs are
    lost.
    """

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"
    # These three do not leave a queue: nodes of older releases do not know them.
    CONNECT_TIMED_OUT = "connect_silent"
    CONNECT_FAILED = "connect_failed"
    RESTING = "resting"
    UNREACHABLE = "unreached"
    LOST = "lost"
    TIMED_OUT = "silent"
    OVERLOADED = "overloaded"


# A call that reached no server puts no load on one, so that its retry needs no budget.
NOT_CONNECTED_FAILURES = frozenset(
    (
        ItemFailure.CONNECT_TIMED_OUT,
        ItemFailure.CONNECT_FAILED,
        ItemFailure.RESTING,
    )
)
# The server was reached, or could have been, and has certainly not run the item.
NOT_RUN_FAILURES = frozenset((ItemFailure.NO_ROOM, ItemFailure.RESTING))


class BatchItem(msgspec.Struct, eq=False):
    """One unit of work of one stage of a request; servers run items in batches.

    ``key`` names the input of a stage that depends on no other stage. Otherwise
    ``inputs`` holds the handles of the results that the item needs, and ``producers``
    the server incarnations that hold them. ``fingerprint`` identifies the request
    across its attempts, and ``account`` is its client account, if it has one.

    ``deadline`` and ``due`` are times of the event loop's clock: after ``deadline`` the
    result is useless, and after ``due`` the request misses its latency target.
    ``preferred_data_centre`` is where the result will be fetched, empty if that does
    not matter. ``regions`` are the regions that may run the item, None for any.

    The queue sets the other fields. ``over_share`` says that the account asks for more
    than its share of the service. ``set_size`` is the number of items of this stage of
    the request, and ``set_started`` says that other items of the set have run, whose
    results stay in memory until the set is complete. ``isolated`` items share no call
    with other sets, because a call with them timed out or servers crashed under their
    request. ``tries`` counts the calls that ran the item.
    """

    request_id: str
    stage: int
    number: int
    key: str | None
    inputs: tuple[str, ...]
    deadline: float
    due: float
    priority: int
    result_bytes: int
    preferred_data_centre: str = ""
    producers: tuple[ServerIncarnation, ...] = ()
    account: str | None = None
    over_share: bool = False
    queued_at: float = 0.0
    set_started: bool = False
    isolated: bool = False
    set_size: int = 1
    tries: int = 0
    fingerprint: Fingerprint = Fingerprint("")
    regions: frozenset[str] | None = None


class ItemOutcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """The handle of an item's result, or the reason why there is none.

    ``retry_after_s`` tells a refused caller when to retry; with ``is_resting`` all
    servers have asked for rest until then. ``producer`` is the server incarnation that
    holds the result, and ``owner`` the other node, if any, whose queue accounts for the
    memory that the result takes up.
    """

    handle: str | None = None
    failure: ItemFailure | None = msgspec.field(name="trouble", default=None)
    retry_after_s: float = 0.0
    producer: ServerIncarnation | None = msgspec.field(name="maker", default=None)
    owner: NodeId | None = None
    is_resting: bool = False

    @property
    def connected(self) -> bool:
        """Whether a connection to the server was established, if there was a call."""
        return self.failure not in NOT_CONNECTED_FAILURES
