"""A table whose answers can be lost and whose writes can take effect late."""

import asyncio

from eelgrass_coordination.exceptions import OutcomeUnknown, PlatformUnavailable
from eelgrass_standins.platform import TableStandIn


class UnreliableTable(TableStandIn):
    """Loses answers or delays writes, as configured or at random.

    ``lose_answers`` is the number of next answers to lose, and ``late_by`` lists the
    delays of the next writes, in seconds.
    """

    def __init__(self, randomness=None):
        super().__init__()
        self.lose_answers = 0
        self.late_by = []
        self.late_tasks = []
        self._randomness = randomness

    async def commit(self, transaction, timeout=None):
        await asyncio.sleep(0)
        if self._randomness is not None:
            return await self._commit_at_random(transaction)
        if self.late_by:
            self.commit_late(transaction, self.late_by.pop(0))
            raise OutcomeUnknown("late")
        result = self.commit_now(transaction)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknown("lost")
        return result

    async def read(self, keys, timeout=None):
        await asyncio.sleep(0)
        if self._randomness is not None and self._randomness.random() < 0.1:
            raise PlatformUnavailable("refused")
        return await super().read(keys)

    def commit_late(self, transaction, delay):
        self.late_tasks.append(asyncio.create_task(self._late(transaction, delay)))

    async def _commit_at_random(self, transaction):
        chance = self._randomness.random()
        await asyncio.sleep(self._randomness.random() * 0.005)
        if chance < 0.1:
            raise PlatformUnavailable("refused")
        if chance < 0.25:
            self.commit_late(transaction, self._randomness.random() * 0.2)
            raise OutcomeUnknown("late")
        result = self.commit_now(transaction)
        if chance < 0.4:
            raise OutcomeUnknown("lost")
        return result

    async def _late(self, transaction, delay):
        await asyncio.sleep(delay)
        return self.commit_now(transaction)
