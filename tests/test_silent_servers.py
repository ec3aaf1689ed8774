"""Answers of sound servers that fall silent for a moment, beside changes."""

import asyncio
from collections import Counter

import aiohttp
import pytest
import pytest_asyncio

from eelgrass_node.request.failover import Failover
from support.entry import COMPLETE_STREAM, configuration, until
from support.silent_servers import SilentServersDeployment
from support.soak_deployment import SEGMENTS

STREAMS = 120
FEW = 12
MAX_ATTEMPTS = 2
# Between two events; a stream then lasts long enough to meet the silence.
EVENT_S = 0.4
# A pause between two events that is shorter than what a silent server may take.
PAUSE_S = 1.6
# The time that a call has to move to another server.
AT_ONCE_S = 0.5
# After this time all streams have begun.
BEGUN_S = 1.0
CHANGE_EVERY_S = 0.4
HEADERS = {"Eelgrassward-Deadline-Ms": "9000"}
ROUTE_TIMEOUT_MS = 9000


async def change_configuration(deployment):
    """Store a new version of the configuration at short intervals, until cancelled."""
    version = 2
    while True:
        changed = configuration(version)
        for route in changed["Routes"]:
            route["TimeoutMs"] = ROUTE_TIMEOUT_MS + version
        deployment.store.put("op", "config", changed)
        version += 1
        await asyncio.sleep(CHANGE_EVERY_S)


async def outcomes(deployment, target, count=STREAMS):
    """Send requests at all nodes; return status and body of each, or its error."""

    async def ask(number):
        try:
            status, _, body = await deployment.ask(
                target, number % len(deployment.nodes), **HEADERS
            )
        except aiohttp.ClientError as error:
            return repr(error)
        return status, body

    return await asyncio.gather(*(ask(number) for number in range(count)))


def results_made(deployment):
    """Return how many results the servers of the first stages have made."""
    engines = deployment.engines_by_service["portal"]
    return sum(len(engine.batch_items) for engine in engines)


@pytest_asyncio.fixture
async def silent():
    async with SilentServersDeployment(event_s=EVENT_S) as deployment:
        changes = asyncio.create_task(change_configuration(deployment))
        await asyncio.sleep(1.0)
        yield deployment
        changes.cancel()
        # No call is counted as in flight after all requests have ended.
        assert not any(
            backend.in_flight
            for node in deployment.nodes
            for backend in node.backends.by_id.values()
        )


class TestSilentServers:
    # Guards against streams that are cut because a server is silent for longer than
    # the idle timeout, while no other server can continue them.
    @pytest.mark.parametrize("for_s", [1.2, 2.2])
    @pytest.mark.parametrize("target", ["/stream/resumed/x", "/stream/single/x"])
    async def test_no_stream_is_cut_if_all_are_silent(self, silent, target, for_s):
        asking = asyncio.create_task(outcomes(silent, target))
        await asyncio.sleep(BEGUN_S)
        await silent.silence("readers", for_s)
        answers = await asking
        whole = answers.count((200, COMPLETE_STREAM))
        assert whole == STREAMS, [a for a in answers if a != (200, COMPLETE_STREAM)][:3]

    # Guards against streams that are lost when some servers are silent, whether or not
    # the retry budget lets them go on at the others.
    @pytest.mark.parametrize("servers", [1, 2])
    async def test_no_stream_is_cut_if_some_are_silent(self, silent, servers):
        asking = asyncio.create_task(outcomes(silent, "/stream/resumed/x"))
        await asyncio.sleep(BEGUN_S)
        await silent.silence("readers", 2.6, servers)
        answers = await asking
        assert answers.count((200, COMPLETE_STREAM)) == STREAMS
        runs = Counter(run.request_id for run in silent.runs("readers"))
        assert max(runs.values()) <= MAX_ATTEMPTS

    # Guards against streams that wait for what will never come: their connections are
    # dropped on the path, while new ones work.
    async def test_streams_go_on_if_their_connections_are_dropped(self, silent):
        asking = asyncio.create_task(outcomes(silent, "/stream/resumed/x", FEW))
        await asyncio.sleep(BEGUN_S)
        silent.drop_connections("readers")
        answers = await asking
        assert answers.count((200, COMPLETE_STREAM)) == FEW

    # Guards against requests that are refused although their silent server answers
    # later: nothing was left of the retry budget when their calls were closed.
    async def test_plain_requests_wait_without_a_retry_budget(self, silent):
        for node in silent.nodes:
            node.retry_budgets.has_tokens = lambda service: False
            node.retry_budgets.try_spend = lambda service, request_id: False
        silencing = asyncio.create_task(silent.silence("desk", 1.6))
        await asyncio.sleep(0.1)
        answers = await outcomes(silent, "/safe/x", FEW)
        await silencing
        assert answers == [(200, b"answer of body")] * FEW


class TestLostPaths:
    # Guards against answers that are cut by an abort of all calls to a server, because
    # probes of its path found it silent.
    async def test_calls_that_cannot_move_go_on(self, silent):
        for node in silent.nodes:
            node.retry_budgets.has_tokens = lambda service: False
        asking = asyncio.create_task(outcomes(silent, "/stream/resumed/x", FEW))
        await asyncio.sleep(BEGUN_S)
        told = sum(
            backend.connections.notify_path_lost()
            for node in silent.nodes
            for backend in node.backends.by_service["readers"]
        )
        assert told == FEW
        assert await asking == [(200, COMPLETE_STREAM)] * FEW

    # Guards against callers that wait for a server that their host has lost its path
    # to, while others could go on with the stream.
    async def test_calls_that_can_move_do_so_at_once(self, silent):
        asking = asyncio.create_task(outcomes(silent, "/stream/resumed/x", 3))
        await asyncio.sleep(BEGUN_S / 2)
        # No event comes meanwhile, with which the calls would go on.
        for engine in silent.engines_by_service["readers"]:
            engine.event_s = PAUSE_S
        await asyncio.sleep(BEGUN_S / 2)
        for node in silent.nodes:
            for backend in node.backends.by_service["readers"]:
                backend.connections.notify_path_lost()
        await until(lambda: len(silent.runs("readers")) == 6, AT_ONCE_S)
        for engine in silent.engines_by_service["readers"]:
            engine.event_s = EVENT_S
        assert await asking == [(200, COMPLETE_STREAM)] * 3
        assert len(silent.runs("readers")) == 6


class TestStages:
    # Guards against results that were made for the server that takes over, and are
    # thrown away once the call before is closed: if they cannot be made again, the
    # stream is cut.
    async def test_results_for_the_next_server_are_used(self, silent, monkeypatch):
        node = silent.nodes[0]
        secure = Failover.secure

        async def secure_and_suspect(self, server):
            is_secured = await secure(self, server)
            node.reachability.is_suspected = bool
            return is_secured

        monkeypatch.setattr(Failover, "secure", secure_and_suspect)
        asking = asyncio.create_task(
            silent.ask("/stream/staged/x", 0, **HEADERS, **SEGMENTS)
        )
        await asyncio.sleep(BEGUN_S)
        made = results_made(silent)
        for backend in node.backends.by_service["readers"]:
            backend.connections.notify_path_lost()
        status, _, body = await asking
        assert (status, body) == (200, COMPLETE_STREAM)
        assert results_made(silent) == 2 * made > 0


class TestRequestsThatEndWhileTheyMove:
    # Guards against a server that counts as in use for ever, because a request ended
    # after another server was secured for it and before it was sent there.
    async def test_no_call_is_left_in_flight(self, silent):
        node = silent.nodes[0]
        wait = node.poison_requests.crash_detector.wait_for_check

        async def wait_long(backend):
            await asyncio.sleep(2.0)
            await wait(backend)

        node.poison_requests.crash_detector.wait_for_check = wait_long
        asking = asyncio.create_task(silent.ask("/stream/resumed/x", 0, **HEADERS))
        await asyncio.sleep(BEGUN_S)
        for backend in node.backends.by_service["readers"]:
            backend.connections.notify_path_lost()
        await asyncio.sleep(0.8)
        # The call that is given up, and the one that takes over.
        assert sum(b.in_flight for b in node.backends.by_service["readers"]) == 2
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await asyncio.sleep(0.5)
