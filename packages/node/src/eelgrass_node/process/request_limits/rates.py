"""How many permits per second one node issues for a server that names a limit."""

import msgspec

from ..rate_limiter import permitted_per_s

__all__ = ["TRIAL_PER_S", "PermitRate", "permit_rate"]

# A server may get this many times its limit, and some requests more, in any window of
# so many seconds; this bounds what two owners issue that do not know of each other.
WINDOW_S = 4.0
MAX_RATIO = 1.5
SLACK = 5.0
# Permits that may be issued at once after a pause, in seconds of the limit: a permit is
# asked for when a request comes, somewhat later than it became available.
CARRY_S = 0.1
# The rate at which a server is tried that takes fewer requests, or none at all. Only an
# answer tells that its limit has ended.
TRIAL_PER_S = permitted_per_s(SLACK, WINDOW_S)


class PermitRate(msgspec.Struct, frozen=True):
    """Permits per second, of which ``burst`` may be issued at once."""

    per_s: float
    burst: float = 1.0


def permit_rate(limit_per_s: float) -> PermitRate:
    """Return the rate for a server that names a limit, in requests per second."""
    burst = 1.0 + CARRY_S * limit_per_s
    max_requests = MAX_RATIO * limit_per_s * WINDOW_S + SLACK
    per_s = min(limit_per_s, permitted_per_s(max_requests, WINDOW_S, burst))
    return PermitRate(max(TRIAL_PER_S, per_s), burst)
