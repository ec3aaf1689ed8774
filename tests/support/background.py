"""Runs a local deployment in a background thread, for tests whose steps block."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

from .local import LocalDeployment

CALL_TIMEOUT_S = 30.0


class BackgroundDeployment:
    """A :class:`LocalDeployment` whose event loop runs in a separate thread."""

    def __init__(self, **options: Any) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._options = options
        self.deployment: LocalDeployment | None = None

    def __enter__(self) -> "BackgroundDeployment":
        """Start the thread and the deployment."""
        self._thread.start()
        self.deployment = self.run(self._start())
        return self

    def __exit__(self, *exc: object) -> None:
        """Stop the deployment and the thread."""
        self.run(self.deployment.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, coroutine: Coroutine) -> Any:
        """Run a coroutine in the deployment's event loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT_S)

    async def _start(self) -> LocalDeployment:
        return await LocalDeployment(**self._options).__aenter__()
