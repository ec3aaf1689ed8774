"""The operator empties a data centre, and gives it back.

Servers of two data centres stand behind nodes that follow the store.
"""

import asyncio

import pytest

from eelgrass_coordination.ids import DataCentre
from support.entry import COMPLETE_STREAM, EntryDeployment, configuration, until

SERVICES = ("desk", "readers", "portal", "clerks")
ROW = "evacuate/b"
STAGED = {"Eelgrassward_Segments": "1,1,2", "Eelgrassward_Segment_Key": "k"}


@pytest.fixture
async def two_places():
    """Give two nodes and servers of each service in the data centres a and b."""
    async with EntryDeployment() as deployment:
        deployment.far = []
        for service in SERVICES:
            for number in range(2):
                name = f"far-{service}-{number}"
                far = await deployment.start_engine(service, name, "b")
                deployment.far.append(far)
        await until(lambda: all(len(n.backends.by_id) == 16 for n in deployment.nodes))
        yield deployment


def runs_far(deployment):
    """Count the requests and pieces that servers of the other data centre ran."""
    return sum(len(engine.runs) + len(engine.batch_items) for engine in deployment.far)


def emptied(deployment, data_centre="b"):
    place = DataCentre(data_centre)
    return all(n.evacuation.evacuations.is_evacuated(place) for n in deployment.nodes)


async def ask_often(deployment, count=40):
    asks = [
        deployment.ask(("/safe/x", "/stream/resumed/x")[n % 2], node=n % 2)
        for n in range(count)
    ]
    return await asyncio.gather(*asks)


class TestEvacuation:
    async def test_its_servers_are_used_before(self, two_places):
        await ask_often(two_places)
        assert runs_far(two_places) > 0

    # Guards against work that is sent to a data centre which is being emptied.
    async def test_nothing_more_is_sent_there(self, two_places):
        two_places.store.put("op", ROW, {})
        await until(lambda: emptied(two_places), 2.0)
        before = runs_far(two_places)
        answers = await ask_often(two_places)
        assert {status for status, _, _ in answers} == {200}
        assert runs_far(two_places) == before

    async def test_nor_are_pieces_of_stages(self, two_places):
        two_places.store.put("op", ROW, {})
        await until(lambda: emptied(two_places), 2.0)
        asks = [
            two_places.ask("/stream/staged/x", node=n % 2, **STAGED) for n in range(20)
        ]
        answers = await asyncio.gather(*asks)
        assert {status for status, _, _ in answers} == {200}
        assert runs_far(two_places) == 0

    async def test_what_runs_there_ends_by_itself(self):
        async with EntryDeployment(nodes=1, event_s=0.05, servers=0) as deployment:
            for service in SERVICES:
                await deployment.start_engine(service, f"far-{service}", "b")
            node = deployment.nodes[0]
            await until(lambda: len(node.backends.by_id) == len(SERVICES))
            running = asyncio.create_task(deployment.ask("/stream/single/x"))
            await until(lambda: deployment.runs("readers"))
            deployment.store.put("op", ROW, {})
            await until(lambda: emptied(deployment), 2.0)
            status, _, body = await running
        assert (status, body) == (200, COMPLETE_STREAM)

    async def test_it_is_used_again_once_it_is_given_back(self, two_places):
        two_places.store.put("op", ROW, {})
        await until(lambda: emptied(two_places), 2.0)
        two_places.store.remove("op", ROW)
        await until(lambda: not emptied(two_places), 2.0)
        await ask_often(two_places)
        assert runs_far(two_places) > 0

    # Guards against an end that is missed with the store's history.
    async def test_it_ends_also_where_the_store_forgets(self, two_places):
        two_places.store.put("op", ROW, {})
        await until(lambda: emptied(two_places), 2.0)
        two_places.store.remove("op", ROW)
        two_places.store.drop_history()
        await until(
            lambda: (
                not any(
                    n.evacuation.evacuations.is_evacuated("b") for n in two_places.nodes
                )
            ),
            4.0,
        )

    async def test_a_node_that_starts_knows_of_it(self, two_places):
        two_places.store.put("op", ROW, {})
        late = await two_places.add_node()
        await until(lambda: late.ready, 2.0)
        assert late.evacuation.evacuations.is_evacuated("b")

    # Guards against callers that wait for what nobody may serve.
    async def test_where_all_are_emptied_callers_are_refused_at_once(self, two_places):
        for place in ("a", "b"):
            two_places.store.put("op", f"evacuate/{place}", {})
            await until(lambda place=place: emptied(two_places, place), 2.0)
        for target in ("/safe/x", "/stream/resumed/x", "/stream/staged/x"):
            async with asyncio.timeout(0.5):
                status, headers, _ = await two_places.ask(target, **STAGED)
            assert status == 503
            assert float(headers["Retry-After"]) > 0

    async def test_an_unknown_data_centre_changes_nothing(self, two_places):
        two_places.store.put("op", "evacuate/nowhere", {})
        two_places.store.put_raw("op", "evacuate/", b"\xff")
        await until(lambda: emptied(two_places, "nowhere"), 2.0)
        answers = await ask_often(two_places)
        assert {status for status, _, _ in answers} == {200}

    async def test_metrics_tell_of_it(self, two_places):
        two_places.store.put("op", ROW, {})
        await until(lambda: emptied(two_places), 2.0)
        text = two_places.nodes[0].metrics.text().decode()
        assert 'eelgrassward_evacuated_in_flight{data_centre="b"} 0.0' in text
        assert 'eelgrassward_evacuated_seconds{data_centre="b"}' in text


def bound_to(regions, account_regions=None):
    """Return a configuration whose routes and account are bound to regions."""
    whole = configuration(2)
    for route in whole["Routes"]:
        route["AllowedRegions"] = regions
    if account_regions:
        whole["Tenants"][0]["AllowedRegions"] = account_regions
    return whole


class TestRegions:
    """Data centres a and b are in the east, c in the west."""

    @pytest.fixture
    async def regions(self):
        async with EntryDeployment() as deployment:
            deployment.far = [
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

    # Guards against a request that runs outside the regions of its route.
    async def test_a_route_keeps_its_requests_there(self, regions):
        await self.configure(regions, ["east"])
        answers = await ask_often(regions)
        asks = [regions.ask("/stream/staged/x", **STAGED) for _ in range(10)]
        answers += await asyncio.gather(*asks)
        assert {status for status, _, _ in answers} == {200}
        assert runs_far(regions) == 0

    async def test_it_goes_far_for_them(self, regions):
        await self.configure(regions, ["west"])
        answers = await ask_often(regions, 10)
        assert {status for status, _, _ in answers} == {200}
        assert runs_far(regions) == 10

    async def test_an_account_keeps_its_own_too(self, regions):
        await self.configure(regions, None, ["west"])
        await ask_often(regions, 10)
        assert runs_far(regions) == 10

    async def test_both_bind_at_once(self, regions):
        await self.configure(regions, ["east", "west"], ["west"])
        await ask_often(regions, 10)
        assert runs_far(regions) == 10

    async def test_where_they_contradict_each_other_nothing_runs(self, regions):
        await self.configure(regions, ["east"], ["west"])
        for target in ("/safe/x", "/stream/staged/x"):
            status, headers, _ = await regions.ask(target, **STAGED)
            assert status == 503
            assert "Retry-After" in headers
        assert regions.runs("desk") == []
        assert regions.runs("portal") == []
