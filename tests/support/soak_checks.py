"""What a run of the soak may not end in, from what callers and servers saw."""

import signal
from collections import Counter

from eelgrass_standins.entry_engines import EngineStandIn
from support.entry import COMPLETE_STREAM
from support.platform_soak import Soak
from support.soak_deployment import DEADLINE_S, Call, SoakDeployment

__all__ = ["violations"]

# An answer may be late by the way back and a busy machine's pauses.
LATE_S = 1.0
# A server that leaves gets no new work after 2 s, with what a busy machine takes.
LEAVE_S = 2.5
# A process that was asked to stop (also before it served anybody), or killed; 1
# where something was cut off.
EXPECTED_EXITS = (0, 1, -signal.SIGKILL, -signal.SIGTERM)
HTTP_NOT_FOUND = 404
NOT_RUN = (408, 421, 429, 503)


def violations(soak: Soak, deployment: SoakDeployment) -> list[str]:
    """Return the broken promises, from what callers and servers saw."""
    engines = [e for group in deployment.engines_by_service.values() for e in group]
    runs = [run for engine in engines for run in engine.runs]
    runs_by_id = Counter(run.request_id for run in runs)
    found = []
    for call in soak.calls:
        ran = runs_by_id[call.request_id]
        found += _broken_by(call, ran, deployment)
        if soak.planned and ran and call.status == 0:
            found.append(f"{call.request_id} ({call.kind}) was cut off")
    found += _wrong_inputs(engines)
    found += [
        f"{probe.node} did not know version {probe.version} in time"
        for probe in soak.probes
        if probe.status == HTTP_NOT_FOUND
    ]
    for node in deployment.soak_nodes:
        if not node.process.running():
            found.append(f"{node.name} ended by itself")
        odd = [code for code in node.exit_codes if code not in EXPECTED_EXITS]
        if odd:
            found.append(f"{node.name} ended with {odd}")
    for engine in engines:
        left_at = soak.left_at.get(engine.server_id)
        late = [r for r in engine.runs if left_at and r.at > left_at + LEAVE_S]
        if late and soak.planned:
            found.append(f"{engine.server_id} left and got {len(late)} runs")
    return found


def _broken_by(call: Call, runs: int, deployment: SoakDeployment) -> list[str]:
    """Return the promises that the answer to one call breaks."""
    found = []
    name = f"{call.request_id} ({call.kind}, {call.status})"
    if call.kind in ("once", "stream/single") and runs > 1:
        found.append(f"{name} ran {runs} times")
    if call.status in NOT_RUN and call.kind != "safe" and runs:
        if call.kind in ("once", "stream/single"):
            found.append(f"{name} was refused as not run, and ran")
    if call.status == 503 and call.retry_after is None:
        found.append(f"{name} was not told when to come back")
    if call.status == 200:
        stream = call.kind.startswith("stream")
        whole = COMPLETE_STREAM if stream else b"answer of " + call.request_id.encode()
        if call.body != whole:
            found.append(f"{name} got {call.body!r}")
        if call.answered_id != call.request_id:
            found.append(f"{name} got the answer to {call.answered_id}")
    if call.status in (400, 401, 404, 413, 431):
        found.append(f"{name} was refused though it is allowed")
    disturbed_until = deployment.soak_nodes[call.node].disturbed_until
    held_s = call.ended_at - max(call.sent_at, min(disturbed_until, call.ended_at))
    if held_s > DEADLINE_S + LATE_S:
        found.append(f"{name} was held for {held_s:.1f} s")
    return found


def _wrong_inputs(engines: list[EngineStandIn]) -> list[str]:
    """Return requests and pieces that were given inputs of others."""
    made = {h: item for engine in engines for h, item in engine.item_by_handle.items()}
    found = []
    given = [
        (run.request_id, run.headers["Eelgrassward-Inputs"].split(","), 7)
        for engine in engines
        for run in engine.runs
        if "Eelgrassward-Inputs" in run.headers
    ]
    given += [
        (item["Id"], item["Inputs"], 1)
        for engine in engines
        for item in engine.batch_items
        if "Inputs" in item
    ]
    for request_id, handles, count in given:
        foreign = [h for h in handles if made[h]["Id"] != request_id]
        if foreign or len(set(handles)) != count:
            found.append(f"{request_id} was given {handles}")
    return found
