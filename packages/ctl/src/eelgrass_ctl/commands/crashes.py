"""``eelgrassctl crashes``: requests under which servers have ended."""

import asyncio

from ..crash_rows import RequestCrashes, clear_request, read_crashes
from ..exceptions import ExitCode
from ..output import format_time, print_list

__all__ = ["crashes"]

HEAD = ("request", "ended", "held", "last", "servers")
MS_PER_S = 1000


def crashes(store: str, *, clear: str = "", json: bool = False) -> int:
    """Show the requests under which servers have ended, those with most ends first.

    A held request is sent to no server until an hour after the last end. Clear it where
    the servers can run it by now: nodes let it in again at once.

    :param store: the address of the platform's store
    :param clear: forget all ends under the request with this fingerprint
    :param json: print JSON for scripts
    """
    if clear:
        cleared = asyncio.run(clear_request(store, clear))
        print(f"{cleared} ends under request {clear} are forgotten.")
        return ExitCode.DONE
    print_list(asyncio.run(read_crashes(store)), HEAD, _row, json)
    return ExitCode.DONE


def _row(ends: RequestCrashes) -> tuple:
    return (
        ends.request,
        len(ends.servers),
        "yes" if ends.is_quarantined else "no",
        format_time(ends.last_ms / MS_PER_S),
        " ".join(ends.servers),
    )
