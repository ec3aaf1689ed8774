"""Streams that callers resume at hosts which have just started, or beside such hosts.

Nodes run as processes, and servers of two software versions are listed throughout.
"""

import asyncio
import random
import signal

import pytest

from support.entry import until
from support.soak_deployment import SoakDeployment
from support.streams import StreamCaller, of_several_versions

pytestmark = pytest.mark.processes

HOSTS = 4
STREAMS = 24
# Of the streams that are resumed as many must go on, in proportion, as half of those
# that begin at the same time at the same hosts.
SHARE_OF_NEW = 0.5
# A host serves callers within some tenths of a second of its start.
SETTLED_S = 3.0


class ReleasedDeployment(SoakDeployment):
    """Hosts as processes, and two model servers of each of two versions."""

    def __init__(self, folder, seed, nodes=HOSTS):
        super().__init__(folder, seed, nodes)

    async def __aenter__(self):
        await super().__aenter__()
        for number in range(2):
            name = f"readers-v2-{number}"
            await self.start_engine("readers", name, version="v2")
            await until(lambda name=name: self._all_have_listed(name))
        for engine in self.engines_by_service["readers"]:
            engine.event_s = 0.1
        await asyncio.sleep(SETTLED_S)
        return self

    def callers(self, count):
        """Return callers that may come to any host."""
        addresses = [node.callers for node in self.soak_nodes]
        return [StreamCaller(self, addresses) for _ in range(count)]

    async def begin(self, count, hosts):
        """Begin streams at some hosts, and leave them after one or two events."""
        callers = self.callers(count)
        await asyncio.gather(
            *(
                caller.read(random.choice(hosts), events=random.randint(1, 2))
                for caller in callers
            )
        )
        assert all(caller.events for caller in callers)
        return callers

    async def restart(self, number, how):
        """Stop a host by a signal, start it, and wait until it serves."""
        await self.soak_nodes[number].stop_and_restart(how)
        await self.until_served(number, "safe")

    async def resume_beside_new(self, callers, hosts):
        """Resume streams while others begin; return the shares that were served."""
        new = self.callers(len(callers))
        resumed, begun = await asyncio.gather(
            asyncio.gather(*(c.read(random.choice(hosts)) for c in callers)),
            asyncio.gather(*(c.read(random.choice(hosts)) for c in new)),
        )
        assert of_several_versions(callers) == []
        return resumed.count(200) / len(callers), begun.count(200) / len(new)

    def _all_have_listed(self, name):
        return all(name in node.process.log_text() for node in self.soak_nodes)


class SingleVersionDeployment(ReleasedDeployment):
    """Servers of v1 are listed; those of v2 run for some time before they are."""

    async def __aenter__(self):
        await SoakDeployment.__aenter__(self)
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

    async def replace_version(self):
        """List the servers of v2 and remove those of v1."""
        for engine in self._next_servers:
            self.list_engine("readers", engine)
        for engine in self.engines_by_service["readers"]:
            if engine not in self._next_servers:
                self.store.remove("servers", engine.server_id)


EVERY_HOST = list(range(HOSTS))
# How hosts end, which, and at which of them the streams are resumed.
CASES = {
    "all killed": (signal.SIGKILL, EVERY_HOST, EVERY_HOST),
    "all stopped as planned": (signal.SIGTERM, EVERY_HOST, EVERY_HOST),
    "all but one killed": (signal.SIGKILL, [0, 1, 2], [0, 1, 2]),
    "the seed killed": (signal.SIGKILL, [0], [0]),
    "the seed stopped as planned": (signal.SIGTERM, [0], [0]),
    "one that is no seed killed": (signal.SIGKILL, [3], [3]),
}


class TestStreamsAtHostsThatHaveJustStarted:
    # Guards against hosts that serve before they have heard of the others and take that
    # for a version which no host knows, and against a version that ends with all hosts.
    @pytest.mark.parametrize("case", CASES)
    async def test_they_go_on_as_often_as_new_ones_begin(self, tmp_path, case):
        how, restarted, hosts = CASES[case]
        async with ReleasedDeployment(tmp_path, seed=55) as deployment:
            callers = await deployment.begin(STREAMS, EVERY_HOST)
            await asyncio.gather(*(deployment.restart(n, how) for n in restarted))
            resumed, begun = await deployment.resume_beside_new(callers, hosts)
            assert begun > 0
            assert resumed >= SHARE_OF_NEW * begun

    # Guards against groups of hosts that do not know each other during a release.
    async def test_hosts_are_restarted_in_turn(self, tmp_path):
        async with ReleasedDeployment(tmp_path, seed=56) as deployment:
            shares = []
            for number in EVERY_HOST:
                serving = [host for host in EVERY_HOST if host != number]
                callers = await deployment.begin(STREAMS, serving)
                await deployment.restart(number, signal.SIGTERM)
                await asyncio.sleep(0.3)
                shares.append(await deployment.resume_beside_new(callers, EVERY_HOST))
            assert all(begun > 0 for _, begun in shares)
            assert all(resumed >= SHARE_OF_NEW * begun for resumed, begun in shares), (
                shares
            )


class TestVersionsThatWereRemoved:
    """All hosts start anew, and nobody runs who knows what was listed before."""

    # Guards against streams of a version that has just left, which go on at the only
    # version that is listed now.
    async def test_no_stream_goes_on_at_the_version_that_is_left(self, tmp_path):
        async with SingleVersionDeployment(tmp_path, seed=59) as deployment:
            callers = await deployment.begin(STREAMS, EVERY_HOST)
            await deployment.replace_version()
            await asyncio.gather(
                *(deployment.restart(n, signal.SIGKILL) for n in EVERY_HOST)
            )
            # Fails if any of them holds events of two versions.
            resumed, begun = await deployment.resume_beside_new(callers, EVERY_HOST)
            assert begun > 0
            assert resumed == 0

    # Guards against streams that are refused though only one version can have begun
    # them.
    async def test_streams_of_the_only_version_go_on(self, tmp_path):
        async with SingleVersionDeployment(tmp_path, seed=60) as deployment:
            callers = await deployment.begin(STREAMS, EVERY_HOST)
            await asyncio.gather(
                *(deployment.restart(n, signal.SIGKILL) for n in EVERY_HOST)
            )
            resumed, begun = await deployment.resume_beside_new(callers, EVERY_HOST)
            assert begun > 0
            assert resumed >= SHARE_OF_NEW * begun


class TestServersOfTheVersion:
    # Guards against servers that are not used because they report late.
    async def test_reports_of_servers_take_long(self, tmp_path):
        async with ReleasedDeployment(tmp_path, seed=57) as deployment:
            callers = await deployment.begin(STREAMS, [0, 1])
            for engine in deployment.engines_by_service["readers"]:
                engine.report_delay_s = 0.6
            resumed, begun = await deployment.resume_beside_new(callers, [2, 3])
            assert begun > 0
            assert resumed >= SHARE_OF_NEW * begun

    # Guards against streams that are refused while the last servers of their version,
    # which alone can run them, have only begun to leave.
    async def test_the_last_servers_of_the_version_begin_to_leave(self, tmp_path):
        async with ReleasedDeployment(tmp_path, seed=58) as deployment:
            callers = await deployment.begin(STREAMS, [0, 1])
            callers = [caller for caller in callers if caller.versions() == {"v1"}]
            assert callers
            for engine in deployment.engines_by_service["readers"]:
                if engine.version == "v1":
                    deployment.list_engine("readers", engine, "draining")
            await asyncio.sleep(0.4)
            resumed, begun = await deployment.resume_beside_new(callers, [2, 3])
            assert begun > 0
            assert resumed >= SHARE_OF_NEW * begun
