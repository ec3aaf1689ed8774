"""Entry nodes against small stand-ins of the users' platform, with faults."""

import asyncio
import time

import pytest

from eelgrass_node.process import platform_tables, table_relay
from eelgrass_node.request import request_execution
from eelgrass_standins.entry_engines import EngineFault
from support.connections import connect
from support.entry import (
    COMPLETE_STREAM,
    HOST,
    KEY,
    EntryDeployment,
    hanging_listener,
    until,
)
from support.log_lines import log_lines

SEGMENTS = {"Eelgrassward_Segments": "2,1,5", "Eelgrassward_Segment_Key": "key"}


def fault(deployment, service, *faults):
    """Make the next calls to a service fail, whichever of its servers gets them."""
    shared = list(faults)
    for engine in deployment.engines_by_service[service]:
        engine.faults = shared


class TestForwarding:
    async def test_request_and_answer_are_unchanged(self, entry):
        target = "/safe/a%2fb/../c?q=%20x&y="
        status, headers, body = await entry.ask(target, X_Other="1", body=b"\x00\xff")
        assert (status, body) == (200, b"answer of \x00\xff")
        assert headers["Eelgrassward-Engine-Signature"].startswith("signed-by-desk")
        [run] = entry.runs("desk")
        assert (run.method, run.target, run.body) == ("POST", target, b"\x00\xff")
        assert run.headers["X-Other"] == "1"
        assert run.headers["Host"] == HOST
        assert run.headers["Eelgrassward-Tenant"] == "account-1"
        assert "Authorization" not in run.headers
        assert int(run.headers["Eelgrassward-Deadline-Ms"]) <= 3000

    async def test_default_headers_of_the_client_library_are_not_sent(self, entry):
        await entry.ask("/safe/x", method="GET")
        [run] = entry.runs("desk")
        assert run.method == "GET" and run.body == b""
        added = {"Accept-Encoding", "User-Agent", "Accept"} & run.headers.keys()
        sent_by_test = {"Accept-Encoding", "User-Agent", "Accept"}
        assert added <= sent_by_test and "Content-Type" not in run.headers

    @pytest.mark.parametrize(
        ("target", "key", "expected"),
        [("/none/x", KEY, 404), ("/safe/x", "wrong", 401), ("/safe", KEY, 404)],
    )
    async def test_a_refused_request_reaches_no_server(
        self, entry, target, key, expected
    ):
        status, _, _ = await entry.ask(target, Authorization=f"Bearer {key}")
        assert status == expected
        assert entry.runs("desk") == []

    async def test_a_body_over_the_limit(self, entry):
        status, _, _ = await entry.ask("/safe/x", body=b"x" * 65_537)
        assert status == 413
        assert entry.runs("desk") == []

    @pytest.mark.parametrize(
        "raw",
        [
            b"POST /safe/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET",
            b"POST /safe/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            b"POST /safe/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
            b"NONSENSE\r\n\r\n",
        ],
    )
    async def test_malformed_and_smuggled_requests_reach_no_server(self, entry, raw):
        head, _, rest = raw.partition(b"\r\n")
        extra = (
            b"Eelgrassward-Attempt-Id: smuggled\r\nAuthorization: Bearer key-1\r\n"
            if b"HTTP" in head
            else b""
        )
        reader, writer = await connect(entry.nodes[0].settings.callers)
        writer.write(head + b"\r\n" + extra + rest)
        async with asyncio.timeout(5):
            answer = await reader.read(65536)
        writer.close()
        assert not answer or answer.startswith((b"HTTP/1.1 4", b"HTTP/1.0 4"))
        assert entry.runs("desk") == []


class TestIncarnations:
    """A server restarts under its id and numbers its results from the start again."""

    @pytest.fixture(autouse=True)
    def fast_updates(self, monkeypatch):
        monkeypatch.setattr(platform_tables, "SERVERS_FEED_DELAY_S", 0.01)
        monkeypatch.setattr(table_relay, "MEMBERSHIP_SETTLE_S", 0.01)

    async def test_results_of_the_earlier_incarnation_are_recomputed(self, entry):
        """After the restart, the old handle refers to another request's result."""
        portal = entry.engines_by_service["portal"]
        clerks = entry.engines_by_service["clerks"]
        # The clerks refuse calls until the nodes know the new incarnations.
        fault(entry, "clerks", *[EngineFault.REFUSE] * 2)
        asking = asyncio.create_task(
            entry.ask("/stream/staged/x", request_id="first", **SEGMENTS)
        )
        await until(lambda: any(engine.batch_items for engine in portal))
        for engine in portal:
            engine.restart()
            entry.list_engine("portal", engine)
        await entry.ask("/stream/staged/x", request_id="second", **SEGMENTS)
        status, _, body = await asking
        assert (status, body) == (200, COMPLETE_STREAM)
        made = {handle: i for e in portal for handle, i in e.item_by_handle.items()}
        for item in [i for e in clerks for i in e.item_by_handle.values()]:
            used = [made[handle] for handle in item["Inputs"]]
            assert [(u["Id"], u["Phase"]) for u in used] == [(item["Id"], 1)]

    async def test_a_stream_of_the_earlier_incarnation_is_resumed_elsewhere(
        self, entry
    ):
        for engine in entry.engines_by_service["readers"]:
            engine.event_s = 0.2
        asking = asyncio.create_task(entry.ask("/stream/resumed/x"))
        await until(lambda: entry.runs("readers"))
        [serving] = [e for e in entry.engines_by_service["readers"] if e.runs]
        serving.restart()
        entry.list_engine("readers", serving)
        status, _, body = await asking
        assert (status, body) == (200, COMPLETE_STREAM)
        assert len(entry.runs("readers")) == 2

    async def test_unreadable_entries_do_not_affect_the_others(self, entry):
        for key, value in (("x1", b"\xff\x00"), ("x2", b'{"Service": 1}'), ("x3", b"")):
            entry.store.put_raw("servers", key, value)
        status, _, _ = await entry.ask("/safe/x")
        assert status == 200
        assert len(entry.nodes[0].backends.by_id) == 8


class TestRetries:
    async def test_an_idempotent_request_is_retried_elsewhere(self, entry):
        fault(entry, "desk", EngineFault.CUT_BEFORE_HEAD)
        status, _, _ = await entry.ask("/safe/x")
        assert status == 200

    async def test_a_failed_request_is_retried_once_and_its_answer_passed_on(
        self, entry
    ):
        fault(entry, "desk", EngineFault.ERROR, EngineFault.ERROR)
        status, headers, body = await entry.ask("/safe/x")
        assert (status, body) == (500, b"failed")
        assert "Eelgrassward-Engine-Signature" in headers
        assert len(entry.runs("desk")) == 2

    @pytest.mark.parametrize(
        "kind",
        [EngineFault.CUT_BEFORE_HEAD, EngineFault.OTHER_ID, EngineFault.UNSIGNED],
    )
    async def test_a_request_that_may_have_run_is_not_retried(self, entry, kind):
        fault(entry, "desk", kind)
        status, _, _ = await entry.ask("/once/x")
        assert status == 502
        assert len(entry.runs("desk")) == 1

    async def test_a_request_that_did_not_run_is_sent_elsewhere(self, entry):
        entry.engines_by_service["desk"][0].faults = [EngineFault.REFUSE] * 9
        for number in range(4):
            status, _, _ = await entry.ask("/once/x", request_id=f"once-{number}")
            assert status == 200
        assert len(entry.runs("desk")) == 4

    async def test_a_refusal_has_retry_after_and_nothing_ran(self, entry):
        fault(entry, "desk", *[EngineFault.REFUSE] * 9)
        status, headers, _ = await entry.ask("/once/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert entry.runs("desk") == []

    async def test_a_missing_answer_times_out_at_the_deadline(self, entry):
        fault(entry, "desk", EngineFault.HANG)
        began = asyncio.get_running_loop().time()
        status, _, _ = await entry.ask("/once/x", Eelgrassward_Deadline_Ms="400")
        assert status == 504
        assert asyncio.get_running_loop().time() - began < 0.6
        assert len(entry.runs("desk")) == 1
        # A passed deadline does not make the server suspected.
        servers = entry.nodes[0].backends.by_id.values()
        assert all(server.suspect_until == 0.0 for server in servers)

    async def test_a_server_with_another_id_at_its_address_is_not_used(self, entry):
        first = entry.engines_by_service["desk"][0]
        first.server_id = "another"
        for _ in range(4):
            status, _, _ = await entry.ask("/once/x")
            assert status == 200
        assert all(
            run in entry.engines_by_service["desk"][1].runs
            for run in entry.runs("desk")
        )


class TestStreams:
    async def test_events_are_forwarded(self, entry):
        status, headers, body = await entry.ask("/stream/resumed/x")
        assert (status, body) == (200, COMPLETE_STREAM)
        assert headers["Content-Type"] == "text/event-stream"

    async def test_a_broken_stream_is_resumed_elsewhere(self, entry):
        fault(entry, "readers", EngineFault.CUT_IN_EVENT)
        status, _, body = await entry.ask("/stream/resumed/x")
        assert (status, body) == (200, COMPLETE_STREAM)

    async def test_a_broken_stream_without_resume_does_not_look_complete(self, entry):
        fault(entry, "readers", EngineFault.CUT_IN_EVENT)
        with pytest.raises(Exception, match="not completed|payload"):
            await entry.ask("/stream/single/x")
        assert len(entry.runs("readers")) == 1

    async def test_a_caller_that_disconnects_cancels_the_request(self):
        async with EntryDeployment(event_s=0.2) as entry:
            call = asyncio.create_task(entry.ask("/stream/resumed/x"))
            await until(lambda: entry.runs("readers"))
            call.cancel()
            engines = entry.engines_by_service["readers"]
            await until(lambda: sum(e.cancelled for e in engines) == 1, 0.5)

    async def test_a_caller_that_disconnects_is_logged_with_the_step(self):
        sentence = "requests: The caller left."
        with log_lines() as lines:
            async with EntryDeployment(event_s=0.2) as entry:
                call = asyncio.create_task(
                    entry.ask("/stream/resumed/x", request_id="leaves")
                )
                await until(lambda: entry.runs("readers"))
                await asyncio.sleep(0.05)
                call.cancel()
                await until(lambda: any(li.get("message") == sentence for li in lines))
        found = [li for li in lines if li.get("message") == sentence]
        assert [(li["id"], li["at"]) for li in found] == [("leaves", "answer")]


class TestRetryAfter:
    async def test_retry_after_fits_in_the_time_the_caller_has_left(self, entry):
        for engine in entry.engines_by_service["portal"]:
            entry.store.remove("servers", engine.server_id)
        portal = [e.server_id for e in entry.engines_by_service["portal"]]
        known = entry.nodes[0].backends.by_id
        await until(lambda: not any(name in known for name in portal))
        status, headers, _ = await entry.ask(
            "/stream/staged/x", Eelgrassward_Deadline_Ms="600", **SEGMENTS
        )
        assert status == 503
        assert float(headers["Retry-After"]) <= 0.2


class TestStages:
    async def test_each_item_runs_once_and_its_result_is_freed(self, entry):
        status, _, body = await entry.ask("/stream/staged/x", **SEGMENTS)
        assert (status, body) == (200, COMPLETE_STREAM)
        made = {service: self.items(entry, service) for service in ("portal", "clerks")}
        assert made["portal"] == [(0, 0), (0, 1), (1, 0)]
        assert made["clerks"] == [(2, n) for n in range(5)]
        [run] = entry.runs("readers")
        assert len(run.headers["Eelgrassward-Inputs"].split(",")) == 7
        await until(lambda: not self.results(entry))

    async def test_items_of_many_requests_share_calls(self, entry):
        asks = [
            entry.ask("/stream/staged/x", node=n % 2, **SEGMENTS) for n in range(20)
        ]
        answers = await asyncio.gather(*asks)
        assert all(answer[0] == 200 for answer in answers)
        engines = entry.engines_by_service["clerks"]
        assert sum(len(e.batch_items) for e in engines) == 100
        assert sum(e.calls for e in engines) < 50

    # Guards against a stalled process that treats answers it has not read yet as
    # missing.
    @pytest.mark.parametrize("stall_s", [0.3, 0.6])
    async def test_a_stall_repeats_no_item_and_refuses_no_request(self, entry, stall_s):
        for engine in entry.engines_by_service["clerks"]:
            asking_all = [
                asyncio.create_task(entry.ask("/stream/staged/x", node=n, **SEGMENTS))
                for n in (0, 1, 0, 1)
            ]
            await until(lambda engine=engine: engine.batch_items)
            time.sleep(stall_s)  # noqa: ASYNC251
            answers = await asyncio.gather(*asking_all)
            assert [answer[0] for answer in answers] == [200] * 4
        assert len(self.items(entry, "clerks")) == 40

    async def test_results_are_kept_until_the_request_has_been_sent(self, entry):
        """A connection that is never established makes no batch item run again."""
        with hanging_listener() as address:
            engine = entry.engines_by_service["readers"][0]
            entry.list_engine("readers", engine, address=address)
            await until(lambda: entry.nodes[0].backends.at_address(address))
            asks = [entry.ask("/stream/staged/x", **SEGMENTS) for _ in range(4)]
            answers = await asyncio.gather(*asks)
        assert all(answer[0] == 200 for answer in answers)
        assert len(self.items(entry, "clerks")) == 20

    async def test_missing_results_are_recomputed(self, entry):
        fault(entry, "readers", EngineFault.FORGET_RESULTS)
        status, _, body = await entry.ask("/stream/staged/x", **SEGMENTS)
        assert (status, body) == (200, COMPLETE_STREAM)

    async def test_missing_inputs_are_recomputed(self, entry):
        fault(entry, "clerks", EngineFault.FORGET_RESULTS)
        status, _, body = await entry.ask("/stream/staged/x", **SEGMENTS)
        assert (status, body) == (200, COMPLETE_STREAM)

    async def test_a_failed_item_is_run_again(self, entry):
        fault(entry, "portal", EngineFault.ERROR)
        status, _, body = await entry.ask("/stream/staged/x", **SEGMENTS)
        assert (status, body) == (200, COMPLETE_STREAM)

    async def test_an_owner_without_servers_takes_no_items(self, entry):
        """A node that has just started is a member before it reads the server list."""
        entry.nodes[1].backends.update([])
        for _ in range(3):
            status, _, body = await entry.ask("/stream/staged/x", **SEGMENTS)
            assert (status, body) == (200, COMPLETE_STREAM)

    async def test_a_dead_queue_owner_costs_less_than_one_second(self, entry):
        await entry.nodes[1].close()
        began = asyncio.get_running_loop().time()
        status, _, body = await entry.ask("/stream/staged/x", **SEGMENTS)
        assert (status, body) == (200, COMPLETE_STREAM)
        assert asyncio.get_running_loop().time() - began < 1.0

    # Guards against a queue owner that counts its servers as full for seconds, after
    # another node has freed their results without it.
    async def test_results_freed_without_their_owner_make_room(
        self, entry, monkeypatch
    ):
        monkeypatch.setattr(request_execution, "RESULT_FETCH_S", 0.3)
        at_owner, elsewhere = self.owner_and_other(entry, "portal")
        asks = [
            asyncio.create_task(
                entry.ask("/stream/staged/x", node=elsewhere, **SEGMENTS)
            )
            for _ in range(6)
        ]
        await until(lambda: len(self.items(entry, "portal")) == 18)
        owner = entry.nodes[at_owner].membership.own
        entry.nodes[elsewhere].queue_owners.on_failure(owner)
        answers = await asyncio.gather(*asks)
        asks = [
            entry.ask("/stream/staged/x", node=at_owner, **SEGMENTS) for _ in range(4)
        ]
        answers += await asyncio.gather(*asks)
        assert [answer[0] for answer in answers] == [200] * 10

    @staticmethod
    def owner_and_other(entry, service):
        """Return the numbers of the node that owns a queue and of the other one."""
        owner = entry.nodes[0].queue_owners.candidates(service)[0]
        return (0, 1) if owner is None else (1, 0)

    @staticmethod
    def items(entry, service):
        engines = entry.engines_by_service[service]
        return sorted(
            (p["Phase"], p["Segment"]) for e in engines for p in e.batch_items
        )

    @staticmethod
    def results(entry):
        engines = [e for group in entry.engines_by_service.values() for e in group]
        return [handle for engine in engines for handle in engine.results]
