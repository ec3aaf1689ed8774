"""Coordination for a serving system, as a library for other programs.

Nothing here starts a process or needs a running daemon. State that has to be agreed
on or stored goes through a transactional table service (:class:`Table`).
"""

from .bounded_call import bounded_call, send_allowance_s
from .change_log import ChangeLog, ChangeOutcome, ChangeResult
from .claims import Acquisition, Claim, Claims, ClaimState
from .configuration import Action, Change, ChangeItem, Entry, Problem, Snapshot
from .follower import Follower
from .group_commit import GroupCommit
from .http_objects import HttpObjects
from .http_table import HttpTable
from .json_decoding import JsonDecoder, decode_json
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
    "Acquisition",
    "Action",
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
    "GossipItem",
    "GroupCommit",
    "HttpObjects",
    "HttpTable",
    "JsonDecoder",
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
    "StallAwareTimeout",
    "Table",
    "Transaction",
    "TransactionResult",
    "Write",
    "bounded_call",
    "deadline_timeout",
    "decode_json",
    "ranked",
    "running_time",
    "send_allowance_s",
    "share_of_limit",
    "stall_aware_sleep",
    "stall_aware_wait",
]
