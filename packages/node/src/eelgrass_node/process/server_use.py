"""What a queue of pieces has at one server: calls in flight, results held."""

from eelgrass_coordination import MovingAverage

__all__ = ["ServerUse"]

# Weight of the newest call in a server's slowness: it settles in a few calls,
# and a call takes a fifth of a second.
SLOWNESS_WEIGHT = 0.3
# How long a server's word on its free memory counts; the next call changes it.
TOLD_ROOM_S = 0.05


class ServerUse:
    """The use of one server by one queue; times are in seconds.

    Until ``doubted_until`` the server may hold results that this node does not
    know of, such as those of an owner of the queue before it, and is asked for
    its free memory before a call.
    """

    def __init__(self, doubted_until: float) -> None:
        self.calls = 0
        self.free_at = 0.0
        self.slowness = MovingAverage(1.0, SLOWNESS_WEIGHT)
        self.doubted_until = doubted_until
        self.asking = False
        self._told_room = 0.0
        self._told_at = float("-inf")
        self._bytes_by_handle: dict[str, tuple[float, int]] = {}

    def hold(self, handle: str, size: int, until: float) -> None:
        """Note a result that takes up memory until it is freed or expires."""
        self._bytes_by_handle[handle] = (until, size)

    def free(self, handle: str) -> None:
        """Note that a result was freed."""
        self._bytes_by_handle.pop(handle, None)

    def held_bytes(self, now: float) -> int:
        """Return how much memory results take up that this node knows of."""
        expired = [h for h, (until, _) in self._bytes_by_handle.items() if until <= now]
        for handle in expired:
            del self._bytes_by_handle[handle]
        return sum(size for _, size in self._bytes_by_handle.values())

    def tell_room(self, room: float, now: float) -> None:
        """Take in how much memory the server says is free."""
        self._told_room = room
        self._told_at = now

    def needs_asking(self, now: float) -> bool:
        """Return whether the server's free memory has to be asked for."""
        return now < self.doubted_until and now - self._told_at > TOLD_ROOM_S

    def room(self, memory: float, now: float) -> float:
        """Return the memory free for results, of ``memory`` in all."""
        room = memory - self.held_bytes(now)
        if now < self.doubted_until:
            return min(room, self._told_room)
        return room
