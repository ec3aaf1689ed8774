"""Coordination parts of a serving system, for embedding in other programs.

Nothing here starts a process or needs a running daemon. What has to be agreed
or kept goes through a transactional table service (:class:`Table`).
"""

from .awake_time import (
    AwakeTimeout,
    awake_sleep,
    awake_time,
    awake_wait,
    deadline_timeout,
)
from .bounded_call import bounded_call, sending_s
from .change_log import ChangeLog, ChangeOutcome, ChangeResult
from .claims import Claim, Claims, ClaimState, Held
from .configuration import Action, Change, ChangeItem, Entry, Problem, Snapshot
from .follower import Follower
from .group_commit import GroupCommit
from .http_objects import HttpObjects
from .http_table import HttpTable
from .limits import MovingAverage, RetryBudget, share_of_limit
from .members import Member, MemberState
from .membership import Membership
from .messages import Exchange, Mark
from .rendezvous import ranked
from .snapshots import ObjectStore, SnapshotStore
from .table import (
    Condition,
    Row,
    RowKey,
    Table,
    Transaction,
    TransactionResult,
    Write,
)

__all__ = [
    "Action",
    "AwakeTimeout",
    "Change",
    "ChangeItem",
    "ChangeLog",
    "ChangeOutcome",
    "ChangeResult",
    "Claim",
    "ClaimState",
    "Claims",
    "Condition",
    "Entry",
    "Exchange",
    "Follower",
    "GroupCommit",
    "Held",
    "HttpObjects",
    "HttpTable",
    "Mark",
    "Member",
    "MemberState",
    "Membership",
    "MovingAverage",
    "ObjectStore",
    "Problem",
    "RetryBudget",
    "Row",
    "RowKey",
    "Snapshot",
    "SnapshotStore",
    "Table",
    "Transaction",
    "TransactionResult",
    "Write",
    "awake_sleep",
    "awake_time",
    "awake_wait",
    "bounded_call",
    "deadline_timeout",
    "ranked",
    "sending_s",
    "share_of_limit",
]
