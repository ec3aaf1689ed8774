"""Rendezvous hashing: nodes that know the same names make the same choice.

Where a name comes or goes, only the keys that it was first for move.

Example::

    owner = ranked(["node-a", "node-b"], key="queue-7", name=str)[0]
"""

import hashlib
from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["ranked"]

T = TypeVar("T")

DIGEST_BYTES = 8


def ranked(items: Iterable[T], key: str, name: Callable[[T], str]) -> list[T]:
    """Return ``items`` in the order of the hash of their name with ``key``."""

    def weight(item: T) -> bytes:
        text = f"{name(item)}/{key}".encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()

    return sorted(items, key=weight)
