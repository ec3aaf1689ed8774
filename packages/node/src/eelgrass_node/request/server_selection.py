"""Picks a server that may get a request now, though some are cold."""

import msgspec

from ..exceptions import RequestRefused
from ..process.backends import Backend, ServerIncarnation
from ..process.server_choice import ServerCriteria
from .serving_context import ServingContext

__all__ = ["admitted_server"]

# Cold servers that are asked for in vain, before a request is refused: each may cost a
# call to another node.
MAX_DENIED = 4
# When to come back, in seconds: a server that is started anew is listed after about its
# heartbeat of 1.2 s, and cold ones take a few requests a second each.
NO_SERVER_RETRY_S = 0.5
COLD_RETRY_S = 0.4
MIN_RETRY_S = 0.1


async def admitted_server(parts: ServingContext, criteria: ServerCriteria) -> Backend:
    """Return a server that may get the request now.

    Raises :class:`RequestRefused` where there is none, or where those that are left are
    cold and get as much as they bear.
    """
    denied: frozenset[ServerIncarnation] = frozenset()
    again_s = COLD_RETRY_S
    while len(denied) < MAX_DENIED:
        tried = criteria.tried | denied
        server = parts.choose(msgspec.structs.replace(criteria, tried=tried))
        if server is None:
            raise RequestRefused("no server of the service", NO_SERVER_RETRY_S)
        if server.entry.incarnation in denied:
            break
        permit = await parts.admit(server)
        if permit.granted:
            return server
        denied |= {server.entry.incarnation}
        again_s = max(MIN_RETRY_S, min(again_s, permit.after_s))
    raise RequestRefused("the servers are warming up", again_s)
