"""Crashes are distinguished from connections lost for other reasons."""

import asyncio

import msgspec
import pytest

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.connection.listen_probe import probe_listening
from eelgrass_node.process import crash_detector as crash_detector_module
from eelgrass_node.process.backends import Backends, BackendState, HostEntry
from eelgrass_node.process.crash_detector import CrashDetector, Fingerprint, Listening
from support.entry import hanging_listener

ONE, TWO = Fingerprint("one"), Fingerprint("two")


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(crash_detector_module, "RETRY_INTERVAL_S", 0.001)


class Server:
    """One listed server; ``answers`` are the results of probes, the last repeated."""

    def __init__(self, *answers):
        self.backends = Backends()
        self.entry = HostEntry(BackendId("e1"), "readers", "e1:1", DataCentre("a"))
        self.list()
        [self.backend] = self.backends.by_id.values()
        self.answers = list(answers)
        self.probes = 0
        self.reported = []
        self.detector = CrashDetector(
            self.backends,
            self.listening_at,
            lambda incarnation, requests: self.reported.append((incarnation, requests)),
        )

    def list(self, state=BackendState.LIVE):
        """Write its entry, or remove it where ``state`` is None."""
        if state is None:
            self.backends.update([])
            return
        self.backends.update([msgspec.structs.replace(self.entry, state=state)])

    async def listening_at(self, address):
        self.probes += 1
        return self.answers[min(self.probes, len(self.answers)) - 1]

    async def lose(self, *requests):
        for request in requests:
            self.detector.on_connection_lost(self.backend, request)
        await asyncio.sleep(0.05)


class TestCrashes:
    async def test_all_requests_that_were_running_are_reported_once(self):
        server = Server(Listening.NO)
        await server.lose(ONE, TWO)
        assert server.reported == [(server.backend.entry.incarnation, [ONE, TWO])]
        assert server.probes == 1

    async def test_a_request_that_notices_late_is_reported_without_a_probe(self):
        server = Server(Listening.NO)
        await server.lose(ONE)
        server.list(None)
        await server.lose(TWO)
        assert [requests for _, requests in server.reported] == [[ONE], [TWO]]
        assert server.probes == 1

    async def test_the_probe_is_repeated_if_there_is_no_answer(self):
        server = Server(Listening.UNKNOWN, Listening.UNKNOWN, Listening.NO)
        await server.lose(ONE)
        assert len(server.reported) == 1


class TestOtherLosses:
    @pytest.mark.parametrize("listening", [Listening.YES, Listening.UNKNOWN])
    async def test_a_server_that_may_be_running_is_not_reported(self, listening):
        server = Server(listening)
        await server.lose(ONE)
        assert server.reported == []

    @pytest.mark.parametrize("state", [BackendState.LEAVING, None])
    async def test_a_planned_stop_is_not_reported(self, state):
        """Some servers that leave are removed from the list without a leaving entry."""
        server = Server(Listening.NO)
        server.list(state)
        await server.lose(ONE)
        assert server.reported == []


class TestListening:
    async def test_open_closed_and_hanging_ports(self):
        listener = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        assert await probe_listening(f"127.0.0.1:{port}") is Listening.YES
        listener.close()
        await listener.wait_closed()
        assert await probe_listening(f"127.0.0.1:{port}") is Listening.NO
        with hanging_listener() as address:
            assert await probe_listening(address) is Listening.UNKNOWN
