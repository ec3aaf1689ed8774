"""The parts of an entry node that know which version began a stream, put together."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from eelgrass_coordination import ranked

from .process.stream_origins import (
    VERSION_ROW_PREFIX,
    AbandonedRows,
    DurableOrigins,
    ReplicaChoice,
    StreamOrigins,
    VersionHistory,
    VersionRoster,
    write_pace_s,
)
from .version.deployment import ServiceName

if TYPE_CHECKING:
    from .entry_node import EntryNode

__all__ = ["abandoned_rows", "durable_origins", "stream_origins", "version_history"]


def version_history(
    node: "EntryNode", unix_ms: Callable[[], int]
) -> tuple[VersionHistory, VersionRoster]:
    """Return the versions that a node has seen listed, and those before its start."""
    members, table = node.membership.members, node.poison_requests.table

    def is_current() -> bool:
        tables = node.tables
        return tables.servers.complete_to >= 0 and tables.crashes.complete_to >= 0

    def rank(service: str) -> int:
        own = node.membership.own
        nodes = ranked([own, *members.reachable()], service, lambda member: member.id)
        return [member.id for member in nodes].index(own.id)

    roster = VersionRoster(
        lambda service: history.listed(service),
        is_current,
        rank,
        table.put_row,
        unix_ms,
    )
    table.add_kind(VERSION_ROW_PREFIX, roster)
    clock = asyncio.get_running_loop().time
    history = VersionHistory(
        node.backends,
        clock,
        unix_ms,
        roster,
        lambda: node.tables.servers.followed_since(),
    )
    return history, roster


def durable_origins(node: "EntryNode") -> DurableOrigins:
    """Return the origins that a node writes to the store."""
    settings, members = node.settings, node.membership.members

    def are_several_listed(service: ServiceName, within_s: float) -> bool:
        return len(node.version_history.versions(service, within_s)) > 1

    def pace_s() -> float:
        nodes = len(members.reachable()) + 1
        return write_pace_s(nodes, settings.store.writes_per_s)

    return DurableOrigins(
        f"{settings.node}/{node.membership.own.epoch}",
        node.origin_rows,
        are_several_listed,
        pace_s,
        asyncio.get_running_loop().time,
        node.counters.count,
    )


def abandoned_rows(node: "EntryNode") -> AbandonedRows:
    """Return what removes the origins of nodes that have ended from the store."""
    return AbandonedRows(
        lambda: node.membership.own,
        node.membership.members.reachable,
        node.origin_rows,
    )


def stream_origins(node: "EntryNode") -> StreamOrigins:
    """Return the origins of streams as a node knows them."""
    settings, members = node.settings, node.membership.members
    clock = asyncio.get_running_loop().time
    choice = ReplicaChoice(
        settings.data_centre,
        settings.region_by_data_centre,
        members.reachable,
        lambda data_centre: not node.reachability.is_suspected(data_centre),
        clock,
    )

    async def confirm_versions() -> bool:
        tables = node.tables
        answered = await asyncio.gather(
            tables.servers.catch_up(), tables.crashes.catch_up()
        )
        return all(answered)

    return StreamOrigins(
        choice,
        members.reachable,
        members.dead,
        node.membership.datagrams.send_payload,
        node.version_history,
        lambda: node.tables.servers.reachable,
        confirm_versions,
        node.durable_origins,
        clock,
        node.counters.count,
    )
