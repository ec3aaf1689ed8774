"""Servers that have ended, told from connections that broke for other reasons."""

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
    monkeypatch.setattr(crash_detector_module, "AGAIN_S", 0.001)


class Server:
    """One listed server; ``answers`` are what its address says, the last for good."""

    def __init__(self, *answers):
        self.backends = Backends()
        self.entry = HostEntry(BackendId("e1"), "readers", "e1:1", DataCentre("a"))
        self.list()
        [self.backend] = self.backends.by_id.values()
        self.answers = list(answers)
        self.asked = 0
        self.told = []
        self.ended = CrashDetector(
            self.backends,
            self.listening_at,
            lambda life, requests: self.told.append((life, requests)),
        )

    def list(self, state=BackendState.LIVE):
        """Write its entry, or remove it where ``state`` is None."""
        if state is None:
            self.backends.update([])
            return
        self.backends.update([msgspec.structs.replace(self.entry, state=state)])

    async def listening_at(self, address):
        self.asked += 1
        return self.answers[min(self.asked, len(self.answers)) - 1]

    async def lose(self, *requests):
        for request in requests:
            self.ended.on_connection_lost(self.backend, request)
        await asyncio.sleep(0.05)


class TestEnds:
    async def test_all_that_ran_there_is_told_once(self):
        server = Server(Listening.NO)
        await server.lose(ONE, TWO)
        assert server.told == [(server.backend.entry.incarnation, [ONE, TWO])]
        assert server.asked == 1

    async def test_a_call_that_notices_late_is_told_without_asking(self):
        server = Server(Listening.NO)
        await server.lose(ONE)
        server.list(None)
        await server.lose(TWO)
        assert [requests for _, requests in server.told] == [[ONE], [TWO]]
        assert server.asked == 1

    async def test_it_is_asked_again_where_nothing_answers(self):
        server = Server(Listening.UNKNOWN, Listening.UNKNOWN, Listening.NO)
        await server.lose(ONE)
        assert len(server.told) == 1


class TestOtherLosses:
    @pytest.mark.parametrize("listening", [Listening.YES, Listening.UNKNOWN])
    async def test_a_server_that_may_live_has_not_ended(self, listening):
        server = Server(listening)
        await server.lose(ONE)
        assert server.told == []

    @pytest.mark.parametrize("state", [BackendState.LEAVING, None])
    async def test_a_planned_end_is_no_end(self, state):
        """Some servers that leave are taken off the list without a word."""
        server = Server(Listening.NO)
        server.list(state)
        await server.lose(ONE)
        assert server.told == []


class TestListening:
    async def test_a_listener_a_closed_port_and_one_that_hangs(self):
        listener = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        assert await probe_listening(f"127.0.0.1:{port}") is Listening.YES
        listener.close()
        await listener.wait_closed()
        assert await probe_listening(f"127.0.0.1:{port}") is Listening.NO
        with hanging_listener() as address:
            assert await probe_listening(address) is Listening.UNKNOWN
