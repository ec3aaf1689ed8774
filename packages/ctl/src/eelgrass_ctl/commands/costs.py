"""``eelgrassctl costs``: cost by stage."""

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json, print_table

__all__ = ["costs"]


def costs(
    *,
    all: bool = False,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Show cost by stage: of one node since it started, or of all that is stored.

    :param all: add up what all nodes have stored, also those that are gone
    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), "costs?of=all" if all else "costs")
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
