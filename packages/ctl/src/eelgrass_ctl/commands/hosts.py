"""``eelgrassctl hosts``: the nodes on the users' platform, side by side."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

from ..exceptions import AddressesUnreadable, ExitCode
from ..host_metrics import HostMetrics, StoreState, read_hosts, read_store
from ..host_review import (
    EvacuationView,
    HostGroup,
    HostReview,
    filter_by_address,
    group_hosts,
    review,
    summarise_evacuations,
)
from ..output import print_json, print_table

__all__ = ["hosts"]

# Up to so many nodes each has a line of its own: they fit on one screen.
MAX_SINGLE = 20
HEAD = (
    "metrics address",
    "version",
    "age s",
    "members",
    "store",
    "servers in use",
    "pieces waiting",
    "refusals",
    "retries",
)
GROUP_HEAD = (
    "nodes",
    "version",
    "members",
    "servers in use",
    "pieces waiting",
    "refusals",
    "retries",
)


def hosts(
    *metrics: str,
    file: str = "",
    match: str = "*",
    store: str = "",
    each: bool = False,
    json: bool = False,
) -> int:
    """Show what each node tells of itself, and whether all agree with the store.

    Nodes that need a look come first, with the reasons. Where there are many, those
    that need none are put together.

    :param metrics: the metrics addresses of the nodes
    :param file: a file with more addresses, one a line
    :param match: show only nodes whose address fits, for example '10.2.*'
    :param store: the address of the platform's store
    :param each: give each node a line, however many there are
    :param json: print JSON for scripts
    """
    found = filter_by_address(
        asyncio.run(read_hosts([*metrics, *_listed(file)])), match
    )
    newest = asyncio.run(read_store(store)) if store else None
    reviews = review(found, None if newest is None else newest.version)
    emptied = summarise_evacuations(found, () if newest is None else newest.evacuated)
    if json:
        shown = {"hosts": found, "store": newest, "reviews": _needing(reviews)}
        print_json({**shown, "evacuations": emptied})
    else:
        _print(reviews, newest, each or len(found) <= MAX_SINGLE)
        for evacuation in emptied:
            print(_evacuation_line(evacuation))
    return ExitCode.DONE if _agree(found, newest) else ExitCode.NOT_EVERYWHERE


def _print(
    reviews: Sequence[HostReview], newest: StoreState | None, single: bool
) -> None:
    needing = _needing(reviews)
    if single:
        print_table(HEAD, (_row(reviewed.host) for reviewed in reviews))
    else:
        others = [reviewed for reviewed in reviews if not reviewed.reasons]
        print_table(GROUP_HEAD, map(_group_row, group_hosts(others)))
    for reviewed in needing:
        print(f"Look at {reviewed.host.address}: {'; '.join(reviewed.reasons)}.")
    if newest is not None:
        print(f"Store: version {newest.version}, {newest.servers} servers listed.")


def _evacuation_line(evacuation: EvacuationView) -> str:
    return (
        f"Emptied: {evacuation.data_centre} at {evacuation.in_force_at} of"
        f" {evacuation.nodes} nodes, for {evacuation.since_s:.0f} s;"
        f" {evacuation.in_flight} requests still run there."
    )


def _needing(reviews: Sequence[HostReview]) -> list[HostReview]:
    return [reviewed for reviewed in reviews if reviewed.reasons]


def _agree(found: Sequence[HostMetrics], newest: StoreState | None) -> bool:
    versions = {host.version for host in found if host.silent is None}
    if newest is not None:
        versions.add(newest.version)
    return len(versions) <= 1 and not any(host.silent for host in found)


def _listed(file: str) -> list[str]:
    if not file:
        return []
    try:
        return Path(file).read_text().split()
    except (OSError, UnicodeDecodeError) as error:
        raise AddressesUnreadable(file, str(error)) from error


def _row(host: HostMetrics) -> tuple:
    if host.silent is not None:
        return (host.address, f"no answer: {host.silent}")
    return (
        host.address,
        host.version,
        f"{host.version_age_s:.1f}",
        host.members,
        "reached" if host.store_reachable else "lost",
        f"{host.servers_usable}/{host.servers}",
        host.pieces_waiting,
        host.refusals,
        host.retries,
    )


def _group_row(group: HostGroup) -> tuple:
    return (
        group.hosts,
        group.version,
        group.members,
        group.servers_usable,
        group.pieces_waiting,
        group.refusals,
        group.retries,
    )
