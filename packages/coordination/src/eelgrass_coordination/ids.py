"""Identifier types shared by every package."""

import secrets
from typing import NewType

__all__ = [
    "AccountName",
    "AttemptId",
    "BackendId",
    "ChangeId",
    "ClaimId",
    "DataCentre",
    "Incarnation",
    "NodeId",
    "Revision",
    "SoftwareVersion",
    "new_id",
]

NodeId = NewType("NodeId", str)
Incarnation = NewType("Incarnation", str)
DataCentre = NewType("DataCentre", str)
BackendId = NewType("BackendId", str)
AccountName = NewType("AccountName", str)
AttemptId = NewType("AttemptId", str)
ClaimId = NewType("ClaimId", str)
ChangeId = NewType("ChangeId", str)
Revision = NewType("Revision", int)
SoftwareVersion = NewType("SoftwareVersion", str)

_RANDOM_BYTES = 12


def new_id(prefix: str) -> str:
    """Return a new identifier such as ``attempt-5f0c…`` (96 random bits)."""
    return f"{prefix}-{secrets.token_hex(_RANDOM_BYTES)}"
