"""``eelgrassctl costs``: show the costs of stages."""

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_list

__all__ = ["costs"]

HEAD = (
    "account",
    "pipeline",
    "stage",
    "requests",
    "attempts",
    "useful ms",
    "wasted ms",
    "tokens",
    "unreported",
)


def costs(
    *,
    all: bool = False,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Show the costs of stages: of one node since its start, or all stored costs.

    :param all: sum up the stored costs of all nodes, including stopped ones
    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), "costs?of=all" if all else "costs")
    print_list(found, HEAD, _row, json)
    return ExitCode.DONE


def _row(cost: dict) -> tuple:
    return (
        cost["account"],
        cost["pipeline"],
        cost["stage"],
        cost["requests"],
        cost["attempts"],
        f"{cost['useful_ms']:.1f}",
        f"{cost['wasted_ms']:.1f}",
        cost["tokens"],
        cost["unreported"],
    )
