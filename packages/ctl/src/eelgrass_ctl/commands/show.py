"""``eelgrassctl show``: show configuration objects."""

from urllib.parse import quote

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json, print_yaml

__all__ = ["show"]


def show(
    kind: str,
    name: str = "",
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Show objects in the format in which ``apply`` accepts amendments.

    :param kind: templates, accounts or parameters
    :param name: show only this object; a parameter set is named account/template
    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    query = f"?name={quote(name, safe='')}" if name else ""
    found = call(target_of(node), f"objects/{kind}{query}")
    if json:
        print_json(found)
    elif found:
        print_yaml({"items": [_as_amendment(item) for item in found]})
    else:
        print(f"There is no {kind}/{name}." if name else f"There are no {kind}.")
    return ExitCode.DONE if found or not name else ExitCode.REFUSED


def _as_amendment(item: dict) -> dict:
    return {
        "kind": item["kind"],
        "name": item["name"],
        "action": "amend",
        "base_revision": item["revision"],
        "incarnation": item["incarnation"],
        "value": item["value"],
    }
