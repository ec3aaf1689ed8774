"""Detects unreachable data centres from calls that timed out.

When a data centre is cut off, all servers and nodes in it stop answering at once. Each
call to one of them waits for its full timeout (0.15 to 0.4 s) and uses up an attempt.
If two different servers or nodes time out within a short time, the whole data centre is
suspected: others are then preferred until a server or node in it answers or the
suspicion expires.
"""

from collections.abc import Callable, Sequence

from eelgrass_coordination.ids import DataCentre

from .backends import Backend, ServerIncarnation

__all__ = ["DataCentreReachability"]

# Two timeouts within this time count as one event: a partition affects all servers at
# once, and a node calls into each data centre several times per second.
TIMEOUT_WINDOW_S = 1.5
# The first and the maximum duration of a suspicion; partitions last 4 s and more.
FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 4.0


class _DataCentreState:
    def __init__(self) -> None:
        self.timed_out_at_by_name: dict[str, float] = {}
        self.suspected_until = float("-inf")
        self.suspicion_s = FIRST_SUSPICION_S


class DataCentreReachability:
    """The reachability of the other data centres, seen from the data centre ``own``.

    ``on_timeout`` is called with the data centre of each call that timed out.
    """

    def __init__(self, own: DataCentre, clock: Callable[[], float]) -> None:
        self._own = own
        self._clock = clock
        self._state_by_data_centre: dict[str, _DataCentreState] = {}
        self.on_timeout: Callable[[str], None] = lambda data_centre: None

    def record_timeout(self, data_centre: str, name: str) -> None:
        """Record that a server or node in a data centre did not answer in time."""
        if data_centre == self._own:
            return
        state = self._state_by_data_centre.setdefault(data_centre, _DataCentreState())
        now = self._clock()
        state.timed_out_at_by_name[name] = now
        recent = [
            at
            for at in state.timed_out_at_by_name.values()
            if now - at < TIMEOUT_WINDOW_S
        ]
        # After a suspicion that expired without an answer, one timeout is enough.
        needed = 2 if state.suspicion_s == FIRST_SUSPICION_S else 1
        if len(recent) >= needed and state.suspected_until <= now:
            state.suspected_until = now + state.suspicion_s
            state.suspicion_s = min(MAX_SUSPICION_S, state.suspicion_s * 2)
        self.on_timeout(data_centre)

    def suspect(self, data_centre: str, for_s: float) -> None:
        """Suspect a data centre for ``for_s`` seconds, or until something answers."""
        state = self._state_by_data_centre.setdefault(data_centre, _DataCentreState())
        state.suspected_until = max(state.suspected_until, self._clock() + for_s)

    def record_answer(self, data_centre: str) -> None:
        """Record that a server or node in a data centre answered."""
        self._state_by_data_centre.pop(data_centre, None)

    def is_suspected(self, data_centre: str) -> bool:
        """Return whether a data centre is probably unreachable."""
        state = self._state_by_data_centre.get(data_centre)
        return state is not None and state.suspected_until > self._clock()

    def healthiest(
        self,
        servers: Sequence[Backend],
        tried: frozenset[ServerIncarnation] = frozenset(),
    ) -> Sequence[Backend]:
        """Return the healthiest servers, of which one is to be chosen.

        Preferred are servers that are untried, not suspected, and not in a suspected
        data centre. Failing that, a suspected server in a reachable data centre is
        better than one that probably cannot be reached at all.
        """
        now = self._clock()
        untried = [
            server for server in servers if server.entry.incarnation not in tried
        ]
        reachable = [s for s in untried if not self.is_suspected(s.entry.data_centre)]
        healthy = [server for server in reachable if server.suspect_until <= now]
        return healthy or reachable or untried or servers
