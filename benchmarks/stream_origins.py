"""Measures what telling other nodes the origins of streams costs a node.

Nodes of six data centres run in one process on loopback datagrams. Each begins streams
at the rate of a node at the target size, 2,200 requests a second over 400 nodes.

    python benchmarks/stream_origins.py [NODES]
"""

import asyncio
import resource
import sys
import time

from eelgrass_coordination.rendezvous import ranked
from eelgrass_standins.ports import free_addresses
from support.origin_fleet import CALLER_TIMEOUT_S, V1, FleetNode
from support.origin_rows import StoredOrigins

STREAMS_PER_S = 5.5
RUN_S = 10.0
# Until the nodes know each other and have stopped to gossip about it.
SETTLE_S = 20.0
DATA_CENTRES = 6
TARGET_NODES = 400


async def begin_streams(node: FleetNode, number: int, waits_s: list[float]) -> None:
    """Begin streams at one node at the target rate."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + RUN_S
    for stream in range(int(RUN_S * STREAMS_PER_S)):
        began = loop.time()
        name = f"{number:08x}{stream:08x}"
        await node.origins.record(name, V1, CALLER_TIMEOUT_S)
        waits_s.append(loop.time() - began)
        node.origins.release(name)
        await asyncio.sleep(max(0.0, 1 / STREAMS_PER_S - (loop.time() - began)))
    await asyncio.sleep(max(0.0, ends_at - loop.time()))


def processor_s() -> float:
    """Return the processor time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def run(count: int) -> None:
    """Run the nodes idle, then with streams, and print the difference."""
    addresses = free_addresses(count)
    store = StoredOrigins()
    nodes = [
        FleetNode(
            f"node-{n}", f"dc-{n % DATA_CENTRES}", address, addresses[:3], 1, store
        )
        for n, address in enumerate(addresses)
    ]
    for node in nodes:
        await node.membership.start()
    await asyncio.sleep(SETTLE_S)
    assert all(len(n.membership.members.reachable()) == count - 1 for n in nodes)
    before, sent = processor_s(), sum(n.membership.sent_bytes for n in nodes)
    await asyncio.sleep(RUN_S)
    idle_s, idle_bytes = (
        processor_s() - before,
        sum(n.membership.sent_bytes for n in nodes) - sent,
    )
    before, sent = processor_s(), sum(n.membership.sent_bytes for n in nodes)
    waits_s: list[float] = []
    await asyncio.gather(
        *(begin_streams(node, number, waits_s) for number, node in enumerate(nodes))
    )
    busy_s = processor_s() - before
    busy_bytes = sum(n.membership.sent_bytes for n in nodes) - sent
    waits_s.sort()
    per_node = RUN_S * count
    print(f"{count} nodes, {STREAMS_PER_S} streams a second each")
    print(f"processor: {(busy_s - idle_s) / per_node * 1000:.2f} ms/s of a node")
    print(f"sent: {(busy_bytes - idle_bytes) / per_node / 1000:.2f} KB/s of a node")
    print(f"origins kept: {sum(len(n.origins.table) for n in nodes) / count:.0f}")
    middle, worst = waits_s[len(waits_s) // 2], waits_s[int(len(waits_s) * 0.99)]
    print(f"first event waits: {middle * 1000:.2f} ms, 99%: {worst * 1000:.2f} ms")
    for node in nodes:
        await node.stop()


def print_choice_cost() -> None:
    """Print what ranking the members of three data centres takes at the target."""
    names = [f"node-{n}" for n in range(TARGET_NODES // DATA_CENTRES)]
    rounds = 200
    began = time.perf_counter()
    for number in range(rounds):
        for _ in range(3):
            ranked(names, f"{number:016x}", name=str)
    took_s = (time.perf_counter() - began) / rounds
    print(
        f"choice of replicas at {TARGET_NODES} nodes: {took_s * 1000:.2f} ms a stream"
    )


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]) if len(sys.argv) > 1 else 60))
    print_choice_cost()
