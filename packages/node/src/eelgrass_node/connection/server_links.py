"""The links of one node to the servers: their paths, relays and connections."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

from eelgrass_coordination import Member, Membership, MemberState
from eelgrass_coordination.ids import NodeId

from ..process.backends import Backends, HostEntry, ServerIncarnation
from ..process.host_settings import HostSettings
from ..process.listening import Listening
from ..process.memory_budget import Budgets
from ..process.relay_choice import RelayChoice
from ..process.server_paths import ServerPaths
from ..process.stopping import Stopping
from .answer_head import AnswerHead
from .backend import BackendConnections
from .calls import AttemptOf
from .listen_probe import probe_listening
from .relay_client import RelayClient
from .relay_rests import RelayRests, TellRelay
from .relays import RelayServer
from .server_connector import ServerLink

__all__ = ["ServerLinks"]


class ServerLinks:
    """The links of a node: ``paths`` to servers, and the ``server`` for other nodes.

    ``backends`` must open the connections to its servers by :meth:`connections_to`.
    ``attempt_of`` returns the attempt that an answer names. ``on_answer`` is called
    with the head of each answer of a server, and ``tell_relay`` tells another node for
    how long a server rests. ``take_permit`` returns whether one more request may be
    sent to a server now.
    """

    def __init__(
        self,
        settings: HostSettings,
        backends: Backends,
        membership: Membership,
        stopping: Stopping,
        budgets: Budgets,
        count: Callable[[str], None],
        attempt_of: AttemptOf,
        on_answer: Callable[[ServerIncarnation, AnswerHead], None],
        tell_relay: TellRelay,
        take_permit: Callable[[ServerIncarnation], Awaitable[bool]],
    ) -> None:
        self._attempt_of = attempt_of
        self._on_answer = on_answer
        self._take_permit = take_permit
        self._relay_rests = RelayRests(tell_relay)
        clock = asyncio.get_running_loop().time
        self._backends = backends
        self._left: set[NodeId] = set()
        self._client = RelayClient(
            RelayChoice(
                lambda: membership.own,
                membership.members.reachable,
                settings.region_by_data_centre,
                clock,
            )
        )
        self.paths = ServerPaths(
            backends, probe_listening, self._probe_relayed, clock, count
        )
        self.server = RelayServer(
            self.paths,
            backends.accepts_work_at,
            self._is_resting_at,
            stopping,
            budgets,
            settings.max_descriptors,
            count,
        )

    def connections_to(self, entry: HostEntry) -> BackendConnections:
        """Return the connections to a server, which use its path."""
        rests, server = self._backends.rests, entry.incarnation
        link = ServerLink(
            self.paths,
            self._client,
            entry.address,
            entry.data_centre,
            lambda: rests.left_s(server) > 0,
            partial(self._take_permit, server),
            lambda: self._backends.owns_address(entry),
        )
        on_answer = partial(self._receive, link, server)
        return BackendConnections(entry.address, link, on_answer, self._attempt_of)

    def on_members_changed(self, members: Iterable[Member]) -> None:
        """Replace connections through relays if a node has begun to leave."""
        left = {m.id for m in members if m.state is MemberState.LEFT}
        if left - self._left:
            self.paths.relays_changed()
        self._left = left

    async def close(self) -> None:
        """Stop all checks, and close the connections that are relayed."""
        self.paths.stop()
        self._relay_rests.stop()
        await self.server.close()

    def _receive(
        self,
        link: ServerLink,
        server: ServerIncarnation,
        answer: AnswerHead,
    ) -> None:
        self._on_answer(server, answer)
        left_s = self._backends.rests.left_s(server)
        if left_s:
            self._relay_rests.tell(link.open_relays(), server, left_s)

    def _is_resting_at(self, address: str) -> bool:
        backend = self._backends.at_address(address)
        return backend is not None and self._backends.is_resting(backend)

    async def _probe_relayed(self, address: str) -> Listening | None:
        backend = self._backends.at_address(address)
        if backend is None:
            return None
        return await self._client.probe(address, backend.entry.data_centre)
