"""``eelgrassctl apply``: submit a configuration change."""

import getpass
from pathlib import Path
from typing import Any

import msgspec
import yaml

from eelgrass_coordination.ids import new_id

from ..client import call, target_of
from ..exceptions import ChangeFileError, ExitCode
from ..output import print_json

__all__ = ["apply"]

OUTCOME_CODES = {
    "accepted": ExitCode.DONE,
    "refused": ExitCode.REFUSED,
    "unknown": ExitCode.UNKNOWN,
}


class _Item(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    name: str
    action: str
    base_revision: int = 0
    incarnation: int = 0
    value: Any = None


class _ChangeFile(msgspec.Struct, forbid_unknown_fields=True):
    items: list[_Item]
    change_id: str = ""


def apply(
    file: Path,
    *,
    change_id: str = "",
    author: str = "",
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Submit the change in a file; it takes effect completely or is refused.

    If the answer was lost, submit the change again with the same change id to learn
    its outcome; it takes effect only once.

    :param file: a YAML file with ``items``; see the operator's page
    :param change_id: your own id for the change
    :param author: who makes the change; your user name by default
    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    change_file = _read_file(file)
    chosen_id = change_id or change_file.change_id or new_id("change")
    message = {
        "change_id": chosen_id,
        "author": author or getpass.getuser(),
        "items": [_to_message(item) for item in change_file.items],
    }
    report = call(target_of(node), "changes", message)
    if json:
        print_json({"change_id": chosen_id, **report})
    else:
        _print_report(chosen_id, report)
    code = OUTCOME_CODES[report["result"]["outcome"]]
    if code is ExitCode.DONE and report["not_yet"]:
        return ExitCode.NOT_EVERYWHERE
    return code


def _read_file(file: Path) -> _ChangeFile:
    try:
        return msgspec.convert(yaml.safe_load(file.read_text()), _ChangeFile)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise ChangeFileError(str(file), str(error)) from error


def _to_message(item: _Item) -> dict[str, Any]:
    return {
        "kind": item.kind,
        "name": item.name,
        "action": item.action,
        "base_revision": item.base_revision,
        "value": item.value,
    }


def _print_report(change_id: str, report: dict[str, Any]) -> None:
    result = report["result"]
    print(f"Change {change_id}: {result['outcome']}.")
    if result["outcome"] == "accepted":
        print(f"Revision {result['revision']} is in force on {len(report['in_force'])}")
        print(f"nodes: {', '.join(report['in_force'])}.")
    if report["not_yet"]:
        print(f"Not yet on: {', '.join(report['not_yet'])}.")
    for problem in result["problems"]:
        print(f"  {problem['field']}: {problem['reason']}.")
        print(f"    Remedy: {problem['remedy']}.")
    if result["outcome"] == "unknown":
        print(f"Ask 'eelgrassctl change {change_id}', or apply it again with that id.")
