"""What a check of a server's address has found."""

from enum import Enum

__all__ = ["Listening"]


class Listening(Enum):
    """Whether anything listens at an address."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
