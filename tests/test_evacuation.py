"""The operator evacuates a data centre and ends the evacuation.

The nodes follow the store and use servers of two data centres, a and b.
"""

import asyncio

import pytest

from eelgrass_coordination import Exchange, GossipItem
from eelgrass_coordination.ids import DataCentre
from eelgrass_coordination.messages import BroadcastQueue
from eelgrass_node.process.evacuation.evacuation_gossip import (
    GOSSIP_KIND as EVACUATION_KIND,
)
from eelgrass_node.process.table_relay import STORE_READ_MAX_AGE_S
from support.entry import COMPLETE_STREAM, EntryDeployment, configuration, until

SERVICES = ("desk", "readers", "portal", "clerks")
ROW = "evacuate/b"
# Of a row that no node has read.
NEWER_VERSION = 1000
STAGED = {"Eelgrassward_Segments": "1,1,2", "Eelgrassward_Segment_Key": "k"}


@pytest.fixture
async def two_data_centres():
    """Start two nodes and servers of each service in the data centres a and b."""
    async with EntryDeployment() as deployment:
        deployment.remote_engines = []
        for service in SERVICES:
            for number in range(2):
                name = f"far-{service}-{number}"
                engine = await deployment.start_engine(service, name, "b")
                deployment.remote_engines.append(engine)
        await until(lambda: all(len(n.backends.by_id) == 16 for n in deployment.nodes))
        yield deployment


def remote_run_count(deployment):
    """Count the requests and batch items that the remote servers ran."""
    return sum(
        len(engine.runs) + len(engine.batch_items)
        for engine in deployment.remote_engines
    )


def evacuated(deployment, data_centre="b"):
    identifier = DataCentre(data_centre)
    return all(
        n.evacuation.evacuations.is_evacuated(identifier) for n in deployment.nodes
    )


async def send_requests(deployment, count=40):
    asks = [
        deployment.ask(("/safe/x", "/stream/resumed/x")[n % 2], node=n % 2)
        for n in range(count)
    ]
    return await asyncio.gather(*asks)


class TestEvacuation:
    async def test_its_servers_are_used_before_the_evacuation(self, two_data_centres):
        await send_requests(two_data_centres)
        assert remote_run_count(two_data_centres) > 0

    # Guards against requests that are sent to an evacuated data centre.
    async def test_no_new_requests_are_sent_there(self, two_data_centres):
        two_data_centres.store.put("op", ROW, {})
        await until(lambda: evacuated(two_data_centres), 2.0)
        before = remote_run_count(two_data_centres)
        answers = await send_requests(two_data_centres)
        assert {status for status, _, _ in answers} == {200}
        assert remote_run_count(two_data_centres) == before

    # Guards against a node that starts without the store, and gets the tables from one
    # that has not read of the evacuation, but has been told of it.
    async def test_a_node_that_starts_without_the_store_knows_of_it(
        self, two_data_centres
    ):
        two_data_centres.store.down = True
        await asyncio.sleep(STORE_READ_MAX_AGE_S)
        told = GossipItem(EVACUATION_KIND, "b", 2 * NEWER_VERSION + 1)
        for node in two_data_centres.nodes:
            node.membership.apply_exchange(Exchange((), (told,)))
            # It was sent as often as gossip items are.
            node.membership._gossip_items._queue = BroadcastQueue()
        started = await two_data_centres.add_node()
        await until(lambda: started.ready)
        assert evacuated(two_data_centres)

    async def test_no_new_batch_items_are_sent_there(self, two_data_centres):
        two_data_centres.store.put("op", ROW, {})
        await until(lambda: evacuated(two_data_centres), 2.0)
        asks = [
            two_data_centres.ask("/stream/staged/x", node=n % 2, **STAGED)
            for n in range(20)
        ]
        answers = await asyncio.gather(*asks)
        assert {status for status, _, _ in answers} == {200}
        assert remote_run_count(two_data_centres) == 0

    async def test_a_running_request_completes_there(self):
        async with EntryDeployment(nodes=1, event_s=0.05, servers=0) as deployment:
            for service in SERVICES:
                await deployment.start_engine(service, f"far-{service}", "b")
            node = deployment.nodes[0]
            await until(lambda: len(node.backends.by_id) == len(SERVICES))
            running = asyncio.create_task(deployment.ask("/stream/single/x"))
            await until(lambda: deployment.runs("readers"))
            deployment.store.put("op", ROW, {})
            await until(lambda: evacuated(deployment), 2.0)
            status, _, body = await running
        assert (status, body) == (200, COMPLETE_STREAM)

    async def test_it_is_used_again_after_the_evacuation(self, two_data_centres):
        two_data_centres.store.put("op", ROW, {})
        await until(lambda: evacuated(two_data_centres), 2.0)
        two_data_centres.store.remove("op", ROW)
        await until(lambda: not evacuated(two_data_centres), 2.0)
        await send_requests(two_data_centres)
        assert remote_run_count(two_data_centres) > 0

    # Guards against nodes that miss the end of an evacuation because the store has
    # dropped its history.
    async def test_the_end_is_seen_after_the_store_dropped_its_history(
        self, two_data_centres
    ):
        two_data_centres.store.put("op", ROW, {})
        await until(lambda: evacuated(two_data_centres), 2.0)
        two_data_centres.store.remove("op", ROW)
        two_data_centres.store.drop_history()
        await until(
            lambda: (
                not any(
                    n.evacuation.evacuations.is_evacuated("b")
                    for n in two_data_centres.nodes
                )
            ),
            4.0,
        )

    async def test_a_node_that_starts_later_applies_it(self, two_data_centres):
        two_data_centres.store.put("op", ROW, {})
        late = await two_data_centres.add_node()
        await until(lambda: late.ready, 2.0)
        assert late.evacuation.evacuations.is_evacuated("b")

    # Guards against callers that wait although no server may run their request.
    async def test_callers_are_refused_at_once_if_all_are_evacuated(
        self, two_data_centres
    ):
        for data_centre in ("a", "b"):
            two_data_centres.store.put("op", f"evacuate/{data_centre}", {})
            await until(lambda name=data_centre: evacuated(two_data_centres, name), 2.0)
        for target in ("/safe/x", "/stream/resumed/x", "/stream/staged/x"):
            async with asyncio.timeout(0.5):
                status, headers, _ = await two_data_centres.ask(target, **STAGED)
            assert status == 503
            assert float(headers["Retry-After"]) > 0

    async def test_an_unknown_data_centre_changes_nothing(self, two_data_centres):
        two_data_centres.store.put("op", "evacuate/nowhere", {})
        two_data_centres.store.put_raw("op", "evacuate/", b"\xff")
        await until(lambda: evacuated(two_data_centres, "nowhere"), 2.0)
        answers = await send_requests(two_data_centres)
        assert {status for status, _, _ in answers} == {200}

    async def test_metrics_report_it(self, two_data_centres):
        two_data_centres.store.put("op", ROW, {})
        await until(lambda: evacuated(two_data_centres), 2.0)
        text = two_data_centres.nodes[0].metrics.text().decode()
        assert 'eelgrassward_evacuated_in_flight{data_centre="b"} 0.0' in text
        assert 'eelgrassward_evacuated_seconds{data_centre="b"}' in text


def bound_to(regions, account_regions=None):
    """Return a configuration that limits routes, and maybe the account, to regions."""
    settings = configuration(2)
    for route in settings["Routes"]:
        route["AllowedRegions"] = regions
    if account_regions:
        settings["Tenants"][0]["AllowedRegions"] = account_regions
    return settings


class TestRegions:
    """Data centres a and b are in the east, c in the west."""

    @pytest.fixture
    async def regions(self):
        async with EntryDeployment() as deployment:
            deployment.remote_engines = [
                await deployment.start_engine(service, f"west-{service}", "c")
                for service in SERVICES
            ]
            known = len(SERVICES) * 3
            await until(
                lambda: all(len(n.backends.by_id) == known for n in deployment.nodes)
            )
            yield deployment

    async def configure(self, deployment, *regions):
        deployment.store.put("op", "config", bound_to(*regions))
        await until(lambda: all(n.deployments.number == 2 for n in deployment.nodes))

    # Guards against a request that runs outside the allowed regions of its route.
    async def test_a_route_keeps_its_requests_there(self, regions):
        await self.configure(regions, ["east"])
        answers = await send_requests(regions)
        asks = [regions.ask("/stream/staged/x", **STAGED) for _ in range(10)]
        answers += await asyncio.gather(*asks)
        assert [body for status, _, body in answers if status != 200] == []
        assert {status for status, _, _ in answers} == {200}
        assert remote_run_count(regions) == 0

    async def test_requests_use_remote_servers_if_the_route_requires_it(self, regions):
        await self.configure(regions, ["west"])
        answers = await send_requests(regions, 10)
        assert {status for status, _, _ in answers} == {200}
        assert remote_run_count(regions) == 10

    async def test_the_regions_of_an_account_apply(self, regions):
        await self.configure(regions, None, ["west"])
        await send_requests(regions, 10)
        assert remote_run_count(regions) == 10

    async def test_the_regions_of_route_and_account_apply_together(self, regions):
        await self.configure(regions, ["east", "west"], ["west"])
        await send_requests(regions, 10)
        assert remote_run_count(regions) == 10

    async def test_nothing_runs_if_route_and_account_share_no_region(self, regions):
        await self.configure(regions, ["east"], ["west"])
        for target in ("/safe/x", "/stream/staged/x"):
            status, headers, _ = await regions.ask(target, **STAGED)
            assert status == 503
            assert "Retry-After" in headers
        assert regions.runs("desk") == []
        assert regions.runs("portal") == []
