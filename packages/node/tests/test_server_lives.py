"""What is known of one life of a server does not pass to the next one.

A server that starts again under its id holds nothing of before and counts its
results anew: a handle of its earlier life may name another request's result.
"""

import asyncio

import pytest

from eelgrass_coordination.ids import BackendId, DataCentre
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


class RestartingServer:
    """Makes results whose handles repeat in each life of one server."""

    def __init__(self):
        self.current = FIRST
        self.made = []
        self.freed = []

    async def run(self, service, given):
        incarnation = self.current
        self.made.append((service, given[0].stage, incarnation, given[0].inputs))
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
    async def test_results_of_a_life_that_ended_are_made_again(self):
        server_state = RestartingServer()
        graph = server_state.graph()
        first_run = server_state.run

        async def restart_after_first_stage(service, given):
            outcomes = await first_run(service, given)
            if len(server_state.made) == 1:
                server_state.current = SECOND
            return outcomes

        graph._run_items = restart_after_first_stage
        assert await graph.run() == ("s1/0",)
        assert [
            (service, incarnation) for service, _, incarnation, _ in server_state.made
        ] == [
            ("a", FIRST),
            ("a", SECOND),
            ("b", SECOND),
        ]

    async def test_they_are_not_freed_where_the_next_life_may_hold_others(self):
        server_state = RestartingServer()
        graph = server_state.graph()
        await graph.run()
        freed_before = list(server_state.freed)
        server_state.current = SECOND
        assert graph.has_lost_results()
        graph.release()
        assert server_state.freed == freed_before

    async def test_those_of_the_current_life_are_freed(self):
        server_state = RestartingServer()
        graph = server_state.graph()
        await graph.run()
        assert not graph.has_lost_results()
        graph.release()
        assert "s1/0" in server_state.freed


class TestQueue:
    async def test_inputs_of_a_life_that_ended_are_not_used(self):
        service = Service(server("s1"))
        service.ended.add(FIRST)
        [item] = items("r", inputs=("s1/1@a",))
        item.producers = (FIRST,)
        [outcome] = await service.queue.run([item])
        assert outcome.failure is ItemFailure.INPUT_GONE
        assert service.calls == []

    async def test_a_result_tells_which_life_holds_it(self):
        service = Service(server("s1"))
        [outcome] = await service.queue.run(items("r"))
        assert outcome.producer == service.servers[0].entry.incarnation

    async def test_the_use_of_one_life_is_not_that_of_the_next(self):
        backends = Backends()
        backends.update([entry(FIRST)])
        service = Service(backends.by_id["s1"])
        await service.queue.run(items("r", count=4, size=3_000_000))
        held = service.queue._servers.use(service.servers[0]).held_bytes(0.0)
        backends.update([entry(SECOND)])
        service.servers[:] = [backends.by_id["s1"]]
        use = service.queue._servers.use(service.servers[0])
        assert held > 0 and use.held_bytes(0.0) == 0 and use.calls == 0


def entry(incarnation, address="127.0.0.1:1"):
    return HostEntry(
        incarnation.id, "portal", address, DataCentre("a"), started=incarnation.started
    )


class TestBackends:
    def test_an_older_list_does_not_bring_an_earlier_life_back(self):
        backends = Backends()
        backends.update([entry(SECOND)])
        known = backends.by_id["s1"]
        backends.update([entry(FIRST)])
        assert backends.by_id["s1"] is known


class TestCalls:
    """Calls that wait for a life that has ended end with it."""

    @staticmethod
    async def listening(answer):
        """Return the address of a server that sends ``answer`` and then nothing."""

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
        request = routed(deadline_s=asyncio.get_running_loop().time() + 30.0)
        call = EngineCall(
            requests, request, backends.by_id["s1"], (), float("inf"), lambda: None
        )
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

    @staticmethod
    async def read_whole(call):
        await call.open()
        while await call.read_some(float("inf")):
            pass


class TestHandOff:
    def test_lives_travel_with_the_pieces(self):
        from eelgrass_node.connection import batch_handoff

        item = BatchItem("r", 1, 0, None, ("s1/0",), 2.0, 1.0, 0, 8, producers=(FIRST,))
        [received] = batch_handoff._received(batch_handoff._sent([item], 0.0), 0.0)
        assert received.producers == (FIRST,)
