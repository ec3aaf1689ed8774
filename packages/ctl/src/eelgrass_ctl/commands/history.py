"""``eelgrassctl history``: list the latest changes."""

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import format_time, print_list

__all__ = ["history"]

HEAD = ("revision", "at", "author", "change", "items")


def history(
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """List the latest accepted changes, oldest first.

    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), "history")
    print_list(found, HEAD, _row, json)
    return ExitCode.DONE


def _row(change: dict) -> tuple:
    return (
        change["revision"],
        format_time(change["at"]),
        change["author"],
        change["change_id"],
        ", ".join(map(_describe, change["items"])),
    )


def _describe(item: dict) -> str:
    return f"{item['action']} {item['kind']}/{item['name']}"
