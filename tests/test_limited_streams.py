"""A stream that breaks off, whose only server names a request limit."""

from eelgrass_standins.entry_engines import EngineFault
from support.entry import COMPLETE_STREAM, EntryDeployment


class TestResumedStreams:
    # Guards against streams that cannot go on because the check of the server takes the
    # permit of the request.
    async def test_a_stream_goes_on_once_there_is_a_permit(self):
        async with EntryDeployment(servers=1) as deployment:
            [engine] = deployment.engines_by_service["readers"]
            engine.limit = "2"
            engine.events_before_cut = 2
            engine.faults = [EngineFault.CUT_IN_EVENT]
            status, _, body = await deployment.ask("/stream/resumed/x")
            assert (status, body) == (200, COMPLETE_STREAM)
            assert len(engine.runs) == 2
