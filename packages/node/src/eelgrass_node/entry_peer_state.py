"""The state that an entry node sends to others, and takes over from them."""

from typing import TYPE_CHECKING

from .connection.peer_state import STATE_CALL, PeerState

if TYPE_CHECKING:
    from .entry_node import EntryNode

__all__ = ["fetch_peer_state", "peer_state"]

# A node answers from memory; one that has not answered by then is taken to be frozen
# and the next one is asked.
PEER_STATE_TIMEOUT_S = 0.8


def peer_state(node: "EntryNode") -> PeerState:
    """Return what a node knows that others may lack."""
    tables = node.tables
    return PeerState(
        tables.operator.rows(),
        tables.servers.rows(),
        tables.crashes.rows(),
        node.poison_requests.crashes(),
        node.poison_requests.part_crashes(),
        node.evacuation.gossip.items(),
    )


async def fetch_peer_state(node: "EntryNode", address: str) -> None:
    """Apply the state of the node at an address; raises :class:`PeerUnreachable`."""
    state = await node.peer_calls.ask(
        address, STATE_CALL, None, PeerState, PEER_STATE_TIMEOUT_S
    )
    tables = node.tables
    for item in state.evacuations:
        node.evacuation.gossip.receive(item)
    tables.operator.apply_peer_rows(state.operator, address)
    tables.servers.apply_peer_rows(state.servers, address)
    if not tables.has_crashes:
        # Later, gossip tells of them, and of those that do not count any more.
        node.poison_requests.apply_peer_crashes(
            state.request_crashes, state.part_crashes
        )
    tables.crashes.apply_peer_rows(state.crashes, address)
