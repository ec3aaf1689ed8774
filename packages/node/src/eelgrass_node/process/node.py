"""Builds a node from its components, and runs it until its planned stop."""

import asyncio
import time

import statsd
from aiohttp import web

from eelgrass_coordination import (
    ChangeLog,
    Claims,
    Exchange,
    GossipItem,
    HttpObjects,
    HttpTable,
    Member,
    Membership,
    RetryBudget,
    SnapshotStore,
)
from eelgrass_coordination.ids import Incarnation, Revision, new_id

from ..connection.callers import CallersInterface, build_callers
from ..connection.listeners import Listeners
from ..connection.operators import OperatorsInterface
from ..connection.peer_calls import PeerCalls
from ..connection.peers import PeersInterface
from ..connection.sockets import new_session
from ..exceptions import PeerUnreachable
from ..log import Part, log
from ..request.cost_reconciler import CostReconciler
from ..request.reasons import DiscardReason, RetryReason
from ..request.stages import StageEnvironment
from ..settings import Settings
from .backends import Backend, Backends
from .changes import Changes
from .claimed_requests import ClaimedRequests
from .configuration import ConfigurationSync, is_poller
from .cost_store import CostStore
from .costs import CostLedger
from .counters import Counters
from .dispatch import Dispatch
from .host_list import HostListPoller
from .memory_budget import Budgets, ConnectionBudgets
from .policy import choice_function, order_function
from .status import StatusReport
from .stopping import Stopping

__all__ = ["Node"]

LEAVING_KIND = "leaving"
KEEP_ALIVE_S = 15.0
MEMBER_EXCHANGE_S = 30.0
MEMBER_EXCHANGE_TIMEOUT_S = 2.0
DRAIN_CLAIMS_S = 10.0
# How long closing a listener waits for its handlers.
CLOSE_S = 1.0


class Node:
    """One node: call ``start``, then ``run_until_stopped``.

    It holds every object that lives as long as the process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = Incarnation(new_id("run"))
        self.counters = Counters(_statsd_client(settings))
        self.ledger = CostLedger()
        self.cost_reconciler = CostReconciler(self.ledger.correct)
        timing = settings.timing
        self.stopping = Stopping(
            timing.drain_notice_ms / 1000, timing.drain_limit_ms / 1000
        )
        self.backends = Backends()
        policy = settings.policy
        self.dispatch = Dispatch(
            self.backends,
            lambda: choice_function(policy.choice),
            order_function(policy.order),
            policy.admission,
        )
        self.backends.on_change = self.dispatch.servers_changed
        self.membership = Membership(
            self._own_member(),
            seeds=[peer.gossip for peer in settings.peers],
            interval_s=timing.heartbeat_ms / 1000,
        )
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Build what needs an event loop, listen, and join the other nodes."""
        self._build()
        self._connect()
        await self.membership.start()
        await self._exchange_members()
        await self._listen()
        await self.host_list.poll()
        await self.configuration.start(self.membership.members.reachable())
        for work in (
            self.configuration.run(),
            self.host_list.run(),
            self.counters.run(),
            self.cost_store.run(),
            self._exchange_members_regularly(),
        ):
            self._tasks.append(asyncio.create_task(work))
        log(
            Part.NODE,
            "Started.",
            node=self.settings.node,
            revision=self.configuration.follower.revision,
        )

    async def run_until_stopped(self) -> bool:
        """Serve until a stop is requested; return True if no request was cut off."""
        await self.stopping.wait_requested()
        log(Part.NODE, "Stopping.", in_flight=self.stopping.count)
        clean = await self.stopping.finish()
        left = await self.claims.drain(DRAIN_CLAIMS_S)
        stored = await self.cost_store.store()
        await self.membership.leave()
        await self.close()
        log(Part.NODE, "Stopped.", clean=clean, claims_left=left, costs_stored=stored)
        return clean and left == 0

    async def close(self) -> None:
        """Close all components without waiting for requests in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.membership.stop()
        await self._listeners.close()
        await self.claims.close()
        await self.backends.close()
        await self._session.close()
        self.counters.flush()

    def _build(self) -> None:
        settings = self.settings
        timing = settings.timing
        self.budgets = Budgets(
            int(settings.limits.memory_mb * 1e6),
            settings.limits.max_descriptors,
            asyncio.get_running_loop().time,
            self.counters.count,
        )
        self._listeners = Listeners(
            ConnectionBudgets.of_hosts(self.budgets), self.counters.count, CLOSE_S
        )
        platform = settings.platform
        call_s = platform.call_timeout_ms / 1000
        self._session = new_session(KEEP_ALIVE_S)
        self.peers = PeerCalls(self._session)
        self.table = HttpTable(self._session, platform.address, call_s)
        self.change_log = ChangeLog(self.table)
        objects = HttpObjects(self._session, platform.address)
        self.snapshots = SnapshotStore(self.table, objects)
        self.cost_store = CostStore(
            self.ledger,
            self.table,
            objects,
            settings.node,
            self.incarnation,
            timing.cost_store_ms / 1000,
        )
        self.claims = Claims(
            self.table, lambda reason: self.counters.count(f"retry.{reason}")
        )
        self.configuration = ConfigurationSync(
            self.change_log,
            self.snapshots,
            self.peers,
            self._should_poll,
            timing.head_poll_ms / 1000,
        )
        self.host_list = HostListPoller(
            self._session,
            platform.address,
            self.backends,
            self._should_poll,
            timing.hosts_poll_ms / 1000,
            call_s,
        )
        self.claimed = ClaimedRequests(
            self.claims,
            self.peers,
            settings.node,
            self.incarnation,
            settings.listen.internal,
            timing.claim_settle_ms / 1000,
        )
        self.changes = Changes(
            self.change_log,
            self.snapshots,
            self.configuration,
            self.membership,
            self.peers,
            timing.change_settle_ms / 1000,
        )
        self.environment = self._environment()

    def _environment(self) -> StageEnvironment:
        settings = self.settings
        timing = settings.timing
        policy = settings.policy
        return StageEnvironment(
            dispatch=self.dispatch,
            budget=RetryBudget(policy.retry_budget_ratio, policy.retry_budget_reserve),
            first_byte_floor_s=timing.first_byte_floor_ms / 1000,
            chunk_gap_floor_s=timing.between_pieces_floor_ms / 1000,
            on_retry=self._count_retry,
            on_discard=self._count_discard,
            on_leaving=self._on_backend_leaving,
            on_cost_unknown=self.cost_reconciler.reconcile,
        )

    def _connect(self) -> None:
        membership = self.membership
        membership.on_revision = self.configuration.on_revision_announced
        membership.on_gossip_item = self._on_gossip_item
        membership.on_change = self._on_members_changed
        membership.confirmed_s = self.configuration.follower.age
        self.configuration.on_advance = self._announce_revision
        self.host_list.on_leaving = self._announce_leaving

    async def _listen(self) -> None:
        settings = self.settings
        callers = CallersInterface(
            settings.node,
            self.configuration,
            self.environment,
            self.claimed,
            self.ledger,
            self.counters,
            self.stopping,
            settings.limits.max_body_bytes,
            settings.limits.max_in_flight,
        )
        await self._listeners.serve_app(
            build_callers(callers),
            settings.listen.callers,
            ConnectionBudgets.of_callers(self.budgets),
            handler_cancellation=True,
        )
        await self._listeners.serve_app(self._internal(), settings.listen.internal)

    def _internal(self) -> web.Application:
        status = StatusReport(
            self.membership,
            self.configuration,
            self.backends,
            self.dispatch,
            self.counters,
            self.stopping,
            lambda: self.change_log.head_reads,
        )
        operators = OperatorsInterface(
            self.settings.operator_token,
            self.changes,
            self.change_log,
            self.configuration,
            self.claims,
            self.ledger,
            self.cost_store,
            status,
            self.stopping,
        )
        peers = PeersInterface(self.configuration, self.membership, self.claimed)
        app = web.Application(middlewares=[operators.guard], client_max_size=1 << 26)
        operators.add_routes(app)
        peers.add_routes(app)
        return app

    async def _exchange_members_regularly(self) -> None:
        while True:
            await asyncio.sleep(MEMBER_EXCHANGE_S)
            await self._exchange_members()

    async def _exchange_members(self) -> None:
        """Exchange the full membership state with one peer."""
        reachable = self.membership.members.reachable()
        addresses = [member.internal for member in reachable]
        if not addresses:
            addresses = [peer.internal for peer in self.settings.peers]
        for address in addresses[:3]:
            if await self._exchange_with(address):
                return

    async def _exchange_with(self, address: str) -> bool:
        ours = self.membership.exchange()
        try:
            theirs = await self.peers.ask(
                address, "members", ours, Exchange, MEMBER_EXCHANGE_TIMEOUT_S
            )
        except PeerUnreachable:
            return False
        self.membership.apply_exchange(theirs)
        return True

    def _should_poll(self) -> bool:
        return is_poller(self.membership.own, self.membership.members.reachable())

    def _on_members_changed(self) -> None:
        self.backends.set_live_nodes(len(self.membership.members.reachable()) + 1)

    def _announce_revision(self, revision: Revision) -> None:
        self.membership.announce_revision(revision)
        log(Part.CONFIGURATION, "A revision is in force.", revision=revision)

    def _announce_leaving(self, backend_id: str, started: int) -> None:
        self.membership.announce_gossip_item(
            GossipItem(LEAVING_KIND, backend_id, started)
        )

    def _on_gossip_item(self, item: GossipItem) -> None:
        if item.kind == LEAVING_KIND:
            self.backends.mark_leaving(item.name, item.number)

    def _on_backend_leaving(self, backend: Backend) -> None:
        entry = backend.entry
        if self.backends.mark_leaving(entry.id, entry.started):
            log(
                Part.HOSTS,
                "A backend server announced that it is leaving.",
                backend=entry.id,
            )
            self._announce_leaving(entry.id, entry.started)

    def _count_retry(self, reason: RetryReason) -> None:
        self.counters.count(f"retry.{reason.value}")

    def _count_discard(self, reason: DiscardReason) -> None:
        self.counters.count(f"discard.{reason.value}")

    def _own_member(self) -> Member:
        settings = self.settings
        return Member(
            id=settings.node,
            data_centre=settings.data_centre,
            internal=settings.listen.internal,
            gossip=settings.listen.gossip,
            epoch=time.time_ns() // 1000,
        )


def _statsd_client(settings: Settings) -> statsd.StatsClient | None:
    if settings.statsd is None:
        return None
    target = settings.statsd
    return statsd.StatsClient(target.host, target.port, prefix=target.prefix)
