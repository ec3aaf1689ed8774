"""The replicas of the platform's tables that a node keeps."""

from collections.abc import Callable

import msgspec

from eelgrass_coordination import Member

from .crash_table import CrashTable
from .deployments import DeploymentInForce
from .evacuation import Evacuations
from .server_list import ServerList
from .store_tables import StoredRow, TableReplica
from .table_relay import AskRelay, RelayedReader, StoreReader, TableRelay, relays_of

__all__ = ["PlatformTables", "TableNames"]

# The operator's table changes seldom, so a feed call may wait for changes. The wait is
# short because a feed that stops answering goes undetected for as long.
CONFIGURATION_WAIT_S = 1.0
# Each server writes about every 1.2 s. A delay between two feed calls lets changes
# accumulate and keeps the number of calls low. Delay, wait and the client's slack
# (0.6 s) add up to 1.5 s, after which a relay that cannot reach the store reports this
# to its followers. A leaving server must get no new work after 2 s, so the followers
# have half a second left to read its row from another source.
SERVERS_WAIT_S = 0.5
SERVERS_FEED_DELAY_S = 0.4


# Crashes of servers spread by gossip first. Those that only the table shows also arrive
# at once; the wait bounds how long a feed that stops answering goes undetected.
CRASHES_WAIT_S = 1.0


class TableNames(msgspec.Struct, frozen=True):
    """The names of the operator's table, the server table and the crash table."""

    operator: str
    servers: str
    crashes: str


class PlatformTables:
    """Keeps replicas of the tables, and relays them to nodes of the data centre.

    ``own`` and ``members`` return this node and the other reachable nodes;
    ``ask_relay`` calls one of them. The rows are applied to ``deployments``,
    ``server_list``, ``crashes`` and ``evacuations``. A configuration must be in force
    ``apply_s`` after it was confirmed, an evacuation after ``evacuate_s``, and a server
    that leaves must get no new work after ``drain_s``. ``clock`` returns seconds.
    """

    def __init__(
        self,
        names: TableNames,
        store: StoreReader,
        ask_relay: AskRelay,
        own: Callable[[], Member],
        members: Callable[[], list[Member]],
        *,
        deployments: DeploymentInForce,
        server_list: ServerList,
        crashes: CrashTable,
        evacuations: Evacuations,
        apply_s: float,
        evacuate_s: float,
        drain_s: float,
        clock: Callable[[], float],
    ) -> None:
        reader = RelayedReader(
            store,
            lambda table: relays_of(own(), members(), table),
            ask_relay,
            {names.servers: SERVERS_FEED_DELAY_S},
            clock,
        )
        self.operator = TableReplica(
            reader,
            names.operator,
            self._apply_operator_rows,
            evacuations.apply_snapshot,
            evacuations.on_store_recovered,
            CONFIGURATION_WAIT_S,
            min(apply_s, evacuate_s),
        )
        self.servers = TableReplica(
            reader,
            names.servers,
            lambda rows, source: server_list.apply_rows(
                rows, self.servers.acknowledged_after
            ),
            server_list.apply_snapshot,
            server_list.on_store_recovered,
            SERVERS_WAIT_S,
            drain_s,
        )
        self.crashes = TableReplica(
            reader,
            names.crashes,
            lambda rows, source: crashes.apply_rows(rows),
            crashes.apply_snapshot,
            lambda: None,
            CRASHES_WAIT_S,
            apply_s,
        )
        self._deployments = deployments
        self._evacuations = evacuations
        self._table_by_name = {
            names.operator: self.operator,
            names.servers: self.servers,
            names.crashes: self.crashes,
        }
        self.relay = TableRelay(self._table_by_name, reader.reads_from_store)

    def _apply_operator_rows(self, rows: tuple[StoredRow, ...], source: str) -> None:
        self._deployments.apply_rows(rows, source)
        self._evacuations.apply_rows(rows)

    def row(self, table: str, key: str) -> StoredRow | None:
        """Return the last known row of a key in a table."""
        return self._table_by_name[table].row(key)

    @property
    def is_ready(self) -> bool:
        """Whether the node has a configuration and the list of servers."""
        return self._deployments.current is not None and self.servers.has_rows

    @property
    def has_crashes(self) -> bool:
        """Whether the crash table was read, or another node has sent its rows."""
        return self.crashes.was_received
