"""A manual clock, which advances only when a test sets it."""

__all__ = ["Clock"]


class Clock:
    """Returns ``now``, in seconds, when called."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def __call__(self) -> float:
        """Return the time that the test has set."""
        return self.now
