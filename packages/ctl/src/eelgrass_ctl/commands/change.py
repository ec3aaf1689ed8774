"""``eelgrassctl change``: show the outcome of a change."""

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json

__all__ = ["change"]


def change(
    change_id: str,
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Show whether a change was accepted, and at which revision.

    :param change_id: the id that ``apply`` printed
    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    found = call(target_of(node), f"changes/{change_id}")
    if json:
        print_json(found)
    elif found["revision"] is None:
        print(f"Change {change_id} has not taken effect.")
    else:
        print(f"Change {change_id} was accepted as revision {found['revision']}.")
    return ExitCode.DONE if found["revision"] is not None else ExitCode.REFUSED
