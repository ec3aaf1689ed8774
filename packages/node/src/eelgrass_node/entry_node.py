"""The serving node of the platform: creates its components and connects them.

This is the composition root: it may import every module of the node, and only the
program's command line imports it.
"""

import asyncio
from functools import partial

from eelgrass_coordination import GossipItem, Member, Membership, MemberState
from eelgrass_coordination.ids import Revision

from .boot_clock import unix_ms
from .connection.answer_head import AnswerHead
from .connection.batch_calls import BatchCalls
from .connection.batch_handoff import HandoffClient, HandoffInterface
from .connection.caller_server import CallerServer
from .connection.limit_calls import LimitClient
from .connection.listeners import Listeners
from .connection.loan_calls import LoanClient
from .connection.peer_calls import PeerCalls
from .connection.rest_calls import RestClient
from .connection.server_links import ServerLinks
from .connection.sockets import new_session
from .connection.table_feed import TableFeedClient
from .connection.trial_calls import TrialClient
from .connection.warm_up_calls import WarmUpClient
from .entry_applications import (
    metrics_application,
    peer_application,
    readiness_application,
)
from .entry_gauges import entry_gauges
from .entry_peer_state import fetch_peer_state
from .entry_serving import serving_context
from .entry_stream_origins import (
    abandoned_rows,
    durable_origins,
    stream_origins,
    version_history,
)
from .log import Part, log
from .platform import configuration, requests, servers, stage_calls
from .platform.names import CRASHES_TABLE, ORIGINS_TABLE, READY_PATH
from .platform.notices import decode_notice
from .platform.store import RowStore, StoredTable
from .process.backends import Backend, Backends, ServerIncarnation
from .process.batch_items import BatchItem, ItemOutcome
from .process.brittle_servers import BrittleServers
from .process.budget_shares import count_sharing_nodes
from .process.connection_admission import ConnectionAdmission
from .process.counters import Counters
from .process.deployments import DeploymentInForce
from .process.evacuation import EvacuationManager
from .process.failure_gossip import FailureGossip
from .process.host_settings import HostSettings
from .process.joined import SETTLE_S, JoinState
from .process.local_queues import LocalQueues
from .process.loop_load import LoopLoad
from .process.memory_budget import Budgets, ConnectionBudgets
from .process.metrics import Metrics
from .process.peer_catch_up import PeerCatchUp
from .process.permit_owners import PermitOwners
from .process.platform_tables import PlatformTables, TableNames
from .process.poison_parts import TrialAdmission
from .process.poison_requests import PoisonRequests
from .process.queue_load import QueueLoads
from .process.queue_owners import QueueOwners
from .process.reachability import DataCentreReachability
from .process.reachability_checks import ReachabilityChecks
from .process.request_admission import RequestAdmission
from .process.request_limits import RequestLimits
from .process.retry_budget import RetryBudgets
from .process.retry_loans import RetryLoans
from .process.server_choice import ServerChoice
from .process.server_list import ServerList
from .process.server_notices import ServerNotices
from .process.shared_queues import SharedQueues
from .process.stopping import Stopping
from .process.supervision import keep_running
from .process.warm_up import WarmUp
from .request.final_call_latency import FinalCallLatency
from .request.request_handler import RequestHandler
from .version.deployment import ServiceName

__all__ = ["EntryNode"]

# The load balancer checks readiness every second and removes a node after two
# failed checks.
STOP_NOTICE_S = 2.6
# Part of the stop time that is reserved for closing connections before the process
# is killed.
STOP_RESERVE_S = 0.7
# Timeout for the header of a connection's first request while no configuration, which
# sets this timeout, is in force yet.
DEFAULT_HEADER_TIMEOUT_S = 10.0
# How long idle connections between nodes are kept open; longer than callers' idle
# connections.
PEER_IDLE_S = 90.0
# With one probe per second a dead node is detected in some 5 s. Until then queue
# hand-offs skip it after the first one that fails.
GOSSIP_INTERVAL_S = 1.0


class EntryNode:
    """One node; call ``start`` and then ``run_until_stopped``."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        loop = asyncio.get_running_loop()
        bounds = settings.bounds
        self.counters = Counters()
        self.budgets = Budgets(
            settings.memory_bytes,
            settings.max_descriptors,
            loop.time,
            self.counters.count,
        )
        self.metrics = Metrics(self.counters, lambda: entry_gauges(self))
        self.stopping = Stopping(
            STOP_NOTICE_S, bounds.stop_s - STOP_NOTICE_S - STOP_RESERVE_S
        )
        self.backends = Backends(
            connections_to=lambda entry: self.server_links.connections_to(entry),
            drain_s=bounds.drain_s,
        )
        self.store = RowStore(settings.store.address)
        self.deployments = DeploymentInForce(
            configuration.CONFIGURATION_KEY,
            configuration.decode_deployment,
            self._on_configuration_advanced,
        )
        self.server_list = ServerList(
            self.backends,
            partial(servers.decode_server, settings.region_by_data_centre),
            lambda server_id: None,
        )
        self.retry_budgets = RetryBudgets(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, loop.time
        )
        self.reachability = DataCentreReachability(settings.data_centre, loop.time)
        self.batch_calls = BatchCalls(
            stage_calls,
            self.on_server_replaced,
            lambda backend: self.brittle_servers.record_refusal(backend),
        )
        self.peer_session = new_session(PEER_IDLE_S / 2)
        self.peer_calls = PeerCalls(self.peer_session)
        self.peer_catch_up = PeerCatchUp(
            partial(fetch_peer_state, self),
            lambda: self.deployments.number,
            lambda: self.tables.is_ready and self.tables.has_crashes,
            self._peer_addresses,
            self._is_receiving_configuration,
        )
        self.membership = Membership(
            settings.as_member(), settings.seed_gossip_addresses(), GOSSIP_INTERVAL_S
        )
        self.join_state = JoinState(
            settings.other_seeds(),
            lambda: list(self.membership.members.by_id.values()),
            loop.time,
        )
        self.membership.on_change = self._on_members_changed
        self.membership.on_revision = self._on_revision_announced
        self.reachability_checks = ReachabilityChecks(
            settings.data_centre,
            self.reachability,
            lambda: list(self.membership.members.by_id.values()),
            self.membership.probe,
        )
        self.server_links = ServerLinks(
            settings,
            self.backends,
            self.membership,
            self.stopping,
            self.budgets,
            self.counters.count,
            requests.named_attempt,
            self._on_server_answer,
            RestClient(self.peer_calls).tell,
            lambda server: self.request_limits.admission.take(server),
        )
        self.server_notices = ServerNotices(
            self.backends,
            self.membership.announce_gossip_item,
            self.counters.count,
        )
        self.brittle_servers = BrittleServers(
            self.backends,
            self.membership.announce_gossip_item,
            loop.time,
            unix_ms,
            lambda: len(self.membership.members.reachable()) + 1,
            self.counters.count,
        )
        self.failure_gossip = FailureGossip(
            self.backends,
            self.membership.announce_gossip_item,
            unix_ms,
            self.server_links.paths.check,
        )
        self.poison_requests = PoisonRequests(
            self.backends,
            self.server_links.paths.check,
            self.membership.announce_gossip_items,
            loop.time,
            unix_ms,
            partial(self.store.write, CRASHES_TABLE),
            self.counters.count,
        )
        self.part_trials = TrialAdmission(
            self.poison_requests.parts.permits,
            lambda: self.membership.own,
            self.membership.members.reachable,
            TrialClient(self.peer_calls).ask,
            loop.time,
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
            self.join_state,
            bounds.warm_up,
            lambda: self.deployments.current,
            WarmUpClient(self.peer_calls).ask,
            loop.time,
            self.counters.count,
        )
        self.request_limits = RequestLimits(
            PermitOwners(
                lambda: self.membership.own,
                lambda: list(self.membership.members.by_id.values()),
                self.join_state,
                lambda: self.membership.members.changes,
            ),
            self.backends.limits,
            LimitClient(self.peer_calls).ask,
            loop.time,
            self.counters.count,
        )
        self.request_admission = RequestAdmission(
            self.warm_up.admission, self.request_limits.admission
        )
        self.local_queues = LocalQueues(
            self.backends,
            lambda: self.deployments.current,
            self.retry_budgets,
            self.reachability,
            self.batch_calls.run,
            self.batch_calls.free,
            stage_calls.producer_of,
            self.metrics.record_wait,
            self.poison_requests,
            self.warm_up.admission.is_rate_limited,
            self.brittle_servers,
        )
        self.version_history, self.version_roster = version_history(self, unix_ms)
        self.backends.on_change = self._on_servers_changed
        self.origin_rows = StoredTable(self.store, ORIGINS_TABLE)
        self.durable_origins = durable_origins(self)
        self.abandoned_rows = abandoned_rows(self)
        self.stream_origins = stream_origins(self)
        self.membership.datagrams.on_payload = self.stream_origins.receive
        self.membership.on_gossip_item = self._on_gossip_item
        self.membership.on_ack = self._on_ack
        self.reachability.on_timeout = self.reachability_checks.check
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
            crashes=self.poison_requests.table,
            evacuations=self.evacuation.evacuations,
            apply_s=bounds.apply_s,
            evacuate_s=bounds.evacuate_s,
            drain_s=bounds.drain_s,
            clock=loop.time,
        )
        self.queue_loads = QueueLoads(loop.time)
        self.final_call_latency = FinalCallLatency()
        self.handoff = HandoffClient(self.queue_loads.receive)
        self.queue_owners = QueueOwners(
            settings.node,
            settings.data_centre,
            settings.capacity(),
            self.membership.members.reachable,
            self.reachability,
            loop.time,
        )
        self.shared_queues = SharedQueues(
            self.queue_owners,
            self.local_queues,
            self.handoff,
            self.queue_loads.receive,
            self.membership.members.by_id.get,
            self.membership.probe,
            self.counters.count,
        )
        self.retry_loans = RetryLoans(
            self.retry_budgets,
            self.membership.members.reachable,
            LoanClient(self.peer_calls).ask,
            loop.time,
        )
        self.server_choice = ServerChoice(
            self.backends,
            settings.data_centre,
            self.reachability,
            lambda: self.deployments.current,
            self.brittle_servers,
        )
        self.loop_load = LoopLoad()
        self.connection_admission = ConnectionAdmission(self.loop_load, loop.time)
        self._tasks: list[asyncio.Task] = []
        self._listeners = Listeners(
            ConnectionBudgets.of_hosts(self.budgets), self.counters.count
        )

    @property
    def ready(self) -> bool:
        """Whether this node can serve: it has both tables and is not stopping."""
        return self.tables.is_ready and not self.stopping.stopping

    async def start(self) -> None:
        """Open the listeners, join the other nodes and begin to follow the store."""
        if self.settings.metrics is not None:
            await self._listen_metrics(self.settings.metrics)
        await self._listen_peers()
        await self.server_links.server.start(self.settings.gossip)
        await self.membership.start()
        self._on_members_changed()
        asyncio.get_running_loop().call_later(SETTLE_S, self._share_retry_budgets)
        await self._listen_callers()
        await self._listen_readiness()
        for run in (
            self.loop_load.run,
            self.tables.operator.run,
            self.tables.servers.run,
            self.tables.crashes.run,
            self.poison_requests.table.run,
            self.durable_origins.run,
            self.abandoned_rows.run,
            self.peer_catch_up.start,
        ):
            self._tasks.append(asyncio.create_task(keep_running(run)))
        log(Part.NODE, "Started.", node=self.settings.node)

    def reload(self) -> None:
        """Log a request to reload; settings are only read when the process starts."""
        log(Part.NODE, "Reload requested; settings take effect after a restart.")

    async def run_until_stopped(self) -> bool:
        """Serve until a stop is requested; return whether all requests completed."""
        await self.stopping.wait_requested()
        log(Part.NODE, "Stopping.", in_flight=self.stopping.count)
        # From now on other nodes own the queues; items that already wait in this
        # node's queues are still served.
        self.queue_owners.leave()
        await self.membership.leave()
        self.stream_origins.leave()
        clean = await self.stopping.finish()
        await self.durable_origins.flush()
        log(Part.NODE, "Stopped.", clean=clean, in_flight=self.stopping.count)
        return clean

    async def close(self) -> None:
        """Stop all tasks and close all listeners and connections immediately."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.reachability_checks.stop()
        self.retry_loans.stop()
        await self.server_links.close()
        self.shared_queues.checks.stop()
        self.stream_origins.replication.stop()
        self.poison_requests.crash_detector.stop()
        self.version_roster.stop()
        await self.membership.stop()
        await self._listeners.close()
        await self.backends.close()
        await self.handoff.close()
        await self.peer_session.close()
        await self.store.close()

    def _is_receiving_configuration(self) -> bool:
        table = configuration.OPERATOR_TABLE
        since = self.store.response_started_at(table)
        return since is not None or table in self.table_feed.arriving

    def _peer_addresses(self) -> list[str]:
        """Return the reachable members' addresses, or the seeds' if there are none."""
        members = self.membership.members.reachable()
        addresses = [member.internal for member in members]
        return addresses or list(self.settings.other_seeds())

    async def _listen_callers(self) -> None:
        context = serving_context(self, requests)
        handler = RequestHandler(
            requests, self.deployments, context, self.stopping, self.counters.count
        )
        server = CallerServer(
            self.connection_admission.counting(handler.handle),
            ConnectionBudgets.of_callers(self.budgets),
            self._header_timeout_s,
            self.connection_admission.admits,
            self.counters.count,
            self.stopping.in_flight,
        )
        await self._listeners.serve(server, self.settings.callers)

    def _header_timeout_s(self) -> float:
        deployment = self.deployments.current
        return (
            DEFAULT_HEADER_TIMEOUT_S
            if deployment is None
            else deployment.limits.header_s
        )

    async def _run_handed_off(
        self, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        with self.stopping.in_flight():
            return await self.local_queues.run(service, items)

    async def _listen_peers(self) -> None:
        interface = HandoffInterface(
            self._run_handed_off,
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
            # A node without metrics can still serve callers, so it starts anyway.
            log(
                Part.NODE,
                "Cannot listen for metrics scrapes; serving without metrics.",
                address=address,
                error=repr(error),
            )

    def _on_members_changed(self) -> None:
        members = list(self.membership.members.by_id.values())
        for member in members:
            if member.state is MemberState.SUSPECT:
                self.reachability.record_timeout(member.data_centre, member.id)
        self.server_links.on_members_changed(members)
        self._share_retry_budgets()
        self.backends.set_live_nodes(len(self.membership.members.reachable()) + 1)
        self.stream_origins.on_members_changed()

    def _share_retry_budgets(self) -> None:
        self.retry_budgets.sharing_nodes = count_sharing_nodes(
            self.settings,
            self.membership.own,
            list(self.membership.members.by_id.values()),
            self.join_state.is_settled(),
        )

    def _on_servers_changed(self, service: str) -> None:
        self.version_history.servers_changed(service)
        self.local_queues.servers_changed(service)

    def _on_revision_announced(
        self, revision: Revision, member: Member, age_s: float
    ) -> None:
        self.deployments.on_number_announced(revision)
        self.peer_catch_up.on_number_announced(revision, member, age_s)

    def _on_gossip_item(self, item: GossipItem) -> None:
        self.failure_gossip.receive(item)
        self.server_notices.receive_gossip(item)
        self.brittle_servers.receive(item)
        self.poison_requests.receive(item)
        self.evacuation.gossip.receive(item)

    def _on_ack(self, member: Member) -> None:
        self.reachability_checks.record_ack(member)
        self.shared_queues.checks.on_ack(member)

    def _on_configuration_advanced(self, number: int) -> None:
        self.membership.announce_revision(Revision(number))

    def _on_server_answer(self, server: ServerIncarnation, answer: AnswerHead) -> None:
        notice = decode_notice(answer.status, answer.headers, answer.path)
        if notice is not None:
            self.server_notices.receive(server, notice, answer.sent_at)

    def on_server_replaced(self, backend: Backend) -> None:
        """Forget a server after another one has answered at its address."""
        self.server_list.forget(backend.entry.incarnation)
