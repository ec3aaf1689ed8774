"""A leaving backend server gets no new work, even while the host list lags."""

import asyncio
import time

import pytest
import pytest_asyncio

from eelgrass_standins.samples import sample_deployment
from support.local import LocalDeployment

pytestmark = pytest.mark.asyncio(loop_scope="module")

NOTICE_S = 2.0
LOAD_S = 4.0
LIST_S = 5.0


@pytest_asyncio.fixture(loop_scope="module")
async def deployment(request):
    lag_s = getattr(request, "param", 60.0)
    spec = sample_deployment(1, 3, work=0.0, step_ms=1.0, host_lag_s=lag_s)
    timing = {"heartbeat_ms": 100}
    async with LocalDeployment(spec, nodes=6, timing=timing) as running:
        yield running


class TestHostList:
    async def test_its_reads_do_not_grow_with_the_number_of_nodes(self, deployment):
        counts = deployment.stand_ins.platform.call_counts
        before = counts["/v1/hosts"]
        await asyncio.sleep(2.0)
        pollers, others = 4, 2
        intervals = 2.0 / 0.1
        max_reads = pollers * intervals + others * (intervals / 10 + 1)
        assert counts["/v1/hosts"] - before <= max_reads


async def load(deployment, nodes, until):
    """Call the nodes in turn; return the replies with a status other than 200."""
    bad = []
    number = 0
    while time.monotonic() < until:
        node = nodes[number % len(nodes)]
        number += 1
        reply = await deployment.client.call(
            deployment.callers(node), "current-issue", f"{number}", key=None
        )
        if reply.status != 200:
            bad.append(reply)
        await asyncio.sleep(0.004)
    return bad


def leaving_server(deployment):
    return deployment.stand_ins.backends_by_id["archive-index-1"]


class TestChoice:
    async def test_a_server_that_was_slow_gets_calls_again(self, deployment):
        backends = deployment.nodes[0].backends
        slow = backends.by_id["archive-index-1"]
        slow.record_call(30.0)
        slow._called_at -= 120.0
        await load(deployment, [0], time.monotonic() + 1.0)
        assert leaving_server(deployment).journal.entries


class TestLeavingBackend:
    @pytest.mark.parametrize("refuses", [True, False])
    async def test_every_node_learns_it_from_the_server_itself(
        self, deployment, refuses
    ):
        server = leaving_server(deployment)
        server.refuses_when_leaving = refuses
        server.leaving = True
        left_at = time.monotonic()
        bad = await load(deployment, range(6), left_at + LOAD_S)
        late = [e for e in server.journal.entries if e.started_at > left_at + NOTICE_S]
        assert bad == []
        assert late == []
        assert deployment.count("retry.backend_leaving") <= 6

    async def test_a_node_that_never_called_it_sends_it_no_work(self, deployment):
        server = leaving_server(deployment)
        server.refuses_when_leaving = False
        server.leaving = True
        await load(deployment, [0], time.monotonic() + 0.5)
        await asyncio.sleep(NOTICE_S / 2)
        started = len(server.journal.entries)
        assert started > 0
        assert await load(deployment, range(1, 6), time.monotonic() + 1.0) == []
        assert len(server.journal.entries) == started

    async def test_a_node_that_starts_later_sends_it_no_work(self, deployment):
        server = leaving_server(deployment)
        server.refuses_when_leaving = False
        server.leaving = True
        await load(deployment, [0], time.monotonic() + 0.5)
        # Long enough for the last transmission of the gossip item.
        await asyncio.sleep(3.0)
        await deployment.nodes[5].close()
        await deployment.start_node(5)
        deployment.nodes[5] = deployment.nodes.pop()
        started = len(server.journal.entries)
        assert await load(deployment, [5], time.monotonic() + 0.5) == []
        assert len(server.journal.entries) == started

    async def test_a_successor_under_the_same_name_gets_work(self, deployment):
        server = leaving_server(deployment)
        server.leaving = True
        await load(deployment, [0], time.monotonic() + 0.5)
        server.leaving = False
        hosts = [b.host_entry() for b in deployment.stand_ins.spec.backends]
        for entry in hosts:
            if entry["id"] == "archive-index-1":
                entry["started"] = 2
        deployment.stand_ins.platform._host_lag_s = 0.0
        deployment.stand_ins.platform.set_hosts(hosts)
        # A node that is not a poller of its data centre reads the list at every
        # tenth interval; an interval is some 0.25 s here (2 kB at 8 kB/s).
        known = deployment.nodes[0].backends.by_id
        async with asyncio.timeout(LIST_S):
            while known["archive-index-1"].entry.started != 2:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        before = len(server.journal.entries)
        assert await load(deployment, [0], time.monotonic() + 0.5) == []
        assert len(server.journal.entries) > before

    @pytest.mark.parametrize("deployment", [1.0], indirect=True)
    async def test_every_node_learns_it_from_the_host_list(self, deployment):
        server = leaving_server(deployment)
        hosts = [b.host_entry() for b in deployment.stand_ins.spec.backends]
        for entry in hosts:
            if entry["id"] == "archive-index-1":
                entry["state"] = "leaving"
        left_at = time.monotonic()
        deployment.stand_ins.platform.set_hosts(hosts)
        bad = await load(deployment, range(6), left_at + LOAD_S)
        late = [e for e in server.journal.entries if e.started_at > left_at + NOTICE_S]
        assert bad == []
        assert late == []
