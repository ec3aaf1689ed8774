"""Rendezvous hashing: nodes that see the same names make the same choice.

When a name is added or removed, only the keys for which it ranks first move.

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
    """Return ``items`` sorted by the hash of their name and ``key``."""

    def weight(item: T) -> bytes:
        text = f"{name(item)}/{key}".encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()

    return sorted(items, key=weight)
