"""Finds the nodes that need attention: those that differ from most others."""

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
    """A node and the reasons why it needs attention; none if it needs none."""

    host: HostMetrics
    reasons: tuple[str, ...]


class HostGroup(msgspec.Struct, frozen=True):
    """Nodes that report the same version, members and usable servers."""

    version: int
    members: int
    servers_usable: int
    hosts: int
    pieces_waiting: int
    refusals: int
    retries: int


class EvacuationView(msgspec.Struct, frozen=True):
    """The evacuation of a data centre, over all nodes that answer.

    ``in_force_at`` counts the nodes that send no new work there, and ``in_flight``
    their requests that still run there. ``since_s`` is the longest time at any of them.
    """

    data_centre: str
    in_force_at: int
    nodes: int
    since_s: float
    in_flight: int


def summarise_evacuations(
    hosts: Sequence[HostMetrics], requested: Iterable[str]
) -> list[EvacuationView]:
    """Summarise all evacuations that the store requests or a node carries out."""
    answering = [host for host in hosts if host.silent is None]
    reported = [entry for host in answering for entry in host.evacuated]
    data_centres = {entry.data_centre for entry in reported} | set(requested)
    return [
        _evacuation(data_centre, reported, len(answering))
        for data_centre in sorted(data_centres)
    ]


def _evacuation(
    data_centre: str, reported: Sequence[EvacuatedDataCentre], nodes: int
) -> EvacuationView:
    here = [entry for entry in reported if entry.data_centre == data_centre]
    return EvacuationView(
        data_centre=data_centre,
        in_force_at=len(here),
        nodes=nodes,
        since_s=max((entry.since_s for entry in here), default=0.0),
        in_flight=sum(entry.in_flight for entry in here),
    )


def filter_by_address(hosts: Iterable[HostMetrics], pattern: str) -> list[HostMetrics]:
    """Return the nodes whose address matches a pattern such as ``10.2.*``."""
    return [host for host in hosts if fnmatchcase(host.address, pattern)]


def review(hosts: Sequence[HostMetrics], newest: int | None) -> list[HostReview]:
    """Return all nodes, those that need most attention first.

    ``newest`` is the version in the store, None if the store was not read. The correct
    numbers of members and servers are unknown here, so a node is reported if its
    numbers differ from those of most nodes.
    """
    answering = [host for host in hosts if host.silent is None]
    version = (
        _most_common(host.version for host in answering) if newest is None else newest
    )
    members = _most_common(host.members for host in answering)
    servers = _most_common(host.servers for host in answering)
    evacuated = _most_common(map(_evacuated_data_centres, answering))
    reviews = [
        HostReview(host, tuple(_reasons(host, version, members, servers, evacuated)))
        for host in hosts
    ]
    return sorted(reviews, key=_urgency)


def group_hosts(reviews: Iterable[HostReview]) -> list[HostGroup]:
    """Group nodes by the state that they report, the largest group first."""
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
    host: HostMetrics, version: int, members: int, servers: int, evacuated: str
) -> Iterable[str]:
    if host.silent is not None:
        yield f"no answer: {host.silent}"
        return
    if host.version != version:
        yield f"version {host.version} in place of {version}"
    if not host.store_reachable:
        yield "it cannot reach the store"
    if host.members != members:
        yield f"{host.members} members, most have {members}"
    if host.servers != servers:
        yield f"{host.servers} servers listed, most have {servers}"
    if _evacuated_data_centres(host) != evacuated:
        here = _evacuated_data_centres(host) or "no data centre"
        yield f"evacuates {here}, most evacuate {evacuated or 'none'}"


def _evacuated_data_centres(host: HostMetrics) -> str:
    return ", ".join(entry.data_centre for entry in host.evacuated)


def _urgency(reviewed: HostReview) -> tuple[bool, int, str]:
    """Sort silent nodes first, then by the number of reasons, then by address."""
    host = reviewed.host
    return (host.silent is None, -len(reviewed.reasons), host.address)


def _most_common(values: Iterable[T]) -> T | None:
    counted = Counter(values).most_common(1)
    return counted[0][0] if counted else None
