"""The configuration in force, which only ever goes forward."""

import asyncio
from collections.abc import Callable

from ..exceptions import ConfigurationMalformed
from ..log import Part, log
from ..version.deployment import Deployment
from .store_tables import StoredRow

__all__ = ["DeploymentInForce"]

# A node hears from two others in a second, and more when there is news. One node alone
# that tells a wrong number is heard more seldom than this.
HEARD_FOR_S = 3.0


class DeploymentInForce:
    """Holds the newest configuration that was read, from wherever it came.

    ``raw`` is its text, for other nodes that cannot reach the store.
    ``on_advance`` is told the number of each one that comes into force.
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
        self._heard_number = -1
        self._heard_at = float("-inf")

    @property
    def number(self) -> int:
        """The number of the configuration in force; -1 before the first."""
        return -1 if self.current is None else self.current.number

    @property
    def superseded(self) -> bool:
        """Whether another node has told lately of a newer configuration.

        What the one in force does not know may be there then.
        """
        if self._heard_number <= self.number:
            return False
        return asyncio.get_running_loop().time() - self._heard_at <= HEARD_FOR_S

    def hear(self, number: int) -> None:
        """Note the number of the configuration that another node has."""
        if number > self.number:
            self._heard_number = number
            self._heard_at = asyncio.get_running_loop().time()

    def take_rows(self, rows: tuple[StoredRow, ...], source: str) -> None:
        """Take in rows of the operator's table; ``source`` says from where."""
        for row in rows:
            if row.key == self._key and row.value is not None:
                self.take(row.value, source)

    def take(self, raw: bytes, source: str) -> bool:
        """Take in a configuration; returns whether it is newer than the last."""
        try:
            deployment = self._decode(raw)
        except ConfigurationMalformed as error:
            log(Part.CONFIGURATION, "Not taken.", source=source, error=str(error))
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
