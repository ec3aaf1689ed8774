"""``eelgrassctl explain``: show the timeline of a request from log files."""

import sys
from collections.abc import Iterator
from pathlib import Path

from ..exceptions import ExitCode, LogUnreadable
from ..timeline import timeline_of

__all__ = ["explain"]


def explain(request_id: str, *logs: Path) -> int:
    """Print all log lines about a request, from all hosts and in order of time.

    :param request_id: the id that the caller sent
    :param logs: log files of the hosts; standard input if none is given
    """
    timeline = timeline_of(request_id, _lines(logs))
    if not timeline:
        print(f"No log line is about request {request_id}. Give the logs of all hosts.")
        return ExitCode.REFUSED
    for line in timeline:
        print(line.text(timeline[0].timestamp))
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
