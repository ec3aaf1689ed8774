"""Revisioned configuration: snapshots, and the changes that lead to the next one.

A snapshot is immutable and holds every object of one revision in encoded form.
Each entry records the revision that last changed the object and the revision that
created it (its incarnation). Revisions never repeat, so the incarnation
distinguishes two objects that had the same name at different times.
"""

from enum import Enum
from typing import Any

import msgspec

from .exceptions import SnapshotGap
from .ids import ChangeId, Revision

__all__ = [
    "Action",
    "Change",
    "ChangeItem",
    "Entry",
    "Problem",
    "Snapshot",
    "apply_change",
    "stale_items",
]


class Action(Enum):
    """What a change does to one object."""

    CREATE = "create"
    AMEND = "amend"
    DELETE = "delete"


class ChangeItem(msgspec.Struct, frozen=True):
    """The part of a change that concerns one object.

    ``base_revision`` is the object's revision that the change was prepared against,
    0 for a creation.
    """

    kind: str
    name: str
    action: Action
    base_revision: Revision = Revision(0)
    value: msgspec.Raw = msgspec.Raw(b"null")


class Change(msgspec.Struct, frozen=True):
    """Items that take effect together. ``at`` is in wall-clock seconds."""

    change_id: ChangeId
    author: str
    items: tuple[ChangeItem, ...]
    revision: Revision = Revision(0)
    at: float = 0.0


class Entry(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """One object of a snapshot, with its encoded value."""

    revision: Revision
    incarnation: Revision
    value: msgspec.Raw


class Snapshot(msgspec.Struct, frozen=True):
    """All objects of one revision, by kind and then by name."""

    revision: Revision
    by_kind: dict[str, dict[str, Entry]]

    def get(self, kind: str, name: str) -> Entry | None:
        """Return the entry of an object, or None."""
        return self.by_kind.get(kind, {}).get(name)


class Problem(msgspec.Struct, frozen=True):
    """Why a change is refused: the field, the reason and the remedy."""

    field: str
    reason: str
    remedy: str


EMPTY = Snapshot(Revision(0), {})


def apply_change(snapshot: Snapshot, change: Change) -> Snapshot:
    """Return the snapshot that results from applying ``change`` to ``snapshot``.

    Raises :class:`SnapshotGap` unless the change is the next revision.
    """
    if change.revision != snapshot.revision + 1:
        raise SnapshotGap(snapshot.revision, change.revision)
    by_kind = dict(snapshot.by_kind)
    for kind in {item.kind for item in change.items}:
        by_kind[kind] = dict(by_kind.get(kind, {}))
    for item in change.items:
        _apply_item(by_kind[item.kind], item, change.revision)
    return Snapshot(change.revision, by_kind)


def _apply_item(by_name: dict[str, Entry], item: ChangeItem, revision: Revision):
    if item.action is Action.DELETE:
        by_name.pop(item.name, None)
        return
    old = by_name.get(item.name)
    incarnation = old.incarnation if old is not None else revision
    # Copied: a slice of a larger message would keep that message in memory.
    value = msgspec.Raw(bytes(item.value))
    by_name[item.name] = Entry(revision, incarnation, value)


def stale_items(snapshot: Snapshot, change: Change) -> list[Problem]:
    """Return a problem for each item that was prepared against another state.

    This detects both a lost update between two teams and a change that was
    prepared against an object that has since been deleted and recreated.
    """
    return [
        problem
        for item in change.items
        if (problem := _stale_problem(snapshot.get(item.kind, item.name), item))
    ]


def _stale_problem(entry: Entry | None, item: ChangeItem) -> Problem | None:
    field = f"{item.kind}/{item.name}"
    if item.action is Action.CREATE:
        if entry is None:
            return None
        return Problem(
            field, "it exists already", "show it and submit an amendment instead"
        )
    if entry is None:
        return Problem(field, "it does not exist", "submit it as a new object instead")
    if entry.revision != item.base_revision:
        return Problem(
            field,
            f"it was changed at revision {entry.revision}, after the revision "
            f"{item.base_revision} that this change was prepared against",
            "show it again and prepare the change anew",
        )
    return None


def encode_value(value: Any) -> msgspec.Raw:
    """Encode an object's value for a change item."""
    return msgspec.Raw(msgspec.json.encode(value))
