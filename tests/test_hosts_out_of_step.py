"""Streams taken up at a host that stood still while a new version was listed.

Nodes run as processes. The streams begin at the others, which are killed before that
host goes on, together with what they know. None of their origins is in the store.
"""

import asyncio
import random
import signal

import pytest

from eelgrass_node.platform.names import CRASHES_TABLE
from eelgrass_node.process.stream_origins.version_roster import row_key
from support.entry import until
from support.fault_proxy import Direction
from support.soak_deployment import SoakDeployment
from support.streams import StreamCaller, of_several_versions

pytestmark = pytest.mark.processes

HOSTS = 4
STREAMS = 24
# This host neither reads the list for the others nor writes the rows of versions.
OUT_OF_STEP = 2
# Together with STILL_S a host has then run for longer than a stream lasts.
SETTLED_S = 3.5
# By then the answers that the host awaits have come without a change.
CALLS_ENDED_S = 1.5
STILL_S = 4.0
STORE_SLOW_S = 1.2
# A host that has confirmed no copy for that long gets none for some seconds.
GIVEN_UP_S = 0.5


class OutOfStepDeployment(SoakDeployment):
    """Servers of v1 are listed; those of v2 run, and are listed by ``join``."""

    def __init__(self, folder, seed):
        super().__init__(folder, seed, HOSTS)
        self.others = [number for number in range(HOSTS) if number != OUT_OF_STEP]

    async def __aenter__(self):
        await super().__aenter__()
        self._host = self.soak_nodes[OUT_OF_STEP]
        self._next_servers = []
        for number in range(2):
            name = f"readers-v2-{number}"
            self._next_servers.append(
                await self.start_engine("readers", name, version="v2")
            )
            self.store.remove("servers", name)
        for engine in self.engines_by_service["readers"]:
            engine.event_s = 0.1
        await asyncio.sleep(SETTLED_S)
        return self

    async def begin_while_still(self, leaves):
        """List v2, begin streams, and kill the hosts that know them; return callers.

        With ``leaves`` v2 is removed again. The host out of step stands still.
        """
        loop = asyncio.get_running_loop()
        self._host.process.signal(signal.SIGSTOP)
        still_until = loop.time() + STILL_S
        await asyncio.sleep(CALLS_ENDED_S)
        self.store.down_tables = {"stream-origins"}
        for engine in self._next_servers:
            self.list_engine("readers", engine)
        await until(lambda: row_key("readers", "v2") in self.store.keys(CRASHES_TABLE))
        # The others learn that the host out of step confirms no copies of origins.
        await self._begin()
        await asyncio.sleep(GIVEN_UP_S)
        callers = await self._begin()
        assert any(caller.versions() == {"v2"} for caller in callers)
        if leaves:
            for engine in self._next_servers:
                self.store.remove("servers", engine.server_id)
        for number in self.others:
            await self.soak_nodes[number].process.kill()
        self.store.down_tables = set()
        assert self.store.keys("stream-origins") == set()
        await asyncio.sleep(still_until - loop.time())
        return callers

    async def take_up(self, callers, store_slow_s=0.0):
        """Take up streams as the host goes on, and up to a second later.

        Its calls to the store wait for ``store_slow_s``. Return the statuses of new
        streams that begin there afterwards.
        """
        taking = [
            asyncio.create_task(self._take_up_after(number / STREAMS, caller))
            for number, caller in enumerate(callers)
        ]
        if store_slow_s:
            self._host.store.blocked |= set(Direction)
        self._host.process.signal(signal.SIGCONT)
        await asyncio.sleep(store_slow_s)
        self._host.store.heal()
        await asyncio.gather(*taking)
        new = self._callers(STREAMS)
        return await asyncio.gather(*(caller.read(OUT_OF_STEP) for caller in new))

    async def _begin(self):
        """Begin streams at the others, and leave them after one or two events."""
        callers = self._callers(STREAMS)
        await asyncio.gather(
            *(
                caller.read(random.choice(self.others), events=random.randint(1, 2))
                for caller in callers
            )
        )
        assert all(caller.events for caller in callers)
        return callers

    async def _take_up_after(self, delay_s, caller):
        await asyncio.sleep(delay_s)
        return await caller.read(OUT_OF_STEP)

    def _callers(self, count):
        addresses = [node.callers for node in self.soak_nodes]
        return [StreamCaller(self, addresses) for _ in range(count)]


class TestHostThatStoodStill:
    """Streams of v2, which it has not seen listed, or learns of late."""

    # Guards against a host that takes itself for one that has followed the list all
    # the time, and does not ask what was listed and removed meanwhile.
    async def test_a_version_was_listed_and_removed(self, tmp_path):
        async with OutOfStepDeployment(tmp_path, seed=61) as deployment:
            callers = await deployment.begin_while_still(leaves=True)
            begun = await deployment.take_up(callers)
            assert of_several_versions(callers) == []
            assert begun == [200] * STREAMS

    # Guards against a host that takes its old list for current until the store has
    # told it otherwise.
    async def test_a_version_was_listed_and_the_store_is_slow(self, tmp_path):
        async with OutOfStepDeployment(tmp_path, seed=62) as deployment:
            callers = await deployment.begin_while_still(leaves=False)
            begun = await deployment.take_up(callers, STORE_SLOW_S)
            assert of_several_versions(callers) == []
            assert begun == [200] * STREAMS
