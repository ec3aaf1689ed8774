"""Budgets of repeats that all nodes share, by service.

In any window, repeats over all nodes may make up a ratio of the requests plus a
slack. A node takes the ratio of its own requests and its share of the slack, so
that the sum over the nodes keeps the limit without a word between them
(:mod:`.budget_shares` says among how many).
"""

from collections import deque
from collections.abc import Callable

from ..log import Part, log

__all__ = ["RetryWindows"]

# The part of the allowance that is used. Windows slide, and a repeat counts
# when it arrives, later than it is counted here.
USED_FRACTION = 0.8
# The part of the slack that the owner of a queue takes: while data centres are
# cut off from each other, each of three may have an owner.
OWNER_SHARE = 1 / 3


class RetryWindows:
    """The budgets of one node; times are of ``clock``, in seconds.

    ``sharing_nodes`` is among how many nodes the slack is shared, None while that is
    not known: then none of it is used. A node takes an equal share, or ``OWNER_SHARE``
    of all for services whose calls nearly all come from one node, the owner of their
    queue.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, clock: Callable[[], float]
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._clock = clock
        self._started_at = clock()
        self._by_service: dict[str, _Window] = {}
        self.sharing_nodes: int | None = None

    def note_request(self, service: str, count: int = 1) -> None:
        """Count first calls to a service."""
        self._window(service).requests.append((self._clock(), count))

    def try_spend(self, service: str, request_id: str, owner: bool = False) -> bool:
        """Take a repeat from the budget; False where it is used up.

        ``owner`` says that this node makes nearly all calls to the service.
        """
        window = self._window(service)
        now = self._clock()
        requests = _sum_since(window.requests, now - self._window_s)
        repeats = _sum_since(window.repeats, now - self._window_s)
        slack = self._slack * self._share(owner)
        allowed = (self._ratio * requests + slack) * USED_FRACTION
        granted = repeats + 1 <= allowed
        if granted:
            window.repeats.append((now, 1))
        log(
            Part.REQUESTS,
            "A retry is allowed." if granted else "The retry budget is spent.",
            id=request_id,
            service=service,
            requests=requests,
            repeats=repeats,
            allowed=round(allowed, 2),
            nodes=self.sharing_nodes,
            up_s=round(now - self._started_at, 2),
        )
        return granted

    def _share(self, owner: bool) -> float:
        """Return the part of the slack that this node may use."""
        if self.sharing_nodes is None:
            return 0.0
        return OWNER_SHARE if owner else 1.0 / self.sharing_nodes

    def _window(self, service: str) -> "_Window":
        window = self._by_service.get(service)
        if window is None:
            window = self._by_service[service] = _Window()
        return window


class _Window:
    def __init__(self) -> None:
        self.requests: deque[tuple[float, int]] = deque()
        self.repeats: deque[tuple[float, int]] = deque()


def _sum_since(entries: deque[tuple[float, int]], since: float) -> int:
    while entries and entries[0][0] < since:
        entries.popleft()
    return sum(count for _, count in entries)
