"""``eelgrassctl costs``: cost by stage."""

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json, print_table

__all__ = ["costs"]


def costs(
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Show what one node's requests have cost since it started.

    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), "costs")
    if json:
        print_json(found)
        return ExitCode.DONE
    rows = [
        (
            row["account"],
            row["pipeline"],
            row["stage"],
            row["requests"],
            row["attempts"],
            f"{row['useful_ms']:.1f}",
            f"{row['wasted_ms']:.1f}",
            row["tokens"],
            row["unreported"],
        )
        for row in found
    ]
    head = ("account", "pipeline", "stage", "requests", "attempts")
    print_table((*head, "useful ms", "wasted ms", "tokens", "unreported"), rows)
    return ExitCode.DONE
