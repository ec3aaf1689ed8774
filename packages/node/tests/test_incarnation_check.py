"""Checks of several servers before a stream goes on at one of them."""

import asyncio
from types import SimpleNamespace

import pytest

from eelgrass_node.exceptions import CallFailed
from eelgrass_node.request.incarnation_check import (
    MAX_ASKED,
    NEXT_SERVER_DELAY_S,
    first_confirmed,
)
from eelgrass_node.request.reasons import RetryReason
from support.simulated_time import run_in_simulated_time

SILENT_S = 10.0


class ServerStub:
    """A server with an id, which can be a key."""

    def __init__(self, name):
        self.entry = SimpleNamespace(id=name)


class Servers:
    """Servers by name, each with the seconds until it answers and its outcome."""

    def __init__(self, **answers):
        self.answers = answers
        self.by_name = {name: ServerStub(name) for name in answers}
        self.asked = []
        self.failed = []

    async def confirmed(self):
        first, *others = self.by_name.values()

        async def next_server(asked):
            return next((server for server in others if server not in asked), None)

        async def check(server):
            self.asked.append(server.entry.id)
            after_s, passes = self.answers[server.entry.id]
            await asyncio.sleep(after_s)
            if not passes:
                raise CallFailed(RetryReason.BACKEND_REPLACED, not_run=True)

        def on_failed(server, failure):
            self.failed.append(server.entry.id)

        server = await first_confirmed(first, next_server, check, on_failed)
        return server.entry.id


class TestFirstConfirmed:
    # Guards against streams that are refused at a node without a retry budget because
    # the first server that was checked has restarted.
    def test_a_failed_check_is_followed_by_another_one_at_once(self):
        servers = Servers(a=(0.0, False), b=(0.0, True))

        async def main():
            assert await servers.confirmed() == "b"
            assert asyncio.get_running_loop().time() < NEXT_SERVER_DELAY_S

        run_in_simulated_time(main())
        assert servers.failed == ["a"]

    def test_a_silent_server_is_not_waited_for(self):
        servers = Servers(a=(SILENT_S, True), b=(0.0, True))

        async def main():
            assert await servers.confirmed() == "b"
            assert asyncio.get_running_loop().time() < 2 * NEXT_SERVER_DELAY_S

        run_in_simulated_time(main())

    # Guards against a request that asks all servers of a version.
    def test_few_are_asked(self):
        servers = Servers(**{name: (0.0, False) for name in "abcde"})

        async def main():
            with pytest.raises(CallFailed):
                await servers.confirmed()

        run_in_simulated_time(main())
        assert servers.asked == list("abcde"[:MAX_ASKED])
