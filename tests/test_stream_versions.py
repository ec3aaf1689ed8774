"""Streams while servers of two software versions serve side by side."""

import asyncio

import pytest

from eelgrass_node.process import platform_tables
from eelgrass_standins.entry_engines import EngineFault
from support.entry import BOUNDS, until
from support.host_links import Cut, LinkedDeployment
from support.soak_deployment import SoakDeployment
from support.streams import (
    DEADLINE_MS,
    SERVERS,
    StreamCaller,
    VersionedDeployment,
    of_several_versions,
)

STREAMS = 12
# As many streams as one node may retry at once within its share of the retry budget.
BROKEN_STREAMS = 8
# The pause between two events that callers of streams bear.
FIRST_EVENT_S = 0.8
# Longer than leaving servers may get requests.
LEAVING_S = BOUNDS.drain_s + 0.4


@pytest.fixture(autouse=True)
def fast_updates(monkeypatch):
    """Shorten the delay until nodes read a change of the servers table."""
    monkeypatch.setattr(platform_tables, "SERVERS_FEED_DELAY_S", 0.01)


class LinkedVersionedDeployment(VersionedDeployment, LinkedDeployment):
    """Servers of two versions, and nodes that can be cut off from them."""


async def upgrade(deployment, engine, restarts=True):
    """Let a server come back under its id with another version of its software."""
    if restarts:
        engine.restart()
    engine.version = "v2"
    deployment.list_engine("readers", engine)
    await until(
        lambda: all(
            node.backends.by_id[engine.server_id].entry.version == "v2"
            for node in deployment.nodes
        )
    )


def none_is_live(deployment, engines):
    """Return whether all nodes know that servers leave."""
    ids = {engine.server_id for engine in engines}
    return not any(
        backend.entry.id in ids
        for node in deployment.nodes
        for backend in node.backends.usable("readers")
    )


class TestResumingAStream:
    # Guards against a host that does not know which version began the stream.
    async def test_it_goes_on_at_the_version_that_began_it(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.resume(callers, node=1)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against the loss of the version with the host that served the stream.
    async def test_it_stays_at_its_version_after_its_host_was_killed(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.nodes[0].close()
            await deployment.resume(callers, node=2)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against hosts that remember the version only while there are several.
    async def test_a_stream_that_is_older_than_the_second_version(self):
        async with VersionedDeployment(versions=("v1",)) as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.release("v2")
            await deployment.resume(callers, node=1)
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
                statuses = await deployment.resume(of_v1, node=1)
            assert set(statuses) == {503}
            assert all("Retry-After" in caller.refusal_headers for caller in of_v1)
            assert of_several_versions(of_v1) == []
            new = StreamCaller(deployment)
            assert await new.read(1) == 200 and new.complete

    # Guards against a host that remembers a stream by its last attempt only.
    async def test_a_third_attempt_names_the_first(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.resume(callers, node=1, events=4)
            await deployment.nodes[0].close()
            await deployment.nodes[1].close()
            await deployment.resume(callers, node=2)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    async def test_it_is_taken_up_at_a_host_that_has_just_joined(self):
        async with VersionedDeployment(nodes=3) as deployment:
            callers = await deployment.begin(0, STREAMS)
            joined = await deployment.add_node()
            await until(
                lambda: joined.ready and len(joined.membership.members.by_id) == 3
            )
            await deployment.nodes[0].close()
            await deployment.resume(callers, node=3)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against copies that leave with hosts which are restarted as planned.
    async def test_the_hosts_that_know_its_version_have_left(self):
        async with VersionedDeployment(nodes=5) as deployment:
            callers = await deployment.begin(0, STREAMS)
            await deployment.nodes[0].close()
            for node in deployment.nodes[1:4]:
                stop = asyncio.create_task(node.run_until_stopped())
                node.stopping.request()
                await until(lambda node=node: node.stopping.stopping)
                await asyncio.sleep(0.3)
                stop.cancel()
                await node.close()
            await deployment.resume(callers, node=4)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against a guess where the version is not known to any host.
    async def test_an_unknown_stream_is_refused_while_there_are_two_versions(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            statuses = await deployment.resume(callers, node=1, resumes="unknown")
            assert set(statuses) == {503}
            assert all("Retry-After" in caller.refusal_headers for caller in callers)
            assert of_several_versions(callers) == []

    # Guards against refusals where only one version can have begun the stream.
    async def test_an_unknown_stream_goes_on_while_there_is_one_version(self):
        async with VersionedDeployment(versions=("v1",)) as deployment:
            callers = await deployment.begin(0, STREAMS)
            statuses = await deployment.resume(callers, node=1, resumes="unknown")
            assert set(statuses) == {200}
            assert all(caller.complete for caller in callers)

    # Guards against streams that cross to another version over a relayed connection.
    async def test_it_is_taken_up_at_a_host_that_reaches_no_server_itself(self):
        async with LinkedVersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            deployment.cut(1, Cut.REFUSED)
            await deployment.resume(callers, node=1)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)


class TestAServerThatRestartsWithAnotherVersion:
    # Guards against an id that is taken for a version.
    async def test_its_streams_go_on_at_other_servers_of_their_version(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            await upgrade(deployment, deployment.engines_by_service["readers"][0])
            await deployment.resume(callers, node=1)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against hosts that resume a stream at a server which has restarted without
    # their knowledge.
    async def test_no_stream_is_resumed_there_before_its_new_entry_was_read(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            restarted = deployment.engines_by_service["readers"][0]
            restarted.restart()
            restarted.version = "v2"
            await deployment.resume(callers, node=1)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against hosts that send a stream to a server which has restarted since its
    # entry was read, and take the old version for the one that began it.
    @pytest.mark.parametrize("reports_start", [True, False])
    async def test_a_stream_that_began_before_its_new_entry_was_read(
        self, reports_start
    ):
        async with VersionedDeployment(("v1",), event_s=0.1) as deployment:
            engines = deployment.engines_by_service["readers"]
            if not reports_start:
                await deployment.withdraw("v1")
                engines.clear()
                await deployment.release("v1", started=0)
            engines[0].version = "v2"
            callers = [StreamCaller(deployment) for _ in range(BROKEN_STREAMS)]
            reading = [asyncio.create_task(caller.read(0)) for caller in callers]
            await until(lambda: all(caller.events >= 2 for caller in callers))
            await upgrade(deployment, engines[0], restarts=reports_start)
            for engine in engines:
                engine.faults = [EngineFault.CUT_IN_EVENT]
            await asyncio.gather(*reading)
            broken = [caller for caller in callers if not caller.complete]
            await deployment.resume(broken, node=1)
            assert of_several_versions(callers) == []


class TestServersThatReportLate:
    # Guards against streams that wait for a server which has failed silently.
    async def test_one_server_of_each_version_does_not_report(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            for engine in deployment.engines_by_service["readers"][::SERVERS]:
                engine.report_delay_s = 10.0
            async with asyncio.timeout(FIRST_EVENT_S):
                statuses = await deployment.resume(callers, node=1, events=3)
            assert set(statuses) == {200}
            assert of_several_versions(callers) == []

    # Guards against streams that are sent before a late report has come.
    async def test_one_has_restarted_with_another_version(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            engines = deployment.engines_by_service["readers"]
            engines[0].restart()
            engines[0].version = "v2"
            for engine in engines:
                engine.report_delay_s = 0.6
            await deployment.resume(callers, node=1)
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)

    # Guards against requests that reach a server which has left during its report.
    async def test_they_leave_the_list_meanwhile(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            of_v1 = [caller for caller in callers if caller.versions() == {"v1"}]
            assert of_v1
            for engine in deployment.engines_by_service["readers"]:
                engine.report_delay_s = 0.6
            runs = len(deployment.runs("readers"))
            resumed = asyncio.create_task(deployment.resume(of_v1, node=1))
            await asyncio.sleep(0.3)
            await deployment.withdraw("v1")
            assert set(await resumed) == {503}
            assert len(deployment.runs("readers")) == runs

    # Guards against a request that spends all its time on servers that do not report.
    async def test_no_server_of_the_version_reports(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, STREAMS)
            for engine in deployment.engines_by_service["readers"]:
                engine.report_delay_s = 10.0
            async with asyncio.timeout(DEADLINE_MS / 1000):
                statuses = await deployment.resume(callers, node=1)
            assert set(statuses) == {503}
            assert all("Retry-After" in caller.refusal_headers for caller in callers)


class TestServersThatBeginToLeave:
    # Guards against streams that are refused while servers that can run them still
    # serve, and against any request that reaches these later than they allow.
    async def test_only_streams_of_their_version_go_on_there_and_in_time(self):
        async with VersionedDeployment() as deployment:
            callers = await deployment.begin(0, 4 * STREAMS)
            of_v1 = [caller for caller in callers if caller.versions() == {"v1"}]
            engines = deployment.engines_by_service["readers"]
            leavers = [engine for engine in engines if engine.version == "v1"]
            for engine in leavers:
                deployment.list_engine("readers", engine, "draining")
            began = asyncio.get_running_loop().time()
            await until(lambda: none_is_live(deployment, leavers))
            runs_before = {run.request_id for run in deployment.runs("readers")}
            statuses = []
            for number, caller in enumerate(of_v1):
                node = number % len(deployment.nodes)
                new = StreamCaller(deployment)
                resumed, begun = await asyncio.gather(caller.read(node), new.read(node))
                assert begun == 200 and new.versions() == {"v2"}
                statuses.append(resumed)
                await asyncio.sleep(LEAVING_S / len(of_v1))
            assert asyncio.get_running_loop().time() - began > LEAVING_S
            assert statuses[:2] == [200, 200] and statuses[-1] == 503
            runs = [run for engine in leavers for run in engine.runs]
            late = [run for run in runs if run.at > began + BOUNDS.drain_s]
            assert late == []
            resumed_ids = {caller.request_ids[-1] for caller in of_v1}
            assert {r.request_id for r in runs} - runs_before <= resumed_ids


class TestHostsThatAreKilled:
    # Guards against the loss of the version with a process that gets a SIGKILL.
    @pytest.mark.processes
    async def test_their_streams_stay_at_their_versions(self, tmp_path):
        async with SoakDeployment(tmp_path, seed=49, nodes=4, servers=3) as deployment:
            for number in range(3):
                name = f"readers-v2-{number}"
                await deployment.start_engine("readers", name, version="v2")
            nodes = deployment.soak_nodes
            await until(lambda: all(name in node.process.log_text() for node in nodes))
            for engine in deployment.engines_by_service["readers"]:
                engine.event_s = 0.2
            addresses = [node.callers for node in nodes]
            callers = [StreamCaller(deployment, addresses) for _ in range(STREAMS)]
            reading = [asyncio.create_task(caller.read(0)) for caller in callers]
            await until(lambda: all(caller.events >= 2 for caller in callers))
            await nodes[0].process.kill()
            await asyncio.gather(*reading)
            assert not any(caller.complete for caller in callers)
            await asyncio.gather(*(caller.read(1) for caller in callers))
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)


class TestAStreamThatItsServerBreaksOff:
    # Guards against a host that resumes a broken stream at any server of the service.
    async def test_it_goes_on_at_the_version_that_began_it(self):
        async with VersionedDeployment(nodes=1) as deployment:
            faults = [EngineFault.CUT_IN_EVENT] * BROKEN_STREAMS
            for engine in deployment.engines_by_service["readers"]:
                engine.faults, engine.events_before_cut = faults, 2
            callers = [StreamCaller(deployment) for _ in range(BROKEN_STREAMS)]
            await asyncio.gather(*(caller.read(0) for caller in callers))
            assert faults == []
            assert of_several_versions(callers) == []
            assert all(caller.complete for caller in callers)
