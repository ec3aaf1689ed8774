"""Coordination parts of a serving system, for embedding in other programs.

Nothing here starts a process or needs a running daemon. What has to be agreed
or kept goes through a transactional table service (:class:`Table`).
"""

from .bounded_call import bounded_call, send_allowance_s
from .change_log import ChangeLog, ChangeOutcome, ChangeResult
from .claims import Acquisition, Claim, Claims, ClaimState
from .configuration import Action, Change, ChangeItem, Entry, Problem, Snapshot
from .follower import Follower
from .group_commit import GroupCommit
from .http_objects import HttpObjects
from .http_table import HttpTable
from .limits import MovingAverage, RetryBudget, share_of_limit
from .members import Member, MemberState
from .membership import Membership
from .messages import Exchange, GossipItem
from .rendezvous import ranked
from .running_time import (
    StallAwareTimeout,
    deadline_timeout,
    running_time,
    stall_aware_sleep,
    stall_aware_wait,
)
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
    "StallAwareTimeout",
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
    "Acquisition",
    "HttpObjects",
    "HttpTable",
    "GossipItem",
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
    "stall_aware_sleep",
    "running_time",
    "stall_aware_wait",
    "bounded_call",
    "deadline_timeout",
    "ranked",
    "send_allowance_s",
    "share_of_limit",
]
