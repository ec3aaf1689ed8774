"""The commands of ``eelgrassctl``, one module each."""

from .apply import apply
from .change import change
from .check import check
from .claims import claims
from .costs import costs
from .crashes import crashes
from .drain import drain
from .explain import explain
from .history import history
from .hosts import hosts
from .resolve import resolve
from .show import show
from .status import status

__all__ = [
    "apply",
    "change",
    "check",
    "claims",
    "costs",
    "crashes",
    "drain",
    "explain",
    "history",
    "hosts",
    "resolve",
    "show",
    "status",
]
