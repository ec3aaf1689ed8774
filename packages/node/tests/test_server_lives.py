"""Tests that state of one incarnation of a server is not used for the next one.

A server that restarts under its id has none of its earlier results and numbers new
ones from the start. A handle of an earlier incarnation may then name another request's
result.
"""

import asyncio

import pytest

from eelgrass_coordination.ids import BackendId, DataCentre, SoftwareVersion
from eelgrass_node.exceptions import CallFailed
from eelgrass_node.platform import requests
from eelgrass_node.process.backends import Backends, HostEntry, ServerIncarnation
from eelgrass_node.process.batch_items import BatchItem, ItemFailure, ItemOutcome
from eelgrass_node.process.crash_detector import Fingerprint
from eelgrass_node.request.engine_call import EngineCall
from eelgrass_node.request.graph import StageGraph, StagePlan
from eelgrass_node.version.deployment import BatchStage, ServiceName
from support.batching import Service, items, routed, server
from support.connections import listen

FIRST, SECOND = (ServerIncarnation(BackendId("s1"), started) for started in (5, 9))
# The incarnation of an entry without a start time.
UNKNOWN = ServerIncarnation(BackendId("s1"))
ANSWER = (
    b"HTTP/1.1 200 OK\r\nEelgrassward-Attempt-Id: id\r\nContent-Length: 8\r\n"
    b"Eelgrassward-Engine-Signature: s\r\n\r\n"
)


class RestartingServer:
    """Produces results whose handles repeat in each incarnation of one server."""

    def __init__(self):
        self.current = FIRST
        self.calls = []
        self.freed = []

    async def run(self, service, given):
        incarnation = self.current
        self.calls.append((service, given[0].stage, incarnation, given[0].inputs))
        return [
            ItemOutcome(handle=f"s1/{p.number}", producer=incarnation) for p in given
        ]

    def has_ended(self, incarnation):
        return incarnation.started < self.current.started

    def graph(self):
        stages = (
            BatchStage(ServiceName("a"), (), 8_000),
            BatchStage(ServiceName("b"), (0,), 8_000),
        )
        plan = StagePlan((9.0, 9.0), (9.0, 9.0), ((), (0,)))
        return StageGraph(
            routed(stages=stages, counts=(2, 1)),
            plan,
            self.run,
            lambda service, handles, owner: self.freed.extend(handles),
            lambda handle: "a",
            self.has_ended,
            Fingerprint("a request"),
        )


class TestResults:
    async def test_results_of_an_ended_incarnation_are_made_again(self):
        restarting = RestartingServer()
        graph = restarting.graph()
        first_run = restarting.run

        async def restart_after_first_stage(service, given):
            outcomes = await first_run(service, given)
            if len(restarting.calls) == 1:
                restarting.current = SECOND
            return outcomes

        graph._run_items = restart_after_first_stage
        assert await graph.run() == ("s1/0",)
        assert [
            (service, incarnation) for service, _, incarnation, _ in restarting.calls
        ] == [
            ("a", FIRST),
            ("a", SECOND),
            ("b", SECOND),
        ]

    async def test_they_are_not_freed_at_the_next_incarnation(self):
        restarting = RestartingServer()
        graph = restarting.graph()
        await graph.run()
        freed_before = list(restarting.freed)
        restarting.current = SECOND
        assert graph.has_lost_results()
        graph.release()
        assert restarting.freed == freed_before

    async def test_results_of_the_current_incarnation_are_freed(self):
        restarting = RestartingServer()
        graph = restarting.graph()
        await graph.run()
        assert not graph.has_lost_results()
        graph.release()
        assert "s1/0" in restarting.freed


class TestQueue:
    async def test_inputs_of_an_ended_incarnation_are_not_used(self):
        service = Service(server("s1"))
        service.ended.add(FIRST)
        [item] = items("r", inputs=("s1/1@a",))
        item.producers = (FIRST,)
        [outcome] = await service.queue.run([item])
        assert outcome.failure is ItemFailure.INPUT_GONE
        assert service.calls == []

    async def test_a_result_names_the_incarnation_that_holds_it(self):
        service = Service(server("s1"))
        [outcome] = await service.queue.run(items("r"))
        assert outcome.producer == service.servers[0].entry.incarnation

    async def test_the_use_of_one_incarnation_does_not_pass_to_the_next(self):
        backends = Backends()
        backends.update([entry(FIRST)])
        service = Service(backends.by_id["s1"])
        await service.queue.run(items("r", count=4, size=3_000_000))
        held = service.queue._servers.use(service.servers[0]).held_bytes(0.0)
        backends.update([entry(SECOND)])
        service.servers[:] = [backends.by_id["s1"]]
        use = service.queue._servers.use(service.servers[0])
        assert held > 0 and use.held_bytes(0.0) == 0 and use.calls == 0


def entry(incarnation, address="127.0.0.1:1", version="v1"):
    return HostEntry(
        incarnation.id,
        "portal",
        address,
        DataCentre("a"),
        started=incarnation.started,
        version=SoftwareVersion(version),
    )


class TestBackends:
    def test_an_outdated_list_does_not_restore_an_earlier_incarnation(self):
        backends = Backends()
        backends.update([entry(SECOND)])
        known = backends.by_id["s1"]
        backends.update([entry(FIRST)])
        assert backends.by_id["s1"] is known

    # Guards against results that are used although the server may have restarted
    # before its start was known.
    async def test_results_from_before_the_start_was_known_are_not_used(self):
        backends = Backends()
        backends.update([entry(UNKNOWN)])
        assert not backends.has_ended(UNKNOWN)
        backends.update([entry(FIRST)])
        assert backends.has_ended(UNKNOWN)
        assert not backends.has_ended(FIRST)

    # Guards against a rest or limit of a server that is forgotten when an entry
    # without a start time is replaced by a complete one.
    async def test_a_rest_is_kept_when_the_start_becomes_known(self):
        backends = Backends()
        backends.update([entry(UNKNOWN)])
        backends.rests.begin(FIRST, 30.0)
        backends.update([entry(FIRST)])
        assert backends.is_resting(backends.by_id["s1"])


class TestCalls:
    """Calls that wait for an incarnation fail when it has ended."""

    @staticmethod
    async def listening(answer):
        """Return a listener and its address; it sends ``answer`` and then nothing."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await asyncio.sleep(30)

        return await listen(serve)

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"HTTP/1.1 200 OK\r\nEelgrassward-Attempt-Id: id\r\n"
            b"Eelgrassward-Engine-Signature: s\r\n\r\nid: 1\ndata: x\n\n",
            b"HTTP/1.1 200 OK\r\nEelgrassward-Attempt-Id: id\r\nContent-Length: 99\r\n"
            b"Eelgrassward-Engine-Signature: s\r\n\r\nid: 1\ndata: x\n\n",
        ],
        ids=["no-head", "body-without-length", "body-with-length"],
    )
    async def test_a_waiting_call_fails_at_once(self, answer):
        listener, address = await self.listening(answer)
        backends = Backends()
        backends.update([entry(FIRST, address)])
        call = self.call(backends)
        reading = asyncio.create_task(self.read_whole(call))
        await asyncio.sleep(0.1)
        assert not reading.done()
        backends.update([entry(SECOND, address)])
        async with asyncio.timeout(1.0):
            with pytest.raises(CallFailed) as failed:
                await reading
        assert not failed.value.not_run
        call.close()
        listener.close()

    # Guards against calls that are ended although their server never restarted: its
    # entry lacked the start time for a while.
    async def test_a_call_goes_on_when_the_start_becomes_known(self):
        listed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER + b"half")
            await listed.wait()
            writer.write(b"half")

        listener, address = await listen(serve)
        backends = Backends()
        backends.update([entry(UNKNOWN, address)])
        call = self.call(backends)
        await call.open()
        assert await call.read_some(float("inf")) == b"half"
        backends.update([entry(FIRST, address)])
        listed.set()
        async with asyncio.timeout(5.0):
            assert await call.read_some(float("inf")) == b"half"
            assert await call.read_some(float("inf")) == b""
        call.close()
        listener.close()

    # Guards against calls that wait for a server that is known to have ended, because
    # another one has its id, although its start was unknown.
    @pytest.mark.parametrize(
        ("other_address", "version"), [(None, "v2"), ("127.0.0.1:1", "v1")]
    )
    async def test_a_call_fails_when_another_server_takes_over(
        self, other_address, version
    ):
        listener, address = await self.listening(b"")
        backends = Backends()
        backends.update([entry(UNKNOWN, address)])
        call = self.call(backends)
        reading = asyncio.create_task(self.read_whole(call))
        await asyncio.sleep(0.1)
        assert not reading.done()
        backends.update([entry(FIRST, other_address or address, version)])
        async with asyncio.timeout(1.0):
            with pytest.raises(CallFailed):
                await reading
        call.close()
        listener.close()

    @staticmethod
    def call(backends):
        request = routed(deadline_s=asyncio.get_running_loop().time() + 30.0)
        return EngineCall(
            requests, request, backends.by_id["s1"], (), float("inf"), lambda: None
        )

    @staticmethod
    async def read_whole(call):
        await call.open()
        while await call.read_some(float("inf")):
            pass


class TestHandOff:
    def test_incarnations_are_sent_with_the_items(self):
        from eelgrass_node.connection import batch_handoff

        item = BatchItem("r", 1, 0, None, ("s1/0",), 2.0, 1.0, 0, 8, producers=(FIRST,))
        [received] = batch_handoff._decode_set(
            batch_handoff._encode_set([item], 0.0), 0.0
        )
        assert received.producers == (FIRST,)
