"""Slows processes down, as on a host that has only a part of a processor."""

import os
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["slowed"]


@contextmanager
def slowed(pids: list[int], run_s: float, period_s: float) -> Iterator[None]:
    """Let processes run for ``run_s`` of each ``period_s`` inside the context."""
    ended = threading.Event()

    def send(number: signal.Signals) -> None:
        for pid in pids:
            os.kill(pid, number)

    def alternate() -> None:
        while not ended.is_set():
            send(signal.SIGSTOP)
            time.sleep(period_s - run_s)
            send(signal.SIGCONT)
            time.sleep(run_s)

    thread = threading.Thread(target=alternate)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()
