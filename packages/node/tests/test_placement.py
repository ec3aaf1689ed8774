"""Which engine a prompt goes to, under the loads of the sheets; no network."""

import asyncio
from collections import Counter

import pytest

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.process.backends import Backend, HostEntry
from eelgrass_node.process.placement import hash_order, place_plain, place_prompt


class TestPlacement:
    def servers(self):
        return [
            Backend(HostEntry(BackendId(f"e{n}"), "readers", f"e{n}:1", DataCentre(dc)))
            for n, dc in enumerate("aabbcc")
        ]

    async def test_a_subject_goes_to_one_engine_from_every_node(self):
        servers = self.servers()
        chosen = {
            place_prompt(servers, "subject", 6300, dc, "", 0.0).entry.id for dc in "abc"
        }
        assert chosen == {hash_order(servers, "subject")[0].entry.id}

    async def test_a_busy_engine_passes_its_subject_on(self):
        servers = self.servers()
        first, second = hash_order(servers, "subject")[:2]
        first.note_load(running=30, waiting=3)
        now = asyncio.get_running_loop().time()
        at = second.entry.data_centre
        chosen = place_prompt(servers, "subject", 6300, at, "", now)
        assert chosen is not first

    @pytest.mark.parametrize("subject", ["of-many", None])
    async def test_small_prompts_spread_where_no_load_is_known(self, subject):
        """82 nodes before 45 engines hear of the load of few (grown sheets).

        A short shared part is worth less than the way to another data centre, so
        all engines near by were equal, and the first in the list got them all.
        """
        engines = [
            Backend(
                HostEntry(
                    BackendId(f"e{n}"), "readers", f"e{n}:1", DataCentre("abc"[n % 3])
                )
            )
            for n in range(45)
        ]
        counts = Counter(
            place_prompt(
                engines, subject and f"{subject}-{n}", 568, "abc"[n % 3], "", 0.0
            ).entry.id
            for n in range(1200)
        )
        mean = 1200 / len(engines)
        assert max(counts.values()) < 2 * mean

    async def test_large_inputs_draw_a_small_prompt_to_their_data_centre(self):
        chosen = place_prompt(self.servers(), None, 0, "a", "b", 0.0)
        assert chosen.entry.data_centre == "b"

    async def test_a_plain_request_goes_to_the_least_loaded(self):
        servers = self.servers()[:2]
        servers[0].in_flight = 3
        assert place_plain(servers, "a", 0.0) is servers[1]
