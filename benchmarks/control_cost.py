"""Measures the cost of the control plane to a node at growing sizes.

Run as ``make capacity``. The figures hold only for this run on this machine.
"""

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from eelgrass_coordination import (
    Action,
    Change,
    ChangeItem,
    Claim,
    Claims,
    Member,
    Membership,
    Snapshot,
)
from eelgrass_coordination.configuration import Entry, apply_change, encode_value
from eelgrass_coordination.exceptions import ClaimUnsettled, Throttled
from eelgrass_coordination.ids import new_id
from eelgrass_coordination.members import MemberTable
from eelgrass_node.process.backends import Backends, HostEntry
from eelgrass_node.version import validate_snapshot
from eelgrass_standins.platform import RateLimit, TableStandIn
from eelgrass_standins.ports import free_addresses
from eelgrass_standins.samples import DATA_CENTRES
from processor_time import cpu_s

MEMBER_COUNTS = (2, 4, 8, 16, 32, 64)
ACCOUNT_COUNTS = (1_000, 4_000, 16_000, 48_000)
BACKEND_COUNTS = (100, 400, 870)
SETTLE_S = 4.0
MEASURE_S = 10.0
CHANGES = 20
KEYED_RATES = ((1, 50), (1, 200), (9, 100), (9, 200), (9, 400), (30, 400))
COMMIT_LATENCY_S = 0.005
WRITES_PER_S = 300
CLAIM_TIMEOUT_S = 0.8


def heap_of(build: Callable[[], Any]) -> tuple[Any, int]:
    """Return the object that ``build`` makes and the heap bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, held


def new_member(number: int, gossip: str) -> Member:
    """Return a member record as large as in a deployment of the target size."""
    return Member(
        id=f"entry-{number:04d}",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        internal=gossip,
        gossip=gossip,
        epoch=time.time_ns() // 1000,
    )


async def measure_membership(count: int) -> None:
    """Measure the gossip of ``count`` members in one process."""
    addresses = free_addresses(count)
    members = [
        Membership(new_member(n, address), seeds=addresses[:3])
        for n, address in enumerate(addresses)
    ]
    for member in members:
        await member.start()
    for member in members:
        member.apply_exchange(members[0].exchange())
    await asyncio.sleep(SETTLE_S)
    sent = [(m.sent_messages, m.sent_bytes) for m in members]
    began, began_cpu = time.monotonic(), cpu_s()
    await asyncio.sleep(MEASURE_S)
    took, took_cpu = time.monotonic() - began, cpu_s() - began_cpu
    messages = sum(m.sent_messages - s[0] for m, s in zip(members, sent, strict=True))
    sent_bytes = sum(m.sent_bytes - s[1] for m, s in zip(members, sent, strict=True))
    visible = min(len(member.members.reachable()) for member in members)
    for member in members:
        await member.stop()
    rate = count * took
    print(
        f"  {count:4} members (each sees {visible + 1:3}): "
        f"{took_cpu / rate * 1e3:6.3f} ms CPU/s, {messages / rate:5.2f} messages/s, "
        f"{sent_bytes / rate:7.0f} bytes/s sent, per node"
    )


def measure_member_table() -> None:
    """Measure the memory of 400 member records."""

    def build() -> MemberTable:
        table = MemberTable()
        for n in range(400):
            table.merge(new_member(n, f"10.0.{n // 250}.{n % 250}:8082"))
        return table

    _, held = heap_of(build)
    print(f"  400 member records: {held / 1024:.0f} KiB")


def account_items(count: int) -> list[tuple[str, str, dict[str, Any]]]:
    """Return ``count`` accounts, each with two parameter sets, and 40 templates."""
    stage = {"name": "s", "kind": "encode", "service": "encoders"}
    stages = [{**stage, "name": f"s{n}"} for n in range(5)]
    items: list[tuple[str, str, dict[str, Any]]] = []
    for n in range(40):
        template = {"stages": stages, "deadline_ms": 4000, "priority": n % 5}
        items.append(("templates", f"pipeline-{n:02d}", template))
    for n in range(count):
        account = f"account-{n:05d}"
        items.append(("accounts", account, {"key_sha256": f"{n:064x}"}))
        for m in range(2):
            template = f"pipeline-{(n + m * 7) % 40:02d}"
            value = {
                "account": account,
                "template": template,
                "values": {},
                "deadline_ms": 3000,
                "template_incarnation": 1,
            }
            items.append(("parameters", f"{account}/{template}", value))
    return items


def build_snapshot(count: int) -> Snapshot:
    """Return a configuration snapshot of ``count`` accounts."""
    by_kind: dict[str, dict[str, Entry]] = {}
    for kind, name, value in account_items(count):
        entry = Entry(1, 1, encode_value(value))
        by_kind.setdefault(kind, {})[name] = entry
    return Snapshot(1, by_kind)


def measure_snapshot(count: int) -> None:
    """Measure the memory of a configuration and the time of a change."""
    snapshot, held = heap_of(lambda: build_snapshot(count))
    objects = sum(len(by_name) for by_name in snapshot.by_kind.values())
    began = time.perf_counter()
    encoded = msgspec.json.encode(snapshot)
    encode_s = time.perf_counter() - began
    began = time.perf_counter()
    msgspec.json.decode(encoded, type=Snapshot)
    decode_s = time.perf_counter() - began
    spent = [0.0, 0.0]
    for n in range(CHANGES):
        template = f"pipeline-{n % 40:02d}"
        value = msgspec.json.decode(snapshot.by_kind["templates"][template].value)
        entry = snapshot.get("templates", template)
        item = ChangeItem(
            "templates", template, Action.AMEND, entry.revision, encode_value(value)
        )
        change = Change(f"c{n}", "x", (item,), revision=snapshot.revision + 1)
        began = time.perf_counter()
        after = apply_change(snapshot, change)
        spent[0] += time.perf_counter() - began
        began = time.perf_counter()
        assert validate_snapshot(snapshot, after) == []
        spent[1] += time.perf_counter() - began
        snapshot = after
    print(
        f"  {count:6} accounts, {objects:6} objects: {held / 2**20:5.1f} MiB, "
        f"encoded {len(encoded) / 2**20:5.1f} MiB in {encode_s * 1e3:4.0f} ms, "
        f"decoded in {decode_s * 1e3:4.0f} ms; a change of a template: "
        f"applied in {spent[0] / CHANGES * 1e3:5.2f} ms, "
        f"checked in {spent[1] / CHANGES * 1e3:6.1f} ms (at one node)"
    )


async def measure_backends(count: int) -> None:
    """Measure the memory of backend records and the time to apply a server list."""
    entries = [
        HostEntry(f"engine-{n}", "readers", f"10.1.{n // 250}.{n % 250}:9000", "x")
        for n in range(count)
    ]
    backends = Backends()
    _, held = heap_of(lambda: backends.update(entries))
    began = time.perf_counter()
    for _ in range(20):
        backends.update(entries)
    update_ms = (time.perf_counter() - began) / 20 * 1e3
    print(
        f"  {count:4} backend servers: {held / 1024:6.0f} KiB, "
        f"a polled server list is applied in {update_ms:5.2f} ms"
    )


class SlowTable(TableStandIn):
    """A table whose commits take ``COMMIT_LATENCY_S`` and are rate-limited."""

    def __init__(self) -> None:
        super().__init__()
        self.limit = RateLimit(WRITES_PER_S)
        self.throttled = 0

    async def commit(self, transaction: Any, timeout: float | None = None) -> Any:
        """Commit after the platform's latency; raise Throttled above the rate limit."""
        await asyncio.sleep(COMMIT_LATENCY_S)
        if not self.limit.allows():
            self.throttled += 1
            raise Throttled("rate limit")
        return self.commit_now(transaction)


async def measure_claims(nodes: int, rate: int) -> None:
    """Measure transactions and latency of claims at a rate of keyed requests."""
    table = SlowTable()
    all_claims = [Claims(table) for _ in range(nodes)]
    randomness = random.Random(1)
    latencies: list[float] = []
    tasks: list[asyncio.Task] = []

    async def send_keyed_request() -> None:
        claims = randomness.choice(all_claims)
        began = time.perf_counter()
        claim = Claim(
            new_id("claim"), "account", new_id("key"), "d", "p", "n", "r", "a", 0, 0
        )
        try:
            held = await claims.acquire(claim, CLAIM_TIMEOUT_S)
        except ClaimUnsettled:
            return
        latencies.append(time.perf_counter() - began)
        await claims.complete(held, {"done": True})

    began, began_cpu = time.monotonic(), cpu_s()
    while time.monotonic() - began < 3.0:
        tasks.append(asyncio.create_task(send_keyed_request()))
        await asyncio.sleep(randomness.expovariate(rate))
    await asyncio.gather(*tasks)
    took, took_cpu = time.monotonic() - began, cpu_s() - began_cpu
    latencies.sort()
    transactions = sum(claims.group.transactions for claims in all_claims)
    units = sum(claims.group.units for claims in all_claims)
    for claims in all_claims:
        await claims.close()
    print(
        f"  {nodes} nodes, {len(tasks) / took:4.0f} keyed requests/s: "
        f"{transactions / took:5.1f} transactions/s, {table.throttled / took:5.1f} "
        f"of them throttled, {units / transactions:4.1f} units each; "
        f"{len(tasks) - len(latencies)} of {len(tasks)} not claimed in time; claim p50 "
        f"{latencies[len(latencies) // 2] * 1e3:5.1f} ms, p99 "
        f"{latencies[int(len(latencies) * 0.99)] * 1e3:5.1f} ms; "
        f"{took_cpu / len(tasks) * 1e3:5.2f} ms CPU each"
    )


async def main() -> None:
    """Run all measurements."""
    print("Membership, 1 s heartbeat")
    for count in MEMBER_COUNTS:
        await measure_membership(count)
    measure_member_table()
    print("Configuration")
    for count in ACCOUNT_COUNTS:
        measure_snapshot(count)
    print("Backend servers")
    for count in BACKEND_COUNTS:
        await measure_backends(count)
    print(f"Claims, {COMMIT_LATENCY_S * 1e3:.0f} ms and {WRITES_PER_S} transactions/s")
    for nodes, rate in KEYED_RATES:
        await measure_claims(nodes, rate)


if __name__ == "__main__":
    asyncio.run(main())
