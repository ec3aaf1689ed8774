"""Freeing results through queue owners that are healthy, stalled, leaving or dead."""

import asyncio

import msgspec
import pytest

from eelgrass_coordination import MemberState
from eelgrass_node.exceptions import PeerUnreachable
from eelgrass_node.process.result_release import OWNER_TIMEOUT_S, ResultReleaser
from eelgrass_node.version.deployment import ServiceName
from support.members import member
from support.simulated_time import run_in_simulated_time

SERVICE = ServiceName("portal")
LIFE_S = 4.0


class Client:
    """Calls an owner that answers after a delay, or refuses."""

    def __init__(self, answers_after_s, refuses):
        self.freed = []
        self._answers_after_s = answers_after_s
        self._refuses = refuses

    async def free(self, address, service, handles, timeout_s):
        if self._refuses:
            raise PeerUnreachable(address, "refused")
        if self._answers_after_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachable(address, "silent", timed_out=True)
        await asyncio.sleep(self._answers_after_s)
        self.freed.append(handles)


class Owner:
    """A queue owner, as seen by another node; both record which results are freed."""

    def __init__(self, answers_after_s=0.0, refuses=False, state=MemberState.ALIVE):
        record = msgspec.structs.replace(member("n1"), state=state)
        client = Client(answers_after_s, refuses)
        self.freed_by_owner = client.freed
        self.freed_locally = []
        self.silent = []
        find_member = {record.id: record}.get
        self._releaser = ResultReleaser(
            self, self, client, find_member, self.silent.append, lambda name: None
        )

    def result_life_s(self, service):
        return LIFE_S

    def on_answer(self, owner):
        self.silent.clear()

    def free(self, service, handles):
        self.freed_locally.append((handles, asyncio.get_running_loop().time()))

    async def play(self, owner="n1"):
        self._releaser.free(SERVICE, ["h"], owner)
        await asyncio.sleep(LIFE_S + 1)
        return self


class TestResultReleaser:
    def test_an_owner_that_answers_frees_the_results(self):
        owner = run_in_simulated_time(Owner(0.01).play())
        assert owner.freed_by_owner == [["h"]] and not owner.freed_locally

    # Guards against a stalled owner that is never notified of freed results: its queue
    # then counted its servers as full for seconds.
    def test_a_stalled_owner_is_notified_when_it_recovers(self):
        owner = run_in_simulated_time(Owner(0.6).play())
        assert owner.freed_by_owner == [["h"]]
        [(handles, at)] = owner.freed_locally
        assert handles == ["h"] and at == pytest.approx(OWNER_TIMEOUT_S)
        assert not owner.silent

    # Guards against items that wait at a stopping node and become late while servers
    # are idle, because the node is not notified of freed results.
    def test_an_owner_that_leaves_is_still_notified(self):
        owner = run_in_simulated_time(Owner(0.01, state=MemberState.LEFT).play())
        assert owner.freed_by_owner == [["h"]]

    @pytest.mark.parametrize("state", [MemberState.ALIVE, MemberState.LEFT])
    def test_results_are_freed_locally_if_the_owner_is_gone(self, state):
        owner = run_in_simulated_time(Owner(refuses=True, state=state).play())
        assert [handles for handles, _ in owner.freed_locally] == [["h"]]

    def test_a_dead_owner_is_not_called(self):
        owner = run_in_simulated_time(Owner(state=MemberState.DEAD).play())
        assert owner.freed_locally == [(["h"], 0.0)] and not owner.freed_by_owner

    @pytest.mark.parametrize("named", [None, "n2"])
    def test_results_of_this_node_are_freed_locally(self, named):
        owner = run_in_simulated_time(Owner().play(named))
        assert owner.freed_locally == [(["h"], 0.0)]
