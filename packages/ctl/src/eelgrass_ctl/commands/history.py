"""``eelgrassctl history``: the latest changes."""

from datetime import UTC, datetime

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json, print_table

__all__ = ["history"]


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
    if json:
        print_json(found)
        return ExitCode.DONE
    rows = [
        (
            change["revision"],
            datetime.fromtimestamp(change["at"], UTC).isoformat("T", "seconds"),
            change["author"],
            change["change_id"],
            ", ".join(
                f"{i['action']} {i['kind']}/{i['name']}" for i in change["items"]
            ),
        )
        for change in found
    ]
    print_table(("revision", "at", "author", "change", "items"), rows)
    return ExitCode.DONE


def _described(item: dict) -> str:
    return f"{item['action']} {item['kind']}/{item['name']}"
