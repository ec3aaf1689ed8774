"""Which of many nodes need a look, and why: what differs from most of them."""

from collections import Counter
from collections.abc import Iterable, Sequence
from fnmatch import fnmatchcase
from typing import TypeVar

import msgspec

from .host_metrics import EvacuatedDataCentre, HostMetrics

T = TypeVar("T")

__all__ = [
    "EvacuationView",
    "HostGroup",
    "HostReview",
    "summarise_evacuations",
    "group_hosts",
    "filter_by_address",
    "review",
]


class HostReview(msgspec.Struct, frozen=True):
    """A node and why it needs a look, in short sentences; none where it does not."""

    host: HostMetrics
    reasons: tuple[str, ...]


class HostGroup(msgspec.Struct, frozen=True):
    """Nodes that tell the same of what all should agree on."""

    version: int
    members: int
    servers_usable: int
    hosts: int
    pieces_waiting: int
    refusals: int
    retries: int


class EvacuationView(msgspec.Struct, frozen=True):
    """A data centre that is emptied, over all nodes that answer.

    ``in_force_at`` counts the nodes that send nothing more there, and ``in_flight``
    what they still have running there. ``since_s`` is the longest time at any of them.
    """

    data_centre: str
    in_force_at: int
    nodes: int
    since_s: float
    in_flight: int


def summarise_evacuations(
    hosts: Sequence[HostMetrics], wanted: Iterable[str]
) -> list[EvacuationView]:
    """Return the data centres that are emptied, by the store or by any node."""
    answering = [host for host in hosts if host.silent is None]
    told = [emptied for host in answering for emptied in host.evacuated]
    places = {emptied.data_centre for emptied in told} | set(wanted)
    return [_evacuation(place, told, len(answering)) for place in sorted(places)]


def _evacuation(
    place: str, told: Sequence[EvacuatedDataCentre], nodes: int
) -> EvacuationView:
    here = [emptied for emptied in told if emptied.data_centre == place]
    return EvacuationView(
        data_centre=place,
        in_force_at=len(here),
        nodes=nodes,
        since_s=max((emptied.since_s for emptied in here), default=0.0),
        in_flight=sum(emptied.in_flight for emptied in here),
    )


def filter_by_address(hosts: Iterable[HostMetrics], pattern: str) -> list[HostMetrics]:
    """Return the nodes whose address fits a pattern such as ``10.2.*``."""
    return [host for host in hosts if fnmatchcase(host.address, pattern)]


def review(hosts: Sequence[HostMetrics], newest: int | None) -> list[HostReview]:
    """Return all nodes, those that need a look most first.

    ``newest`` is the version in the store, where it was read. Members and servers
    have no right number here: a node stands out where it differs from most.
    """
    answering = [host for host in hosts if host.silent is None]
    version = _most(host.version for host in answering) if newest is None else newest
    members = _most(host.members for host in answering)
    servers = _most(host.servers for host in answering)
    emptied = _most(map(_emptied_places, answering))
    reviews = [
        HostReview(host, tuple(_reasons(host, version, members, servers, emptied)))
        for host in hosts
    ]
    return sorted(reviews, key=_urgency)


def group_hosts(reviews: Iterable[HostReview]) -> list[HostGroup]:
    """Return the nodes that need no look, put together, the largest group first."""
    by_state: dict[tuple[int, int, int], list[HostMetrics]] = {}
    for reviewed in reviews:
        host = reviewed.host
        state = (host.version, host.members, host.servers_usable)
        by_state.setdefault(state, []).append(host)
    found = [
        HostGroup(
            *state,
            hosts=len(hosts),
            pieces_waiting=sum(host.pieces_waiting for host in hosts),
            refusals=sum(host.refusals for host in hosts),
            retries=sum(host.retries for host in hosts),
        )
        for state, hosts in by_state.items()
    ]
    return sorted(found, key=lambda group: -group.hosts)


def _reasons(
    host: HostMetrics, version: int, members: int, servers: int, emptied: str
) -> Iterable[str]:
    if host.silent is not None:
        yield f"no answer: {host.silent}"
        return
    if host.version != version:
        yield f"version {host.version} in place of {version}"
    if not host.store_reachable:
        yield "the store is lost"
    if host.members != members:
        yield f"{host.members} members, most have {members}"
    if host.servers != servers:
        yield f"{host.servers} servers listed, at most nodes {servers}"
    if _emptied_places(host) != emptied:
        here = _emptied_places(host) or "no data centre"
        yield f"empties {here}, most empty {emptied or 'none'}"


def _emptied_places(host: HostMetrics) -> str:
    return ", ".join(emptied.data_centre for emptied in host.evacuated)


def _urgency(reviewed: HostReview) -> tuple[bool, int, str]:
    """Sort silent nodes first, then by the number of reasons, then by address."""
    host = reviewed.host
    return (host.silent is None, -len(reviewed.reasons), host.address)


def _most(values: Iterable[T]) -> T | None:
    counted = Counter(values).most_common(1)
    return counted[0][0] if counted else None
