"""Measures the propagation time of a change and the cost of idle nodes.

Deployments of 3, 9 and 30 nodes run in one process with the stand-ins. Run as ``make
capacity``. The figures hold only for this run on this machine.
"""

import asyncio
import time

from eelgrass_standins.samples import DATA_CENTRES, sample_deployment
from processor_time import cpu_s
from support.local import LocalDeployment

NODE_COUNTS = (3, 9, 30)
CHANGES = 10
IDLE_S = 6.0
TIMING = {"head_poll_ms": 1000, "hosts_poll_ms": 1000, "heartbeat_ms": 1000}


async def amend(deployment: LocalDeployment, number: int) -> None:
    """Submit a change at one node; check that it is in force on all nodes."""
    internal = deployment.internal(number % len(deployment.nodes))
    report = await deployment.client.amend(
        internal,
        "templates",
        "current-issue",
        f"change-{number}",
        deadline_ms=1000 + number,
    )
    assert report["result"]["outcome"] == "accepted", report
    assert report["not_yet"] == [], report


async def measure(count: int) -> None:
    """Measure a deployment of ``count`` nodes."""
    spec = sample_deployment(engines=1, pool_size=1)
    async with LocalDeployment(spec, count, DATA_CENTRES, TIMING) as deployment:
        await asyncio.sleep(3.0)
        platform = deployment.stand_ins.platform
        calls = dict(platform.call_counts)
        heads = sum(node.change_log.head_reads for node in deployment.nodes)
        began, began_cpu = time.monotonic(), cpu_s()
        await asyncio.sleep(IDLE_S)
        took = time.monotonic() - began
        idle = (cpu_s() - began_cpu) / took / count * 1e3
        heads = sum(n.change_log.head_reads for n in deployment.nodes) - heads
        hosts = platform.call_counts["/v1/hosts"] - calls["/v1/hosts"]
        times = []
        for number in range(CHANGES):
            began = time.monotonic()
            await amend(deployment, number)
            times.append(time.monotonic() - began)
            await asyncio.sleep(0.2)
        times.sort()
        print(
            f"  {count:3} nodes: in force everywhere in {times[CHANGES // 2] * 1e3:.0f}"
            f" ms (median), {times[-1] * 1e3:.0f} ms (longest of {CHANGES}); idle "
            f"{idle:.2f} ms CPU/s per node with its share of the stand-ins; "
            f"{heads / took:.1f} head reads/s, {hosts / took:.1f} host list reads/s"
        )


async def main() -> None:
    """Measure all deployment sizes."""
    print("Propagation of configuration changes, one process")
    for count in NODE_COUNTS:
        await measure(count)


if __name__ == "__main__":
    asyncio.run(main())
