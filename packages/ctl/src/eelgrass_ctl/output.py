"""Printing of results: tables or YAML for people, JSON for scripts."""

from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec
import yaml

__all__ = ["print_json", "print_list", "print_table", "print_yaml", "format_time"]


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_yaml(value: Any) -> None:
    """Print a value as YAML."""
    print(yaml.safe_dump(value, sort_keys=False), end="")


def print_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in aligned columns under a head; rows may have fewer cells."""
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    # The last cell of a shorter row may be a sentence and must not widen its column.
    full_lines = [line for line in lines if len(line) == len(head)]
    widths = [max(len(line[n]) for line in full_lines) for n in range(len(head))]
    widths[0] = max(len(line[0]) for line in lines)
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=False))
        print("  ".join(cells).rstrip())


def print_list(
    found: Sequence[Any],
    head: Sequence[str],
    row: Callable[[Any], Sequence[Any]],
    json: bool,
) -> None:
    """Print the results of a list command, as JSON or as a table."""
    if json:
        print_json(found)
    else:
        print_table(head, map(row, found))


def format_time(timestamp: float) -> str:
    """Return a time in seconds since 1970 (Unix time) in ISO 8601 format."""
    return datetime.fromtimestamp(timestamp, UTC).isoformat("T", "seconds")
