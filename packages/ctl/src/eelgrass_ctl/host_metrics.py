"""Reads the state of platform nodes from their metrics, and of the store."""

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from eelgrass_node.connection.sockets import new_session
from eelgrass_node.exceptions import ConfigurationMalformed, StoreUnavailable
from eelgrass_node.platform.configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    decode_deployment,
)
from eelgrass_node.platform.servers import SERVERS_TABLE
from eelgrass_node.platform.store import RowStore

from .exceptions import StoreUnreadable

__all__ = [
    "EvacuatedDataCentre",
    "HostMetrics",
    "StoreState",
    "read_hosts",
    "read_store",
]

# A node that does not answer within this time, in seconds, is shown as silent.
SCRAPE_TIMEOUT_S = 2.0
PREFIX = "eelgrassward_"
HTTP_OK = 200


class EvacuatedDataCentre(msgspec.Struct, frozen=True):
    """A data centre that a node evacuates: it sends no new work there.

    ``in_flight`` counts its requests that still run there.
    """

    data_centre: str
    since_s: float
    in_flight: int


class HostMetrics(msgspec.Struct, frozen=True):
    """The metrics of one node; ``silent`` is the reason if it did not answer."""

    address: str
    silent: str | None = None
    version: int = -1
    version_age_s: float = 0.0
    members: int = 0
    store_reachable: bool = False
    servers: int = 0
    servers_usable: int = 0
    pieces_waiting: int = 0
    refusals: int = 0
    retries: int = 0
    evacuated: tuple[EvacuatedDataCentre, ...] = ()


class StoreState(msgspec.Struct, frozen=True):
    """The newest configuration version in the store and the number of listed servers.

    ``evacuated`` names the data centres that are to be evacuated.
    """

    version: int
    servers: int
    evacuated: tuple[str, ...] = ()


async def read_hosts(addresses: Sequence[str]) -> list[HostMetrics]:
    """Return the metrics of all nodes, in the order of ``addresses``."""
    async with new_session(None, total_s=SCRAPE_TIMEOUT_S) as session:
        return await asyncio.gather(*(_scrape(session, a) for a in addresses))


async def _scrape(session: aiohttp.ClientSession, address: str) -> HostMetrics:
    try:
        async with session.get(f"http://{address}/metrics") as response:
            text = await response.text()
            if response.status != HTTP_OK:
                return HostMetrics(address, f"status {response.status}")
        return _parse_metrics(address, text)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return HostMetrics(address, str(error) or type(error).__name__)


def _parse_metrics(address: str, text: str) -> HostMetrics:
    samples = [
        (sample.name.removeprefix(PREFIX), sample.labels, sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]

    def values(name: str, kind: str = "") -> list[float]:
        return [
            value
            for found, labels, value in samples
            if found == name and labels.get("kind", "").startswith(kind)
        ]

    def total(name: str, kind: str = "") -> int:
        return int(sum(values(name, kind)))

    return HostMetrics(
        address,
        version=total("configuration_version"),
        version_age_s=sum(values("configuration_age_seconds")),
        members=total("members"),
        store_reachable=all(values("store_reachable")),
        servers=total("servers"),
        servers_usable=total("servers_usable"),
        pieces_waiting=total("pieces_waiting"),
        refusals=total("events_total", "refusal."),
        retries=total("events_total", "retry."),
        evacuated=_evacuated(samples),
    )


def _evacuated(
    samples: list[tuple[str, dict, float]],
) -> tuple[EvacuatedDataCentre, ...]:
    def by_data_centre(name: str) -> dict[str, float]:
        return {
            labels["data_centre"]: value
            for found, labels, value in samples
            if found == name
        }

    in_flight = by_data_centre("evacuated_in_flight")
    return tuple(
        EvacuatedDataCentre(data_centre, since_s, int(in_flight.get(data_centre, 0)))
        for data_centre, since_s in sorted(by_data_centre("evacuated_seconds").items())
    )


async def read_store(address: str) -> StoreState:
    """Return the state of the store; raises :class:`StoreUnreadable`."""
    store = RowStore(address)
    try:
        operator = await store.read_table(OPERATOR_TABLE)
        servers = await store.read_table(SERVERS_TABLE)
        [value] = [row.value for row in operator.rows if row.key == CONFIGURATION_KEY]
        evacuated = (
            row.key.removeprefix(EVACUATION_PREFIX)
            for row in operator.rows
            if row.key.startswith(EVACUATION_PREFIX)
        )
        number = decode_deployment(value or b"").number
        return StoreState(number, len(servers.rows), tuple(sorted(evacuated)))
    except (StoreUnavailable, ConfigurationMalformed, ValueError) as error:
        raise StoreUnreadable(address, str(error)) from error
    finally:
        await store.close()
