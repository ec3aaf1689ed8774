"""The origins of streams that one node keeps in memory, each for a limited time."""

from collections.abc import Callable, Iterator

import msgspec

from eelgrass_coordination.ids import SoftwareVersion

from ...version.deployment import ServiceName

__all__ = ["OriginTable", "StreamOrigin"]

# At the target size a node keeps some 1,000 origins. Beyond the limit the oldest one
# is dropped, so that callers cannot fill the memory.
MAX_ORIGINS = 50_000


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The service and the software version that wrote the first event of a stream.

    ``version`` is None if it is not certain: the stream can then not be resumed.
    """

    service: ServiceName
    version: SoftwareVersion | None


class OriginTable:
    """Origins by stream; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entry_by_stream: dict[str, tuple[StreamOrigin, float]] = {}

    def __len__(self) -> int:
        """Return the number of origins, including some that have expired."""
        return len(self._entry_by_stream)

    def get(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        entry = self._entry_by_stream.get(stream)
        return entry[0] if entry and entry[1] > self._clock() else None

    def put(self, stream: str, origin: StreamOrigin, ttl_s: float) -> None:
        """Keep the origin of a stream for ``ttl_s`` seconds at least.

        The version is uncertain if a different one was given before.
        """
        known = self.get(stream)
        if known is not None and known != origin:
            origin = StreamOrigin(known.service, None)
        _, expires_at = self._entry_by_stream.pop(stream, (origin, 0.0))
        expires_at = max(expires_at, self._clock() + ttl_s)
        self._entry_by_stream[stream] = (origin, expires_at)
        self._drop_expired()

    def items(self) -> Iterator[tuple[str, StreamOrigin, float]]:
        """Yield all streams, with their origins and the seconds until they expire."""
        now = self._clock()
        for stream, (origin, expires_at) in self._entry_by_stream.items():
            if expires_at > now:
                yield stream, origin, expires_at - now

    def _drop_expired(self) -> None:
        """Drop the oldest entries, as far as they have expired or are too many."""
        now = self._clock()
        while self._entry_by_stream:
            stream = next(iter(self._entry_by_stream))
            _, expires_at = self._entry_by_stream[stream]
            if expires_at > now and len(self._entry_by_stream) <= MAX_ORIGINS:
                return
            del self._entry_by_stream[stream]
