"""A node on the users' platform, put together from its parts.

This is the root: it may import everything, and only the program imports it.
"""

import asyncio
from functools import partial

from eelgrass_coordination import GossipItem, Member, Membership, MemberState
from eelgrass_coordination.ids import Revision

from .boot_clock import unix_ms
from .connection.batch_calls import BatchCalls
from .connection.batch_handoff import HandoffClient, HandoffInterface
from .connection.caller_server import CallerServer
from .connection.listeners import Listeners
from .connection.listening import listening_at
from .connection.peer_calls import PeerCalls
from .connection.peer_state import STATE_CALL, PeerState
from .connection.sockets import new_session
from .connection.table_feed import TableFeedClient
from .connection.warm_up_calls import WarmUpClient
from .entry_applications import (
    MAX_BODY_BYTES,
    metrics_application,
    peer_application,
    readiness_application,
)
from .entry_gauges import entry_gauges
from .log import Part, log
from .platform import configuration, requests, servers, stage_calls
from .platform.names import CRASHES_TABLE, READY_PATH
from .platform.store import RowStore
from .process.backends import Backend, Backends
from .process.batch_items import BatchItem, ItemOutcome
from .process.budget_shares import count_sharing_nodes
from .process.counters import Counters
from .process.deployments import DeploymentInForce
from .process.evacuation import EvacuationManager
from .process.failure_gossip import FailureGossip
from .process.host_settings import HostSettings
from .process.local_queues import LocalQueues
from .process.metrics import Metrics
from .process.peer_catch_up import PeerCatchUp
from .process.platform_tables import PlatformTables, TableNames
from .process.poison_requests import PoisonRequests
from .process.queue_load import QueueLoads
from .process.queue_owners import QueueOwners
from .process.reachability import DataCentreReachability
from .process.reachability_checks import ReachabilityChecks
from .process.retry_budget import RetryBudgets
from .process.server_choice import ServerChoice
from .process.server_list import ServerList
from .process.shared_queues import SharedQueues
from .process.stopping import Stopping
from .process.supervision import keep_running
from .process.warm_up import WarmUp
from .request.final_call_latency import FinalCallLatency
from .request.request_handler import RequestHandler
from .request.serving_context import ServingContext
from .request.stage_planner import StagePlanner
from .version.deployment import ServiceName

__all__ = ["EntryNode"]

# The balancer asks every second and leaves out a node after two misses.
STOP_NOTICE_S = 2.6
# Kept back from the time until the process is killed.
STOP_RESERVE_S = 0.7
# For the header of a first request, before there is a configuration.
DEFAULT_HEADER_S = 10.0
# Another node has its answer at hand; one that is frozen is passed over after this.
PEER_STATE_S = 0.8
# Kept connections between nodes; longer than the callers' side keeps them.
PEER_IDLE_S = 90.0
# One probe a second finds a dead node in some 5 s; until then hand-offs to it
# are passed over after the first that fails.
GOSSIP_INTERVAL_S = 1.0


class EntryNode:
    """One node: ``start`` it, then ``run_until_stopped``."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        loop = asyncio.get_running_loop()
        bounds = settings.bounds
        self.counters = Counters()
        self.metrics = Metrics(self.counters, lambda: entry_gauges(self))
        self.stopping = Stopping(
            STOP_NOTICE_S, bounds.stop_s - STOP_NOTICE_S - STOP_RESERVE_S
        )
        self.backends = Backends()
        self.store = RowStore(settings.store.address)
        self.deployments = DeploymentInForce(
            configuration.CONFIGURATION_KEY,
            configuration.decode_deployment,
            self._advanced,
        )
        self.server_list = ServerList(
            self.backends,
            partial(servers.decode_server, settings.region_by_data_centre),
            lambda server_id: None,
        )
        self.retries = RetryBudgets(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, loop.time
        )
        self.reach = DataCentreReachability(settings.data_centre, loop.time)
        self.batch_calls = BatchCalls(stage_calls, self._server_replaced)
        self.peer_session = new_session(PEER_IDLE_S / 2)
        self.peer_calls = PeerCalls(self.peer_session)
        self.catch_up = PeerCatchUp(
            self._take_state_of,
            lambda: self.deployments.number,
            lambda: self.tables.is_ready,
            self._peer_addresses,
            self._configuration_arrives,
        )
        self.membership = Membership(
            settings.as_member(), settings.seed_gossip_addresses(), GOSSIP_INTERVAL_S
        )
        self.membership.on_change = self._members_changed
        self.membership.on_revision = self._revision_heard
        self.checks = ReachabilityChecks(
            settings.data_centre,
            self.reach,
            lambda: list(self.membership.members.by_id.values()),
            self.membership.probe,
        )
        self.failing = FailureGossip(
            self.backends, self.membership.announce_gossip_item, unix_ms
        )
        self.poison = PoisonRequests(
            self.backends,
            listening_at,
            self.membership.announce_gossip_items,
            loop.time,
            unix_ms,
            partial(self.store.write, CRASHES_TABLE),
            self.counters.count,
        )
        self.evacuation = EvacuationManager(
            self.backends,
            configuration.EVACUATION_PREFIX,
            lambda: self.tables.operator.complete_to,
            lambda: self.tables.operator.reachable,
            lambda: self.deployments.current,
            self.membership.announce_gossip_item,
            loop.time,
        )
        self.warm_up = WarmUp(
            self.membership,
            settings.other_seeds(),
            bounds.warm_up,
            lambda: self.deployments.current,
            WarmUpClient(self.peer_calls).ask,
            loop.time,
            self.counters.count,
        )
        self.local_queues = LocalQueues(
            self.backends,
            lambda: self.deployments.current,
            self.retries,
            self.reach,
            self.batch_calls.run,
            self.batch_calls.free,
            stage_calls.producer_of,
            self.metrics.record_wait,
            self.poison,
            self.warm_up.admission.is_rate_limited,
        )
        self.backends.on_change = self.local_queues.servers_changed
        self.membership.on_gossip_item = self._mark_heard
        self.membership.on_ack = self._ack_heard
        self.reach.on_timeout = self.checks.check
        self.table_feed = TableFeedClient(
            self.peer_calls, lambda table, key: self.tables.row(table, key)
        )
        self.tables = PlatformTables(
            TableNames(
                configuration.OPERATOR_TABLE, servers.SERVERS_TABLE, CRASHES_TABLE
            ),
            self.store,
            self.table_feed.ask,
            lambda: self.membership.own,
            self.membership.members.reachable,
            deployments=self.deployments,
            server_list=self.server_list,
            crashes=self.poison.table,
            evacuations=self.evacuation.evacuations,
            apply_s=bounds.apply_s,
            evacuate_s=bounds.evacuate_s,
            drain_s=bounds.drain_s,
            clock=loop.time,
        )
        self.queue_loads = QueueLoads(loop.time)
        self.final_call_latency = FinalCallLatency()
        self.handoff = HandoffClient(self.queue_loads.receive)
        self.owners = QueueOwners(
            settings.node,
            settings.data_centre,
            settings.capacity(),
            self.membership.members.reachable,
            self.reach,
            loop.time,
        )
        self.shared_queues = SharedQueues(
            self.owners,
            self.local_queues,
            self.handoff,
            self.queue_loads.receive,
            self.membership.members.by_id.get,
            self.membership.probe,
            self.counters.count,
        )
        self.choice = ServerChoice(
            self.backends,
            settings.data_centre,
            self.reach,
            lambda: self.deployments.current,
        )
        self._tasks: list[asyncio.Task] = []
        self._listeners = Listeners()

    @property
    def ready(self) -> bool:
        """Whether this node can serve: it does not stop, and knows both tables."""
        return self.tables.is_ready and not self.stopping.stopping

    async def start(self) -> None:
        """Listen, join the others, and begin to follow the store."""
        if self.settings.metrics is not None:
            await self._listen_metrics(self.settings.metrics)
        await self._listen_peers()
        await self.membership.start()
        self._members_changed()
        await self._listen_callers()
        await self._listen_readiness()
        for work in (
            self.tables.operator.run,
            self.tables.servers.run,
            self.tables.crashes.run,
            self.poison.table.run,
            self.catch_up.start,
        ):
            self._tasks.append(asyncio.create_task(keep_running(work)))
        log(Part.NODE, "Started.", node=self.settings.node)

    def reload(self) -> None:
        """Note that the settings have changed; none concerns a running process."""
        log(Part.NODE, "The settings have changed.")

    async def run_until_stopped(self) -> bool:
        """Serve until a stop is asked for; returns whether nothing was cut off."""
        await self.stopping.wait_requested()
        log(Part.NODE, "Stopping.", in_flight=self.stopping.count)
        # Others own the queues from now on; what waits here is still served.
        self.owners.leave()
        await self.membership.leave()
        clean = await self.stopping.finish()
        log(Part.NODE, "Stopped.", clean=clean, in_flight=self.stopping.count)
        return clean

    async def close(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.checks.stop()
        self.shared_queues.checks.stop()
        self.poison.crash_detector.stop()
        await self.membership.stop()
        await self._listeners.close()
        await self.backends.close()
        await self.handoff.close()
        await self.peer_session.close()
        await self.store.close()

    def peer_state(self) -> PeerState:
        """Return what this node knows of the tables, for other nodes."""
        tables = self.tables
        return PeerState(
            tables.operator.rows(), tables.servers.rows(), tables.crashes.rows()
        )

    async def _take_state_of(self, address: str) -> None:
        state = await self.peer_calls.ask(
            address, STATE_CALL, None, PeerState, PEER_STATE_S
        )
        self.tables.operator.apply_peer_rows(state.operator, address)
        self.tables.servers.apply_peer_rows(state.servers, address)
        self.tables.crashes.apply_peer_rows(state.crashes, address)

    def _configuration_arrives(self) -> bool:
        table = configuration.OPERATOR_TABLE
        since = self.store.response_started_at(table)
        return since is not None or table in self.table_feed.arriving

    def _peer_addresses(self) -> list[str]:
        """Return where other nodes may be found, as far as is known."""
        members = self.membership.members.reachable()
        known = [member.internal for member in members]
        return known or list(self.settings.other_seeds())

    async def _listen_callers(self) -> None:
        planner = StagePlanner(
            self.choice.choose,
            lambda: self.deployments.current,
            self.queue_loads,
            self.final_call_latency,
        )
        parts = ServingContext(
            codec=requests,
            choose=self.choice.choose,
            admit=self.warm_up.admission.admit,
            copy_source=self.choice.copy_source,
            data_centre_of=self.local_queues.data_centre_of,
            has_ended=self.backends.has_ended,
            plan=planner.plan,
            infeasible_retry_after_s=planner.infeasible_retry_after_s,
            run_items=self.shared_queues.run,
            free_results=self.shared_queues.results.free,
            final_call_latency=self.final_call_latency,
            retries=self.retries,
            reachability=self.reach,
            on_server_replaced=self._server_replaced,
            on_server_failing=self.failing.announce_failure,
            poison=self.poison,
            count=self.counters.count,
            metrics=self.metrics,
        )
        accept = RequestHandler(
            requests, self.deployments, parts, self.stopping, self.counters.count
        )
        server = CallerServer(accept.handle, self._header_s, MAX_BODY_BYTES)
        await self._listeners.serve(server, self.settings.callers)

    def _header_s(self) -> float:
        deployment = self.deployments.current
        return DEFAULT_HEADER_S if deployment is None else deployment.limits.header_s

    async def _run_handed_over(
        self, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        with self.stopping.in_flight():
            return await self.local_queues.run(service, items)

    async def _listen_peers(self) -> None:
        interface = HandoffInterface(
            self._run_handed_over,
            self.local_queues.has_servers,
            self.local_queues.load,
            self.local_queues.free,
        )
        await self._listeners.serve_app(
            peer_application(self, interface),
            self.settings.internal,
            handler_cancellation=True,
            keepalive_timeout=PEER_IDLE_S,
        )

    async def _listen_readiness(self) -> None:
        app = readiness_application(self, READY_PATH)
        await self._listeners.serve_app(app, self.settings.readiness)

    async def _listen_metrics(self, address: str) -> None:
        try:
            await self._listeners.serve_app(metrics_application(self), address)
        except OSError as error:
            # Serving goes on: metrics are no reason to refuse callers.
            log(Part.NODE, "No metrics.", address=address, error=repr(error))

    def _members_changed(self) -> None:
        members = list(self.membership.members.by_id.values())
        for member in members:
            if member.state is MemberState.SUSPECT:
                self.reach.record_timeout(member.data_centre, member.id)
        self.retries.sharing_nodes = count_sharing_nodes(
            self.settings, self.membership.own, members
        )
        self.backends.set_live_nodes(len(self.membership.members.reachable()) + 1)

    def _revision_heard(self, revision: Revision, member: Member, age_s: float) -> None:
        self.deployments.on_number_announced(revision)
        self.catch_up.on_number_announced(revision, member, age_s)

    def _mark_heard(self, mark: GossipItem) -> None:
        self.failing.receive(mark)
        self.poison.gossip.receive(mark)
        self.evacuation.gossip.receive(mark)

    def _ack_heard(self, member: Member) -> None:
        self.checks.record_ack(member)
        self.shared_queues.checks.on_ack(member)

    def _advanced(self, number: int) -> None:
        self.membership.announce_revision(Revision(number))

    def _server_replaced(self, backend: Backend) -> None:
        self.server_list.forget(backend.entry.incarnation)
