"""Finds where a stream goes on that its caller resumes.

What two software versions of a server write does not fit together, so it goes on only
at the service and version that wrote its first event.
"""

import msgspec

from eelgrass_coordination import deadline_timeout

from ..exceptions import RequestRefused
from ..process.stream_origins import StreamOrigin, StreamOrigins
from .incoming_request import RoutedRequest

__all__ = ["with_stream_origin"]

# Retry-After in seconds: nodes that could not be asked may answer then.
UNKNOWN_RETRY_S = 0.4


async def with_stream_origin(
    origins: StreamOrigins, routed: RoutedRequest
) -> RoutedRequest:
    """Return the request with the service and version that began its stream.

    A request that resumes no stream is returned unchanged. Raises
    :class:`RequestRefused` if the stream cannot go on, because its version is not known
    or the route does not lead to its service.
    """
    if not routed.resumes_stream:
        return routed
    services = routed.route.service_names
    origin = await _find_origin(origins, routed)
    if origin is None:
        raise RequestRefused(
            "the software version that began the stream is not known", UNKNOWN_RETRY_S
        )
    if origin.version is None:
        raise RequestRefused(
            "the software version that began the stream is not certain", UNKNOWN_RETRY_S
        )
    if origin.service not in services:
        raise RequestRefused(
            "the route does not lead to the service that began the stream",
            UNKNOWN_RETRY_S,
        )
    return msgspec.structs.replace(
        routed, service=origin.service, version=origin.version
    )


async def _find_origin(
    origins: StreamOrigins, routed: RoutedRequest
) -> StreamOrigin | None:
    """Return the origin of a stream; None if it is not found before the deadline."""
    services = routed.route.service_names
    service = services[0] if len(services) == 1 else None
    try:
        async with deadline_timeout(routed.deadline):
            return await origins.find(
                routed.incoming.resumes, service, routed.caller_timeout_s
            )
    except TimeoutError:
        return None
