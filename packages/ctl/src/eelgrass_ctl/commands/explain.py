"""``eelgrassctl explain``: one request's story from log files."""

import sys
from collections.abc import Iterator
from pathlib import Path

from ..exceptions import ExitCode, LogUnreadable
from ..timeline import timeline_of

__all__ = ["explain"]


def explain(request_id: str, *logs: Path) -> int:
    """Print all that the logs tell of a request, across hosts and in order.

    :param request_id: the id that the caller sent
    :param logs: log files of the hosts; standard input where none is given
    """
    story = timeline_of(request_id, _lines(logs))
    if not story:
        print(f"No line tells of request {request_id}. Give the logs of all hosts.")
        return ExitCode.REFUSED
    for line in story:
        print(line.text(story[0].timestamp))
    return ExitCode.DONE


def _lines(logs: tuple[Path, ...]) -> Iterator[str]:
    if not logs:
        yield from sys.stdin
    for log in logs:
        try:
            with log.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise LogUnreadable(str(log), str(error)) from error
