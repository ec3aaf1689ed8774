"""``eelgrassctl claims``: list keyed requests without a final outcome."""

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import format_time, print_list

__all__ = ["claims"]

HEAD = ("account", "pipeline", "key", "state", "node", "deadline", "note")


def claims(
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """List keyed requests that are running or whose outcome is unknown.

    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), "claims")
    print_list(found, HEAD, _row, json)
    return ExitCode.DONE


def _row(claim: dict) -> tuple:
    return (
        claim["account"],
        claim["pipeline"],
        claim["key"],
        claim["state"],
        claim["owner"],
        format_time(claim["deadline_at"]),
        claim["note"],
    )
