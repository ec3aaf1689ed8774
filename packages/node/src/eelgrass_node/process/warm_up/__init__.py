"""Limits the rate of new requests to cold servers until they are warm.

A server that has just started can take only few new requests per second, and crashes
under many more. The limit applies to all nodes together.
"""

from ..rate_limiter import RateLimiter
from .admission import WarmUpAdmission
from .permits import Permit, WarmUpPermits
from .rate_limit import WarmUpBounds, WarmUpRates, permitted_per_s
from .warm_up import WarmUp

__all__ = [
    "Permit",
    "RateLimiter",
    "WarmUp",
    "WarmUpAdmission",
    "WarmUpBounds",
    "WarmUpPermits",
    "WarmUpRates",
    "permitted_per_s",
]
