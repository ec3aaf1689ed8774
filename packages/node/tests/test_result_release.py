"""Freeing results through owners that are well, stand still, leave or are gone."""

import asyncio

import msgspec
import pytest

from eelgrass_coordination import MemberState
from eelgrass_node.exceptions import PeerUnreachable
from eelgrass_node.process.result_release import OWNER_ANSWERS_S, ResultReleaser
from eelgrass_node.version.deployment import ServiceName
from support.members import member
from support.simulated_time import run_in_simulated_time

SERVICE = ServiceName("portal")
LIFE_S = 4.0


class Client:
    """Reaches an owner that answers after a while, or refuses."""

    def __init__(self, answers_after_s, refuses):
        self.freed = []
        self._answers_after_s = answers_after_s
        self._refuses = refuses

    async def free(self, address, service, handles, within_s):
        if self._refuses:
            raise PeerUnreachable(address, "refused")
        if self._answers_after_s > within_s:
            await asyncio.sleep(within_s)
            raise PeerUnreachable(address, "silent", timed_out=True)
        await asyncio.sleep(self._answers_after_s)
        self.freed.append(handles)


class Owner:
    """A node that owns a queue, as another one sees it; both note what is freed."""

    def __init__(self, answers_after_s=0.0, refuses=False, state=MemberState.ALIVE):
        record = msgspec.structs.replace(member("n1"), state=state)
        client = Client(answers_after_s, refuses)
        self.freed_there = client.freed
        self.freed_here = []
        self.silent = []
        known = {record.id: record}.get
        self._freed = ResultReleaser(
            self, self, client, known, self.silent.append, lambda name: None
        )

    def result_life_s(self, service):
        return LIFE_S

    def on_answer(self, owner):
        self.silent.clear()

    def free(self, service, handles):
        self.freed_here.append((handles, asyncio.get_running_loop().time()))

    async def play(self, owner="n1"):
        self._freed.free(SERVICE, ["h"], owner)
        await asyncio.sleep(LIFE_S + 1)
        return self


class TestFreedResults:
    def test_an_owner_that_answers_frees_them(self):
        owner = run_in_simulated_time(Owner(0.01).play())
        assert owner.freed_there == [["h"]] and not owner.freed_here

    # A queue whose owner stood still took its servers for full for seconds.
    def test_an_owner_that_stands_still_hears_of_it_when_it_goes_on(self):
        owner = run_in_simulated_time(Owner(0.6).play())
        assert owner.freed_there == [["h"]]
        [(handles, at)] = owner.freed_here
        assert handles == ["h"] and at == pytest.approx(OWNER_ANSWERS_S)
        assert not owner.silent

    # Pieces that waited at a stopping node were late beside idle servers.
    def test_an_owner_that_leaves_still_counts_them(self):
        owner = run_in_simulated_time(Owner(0.01, state=MemberState.LEFT).play())
        assert owner.freed_there == [["h"]]

    @pytest.mark.parametrize("state", [MemberState.ALIVE, MemberState.LEFT])
    def test_one_that_is_gone_is_done_without(self, state):
        owner = run_in_simulated_time(Owner(refuses=True, state=state).play())
        assert [handles for handles, _ in owner.freed_here] == [["h"]]

    def test_a_dead_one_is_not_asked(self):
        owner = run_in_simulated_time(Owner(state=MemberState.DEAD).play())
        assert owner.freed_here == [(["h"], 0.0)] and not owner.freed_there

    @pytest.mark.parametrize("named", [None, "n2"])
    def test_results_of_this_node_are_freed_here(self, named):
        owner = run_in_simulated_time(Owner().play(named))
        assert owner.freed_here == [(["h"], 0.0)]
