"""The change log: serial changes, lost answers, and a follower that never goes back."""

import asyncio
import random

import pytest

from eelgrass_coordination import (
    Action,
    Change,
    ChangeItem,
    ChangeLog,
    ChangeOutcome,
    Follower,
    Problem,
)
from eelgrass_coordination.configuration import encode_value
from eelgrass_coordination.exceptions import SnapshotGap
from unreliable import UnreliableTable

KIND = "things"


def no_check(before, after):
    return []


def at_most_two(before, after):
    """A check that depends on the complete result of a change."""
    if len(after.by_kind.get(KIND, {})) <= 2:
        return []
    return [Problem(KIND, "there are more than two", "delete one first")]


def create(name, change_id=None, value=1):
    item = ChangeItem(KIND, name, Action.CREATE, value=encode_value(value))
    return Change(change_id or f"create-{name}", "test", (item,))


def amend(name, base, change_id, value):
    item = ChangeItem(KIND, name, Action.AMEND, base, encode_value(value))
    return Change(change_id, "test", (item,))


def delete(name, base, change_id="delete"):
    return Change(change_id, "test", (ChangeItem(KIND, name, Action.DELETE, base),))


class Team:
    """The node that a team uses: a change log and its follower."""

    def __init__(self, table, check=no_check):
        self.log = ChangeLog(table)
        self.follower = Follower()
        self._check = check

    async def snapshot_at(self, head):
        changes = await self.log.changes_after(self.follower.revision, head)
        self.follower.advance(changes)
        return self.follower.snapshot

    async def submit(self, change, within=3.0):
        return await self.log.propose(change, self.snapshot_at, self._check, within)


async def final_snapshot(table):
    await asyncio.gather(*table.late_tasks)
    table._randomness = None
    team = Team(table)
    head, _ = await team.log.head()
    return await team.snapshot_at(head)


class TestRacingTeams:
    async def test_concurrent_changes_cannot_both_pass_a_global_check(self):
        table = UnreliableTable()
        teams = [Team(table, at_most_two) for _ in range(4)]
        results = await asyncio.gather(
            *(team.submit(create(f"thing-{n}")) for n, team in enumerate(teams))
        )
        outcomes = [result.outcome for result in results]
        assert outcomes.count(ChangeOutcome.ACCEPTED) == 2
        assert outcomes.count(ChangeOutcome.REFUSED) == 2

    async def test_an_amendment_of_an_outdated_revision_is_refused(self):
        table = UnreliableTable()
        first, second = Team(table), Team(table)
        base = (await first.submit(create("thing"))).revision
        assert (await first.submit(amend("thing", base, "a", 2))).revision == base + 1
        result = await second.submit(amend("thing", base, "b", 3))
        assert result.outcome is ChangeOutcome.REFUSED
        assert "prepare the change anew" in result.problems[0].remedy

    async def test_a_change_of_a_deleted_object_does_not_affect_its_successor(self):
        table = UnreliableTable()
        first, second = Team(table), Team(table)
        base = (await first.submit(create("thing"))).revision
        await second.submit(delete("thing", base))
        await second.submit(create("thing", "again", value=10))
        result = await first.submit(amend("thing", base, "late", 2))
        assert result.outcome is ChangeOutcome.REFUSED
        snapshot = await final_snapshot(table)
        assert bytes(snapshot.get(KIND, "thing").value) == b"10"

    @pytest.mark.parametrize("seed", range(8))
    async def test_accepted_changes_hold_on_a_faulty_platform(self, seed):
        randomness = random.Random(seed)
        table = UnreliableTable(randomness)
        teams = [Team(table) for _ in range(5)]

        async def work(number, team):
            accepted = {}
            for n in range(4):
                name = f"thing-{number}-{n}"
                result = await team.submit(create(name, value=n))
                accepted[name] = result
            return accepted

        found = await asyncio.gather(*(work(n, team) for n, team in enumerate(teams)))
        snapshot = await final_snapshot(table)
        revisions = []
        for results in found:
            for name, result in results.items():
                entry = snapshot.get(KIND, name)
                assert result.outcome is ChangeOutcome.ACCEPTED
                assert entry.revision == result.revision
                revisions.append(result.revision)
        assert sorted(revisions) == list(range(1, 21))
        for team in teams:
            assert team.follower.revision <= snapshot.revision


class TestLostAnswers:
    async def test_a_lost_answer_is_resolved_and_a_repeat_has_no_effect(self):
        table = UnreliableTable()
        table.lose_answers = 1
        result = await Team(table).submit(create("thing"))
        again = await Team(table).submit(create("thing"))
        assert result == again
        assert result.outcome is ChangeOutcome.ACCEPTED

    async def test_a_late_write_takes_effect_at_most_once(self):
        table = UnreliableTable()
        table.late_by = [0.1, 0.2]
        first = await Team(table).submit(create("thing", value=1))
        other = await Team(table).submit(amend("thing", first.revision, "b", 2))
        assert other.outcome is ChangeOutcome.ACCEPTED
        snapshot = await final_snapshot(table)
        assert bytes(snapshot.get(KIND, "thing").value) == b"2"

    async def test_an_outage_leaves_the_outcome_unknown(self):
        table = UnreliableTable()
        table.late_by = [0.05] * 100
        result = await Team(table).submit(create("thing"), within=0.2)
        assert result.outcome is ChangeOutcome.UNKNOWN
        await asyncio.gather(*table.late_tasks)
        assert await ChangeLog(table).find("create-thing") == 1


class TestFollower:
    async def test_it_never_goes_back(self):
        table = UnreliableTable()
        team = Team(table)
        await team.submit(create("thing-0"))
        old = await team.snapshot_at(1)
        for n in (1, 2):
            await team.submit(create(f"thing-{n}"))
        await team.snapshot_at(3)
        changes = list(team.follower.recent_changes)
        other = Follower()
        other.advance(changes)
        other.advance(changes[:1])
        assert not other.replace(old)
        assert other.revision == 3

    async def test_a_gap_is_refused(self):
        team = Team(UnreliableTable())
        for n in range(3):
            await team.submit(create(f"thing-{n}"))
        await team.snapshot_at(3)
        with pytest.raises(SnapshotGap):
            Follower().advance(list(team.follower.recent_changes)[1:])

    async def test_age_counts_from_the_last_confirmation(self):
        now = [100.0]
        follower = Follower(lambda: now[0])
        follower.confirm(0)
        now[0] = 107.0
        assert follower.age() == 7.0
        follower.confirm(0, age=3.0)
        assert follower.age() == 3.0
        follower.confirm(0, age=5.0)
        assert follower.age() == 3.0
