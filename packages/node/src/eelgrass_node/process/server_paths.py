"""Tracks which servers this node reaches itself, and which only through other nodes.

A host may lose its network paths to servers while clients, the store and other hosts
still reach it. Connections to these servers are then opened through another node, a
relay, and everything else stays as it is: the node keeps its requests, their deadlines
and retries, and the batch queues that it owns.

A server that does not answer is checked once, not by each request: the node probes it
itself and through relays at the same time. The paths that are lost are probed until
they work again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

from eelgrass_coordination import stall_aware_sleep, stall_aware_wait

from ..log import Part, log
from .backends import Backend, Backends
from .crash_detector import Listening

__all__ = ["Path", "ServerPaths"]

# Timeouts of the two direct probes of a check. The second one makes up for a lost
# packet, which is sent again only after a second.
PROBE_TIMEOUTS_S = (0.06, 0.1)
# A connection is established in some ms. After this time a check also tries relays.
RELAY_DELAY_S = 0.03
# A server is not checked again sooner than this.
CHECK_INTERVAL_S = 0.5
# Interval of the probes of paths that are lost, and how many of them at a time.
RECOVERY_INTERVAL_S = 0.5
RECOVERY_BATCH = 8
# How long a server's path stays in doubt after that to another server was lost. Paths
# are usually lost together.
DOUBT_S = 3.0
# Servers that are lost within this time of each other were not crashed by a request if
# they are at least so many, of different services.
TOGETHER_S = 0.5
MIN_TOGETHER = 3
# How long a check waits for those of other servers, before it tells of a crash.
TOGETHER_WAIT_S = 0.02
# Longer than the recovery interval, so that an unreachable server stays suspected.
UNREACHABLE_SUSPICION_S = 1.0

Probe = Callable[[str, float], Awaitable[Listening]]
RelayProbe = Callable[[str], Awaitable[Listening | None]]


class Path(Enum):
    """How this node reaches a server."""

    DIRECT = "direct"
    RELAYED = "relayed"
    UNREACHABLE = "unreachable"


class ServerPaths:
    """The paths of one node to the servers, by their addresses.

    ``probe`` connects to an address within so many seconds, and ``probe_relayed``
    through other nodes; it returns None if no other node could try. ``count`` counts
    paths that are lost and regained.
    """

    def __init__(
        self,
        backends: Backends,
        probe: Probe,
        probe_relayed: RelayProbe,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._backends = backends
        self._probe = probe
        self._probe_relayed = probe_relayed
        self._clock = clock
        self._count = count
        self._lost_by_address: dict[str, Path] = {}
        self._doubt_began = float("-inf")
        self._connected_at: dict[str, float] = {}
        self._checked_at: dict[str, float] = {}
        self._unreachable_since: dict[str, float] = {}
        self._check_by_address: dict[str, asyncio.Task[Listening]] = {}
        self._recovery: asyncio.Task | None = None

    def path(self, address: str) -> Path:
        """Return how this node reaches the server at an address."""
        return self._lost_by_address.get(address, Path.DIRECT)

    def lost(self) -> dict[str, Path]:
        """Return the paths that are not direct, by address."""
        return dict(self._lost_by_address)

    def is_doubted(self, address: str) -> bool:
        """Return whether a path may be lost, as that to another server was."""
        if self._clock() >= self._doubt_began + DOUBT_S:
            return False
        return self._connected_at.get(address, float("-inf")) < self._doubt_began

    def on_connected(self, address: str) -> None:
        """Record that a direct connection to a server was established."""
        self._connected_at[address] = self._clock()

    def suspect(self, address: str) -> None:
        """Check a path after a sign that it may be lost, unless it was just checked."""
        now = self._clock()
        if address in self._check_by_address:
            return
        if now - self._checked_at.get(address, float("-inf")) >= CHECK_INTERVAL_S:
            self._start_check(address)

    async def check(self, address: str) -> Listening:
        """Check a path; return whether a server listens there, as far as is known.

        The address of a server that only relays reach counts as listening.
        """
        check = self._check_by_address.get(address) or self._start_check(address)
        return await asyncio.shield(check)

    async def check_anew(self, address: str) -> Listening:
        """Return the result of a check that begins after this call."""
        running = self._check_by_address.get(address)
        if running is not None:
            await asyncio.wait({running})
        return await self.check(address)

    def relays_changed(self) -> None:
        """Open new relayed connections, because a relay is leaving."""
        for address, path in self._lost_by_address.items():
            backend = self._backends.at_address(address)
            if path is Path.RELAYED and backend is not None:
                backend.connections.replace()

    def stop(self) -> None:
        """Cancel all checks and probes."""
        for task in (*self._check_by_address.values(), self._recovery):
            if task is not None:
                task.cancel()

    def _start_check(self, address: str) -> asyncio.Task[Listening]:
        check = asyncio.create_task(self._check(address))
        self._check_by_address[address] = check
        check.add_done_callback(lambda _: self._end_check(address))
        return check

    def _end_check(self, address: str) -> None:
        del self._check_by_address[address]
        self._checked_at[address] = self._clock()
        self._forget_unlisted()

    async def _check(self, address: str) -> Listening:
        direct = asyncio.create_task(self._probe_directly(address))
        relayed: asyncio.Task[Listening | None] | None = None
        try:
            await stall_aware_wait(direct, RELAY_DELAY_S)
            if direct.done() and direct.result() is Listening.YES:
                self._set_path(address, Path.DIRECT)
                return Listening.YES
            relayed = asyncio.create_task(self._probe_relayed(address))
            if await direct is Listening.YES:
                self._set_path(address, Path.DIRECT)
                return Listening.YES
            listening = self._conclude(address, direct.result(), await relayed)
            if listening is Listening.NO:
                await stall_aware_sleep(TOGETHER_WAIT_S)
                if self._are_lost_together():
                    return Listening.UNKNOWN
            return listening
        finally:
            direct.cancel()
            if relayed is not None:
                relayed.cancel()

    def _conclude(
        self, address: str, direct: Listening, relayed: Listening | None
    ) -> Listening:
        """Set the path to a server that this node does not reach itself."""
        if relayed is Listening.YES:
            self._set_path(address, Path.RELAYED, direct)
            return Listening.YES
        self._set_path(address, Path.UNREACHABLE, direct)
        # A refusal may come from a firewall on this node's path. It counts if other
        # nodes are refused as well, or if there is none to ask.
        refused = direct is Listening.NO and relayed is not Listening.UNKNOWN
        return Listening.NO if refused else Listening.UNKNOWN

    def _are_lost_together(self) -> bool:
        """Return whether several servers were lost at once, as the network failed."""
        since = self._clock() - TOGETHER_S
        lost = [
            backend.entry.service
            for address, at in self._unreachable_since.items()
            if at >= since and (backend := self._backends.at_address(address))
        ]
        return len(lost) >= MIN_TOGETHER and len(set(lost)) > 1

    async def _probe_directly(self, address: str) -> Listening:
        listening = Listening.UNKNOWN
        for timeout_s in PROBE_TIMEOUTS_S:
            listening = await self._probe(address, timeout_s)
            if listening is not Listening.UNKNOWN:
                break
        return listening

    def _set_path(
        self, address: str, path: Path, direct: Listening = Listening.YES
    ) -> None:
        backend = self._backends.at_address(address)
        before = self.path(address)
        if backend is None or path is before:
            return
        if path is Path.DIRECT:
            del self._lost_by_address[address]
            self.on_connected(address)
        else:
            self._lost_by_address[address] = path
        backend.is_relayed = path is Path.RELAYED
        backend.is_unreachable = path is Path.UNREACHABLE
        log(
            Part.HOSTS,
            "The path to a server has changed.",
            backend=backend.entry.id,
            service=backend.entry.service,
            before=before.value,
            now=path.value,
            direct=direct.value,
        )
        self._count(f"path.{path.value}")
        if path is Path.UNREACHABLE:
            self._unreachable_since[address] = self._clock()
            backend.suspect()
        else:
            self._unreachable_since.pop(address, None)
            backend.clear_suspicion()
            backend.connections.replace()
        if path is Path.RELAYED:
            self._on_relayed(backend, direct)
        if self._lost_by_address and self._recovery is None:
            self._recovery = asyncio.create_task(self._recover())

    def _on_relayed(self, backend: Backend, direct: Listening) -> None:
        """Deal with open connections, and with the other servers' paths."""
        if direct is Listening.UNKNOWN:
            # Packets are dropped, so that those of open connections are, too.
            calls = backend.connections.notify_path_lost()
            log(
                Part.HOSTS,
                "The network path to a server is lost under calls in flight; direct "
                "ones look for another server.",
                backend=backend.entry.id,
                service=backend.entry.service,
                calls=calls,
            )
        now = self._clock()
        if now < self._doubt_began + DOUBT_S:
            return
        self._doubt_began = now
        for other in self._backends.by_id.values():
            if other is backend:
                continue
            address = other.entry.address
            if other.connections.is_used:
                self.suspect(address)
            if direct is Listening.UNKNOWN and self.path(address) is Path.DIRECT:
                # Idle connections show no sign of a loss, and a call on one of them
                # would wait in vain until its server counts as silent.
                other.connections.replace()

    async def _recover(self) -> None:
        """Probe the lost paths until all of them work again."""
        try:
            while self._lost_by_address:
                await asyncio.sleep(RECOVERY_INTERVAL_S)
                while await self._recover_some():
                    pass
        finally:
            self._recovery = None

    async def _recover_some(self) -> bool:
        """Probe the paths whose probes are oldest; return whether one has recovered."""
        batch = list(self._lost_by_address)[:RECOVERY_BATCH]
        paths = [self._lost_by_address[address] for address in batch]
        await asyncio.gather(*(self._probe_lost(address) for address in batch))
        recovered = [
            before is not self.path(address)
            for address, before in zip(batch, paths, strict=True)
        ]
        for address in batch:
            if address in self._lost_by_address:
                # Moves it to the end.
                self._lost_by_address[address] = self._lost_by_address.pop(address)
        return any(recovered)

    async def _probe_lost(self, address: str) -> None:
        backend = self._backends.at_address(address)
        if backend is None:
            self._lost_by_address.pop(address, None)
        elif self.path(address) is Path.UNREACHABLE:
            await self.check(address)
            if self.path(address) is Path.UNREACHABLE:
                backend.extend_suspicion(UNREACHABLE_SUSPICION_S)
        elif await self._probe_directly(address) is Listening.YES:
            self._set_path(address, Path.DIRECT)

    def _forget_unlisted(self) -> None:
        for by_address in (
            self._checked_at,
            self._connected_at,
            self._unreachable_since,
        ):
            for address in list(by_address):
                if self._backends.at_address(address) is None:
                    del by_address[address]
