"""The configuration in force, which is only ever replaced by a newer one."""

import asyncio
from collections import deque
from collections.abc import Callable

from ..exceptions import ConfigurationMalformed
from ..log import Part, log
from ..version.deployment import Deployment
from .store_tables import StoredRow

__all__ = ["DeploymentInForce"]

# A newer configuration that does not arrive within this time after its announcement may
# never arrive: only a newer release can read it, or a faulty node announced its number.
ANNOUNCEMENT_TIMEOUT_S = 10.0
# How many announced numbers that never arrived are remembered.
MAX_EXPIRED_NUMBERS = 16


class DeploymentInForce:
    """Holds the newest configuration received from the store or another node.

    ``raw`` is its encoded form, for other nodes that cannot reach the store.
    ``on_advance`` is called with the number of each configuration that comes into
    force.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], Deployment],
        on_advance: Callable[[int], None],
    ) -> None:
        self._key = key
        self._decode = decode
        self._on_advance = on_advance
        self.current: Deployment | None = None
        self.raw = b""
        self.since = 0.0
        self._announced_number = -1
        self._announced_at = float("-inf")
        self._expired_numbers: deque[int] = deque(maxlen=MAX_EXPIRED_NUMBERS)

    @property
    def number(self) -> int:
        """The number of the configuration in force; -1 before the first."""
        return -1 if self.current is None else self.current.number

    @property
    def superseded(self) -> bool:
        """Whether another node has announced a newer configuration that is awaited.

        It may define objects that the configuration in force lacks, such as a route.
        """
        return self._announced_number > self.number and not self._has_expired()

    def on_number_announced(self, number: int) -> None:
        """Record the number of the configuration that another node has."""
        if self._announced_number >= 0 and self._has_expired():
            # An expired number must not hide lower numbers that do arrive.
            self._expired_numbers.append(self._announced_number)
            self._announced_number = -1
        if number in self._expired_numbers:
            return
        if number > max(self.number, self._announced_number):
            self._announced_number = number
            self._announced_at = asyncio.get_running_loop().time()

    def _has_expired(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._announced_at > ANNOUNCEMENT_TIMEOUT_S

    def apply_rows(self, rows: tuple[StoredRow, ...], source: str) -> None:
        """Apply rows of the operator's table; ``source`` is for the log."""
        for row in rows:
            if row.key == self._key and row.value is not None:
                self.apply(row.value, source)

    def apply(self, raw: bytes, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        try:
            deployment = self._decode(raw)
        except ConfigurationMalformed as error:
            log(
                Part.CONFIGURATION,
                "A configuration was rejected as malformed.",
                source=source,
                error=str(error),
            )
            return False
        if deployment.number <= self.number:
            return False
        self.current = deployment
        self.raw = raw
        self.since = asyncio.get_running_loop().time()
        log(
            Part.CONFIGURATION,
            "A version is in force.",
            version=deployment.number,
            source=source,
        )
        self._on_advance(deployment.number)
        return True
