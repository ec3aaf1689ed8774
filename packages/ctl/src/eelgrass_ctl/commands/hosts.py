"""``eelgrassctl hosts``: the nodes on the users' platform, side by side."""

import asyncio

from ..exceptions import ExitCode
from ..host_metrics import HostMetrics, read_hosts, read_store
from ..output import print_json, print_table

__all__ = ["hosts"]

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


def hosts(*metrics: str, store: str = "", json: bool = False) -> int:
    """Show what each node tells of itself, and whether all agree with the store.

    :param metrics: the metrics addresses of the nodes
    :param store: the address of the platform's store
    :param json: print JSON for scripts
    """
    found = asyncio.run(read_hosts(metrics))
    newest = asyncio.run(read_store(store)) if store else None
    if json:
        print_json({"hosts": found, "store": newest})
    else:
        print_table(HEAD, map(_row, found))
        if newest is not None:
            print(f"Store: version {newest.version}, {newest.servers} servers listed.")
    versions = {host.version for host in found if host.silent is None}
    if newest is not None:
        versions.add(newest.version)
    agree = len(versions) <= 1 and not any(host.silent for host in found)
    return ExitCode.DONE if agree else ExitCode.NOT_EVERYWHERE


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
