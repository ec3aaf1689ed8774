"""Which engine a prompt goes to, under the loads of the sheets; no network."""

import asyncio
from collections import Counter

import pytest

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.process.backends import Backend, Backends, HostEntry
from eelgrass_node.process.placement import (
    CACHE_WARM_S,
    copy_source,
    hash_order,
    place_plain,
    place_prompt,
)
from eelgrass_node.version.deployment import ModelLimits


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
        first.record_load(running=30, waiting=3)
        now = asyncio.get_running_loop().time()
        at = second.entry.data_centre
        chosen = place_prompt(servers, "subject", 6300, at, "", now)
        assert chosen is not first

    @pytest.mark.parametrize("prefix_key", ["of-many", None])
    async def test_small_prompts_spread_where_no_load_is_known(self, prefix_key):
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
                engines, prefix_key and f"{prefix_key}-{n}", 568, "abc"[n % 3], "", 0.0
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


class TestCopies:
    """Engines come and go while prompts share long parts.

    A new engine takes over a part of all subjects; reading their shared parts
    again takes 0.24 s of a target of 1.3 s, and copying them 5 ms (13,300 tokens of
    18 KB over 370 Gbit/s).
    """

    LIMITS = ModelLimits(64, 613_549, token_bytes=18_432.0, link_bytes_per_s=46.25e9)

    def engines(self):
        return [
            Backend(
                HostEntry(BackendId(f"e{n}"), "readers", f"e{n}:1", DataCentre("a"))
            )
            for n in range(9)
        ]

    def source(self, engines, chosen, tokens=13_300, now=100.0):
        copy_s = self.LIMITS.copy_s(tokens)
        return copy_source(engines, chosen, "subject", tokens, copy_s, now)

    def test_a_new_engine_copies_from_the_one_that_had_the_subject(self):
        engines = self.engines()
        first, second = hash_order(engines, "subject")[:2]
        first.first_listed_at = 100.0 - CACHE_WARM_S / 2
        assert self.source(engines, first) is second

    def test_one_that_is_settled_holds_its_subjects_itself(self):
        engines = self.engines()
        first = hash_order(engines, "subject")[0]
        first.first_listed_at = 100.0 - 2 * CACHE_WARM_S
        assert self.source(engines, first) is None

    def test_another_engine_copies_what_the_first_one_holds(self):
        engines = self.engines()
        first, second = hash_order(engines, "subject")[:2]
        assert self.source(engines, second) is first

    def test_where_all_are_new_nobody_holds_anything(self):
        engines = self.engines()
        for engine in engines:
            engine.first_listed_at = 99.0
        assert self.source(engines, engines[0]) is None

    def test_short_parts_are_read(self):
        engines = self.engines()
        assert self.source(engines, hash_order(engines, "subject")[1], 300) is None

    @pytest.mark.parametrize(
        "limits",
        [
            ModelLimits(64, 600_000),
            # A hundred times the memory a token, over a link of 10 Gbit/s.
            ModelLimits(64, 600_000, token_bytes=1.8e6, link_bytes_per_s=1.25e9),
        ],
        ids=["unknown", "slow"],
    )
    def test_copies_that_take_long_are_not_made(self, limits):
        engines = self.engines()
        second = hash_order(engines, "subject")[1]
        copy_s = limits.copy_s(13_300)
        found = copy_source(engines, second, "subject", 13_300, copy_s, 100.0)
        assert found is None

    def test_only_servers_that_came_later_are_new(self):
        backends = Backends()
        entries = [engine.entry for engine in self.engines()]
        backends.update(entries[:8])
        assert all(b.first_listed_at == float("-inf") for b in backends.by_id.values())
