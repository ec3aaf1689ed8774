"""The tables of the platform's store that a node follows, and how."""

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

# The operator's table changes seldom, so a call may wait; but a wait is also
# how long a feed that has fallen silent goes unnoticed.
CONFIGURATION_WAIT_S = 1.0
# Servers write every 1.2 s or so. Changes are collected between two calls, which
# keeps the calls few. Pause, wait and the client's slack (0.6 s) add up to 1.5 s,
# after which a relay that has lost the store tells its followers: that leaves
# them half a second of the 2 s for a server that leaves.
SERVERS_WAIT_S = 0.5
SERVERS_FEED_DELAY_S = 0.4


# Ends of servers are told by marks first; those that only the table tells come at once,
# too, and a wait bounds how long a feed that has fallen silent goes unnoticed.
CRASHES_WAIT_S = 1.0


class TableNames(msgspec.Struct, frozen=True):
    """What the store calls the tables of the operator, of servers and of their ends."""

    operator: str
    servers: str
    crashes: str


class PlatformTables:
    """Follows the tables, and relays them to other nodes of the data centre.

    ``own`` and ``members`` return this node and the others that may be reached;
    ``ask_relay`` asks one of them. ``deployments``, ``server_list``, ``crashes`` and
    ``evacuations`` take in what is read. A configuration must be in force ``apply_s``
    after it was confirmed, an evacuation ``evacuate_s`` after, and a server that leaves
    must get no new work after ``drain_s``.
    ``clock`` returns seconds.
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
            evacuations.on_store_return,
            CONFIGURATION_WAIT_S,
            min(apply_s, evacuate_s),
        )
        self.servers = TableReplica(
            reader,
            names.servers,
            lambda rows, source: server_list.apply_rows(rows),
            server_list.apply_snapshot,
            server_list.on_outage_end,
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
        """Return a row as it is known here."""
        return self._table_by_name[table].row(key)

    @property
    def is_ready(self) -> bool:
        """Whether there is a configuration, and the servers are known, too."""
        return self._deployments.current is not None and self.servers.has_rows
