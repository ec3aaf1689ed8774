"""Compares scheduling policies under overload and faults on the same arrivals.

Three nodes, the platform and the backend servers run as separate processes.
Run as ``make experiment``; options: ``--seeds N --seconds S --scenario NAME``.
Results are printed and saved under ``out/``.
"""

import argparse
import asyncio
import json
import statistics
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from eelgrass_standins.client import Client
from eelgrass_standins.faults import Fault, FaultAction
from eelgrass_standins.load import (
    Arrival,
    CallerClass,
    Sample,
    arrivals,
    drive,
    summarise,
)
from eelgrass_standins.samples import sample_configuration, sample_deployment
from support.processes import ProcessDeployment

CALLERS = (
    CallerClass("permit-clerks", "revision-check", 0.2, 1000, priority=10),
    CallerClass("contractors", "revision-check", 0.4, 1500, priority=5),
    CallerClass("architects", "revision-check", 0.4, 2000, priority=0),
)
TOKENS = 32
ENGINES = 2
ENGINE_LIMIT = 8
STEP_MS = 4.0
# A step of a full engine takes 4 ms and 2% more for each of its 8 sequences.
CAPACITY = ENGINES * ENGINE_LIMIT / ((TOKENS + 1) * STEP_MS / 1000 * 1.16)
# Refused before execution, so these retries repeat no work.
RETRIES_WITHOUT_EXECUTION = ("retry.backend_overloaded", "retry.backend_leaving")
POLICIES: dict[str, dict[str, Any]] = {
    "chosen": {},
    "baseline": {
        "choice": "round_robin",
        "order": "first_come",
        "admission": "all",
        "retry_budget_ratio": 1.0,
        "retry_budget_reserve": 1e9,
    },
}


class Scenario(msgspec.Struct, frozen=True):
    """A load, as a multiple of the engines' capacity, and the faults under it."""

    load: float
    bursts: tuple[tuple[float, float, float], ...] = ()
    slow_service: str = ""
    slow_s: float = 0.0
    dead_engine: bool = False


SCENARIOS = {
    "0.8x": Scenario(0.8),
    "1.2x": Scenario(1.2),
    "2x": Scenario(2.0),
    "burst": Scenario(0.7, bursts=((3.0, 2.0, 4.0),)),
    "slow-rerank": Scenario(0.8, slow_service="rerankers", slow_s=0.1),
    "dead-engine": Scenario(0.6, dead_engine=True),
}


def configuration() -> dict[str, Any]:
    """Return the sample configuration with the priorities of the caller classes."""
    made = sample_configuration()
    for caller in CALLERS:
        name = f"{caller.account}/{caller.pipeline}"
        parameters = made["parameters"][name]
        parameters["priority"] = caller.priority
        parameters["values"] = {"model": "m", "length": TOKENS}
    return made


async def run_once(
    policy: dict[str, Any], scenario: Scenario, planned: Sequence[Arrival]
) -> dict[str, Any]:
    """Run one policy on planned arrivals; return the results."""
    spec = sample_deployment(engines=ENGINES, pool_size=2, step_ms=STEP_MS)
    backends = tuple(
        msgspec.structs.replace(b, limit=ENGINE_LIMIT)
        if b.service == "model-readers"
        else b
        for b in spec.backends
    )
    spec = msgspec.structs.replace(spec, backends=backends)
    with tempfile.TemporaryDirectory() as folder:
        deployment = ProcessDeployment(
            spec,
            Path(folder),
            grouped=False,
            settings={"policy": policy},
            configuration=configuration(),
        )
        async with deployment:
            client = deployment.client
            nodes = [deployment.callers(n) for n in range(3)]
            await drive(client, nodes, arrivals(CALLERS, 40, 2.0, 0))
            tasks = [asyncio.create_task(inject_faults(deployment, client, scenario))]
            samples = await drive(client, nodes, planned)
            await asyncio.gather(*tasks)
            return await results(deployment, client, samples)


async def inject_faults(
    deployment: ProcessDeployment, client: Client, scenario: Scenario
) -> None:
    """Inject the faults of a scenario two seconds after the start."""
    await asyncio.sleep(2.0)
    if scenario.slow_service:
        fault = Fault(FaultAction.DELAY, "/v1/run", delay_s=scenario.slow_s)
        for address in deployment.addresses(scenario.slow_service):
            await client.control(address, "faults", [fault])
    if scenario.dead_engine:
        await deployment.backends["reader-1"].kill()


async def results(
    deployment: ProcessDeployment, client: Client, samples: list[Sample]
) -> dict[str, Any]:
    """Aggregate the samples, and the costs and counters of the nodes."""
    by_account = {
        caller.account: summarise([s for s in samples if s.account == caller.account])
        for caller in CALLERS
    }
    useful = wasted = 0.0
    retries = attempts = 0
    for number in range(3):
        for row in await client.operate(deployment.internal(number), "costs"):
            attempts += row["attempts"]
            if row["stage"] == "draft":
                useful += row["useful_ms"]
                wasted += row["wasted_ms"]
        status = await client.operate(deployment.internal(number), "status")
        retries += sum(
            count
            for name, count in status["counters"].items()
            if name.startswith("retry.") and name not in RETRIES_WITHOUT_EXECUTION
        )
    total = summarise(samples)
    return {
        "attainment": {name: s.attainment for name, s in by_account.items()},
        "attained": total.attained,
        "sent": total.sent,
        "p95_ms": {name: s.p95_ms for name, s in by_account.items()},
        "refused_p95_ms": total.refused_p95_ms,
        "reasons": total.reasons,
        "wasted_share": wasted / (useful + wasted) if useful else 0.0,
        "extra_attempts": retries / attempts if attempts else 0.0,
    }


def format_spread(values: Sequence[float]) -> str:
    """Format the median with minimum and maximum."""
    median = statistics.median(values)
    return f"{median:5.3f} ({min(values):5.3f}-{max(values):5.3f})"


def show(name: str, policy: str, runs: list[dict[str, Any]], seconds: float) -> None:
    """Print one row of the report and the reasons of the outcomes."""
    classes = "  ".join(
        f"{account} {format_spread([run['attainment'][account] for run in runs])}"
        for account in runs[0]["attainment"]
    )
    per_s = statistics.median(run["attained"] for run in runs) / seconds
    wasted = statistics.median(run["wasted_share"] for run in runs)
    extra = statistics.median(run["extra_attempts"] for run in runs)
    late = statistics.median(run["refused_p95_ms"] for run in runs)
    print(
        f"{name:12} {policy:9} {classes}  attained {per_s:5.1f}/s  wasted "
        f"{wasted:6.1%}  extra attempts {extra:6.1%}  refused p95 {late:5.0f} ms"
    )
    reasons: dict[str, int] = {}
    for run in runs:
        for reason, count in run["reasons"].items():
            reasons[reason] = reasons.get(reason, 0) + count
    print(f"{'':22} {reasons}", flush=True)


async def main() -> None:
    """Run all selected scenarios and policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--scenario", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--policy", nargs="*", default=list(POLICIES))
    options = parser.parse_args()
    print(f"Capacity of the engines: {CAPACITY:.0f} requests/s", flush=True)
    saved = []
    for name in options.scenario:
        scenario = SCENARIOS[name]
        for policy in options.policy:
            runs = []
            for seed in range(1, options.seeds + 1):
                planned = arrivals(
                    CALLERS,
                    CAPACITY * scenario.load,
                    options.seconds,
                    seed,
                    scenario.bursts,
                )
                runs.append(await run_once(POLICIES[policy], scenario, planned))
            show(name, policy, runs, options.seconds)
            saved.append({"scenario": name, "policy": policy, "runs": runs})
    save(saved)


def save(results: list[dict[str, Any]]) -> None:
    """Write the results of all runs to ``out/overload.json``."""
    out = Path("out")
    out.mkdir(exist_ok=True)
    (out / "overload.json").write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
