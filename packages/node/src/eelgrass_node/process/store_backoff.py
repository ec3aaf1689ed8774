"""How soon a node asks the store again, worked out from what is promised of changes.

The pattern it answers: the store turns nodes away, falls silent or forgets its
history, and changes are made meanwhile. A node notices the store's return only by
asking. What passes until then is a sum: a call that is under way at the return and
gets no answer, then the pause before the next one. The longest pause is therefore what
the longest call leaves of the promise, and no figure of its own. A shorter promise
costs more calls in an outage.
"""

import random

__all__ = [
    "FIRST_DELAY_S",
    "StoreBackoff",
    "FULL_READ_RESPONSE_TIMEOUT_S",
    "RESPONSE_TIMEOUT_S",
]

# A call that asks for nothing but what there is must begin to be answered in this time;
# the store answers in 4 ms, and in 200 ms where it is slow. One that begins and then
# stops is longer by 0.4 s, which the pauses below do not count.
RESPONSE_TIMEOUT_S = 0.6
# The first part of a whole read: a node that starts reads two tables over one link.
FULL_READ_RESPONSE_TIMEOUT_S = 1.0
# After the first failure; short, since a call that waited for changes has already
# taken 1.6 s to be given up.
FIRST_DELAY_S = 0.3
# Kept back from the promise for the way of the change through the node.
PROCESSING_RESERVE = 0.1
# Pauses vary by this part downwards, so that nodes do not all come back together.
JITTER = 0.25


class StoreBackoff:
    """The pauses between tries of one table while the store does not answer.

    ``promised_s`` is the time within which a change must be in force, in seconds.
    """

    def __init__(self, deadline_s: float) -> None:
        left_s = deadline_s * (1 - PROCESSING_RESERVE) - FULL_READ_RESPONSE_TIMEOUT_S
        self.max_delay_s = max(FIRST_DELAY_S, left_s)
        self._next_s = FIRST_DELAY_S

    def reset(self) -> None:
        """Note that the store has answered."""
        self._next_s = FIRST_DELAY_S

    def next_delay_s(self) -> float:
        """Return how long to wait before the next try; grows with each call."""
        pause_s = self._next_s * random.uniform(1 - JITTER, 1)
        self._next_s = min(self.max_delay_s, self._next_s * 2)
        return pause_s
