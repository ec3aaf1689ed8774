"""Cold servers: how much new work they get until they are warm.

A server that has just started bears few new requests a second, and ends under many
more. The bound holds for all nodes together. Used by whatever sends requests to
servers.
"""

from .admission import WarmUpAdmission
from .permits import Permit, WarmUpPermits
from .rate_limit import RateLimiter, WarmUpBounds, WarmUpRates, permitted_per_s
from .warm_up import WarmUp

__all__ = [
    "RateLimiter",
    "Permit",
    "WarmUp",
    "WarmUpAdmission",
    "WarmUpBounds",
    "WarmUpPermits",
    "WarmUpRates",
    "permitted_per_s",
]
