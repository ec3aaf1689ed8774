"""Streams that begin while a host cannot read the list of servers."""

import asyncio

import pytest
from aiohttp import web

from eelgrass_standins.entry_engines import EngineFault, EngineStandIn
from support.entry import COMPLETE_STREAM, EntryDeployment, until

TARGET = "/stream/resumed/x"
STREAMS = 12
REPORTS = {
    "busy": lambda: web.Response(status=503, text="loading"),
    "without a start": lambda: web.json_response({"Phase": "both"}),
}


class Deployment(EntryDeployment):
    """One node, whose store goes away once it is ready."""

    def __init__(self):
        super().__init__(nodes=1, event_s=0.03)

    async def __aenter__(self):
        await super().__aenter__()
        self.store.down = True
        await until(lambda: not self.nodes[0].tables.servers.reachable)
        return self

    async def ask_all(self):
        """Return the versions and bodies of some streams; one server breaks all off."""
        [cutting, _] = self.engines_by_service["readers"]
        cutting.events_before_cut = 2
        cutting.faults = [EngineFault.CUT_IN_EVENT] * STREAMS
        ids = [f"stream-{number}" for number in range(STREAMS)]
        asking = (self.ask(TARGET, request_id=request_id) for request_id in ids)
        answers = await asyncio.gather(*asking, return_exceptions=True)
        runs = self.runs("readers")
        versions = [{r.version for r in runs if r.request_id == one} for one in ids]
        bodies = [b"" if isinstance(a, Exception) else a[2] for a in answers]
        return versions, bodies


class TestServerThatRestartsUnnoticed:
    # Guards against a stream that is continued at the version which an old list names
    # for the server that began it, and not at the one that did.
    async def test_its_streams_do_not_go_on_at_the_version_before(self):
        async with Deployment() as deployment:
            [restarted, _] = deployment.engines_by_service["readers"]
            restarted.restart()
            restarted.version = "v2"
            versions, _ = await deployment.ask_all()
            assert {"v2"} in versions
            assert [found for found in versions if len(found) > 1] == []

    # Guards against a server that says nothing of its start and counts as confirmed.
    @pytest.mark.parametrize("report", REPORTS)
    async def test_a_report_without_a_start_confirms_nothing(self, report, monkeypatch):
        restarted = []

        async def handle(engine, request):
            if engine in restarted:
                return REPORTS[report]()
            return web.json_response({"born": engine.started})

        monkeypatch.setattr(EngineStandIn, "_handle_report", handle)
        async with Deployment() as deployment:
            [engine, _] = deployment.engines_by_service["readers"]
            engine.restart()
            engine.version = "v2"
            restarted.append(engine)
            versions, _ = await deployment.ask_all()
            assert {"v2"} in versions
            assert [found for found in versions if len(found) > 1] == []

    # Guards against streams that are broken off for want of a list.
    async def test_streams_of_other_servers_go_on(self):
        async with Deployment() as deployment:
            versions, bodies = await deployment.ask_all()
            assert versions == [{"v1"}] * STREAMS
            assert bodies.count(COMPLETE_STREAM) == STREAMS
