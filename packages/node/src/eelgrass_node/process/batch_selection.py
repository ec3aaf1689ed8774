"""Which waiting pieces make up the next call to a server.

The pattern it answers: a server has memory for the results of one or two calls
(seven of 3 MB on the users' sheets, four pieces a call). A result lives until
all of its request is fetched, so pieces of a request that are made in different
calls hold memory while they wait for each other, and in a burst nearly all
memory was held so: calls of 1.2 to 2.4 pieces with 90 waiting. The pieces of one
stage of a request therefore go into one call, or wait together.

No network and no clock here.
"""

from collections.abc import Callable, Iterable, Sequence

from .batch_items import BatchItem

__all__ = ["RESERVE_AFTER_S", "select_batch"]

# A set of pieces that has found no room for this long keeps later ones from
# taking what comes free; about two calls.
RESERVE_AFTER_S = 0.5
# Where a server has this part of its memory left, a set may be made in parts, so
# that no place stays empty: sets of six leave four of ten places.
AMPLE_FRACTION = 0.1
# Results under this size never stand in the way of large ones.
SMALL_BYTES = 100_000


def select_batch(
    ordered: Iterable[Sequence[BatchItem]],
    places: int,
    room: float,
    memory: float,
    size_of: Callable[[BatchItem], float],
    now: float,
) -> list[BatchItem]:
    """Return pieces for one call with ``places``, from sets in their order.

    A set holds the waiting pieces of one stage of one request. ``room`` is what a
    server has left of its ``memory`` for results, in bytes; ``size_of`` gives the
    bytes of a result.
    """
    batch: list[BatchItem] = []
    reserved = False
    for group in ordered:
        if len(batch) == places:
            break
        if batch and (group[0].isolated or batch[0].isolated):
            # A server hangs on a piece whose inputs it cannot reach, and the
            # whole call with it.
            continue
        # Pieces of a set have results of one size.
        size = size_of(group[0]) * len(group)
        small = group[0].result_bytes < SMALL_BYTES
        if reserved and not small:
            continue
        left = places - len(batch)
        part_size = size * min(1.0, left / len(group))
        if len(group) <= left and size <= room:
            batch += group
            room -= size
        elif (
            len(group) > places
            or size > memory
            or room - part_size >= memory * AMPLE_FRACTION
        ):
            # Too many for any one call, or memory enough for those that wait:
            # they go in parts.
            part = _part(group, left, room, size_of)
            batch += part
            room -= sum(size_of(item) for item in part)
            reserved = reserved or (not small and len(part) < len(group))
        elif not small and _holds_up(group, now):
            reserved = True
    return batch


def _holds_up(group: Sequence[BatchItem], now: float) -> bool:
    """Return whether room is kept free for pieces that found none."""
    return group[0].set_started or now - group[0].queued_at > RESERVE_AFTER_S


def _part(
    group: Sequence[BatchItem],
    places: int,
    room: float,
    size_of: Callable[[BatchItem], float],
) -> list[BatchItem]:
    part: list[BatchItem] = []
    for item in group[:places]:
        room -= size_of(item)
        if room < 0:
            break
        part.append(item)
    return part
