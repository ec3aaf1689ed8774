"""Keeps the stream of one request at the software version that began it."""

from eelgrass_coordination.ids import SoftwareVersion

from ..exceptions import CallFailed, RequestRefused
from ..process.backends import Backend
from ..process.stream_origins import StreamOrigin, StreamOrigins
from .incarnation_check import check_incarnation
from .incoming_request import RoutedRequest, WireCodec
from .reasons import RetryReason

__all__ = ["StreamVersion"]


class StreamVersion:
    """The version at which a stream goes on; ``version`` is None until it has begun.

    The origin is recorded before the first event is sent, so that the caller may resume
    the stream at any node.
    """

    def __init__(self, routed: RoutedRequest, origins: StreamOrigins) -> None:
        self._routed = routed
        self._origins = origins
        self._writer: Backend | None = None
        self.version = routed.version

    def check_server(self, server: Backend) -> None:
        """Raise :class:`CallFailed` if the next events are of an uncertain version."""
        if self._writer is not server and server.is_version_uncertain:
            raise CallFailed(RetryReason.VERSION_UNCERTAIN, not_run=False)

    async def confirm_server(self, codec: WireCodec, server: Backend) -> None:
        """Raise :class:`CallFailed` if the server may not be of the version."""
        if self.version is not None:
            await check_incarnation(codec, server)

    async def begin_events(self, server: Backend) -> None:
        """Note which server writes the next events, before they are sent."""
        is_first = self._writer is None
        self._writer = server
        if is_first and self._routed.route.is_resumable_stream:
            self.version = server.entry.version
            await self._record(self.version)

    async def check_continuation(self, failed_server: Backend) -> None:
        """Raise :class:`RequestRefused` if the version of the events is uncertain."""
        if self.version is None or self._writer is not failed_server:
            return
        if failed_server.is_version_uncertain:
            await self._record(None)
            raise RequestRefused("the software version of the stream is not certain")

    def release(self) -> None:
        """Stop renewing the copies of the origin, because the request has ended."""
        self._origins.release(self._routed.stream_id)

    async def _record(self, version: SoftwareVersion | None) -> None:
        routed = self._routed
        origin = StreamOrigin(routed.service, version)
        await self._origins.record(routed.stream_id, origin, routed.caller_timeout_s)
