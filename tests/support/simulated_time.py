"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

__all__ = ["in_simulated_time", "run_in_simulated_time"]

T = TypeVar("T")


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer when idle; for code without sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0

    def time(self) -> float:
        """Return the simulated seconds since the loop was created."""
        return self._now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


def run_in_simulated_time(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to completion in simulated time."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        return runner.run(main)


def in_simulated_time(
    test: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Make a test function of a coroutine function, run in simulated time."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        run_in_simulated_time(test(*args, **kwargs))

    return run
