"""Gauges of an entry node's current state, for the metrics endpoint."""

import asyncio
from collections.abc import Iterator
from typing import TYPE_CHECKING

from .process.metrics import Gauge

if TYPE_CHECKING:
    from .entry_node import EntryNode

__all__ = ["entry_gauges"]


def entry_gauges(node: "EntryNode") -> Iterator[Gauge]:
    """Yield the gauges of a node; ages are in seconds."""
    now = asyncio.get_running_loop().time()
    yield Gauge("in_flight", "Requests in flight.", node.stopping.count)
    yield Gauge(
        "configuration_version",
        "Version of the configuration in force.",
        float(node.deployments.number),
    )
    yield Gauge(
        "configuration_age_seconds",
        "Time since the configuration in force was applied.",
        now - node.deployments.since,
    )
    yield Gauge(
        "members", "Other reachable nodes.", len(node.membership.members.reachable())
    )
    quarantine = node.poison_requests.quarantine
    yield Gauge(
        "suspect_requests",
        "Requests that were running on a server when it crashed.",
        len(quarantine),
    )
    yield Gauge(
        "quarantined_requests",
        "Quarantined requests, which are not sent to any server.",
        quarantine.quarantined_count(),
    )
    parts = node.poison_requests.parts
    yield Gauge(
        "suspect_prompt_parts",
        "Prompt parts of requests that were running on a server when it crashed.",
        len(parts.quarantine),
    )
    yield Gauge(
        "quarantined_prompt_parts",
        "Quarantined prompt parts; requests with them are tried one at a time.",
        len(parts.held_parts()),
    )
    yield Gauge(
        "limited_servers",
        "Backend servers that name a request limit in their answers.",
        node.backends.limits.count(),
    )
    for budget in node.budgets.all():
        yield Gauge(
            "budget_used",
            "Bytes or connections held for peers, by budget.",
            float(budget.used),
            "budget",
            budget.name,
        )
        yield Gauge(
            "budget_peak",
            "The most that was held since the start, by budget.",
            float(budget.peak),
            "budget",
            budget.name,
        )
        yield Gauge(
            "budget_capacity",
            "The most that may be held, by budget.",
            float(budget.capacity),
            "budget",
            budget.name,
        )
    yield Gauge("store_calls", "Calls made to the store.", float(node.store.calls))
    for name, table in (
        ("operator", node.tables.operator),
        ("servers", node.tables.servers),
    ):
        yield Gauge(
            "store_reachable",
            "Whether the store answers, by table.",
            float(table.reachable),
            "table",
            name,
        )
        yield Gauge(
            "store_confirmed_age_seconds",
            "Time since the store last answered, by table.",
            now - table.confirmed_at,
            "table",
            name,
        )
    for data_centre, since in node.evacuation.evacuations.since_by_data_centre.items():
        yield Gauge(
            "evacuated_seconds",
            "Time since the evacuation of a data centre began.",
            now - since,
            "data_centre",
            data_centre,
        )
        yield Gauge(
            "evacuated_in_flight",
            "Requests that still run in an evacuated data centre.",
            node.evacuation.in_flight(data_centre),
            "data_centre",
            data_centre,
        )
    for service, servers in node.backends.by_service.items():
        usable = len(node.backends.usable(service))
        yield Gauge(
            "servers", "Backend servers listed.", len(servers), "service", service
        )
        yield Gauge(
            "servers_usable",
            "Backend servers that may get new requests.",
            usable,
            "service",
            service,
        )
    for service, queue in node.local_queues.by_service.items():
        yield Gauge(
            "pieces_waiting",
            "Batch items waiting in the queue.",
            queue.waiting,
            "service",
            service,
        )
