"""Measures the cost of a stage hop at the node, relative to a bare forwarder.

The node, the forwarder and the stand-ins run as separate processes; the stand-ins
answer at once. Run as ``make benchmark``. The figures hold only for this run on this
machine.
"""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec

from eelgrass_standins.ports import free_addresses
from eelgrass_standins.samples import (
    ACCOUNT_KEY,
    sample_configuration,
    sample_deployment,
)
from support.processes import ProcessDeployment

REQUESTS = 3000
WARM_UP = 300
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

Send = Callable[[], Awaitable[None]]


def cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def drive(send: Send, requests: int, workers: int) -> list[float]:
    """Send requests from concurrent workers; return sorted latencies in seconds."""
    latencies: list[float] = []
    left = [requests]

    async def work() -> None:
        while left[0] > 0:
            left[0] -= 1
            began = time.perf_counter()
            await send()
            latencies.append(time.perf_counter() - began)

    await asyncio.gather(*(work() for _ in range(workers)))
    return sorted(latencies)


async def measure(name: str, send: Send, pid: int, requests: int = REQUESTS) -> float:
    """Measure one kind of request; return the processor time per request, in ms."""
    await drive(send, WARM_UP, 4)
    sequential = await drive(send, requests // 3, 1)
    began, began_cpu = time.perf_counter(), cpu_s(pid)
    await drive(send, requests, 16)
    took, took_cpu = time.perf_counter() - began, cpu_s(pid) - began_cpu
    each_ms = took_cpu / requests * 1e3
    print(
        f"  {name:34} {each_ms:6.3f} ms CPU each, {requests / took:6.0f} requests/s "
        "(16 at a time), one at a time p50 "
        f"{sequential[len(sequential) // 2] * 1e3:5.2f} ms, "
        f"p99 {sequential[int(len(sequential) * 0.99)] * 1e3:5.2f} ms"
    )
    return each_ms


def sender(
    session: aiohttp.ClientSession, address: str, pipeline: str, account: str
) -> Send:
    """Return a function that sends one request to a node."""
    url = f"http://{address}/v1/pipelines/{pipeline}/requests"
    body = msgspec.json.encode({"account": account, "input": "Is A-101 current?"})
    headers = {"Authorization": f"Bearer {ACCOUNT_KEY}"}

    async def send() -> None:
        async with session.post(url, data=body, headers=headers) as response:
            answer = await response.read()
            assert response.status == 200, answer

    return send


def benchmark_configuration() -> dict:
    """Return the sample configuration with three more pipelines."""
    configuration = sample_configuration()
    reading = configuration["templates"]["revision-check"]
    configuration["templates"]["three-stages"] = {
        "deadline_ms": 4000,
        "stages": reading["stages"][:3],
    }
    for tokens in (16, 512):
        stage = {**reading["stages"][3], "max_tokens": tokens, "model": "m"}
        name = f"tokens-{tokens}"
        configuration["templates"][name] = {"deadline_ms": 9000, "stages": [stage]}
    for template in ("three-stages", "tokens-16", "tokens-512"):
        configuration["parameters"][f"architects/{template}"] = {
            "account": "architects",
            "template": template,
        }
    return configuration


async def main() -> None:
    """Run all measurements."""
    spec = sample_deployment(engines=1, pool_size=1, work=0.0, step_ms=0.5)
    with tempfile.TemporaryDirectory() as folder:
        deployment = ProcessDeployment(
            spec, Path(folder), nodes=1, configuration=benchmark_configuration()
        )
        async with deployment, aiohttp.ClientSession() as session:
            await run(deployment, session)


async def run(deployment: ProcessDeployment, session: aiohttp.ClientSession) -> None:
    """Measure the forwarder, then the node of a deployment."""
    pid = deployment.nodes[0].pid
    print(f"Idle node: {memory_mib(pid):.1f} MiB resident")
    target = f"http://{deployment.addresses('archive-index')[0]}/v1/run"
    (address,) = free_addresses(1)
    port = address.rpartition(":")[2]
    script = str(Path(__file__).with_name("forwarder.py"))
    forwarder = subprocess.Popen([sys.executable, script, port, target])
    body = msgspec.json.encode(
        {
            "attempt_id": "a",
            "operation": "current-issue",
            "account": "architects",
            "input": {"input": "Is A-101 current?", "previous": None},
            "deadline_ms": 1000,
        }
    )

    async def forward() -> None:
        async with session.post(f"http://{address}/", data=body) as response:
            await response.read()

    try:
        await asyncio.sleep(1.0)
        print("Processor time and latency of one request")
        forwarder_ms = await measure("bare forwarder, one hop", forward, forwarder.pid)
        callers = deployment.callers(0)

        async def node(name: str, pipeline: str, requests: int = REQUESTS) -> float:
            send = sender(session, callers, pipeline, "architects")
            return await measure(name, send, pid, requests)

        one_stage_ms = await node("node, one stage", "current-issue")
        three_stages_ms = await node("node, three stages", "three-stages")
        print(
            f"  a request of one stage: {one_stage_ms / forwarder_ms:.2f} times the "
            "forwarder; each further stage: "
            f"{(three_stages_ms - one_stage_ms) / 2 / forwarder_ms:.2f} times"
        )
        short_ms = await node("node, 16 tokens", "tokens-16", 600)
        long_ms = await node("node, 512 tokens", "tokens-512", 48)
        print(f"  each token: {(long_ms - short_ms) / 496 * 1e3:.1f} us CPU")
        print(f"Node after the load: {memory_mib(pid):.1f} MiB resident")
    finally:
        forwarder.send_signal(signal.SIGTERM)
        forwarder.wait()


if __name__ == "__main__":
    asyncio.run(main())
