"""Checks the guarantees of a soak run from the records of callers and servers."""

import signal
from collections import Counter

from eelgrass_standins.entry_engines import EngineStandIn
from support.entry import COMPLETE_STREAM
from support.platform_soak import Soak
from support.soak_deployment import DEADLINE_S, Call, SoakDeployment

__all__ = ["violations"]

# Tolerance past the deadline for network latency and stalls of a busy machine.
ANSWER_TOLERANCE_S = 1.0
# A leaving server gets no new work after 2 s; the rest allows for a busy machine.
LEAVING_NOTICE_S = 2.5
# 0 for a planned stop, 1 for one that cut requests off, the negative signal number for
# a kill or a SIGTERM before the node handled signals.
EXPECTED_EXITS = (0, 1, -signal.SIGKILL, -signal.SIGTERM)
HTTP_NOT_FOUND = 404
NOT_RUN = (408, 421, 429, 503)


def violations(
    soak: Soak, deployment: SoakDeployment, deadline_s: float = DEADLINE_S
) -> list[str]:
    """Return a message per violated guarantee of a run."""
    engines = [e for group in deployment.engines_by_service.values() for e in group]
    runs = [run for engine in engines for run in engine.runs]
    runs_by_id = Counter(run.request_id for run in runs)
    found = []
    for call in soak.calls:
        ran = runs_by_id[call.request_id]
        found += _violations_of(call, ran, deployment, deadline_s)
        if soak.planned and ran and call.status == 0:
            found.append(f"{call.request_id} ({call.kind}) was cut off")
    found += _wrong_inputs(engines)
    found += [
        f"{probe.node} did not have version {probe.version} in force in time"
        for probe in soak.probes
        if probe.status == HTTP_NOT_FOUND
    ]
    for node in deployment.soak_nodes:
        if not node.process.running():
            found.append(f"{node.name} exited unasked")
        unexpected_codes = [
            code for code in node.exit_codes if code not in EXPECTED_EXITS
        ]
        if unexpected_codes:
            found.append(f"{node.name} exited with unexpected codes {unexpected_codes}")
    for engine in engines:
        left_at = soak.left_at.get(engine.server_id)
        late = [r for r in engine.runs if left_at and r.at > left_at + LEAVING_NOTICE_S]
        if late and soak.planned:
            found.append(
                f"{engine.server_id} got {len(late)} requests after the leaving notice"
            )
    return found


def _violations_of(
    call: Call, runs: int, deployment: SoakDeployment, deadline_s: float
) -> list[str]:
    """Return a message per guarantee that the answer to a call violates."""
    found = []
    name = f"{call.request_id} ({call.kind}, {call.status})"
    if call.kind in ("once", "stream/single") and runs > 1:
        found.append(f"{name} ran {runs} times")
    if call.status in NOT_RUN and call.kind != "safe" and runs:
        if call.kind in ("once", "stream/single"):
            found.append(f"{name} was refused as not executed, but ran")
    if call.status == 503 and call.retry_after is None:
        found.append(f"{name} got a 503 without Retry-After")
    if call.status == 200:
        stream = call.kind.startswith("stream")
        expected_body = (
            COMPLETE_STREAM if stream else b"answer of " + call.request_id.encode()
        )
        if call.body != expected_body:
            found.append(f"{name} got an incomplete or wrong body: {call.body!r}")
        if call.answered_id != call.request_id:
            found.append(f"{name} got the answer to {call.answered_id}")
    if call.status in (400, 401, 404, 413, 431):
        found.append(f"{name} was refused although the request is valid")
    disturbed_until = deployment.soak_nodes[call.node].disturbed_until
    held_s = call.ended_at - max(call.sent_at, min(disturbed_until, call.ended_at))
    if held_s > deadline_s + ANSWER_TOLERANCE_S:
        stalled_s = deployment.stalled_s(call.sent_at, call.ended_at)
        found.append(
            f"{name} took {held_s:.1f} s, too long past its deadline; callers and "
            f"servers stood still for {stalled_s:.1f} s of it"
        )
    return found


def _wrong_inputs(engines: list[EngineStandIn]) -> list[str]:
    """Return a message per request or batch item with wrong inputs.

    The inputs are wrong if one belongs to another request, or if their number is not
    the expected one: 7 for a staged request, 1 for a batch item.
    """
    item_by_result = {
        h: item for engine in engines for h, item in engine.item_by_handle.items()
    }
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
        foreign_handles = [h for h in handles if item_by_result[h]["Id"] != request_id]
        if foreign_handles or len(set(handles)) != count:
            found.append(f"{request_id} got wrong inputs: {handles}")
    return found
