"""The calls of a node that are not to backend servers."""

import pytest

from eelgrass_coordination.exceptions import OutcomeUnknown
from eelgrass_coordination.platform_call import call_platform
from eelgrass_node.connection.peer_calls import PeerCalls
from eelgrass_node.connection.sockets import new_session
from eelgrass_node.exceptions import PeerUnreachable, StoreUnavailable
from eelgrass_node.platform.store import RowStore

__all__ = ["expect_no_answers"]


async def expect_no_answers(address: str) -> None:
    """Fail if a call to the store, another node or the platform gets an answer."""
    store = RowStore(address)
    async with new_session(1.0) as session:
        with pytest.raises(StoreUnavailable):
            await store.read_table("servers")
        with pytest.raises(StoreUnavailable):
            await store.write("servers", {"k": b"v"}, ())
        with pytest.raises(PeerUnreachable):
            await PeerCalls(session).ask(address, "state", None, dict, 1.0)
        with pytest.raises(OutcomeUnknown):
            await call_platform(session, "GET", f"http://{address}", None, 1.0)
    await store.close()
