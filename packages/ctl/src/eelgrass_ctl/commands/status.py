"""``eelgrassctl status``: show the state of a node."""

from typing import Any

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json, print_table

__all__ = ["status"]


def status(
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Show a node's peers, backend servers, queues, revision and counters.

    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), "status")
    if json:
        print_json(found)
    else:
        _print_status(found)
    return ExitCode.DONE


def _print_status(found: dict[str, Any]) -> None:
    own = found["own"]
    state = "stopping" if found["stopping"] else "serving"
    print(f"Node {own['id']} in {own['data_centre']}: {state}.")
    print(f"Requests in flight: {found['in_flight']}.")
    age_ms = found["revision_age_ms"]
    print(f"Revision {found['revision']}, confirmed {age_ms} ms ago.")
    print("\nPeers")
    peers = [
        (peer["id"], peer["data_centre"], peer["state"]) for peer in found["peers"]
    ]
    print_table(("node", "data centre", "state"), sorted(peers))
    print("\nBackend servers")
    backends = [
        (
            backend["service"],
            backend["id"],
            backend["data_centre"],
            "leaving" if backend["leaving"] else "live",
            f"{backend['in_flight']}/{backend['window']}",
            f"{backend['call_ms']:.1f}",
        )
        for backend in found["backends"]
    ]
    head = ("service", "server", "data centre", "state", "in flight", "call ms")
    print_table(head, sorted(backends))
    print("\nQueues")
    queues = [
        (queue["service"], queue["waiting"], queue["slots"], f"{queue['wait_ms']:.1f}")
        for queue in found["queues"]
    ]
    print_table(("service", "waiting", "slots", "wait ms"), sorted(queues))
    print("\nCounters")
    print_table(("counter", "count"), sorted(found["counters"].items()))
