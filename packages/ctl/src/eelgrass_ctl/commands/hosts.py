"""``eelgrassctl hosts``: compare the nodes on the platform."""

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

# Up to this many nodes get a line each, as these fit on one screen.
MAX_SINGLE_ROWS = 20
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
    """Show the state of each node, and whether all agree with the store.

    Nodes that need attention come first, with the reasons. If there are many nodes,
    the others are grouped by state.

    :param metrics: the metrics addresses of the nodes
    :param file: a file with more addresses, one per line
    :param match: show only nodes whose address matches, for example '10.2.*'
    :param store: the address of the platform's store
    :param each: print a line for each node, even if there are many
    :param json: print JSON for scripts
    """
    found = filter_by_address(
        asyncio.run(read_hosts([*metrics, *_read_addresses(file)])), match
    )
    store_state = asyncio.run(read_store(store)) if store else None
    reviews = review(found, None if store_state is None else store_state.version)
    evacuations = summarise_evacuations(
        found, () if store_state is None else store_state.evacuated
    )
    if json:
        shown = {
            "hosts": found,
            "store": store_state,
            "reviews": _needing_attention(reviews),
        }
        print_json({**shown, "evacuations": evacuations})
    else:
        _print(reviews, store_state, each or len(found) <= MAX_SINGLE_ROWS)
        for evacuation in evacuations:
            print(_evacuation_line(evacuation))
    return ExitCode.DONE if _all_agree(found, store_state) else ExitCode.NOT_EVERYWHERE


def _print(
    reviews: Sequence[HostReview], store_state: StoreState | None, one_row_each: bool
) -> None:
    needing_attention = _needing_attention(reviews)
    if one_row_each:
        print_table(HEAD, (_row(reviewed.host) for reviewed in reviews))
    else:
        others = [reviewed for reviewed in reviews if not reviewed.reasons]
        print_table(GROUP_HEAD, map(_group_row, group_hosts(others)))
    for reviewed in needing_attention:
        print(f"Look at {reviewed.host.address}: {'; '.join(reviewed.reasons)}.")
    if store_state is not None:
        print(
            f"Store: version {store_state.version},"
            f" {store_state.servers} servers listed."
        )


def _evacuation_line(evacuation: EvacuationView) -> str:
    return (
        f"Evacuated: {evacuation.data_centre} at {evacuation.in_force_at} of"
        f" {evacuation.nodes} nodes, for {evacuation.since_s:.0f} s;"
        f" {evacuation.in_flight} requests still run there."
    )


def _needing_attention(reviews: Sequence[HostReview]) -> list[HostReview]:
    return [reviewed for reviewed in reviews if reviewed.reasons]


def _all_agree(found: Sequence[HostMetrics], store_state: StoreState | None) -> bool:
    versions = {host.version for host in found if host.silent is None}
    if store_state is not None:
        versions.add(store_state.version)
    return len(versions) <= 1 and not any(host.silent for host in found)


def _read_addresses(file: str) -> list[str]:
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
