"""Pieces of stages and what becomes of them, as values."""

from enum import Enum

import msgspec

from eelgrass_coordination.ids import NodeId

from .backends import ServerIncarnation
from .crash_detector import Fingerprint

__all__ = ["BatchItem", "ItemOutcome", "ItemFailure"]


class ItemFailure(Enum):
    """Why a piece has no result."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"
    UNREACHABLE = "unreached"
    LOST = "lost"
    TIMED_OUT = "silent"
    OVERLOADED = "overloaded"


class BatchItem(msgspec.Struct, eq=False):
    """One piece of one stage of a request.

    ``key`` names its input where the stage follows no other; otherwise
    ``inputs`` holds the handles of the results that it needs, and ``makers`` the
    lives of the servers that hold these. ``deadline`` and
    ``due`` are on the clock of the event loop: when the piece must be done to be
    of any use, and when it should be done for its request to be on time. ``near``
    is the data centre where the result will be fetched, if it matters. ``account``
    names the client account for which it is made, where there is one, and ``beyond``
    says that this one asks for more than its share of the service.
    ``queued_at`` is when it came to the queue, ``alone`` that
    a call with it went silent, and ``set_size`` counts
    the pieces of its stage of its request, ``begun``
    says that others of its set have been run, whose results wait for it, and
    ``tries`` counts the calls it was in, and ``request`` is the fingerprint of the
    request, by which its other attempts are known. ``regions`` are those to which it
    is bound, None for any.
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
    """A handle of the result, or why there is none.

    ``retry_after_s`` says when to come back where the piece was refused,
    ``maker`` which life of a server holds the result, and ``owner`` which other
    node's queue counts the memory that it takes there.
    """

    handle: str | None = None
    failure: ItemFailure | None = msgspec.field(name="trouble", default=None)
    retry_after_s: float = 0.0
    producer: ServerIncarnation | None = msgspec.field(name="maker", default=None)
    owner: NodeId | None = None
