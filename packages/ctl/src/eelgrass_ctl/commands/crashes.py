"""``eelgrassctl crashes``: list or clear requests that servers crashed under."""

import asyncio

from ..crash_rows import RequestCrashes, clear_request, read_crashes
from ..exceptions import ExitCode
from ..output import format_time, print_list

__all__ = ["crashes"]

HEAD = ("request", "ended", "held", "last", "servers")
MS_PER_S = 1000


def crashes(store: str, *, clear: str = "", json: bool = False) -> int:
    """List requests under which servers crashed, those with most crashes first.

    The list also has the parts of prompts under which servers crashed. Nodes send a
    held request to no server until an hour after its last crash. If
    servers can run it by now, clear it: nodes then accept it again at once.

    :param store: the address of the platform's store
    :param clear: remove all crashes of the request or part with this fingerprint
    :param json: print JSON for scripts
    """
    if clear:
        cleared = asyncio.run(clear_request(store, clear))
        print(f"Removed {cleared} crashes of request {clear}.")
        return ExitCode.DONE
    print_list(asyncio.run(read_crashes(store)), HEAD, _row, json)
    return ExitCode.DONE


def _row(found: RequestCrashes) -> tuple:
    return (
        found.request,
        len(found.servers),
        "yes" if found.is_quarantined else "no",
        format_time(found.last_ms / MS_PER_S),
        " ".join(found.servers),
    )
