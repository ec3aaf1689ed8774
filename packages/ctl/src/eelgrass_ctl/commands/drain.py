"""``eelgrassctl drain``: stop a node gracefully."""

from ..client import call, target_of
from ..exceptions import ExitCode

__all__ = ["drain"]


def drain(node: str) -> int:
    """Start the planned stop of one node; it finishes its requests in flight.

    :param node: internal address of the node to stop
    """
    answer = call(target_of([node]), "drain", {})
    print(f"{node} is stopping with {answer['in_flight']} requests in flight.")
    return ExitCode.DONE
