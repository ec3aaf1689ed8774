"""Keeps to the request limits that servers name, over all nodes together."""

from .admission import LimitAdmission
from .named_limits import NamedLimit, NamedLimits
from .permits import LimitPermit, LimitPermitRequest, LimitPermits
from .rates import PermitRate, permit_rate
from .request_limits import RequestLimits

__all__ = [
    "LimitAdmission",
    "LimitPermit",
    "LimitPermitRequest",
    "LimitPermits",
    "NamedLimit",
    "NamedLimits",
    "PermitRate",
    "RequestLimits",
    "permit_rate",
]
