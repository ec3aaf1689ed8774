"""Streams while servers of two software versions serve side by side."""

import asyncio

import pytest

from eelgrass_node.process import platform_tables
from eelgrass_standins.entry_engines import EngineFault
from support.streams import StreamCaller, VersionedDeployment, of_several_versions

STREAMS = 12


@pytest.fixture(autouse=True)
def fast_updates(monkeypatch):
    """Shorten the delay until nodes read a change of the servers table."""
    monkeypatch.setattr(platform_tables, "SERVERS_FEED_DELAY_S", 0.01)


class TestTakingUpAStream:
    # Guards against a host that does not know which version began the stream.
    async def test_it_goes_on_at_the_version_that_began_it(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.take_up(callers, node=1)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against the loss of the version with the host that served the stream.
    async def test_it_stays_at_its_version_after_its_host_was_killed(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.nodes[0].close()
            await deployment.take_up(callers, node=2)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against hosts that remember the version only while there are several.
    async def test_a_stream_that_is_older_than_the_second_version(self):
        async with VersionedDeployment(versions=("v1",)) as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.release("v2")
            await deployment.take_up(callers, node=1)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against a stream that goes on at another version for want of a server.
    async def test_it_is_refused_at_once_if_its_version_has_no_server_left(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            of_v1 = [caller for caller in callers if caller.versions() == {"v1"}]
            assert of_v1
            await deployment.withdraw("v1")
            async with asyncio.timeout(1):
                statuses = await deployment.take_up(of_v1, node=1)
            assert set(statuses) == {503}
            assert all("Retry-After" in caller.refusal_headers for caller in of_v1)
            assert of_several_versions(of_v1) == []
            new = StreamCaller(deployment)
            assert await new.read(1) == 200 and new.complete


class TestAStreamThatItsServerBreaksOff:
    # Guards against a host that resumes a broken stream at any server of the service.
    async def test_it_goes_on_at_the_version_that_began_it(self):
        async with VersionedDeployment(nodes=1) as deployment:
            faults = [EngineFault.CUT_IN_EVENT] * STREAMS
            for engine in deployment.engines_by_service["readers"]:
                engine.faults, engine.events_before_cut = faults, 2
            callers = [StreamCaller(deployment) for _ in range(STREAMS)]
            await asyncio.gather(*(caller.read(0) for caller in callers))
            assert faults == []
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)
