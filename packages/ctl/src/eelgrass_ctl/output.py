"""How commands print: for people by default, as JSON for scripts."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import yaml

__all__ = ["print_json", "print_table", "print_yaml"]


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_yaml(value: Any) -> None:
    """Print a value as YAML."""
    print(yaml.safe_dump(value, sort_keys=False), end="")


def print_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in aligned columns under a head."""
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(head))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())
