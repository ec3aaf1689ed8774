"""``eelgrassctl claims``: keyed requests that have no end yet."""

from datetime import UTC, datetime

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json, print_table

__all__ = ["claims"]


def claims(
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """List keyed requests that run or whose outcome is unknown.

    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), "claims")
    if json:
        print_json(found)
        return ExitCode.DONE
    rows = [
        (
            claim["account"],
            claim["pipeline"],
            claim["key"],
            claim["state"],
            claim["owner"],
            datetime.fromtimestamp(claim["deadline_at"], UTC).isoformat("T", "seconds"),
            claim["note"],
        )
        for claim in found
    ]
    head = ("account", "pipeline", "key", "state", "node", "deadline", "note")
    print_table(head, rows)
    return ExitCode.DONE
