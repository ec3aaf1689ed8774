"""Which other data centres are out of reach, told from calls that went silent.

The pattern it answers: when a data centre is cut off, every server and node in
it goes silent at once, and each call that finds that out for itself waits for
its whole bound (0.15 to 0.4 s) and uses up a try. Two different ones that go
silent within a short time put the whole data centre in doubt: others are then
chosen first, until something there answers or the doubt ends.
"""

from collections.abc import Callable, Sequence

from eelgrass_coordination.ids import DataCentre

from .backends import Backend, ServerIncarnation

__all__ = ["DataCentreReachability"]

# Two silences within this time belong together: a cut hits them all at once,
# and a node calls into each data centre several times a second.
TOGETHER_S = 1.5
# How long a doubt lasts, at first and at most; cuts last 4 s and more.
FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 4.0


class _Place:
    def __init__(self) -> None:
        self.silent_at_by_name: dict[str, float] = {}
        self.doubted_until = float("-inf")
        self.doubt_s = FIRST_SUSPICION_S


class DataCentreReachability:
    """What one node, in the data centre ``own``, believes of the others.

    ``on_silent`` is told of each data centre in which a call went silent.
    """

    def __init__(self, own: DataCentre, clock: Callable[[], float]) -> None:
        self._own = own
        self._clock = clock
        self._by_data_centre: dict[str, _Place] = {}
        self.on_timeout: Callable[[str], None] = lambda data_centre: None

    def record_timeout(self, data_centre: str, name: str) -> None:
        """Note that a server or node there did not answer in time."""
        if data_centre == self._own:
            return
        place = self._by_data_centre.setdefault(data_centre, _Place())
        now = self._clock()
        place.silent_at_by_name[name] = now
        recent = [
            at for at in place.silent_at_by_name.values() if now - at < TOGETHER_S
        ]
        # After a doubt that no answer has ended, one silence is enough.
        needed = 2 if place.doubt_s == FIRST_SUSPICION_S else 1
        if len(recent) >= needed and place.doubted_until <= now:
            place.doubted_until = now + place.doubt_s
            place.doubt_s = min(MAX_SUSPICION_S, place.doubt_s * 2)
        self.on_timeout(data_centre)

    def suspect(self, data_centre: str, for_s: float) -> None:
        """Doubt a data centre for so long, unless something there answers."""
        place = self._by_data_centre.setdefault(data_centre, _Place())
        place.doubted_until = max(place.doubted_until, self._clock() + for_s)

    def record_answer(self, data_centre: str) -> None:
        """Note that a server or node there answered."""
        self._by_data_centre.pop(data_centre, None)

    def is_suspected(self, data_centre: str) -> bool:
        """Return whether a data centre is probably out of reach."""
        place = self._by_data_centre.get(data_centre)
        return place is not None and place.doubted_until > self._clock()

    def healthiest(
        self,
        servers: Sequence[Backend],
        tried: frozenset[ServerIncarnation] = frozenset(),
    ) -> Sequence[Backend]:
        """Return the servers to choose from, the most trusted there are.

        Those are untried, unsuspected and not in a data centre that is in
        doubt. Failing that, one that failed once but is within reach is better
        than one that probably cannot be reached at all.
        """
        now = self._clock()
        untried = [
            server for server in servers if server.entry.incarnation not in tried
        ]
        in_reach = [s for s in untried if not self.is_suspected(s.entry.data_centre)]
        trusted = [server for server in in_reach if server.suspect_until <= now]
        return trusted or in_reach or untried or servers
