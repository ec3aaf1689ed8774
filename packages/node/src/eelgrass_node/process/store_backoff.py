"""The backoff between calls to a store that does not answer.

The store may reject nodes, stop answering or drop its history while changes are being
made. A node detects the store's recovery only by calling it. In the worst case a call
that is in flight at the recovery gets no answer, and the backoff before the next call
follows it. The longest backoff is therefore the time within which a change must be in
force, minus a reserve for processing it and the timeout of the longest call. A shorter
deadline causes more calls during an outage.
"""

import random

__all__ = [
    "FIRST_DELAY_S",
    "StoreBackoff",
    "FULL_READ_RESPONSE_TIMEOUT_S",
    "RESPONSE_TIMEOUT_S",
]

# Time within which the answer to a call without a wait must begin. The store answers in
# 4 ms, or in 200 ms when it is slow. An answer that begins and then stops takes another
# 0.4 s to detect, for which the backoff below makes no allowance.
RESPONSE_TIMEOUT_S = 0.6
# The same for the first page of a full read: a node that starts reads two tables over
# one link.
FULL_READ_RESPONSE_TIMEOUT_S = 1.0
# The delay after the first failure. It is short because a call that waited for changes
# has already taken 1.6 s to time out.
FIRST_DELAY_S = 0.3
# The part of the deadline that is reserved for processing the change in the node.
PROCESSING_RESERVE = 0.1
# Delays are shortened at random by up to this part, so that nodes do not all retry at
# the same time.
JITTER = 0.25


class StoreBackoff:
    """The delays between calls for one table while the store does not answer.

    ``deadline_s`` is the time within which a change must be in force, in seconds.
    """

    def __init__(self, deadline_s: float) -> None:
        left_s = deadline_s * (1 - PROCESSING_RESERVE) - FULL_READ_RESPONSE_TIMEOUT_S
        self.max_delay_s = max(FIRST_DELAY_S, left_s)
        self._next_s = FIRST_DELAY_S

    def reset(self) -> None:
        """Start again with the shortest delay, after the store has answered."""
        self._next_s = FIRST_DELAY_S

    def next_delay_s(self) -> float:
        """Return how long to wait before the next call; the delay grows each time."""
        delay_s = self._next_s * random.uniform(1 - JITTER, 1)
        self._next_s = min(self.max_delay_s, self._next_s * 2)
        return delay_s
