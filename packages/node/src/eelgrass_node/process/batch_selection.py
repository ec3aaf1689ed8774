"""Selects the waiting batch items that make up the next call to a server.

A server has memory for the results of one or two calls, for example for seven results
of 3 MB at four items a call. A result stays in memory until all results of its request
have been fetched, so items of one request that run in different calls hold memory
while they wait for each other. In bursts nearly all memory was held this way: calls
carried 1.2 to 2.4 items while 90 were waiting. The items of one stage of a request
therefore go into the same call, or wait together.

This module does no I/O and reads no clock.
"""

from collections.abc import Callable, Iterable, Sequence

from .batch_items import BatchItem

__all__ = ["RESERVE_AFTER_S", "select_batch"]

# An item set that has not fitted into memory for this long, about two calls, reserves
# memory: later sets of large results must not use the memory that is freed.
RESERVE_AFTER_S = 0.5
# A set may be split across calls if this fraction of the server's memory stays free, so
# that calls run full: with ten items a call, sets of six would leave four unused.
AMPLE_FRACTION = 0.1
# Sets with results below this size neither reserve memory nor wait for a reservation.
SMALL_BYTES = 100_000


def select_batch(
    ordered: Iterable[Sequence[BatchItem]],
    max_items: int,
    free_bytes: float,
    memory_bytes: float,
    size_of: Callable[[BatchItem], float],
    now: float,
) -> list[BatchItem]:
    """Return the items of one call with up to ``max_items``, from sets in order.

    Each set holds the waiting items of one stage of one request. ``free_bytes`` is what
    the server has left of its ``memory_bytes`` for results, and ``size_of`` returns the
    expected size of an item's result in bytes.
    """
    batch: list[BatchItem] = []
    reserved = False
    for item_set in ordered:
        if len(batch) == max_items:
            break
        if batch and (item_set[0].isolated or batch[0].isolated):
            # An isolated set gets a call of its own: a server that cannot reach the
            # inputs of one item blocks on it, and with it the whole call.
            continue
        # All items of a set have results of the same size.
        size = size_of(item_set[0]) * len(item_set)
        small = item_set[0].result_bytes < SMALL_BYTES
        if reserved and not small:
            continue
        remaining = max_items - len(batch)
        part_size = size * min(1.0, remaining / len(item_set))
        if len(item_set) <= remaining and size <= free_bytes:
            batch += item_set
            free_bytes -= size
        elif (
            len(item_set) > max_items
            or size > memory_bytes
            or free_bytes - part_size >= memory_bytes * AMPLE_FRACTION
        ):
            # Split the set: it fits into no single call, or enough memory stays free
            # for the sets that wait.
            part = _partial_set(item_set, remaining, free_bytes, size_of)
            batch += part
            free_bytes -= sum(size_of(item) for item in part)
            reserved = reserved or (not small and len(part) < len(item_set))
        elif not small and _reserves_memory(item_set, now):
            reserved = True
    return batch


def _reserves_memory(item_set: Sequence[BatchItem], now: float) -> bool:
    """Return whether memory is reserved for a set that did not fit."""
    return item_set[0].set_started or now - item_set[0].queued_at > RESERVE_AFTER_S


def _partial_set(
    item_set: Sequence[BatchItem],
    max_items: int,
    free_bytes: float,
    size_of: Callable[[BatchItem], float],
) -> list[BatchItem]:
    part: list[BatchItem] = []
    for item in item_set[:max_items]:
        free_bytes -= size_of(item)
        if free_bytes < 0:
            break
        part.append(item)
    return part
