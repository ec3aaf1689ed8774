"""Claims and group commit against a table whose answers can be lost."""

import asyncio

import pytest

from eelgrass_coordination import Claim, Claims, ClaimState, Condition, Write
from eelgrass_coordination.exceptions import (
    ClaimUnsettled,
    OutcomeUnknown,
    Throttled,
)
from eelgrass_coordination.group_commit import GroupCommit
from eelgrass_coordination.ids import new_id
from eelgrass_standins.platform import RateLimit
from unreliable import UnreliableTable


class UnansweringTable(UnreliableTable):
    """A table that never answers until ``recovered`` is set."""

    def __init__(self):
        super().__init__()
        self.recovered = asyncio.Event()

    async def commit(self, transaction, timeout=None):
        if not self.recovered.is_set():
            self.commit_late(transaction, 0.3)
            await asyncio.sleep(0.05)
            raise OutcomeUnknown("no answer")
        return await super().commit(transaction)


def new_claim(key="key-1", digest="digest"):
    return Claim(
        claim_id=new_id("claim"),
        account="account",
        key=key,
        digest=digest,
        pipeline="transmittal",
        owner="entry-1",
        owner_incarnation="run-1",
        owner_address="127.0.0.1:1",
        started_at=0.0,
        deadline_at=0.0,
    )


async def state_of(claims, key="key-1"):
    row = await claims.find("account", key)
    return None if row.value is None else ClaimState(row.value["state"])


class TestClaims:
    async def test_only_one_of_many_claimants_acquires(self):
        table = UnreliableTable()
        processes = [Claims(table) for _ in range(5)]
        acquiring = [c.acquire(new_claim(), 1.0) for c in processes for _ in range(4)]
        held = await asyncio.gather(*acquiring)
        assert sum(one.acquired for one in held) == 1

    async def test_a_lost_answer_to_the_insert_is_resolved(self):
        table = UnreliableTable()
        claims = Claims(table)
        table.lose_answers = 1
        held = await claims.acquire(new_claim(), 1.0)
        assert held.acquired
        assert await claims.complete(held, "answer")
        assert await state_of(claims) is ClaimState.COMPLETED

    async def test_a_lost_answer_to_the_completion_is_resolved(self):
        table = UnreliableTable()
        claims = Claims(table)
        held = await claims.acquire(new_claim(), 1.0)
        table.lose_answers = 2
        assert await claims.complete(held, "answer")

    async def test_a_released_claim_can_be_acquired_again(self):
        claims = Claims(UnreliableTable())
        held = await claims.acquire(new_claim(), 1.0)
        assert await claims.release(held)
        again = await claims.acquire(new_claim(), 1.0)
        assert again.acquired
        assert not (await claims.acquire(new_claim(), 1.0)).acquired

    async def test_a_late_write_of_an_abandoned_claim_blocks_nobody(self):
        table = UnansweringTable()
        claims = Claims(table)
        with pytest.raises(ClaimUnsettled):
            await claims.acquire(new_claim(), 0.1)
        table.recovered.set()
        await asyncio.gather(*table.late_tasks)
        assert await claims.drain(2.0) == 0
        assert await state_of(claims) is ClaimState.RELEASED
        assert (await claims.acquire(new_claim(), 1.0)).acquired

    async def test_a_late_write_cannot_undo_a_later_claim(self):
        table = UnreliableTable()
        slow, quick = Claims(table), Claims(table)
        table.late_by = [0.2]
        first, second = new_claim(), new_claim()
        held = await asyncio.gather(slow.acquire(first, 1.0), quick.acquire(second, 1))
        await asyncio.gather(*table.late_tasks)
        assert sum(one.acquired for one in held) == 1

    async def test_open_claims_are_listed_until_they_are_resolved(self):
        claims = Claims(UnreliableTable())
        held = await claims.acquire(new_claim(), 1.0)
        assert [c.key for c in await claims.list_open()] == ["key-1"]
        await claims.mark_unknown(held, "lost")
        assert [c.state for c in await claims.list_open()] == [ClaimState.UNKNOWN]
        assert await claims.resolve("account", "key-1", "seen in the register")
        assert await claims.list_open() == ()
        assert await state_of(claims) is ClaimState.RESOLVED
        assert not (await claims.acquire(new_claim(), 1.0)).acquired


class ThrottlingTable(UnreliableTable):
    """A table with a rate limit, in transactions per second."""

    def __init__(self, rate):
        super().__init__()
        self.limit = RateLimit(rate)

    async def commit(self, transaction, timeout=None):
        await asyncio.sleep(0.002)
        if not self.limit.allows():
            raise Throttled("rate limit")
        return self.commit_now(transaction)


class TestRateLimit:
    async def test_processes_share_a_limit_and_no_claim_is_abandoned(self):
        table = ThrottlingTable(rate=60)
        processes = [Claims(table) for _ in range(10)]

        async def one(number):
            await asyncio.sleep(number * 0.01)
            claims = processes[number % len(processes)]
            return await claims.acquire(new_claim(f"key-{number}"), 3.0)

        held = await asyncio.gather(*(one(number) for number in range(200)))
        assert all(one.acquired for one in held)
        transactions = sum(claims.group.transactions for claims in processes)
        throttled = sum(claims.group.throttled for claims in processes)
        assert throttled < transactions / 2


class TestGroupCommit:
    async def test_units_of_one_row_do_not_share_a_transaction(self):
        table = UnreliableTable()
        group = GroupCommit(table)
        units = [
            group.commit((Condition("t", "k", 0),), (Write("t", "k", {"n": n}),))
            for n in range(10)
        ]
        results = await asyncio.gather(*units)
        assert sum(result.committed for result in results) == 1

    async def test_units_of_many_rows_share_transactions(self):
        table = UnreliableTable()
        group = GroupCommit(table)
        units = [
            group.commit((Condition("t", f"k{n}", 0),), (Write("t", f"k{n}", {}),))
            for n in range(128)
        ]
        results = await asyncio.gather(*units)
        assert all(result.committed for result in results)
        assert group.transactions <= 3

    async def test_a_conflict_fails_only_its_own_unit(self):
        table = UnreliableTable()
        group = GroupCommit(table)
        await group.commit((), (Write("t", "taken", {}),))
        units = [
            group.commit((Condition("t", key, 0),), (Write("t", key, {}),))
            for key in ("taken", "free-1", "free-2")
        ]
        results = await asyncio.gather(*units)
        assert [result.committed for result in results] == [False, True, True]
