"""Requests run without a known key after a version took the last tenants away."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig as r  # noqa: E402

REQUESTS = 20
CONFIG_APPLY_S = 2.0
HTTP_UNAUTHORIZED = 401
NEVER_KEY = "never-held-by-anyone"


class Desk(r.Engine):
    """Runs requests."""

    def __init__(self, engine_id: str, rig: r.Rig) -> None:
        super().__init__(engine_id, "desk")
        self._rig = rig
        self.runs: list[str] = []

    async def run(self, request: r.Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request."""
        name = request.header("Eelgrassward-Attempt-Id")
        self.runs.append(name)
        self._rig.record.write(
            f"engine {self.id} runs {name}; "
            f"tenant {request.header('Eelgrassward-Tenant')}"
        )
        writer.write(r.answer(200, b"done " + name.encode(), **self.signed(request)))
        return True


async def _ask_all(rig: r.Rig, phase: str, key: str) -> list[int]:
    statuses = []
    for number in range(REQUESTS):
        found = await rig.ask(
            f"{phase}-{number}",
            f"/once/{phase}-{number}",
            number % len(rig.nodes),
            body=b"lodgement",
            Authorization=f"Bearer {key}",
        )
        statuses.append(0 if found is None else found.status)
        await asyncio.sleep(0.05)
    rig.record.write(f"{phase}: {statuses}")
    return statuses


async def case(rig: r.Rig) -> bool:
    """Return whether a request ran whose key no configuration ever held."""
    desks = [Desk(f"i-desk-{number}", rig) for number in (1, 2, 3)]
    rig.engines += desks
    once = r.route("once", "non_idempotent", "desk", MaxAttempts=1)
    settings = r.configuration([once], [{"Name": "desk", "MaxConnections": 110}])
    settings["Tenants"].append({"Name": "tenant-2", "ApiKeys": ["key-2"]})
    await rig.start(settings)
    with_key = await _ask_all(rig, "with-key", r.KEY)
    without = await _ask_all(rig, "unknown-key", NEVER_KEY)
    if set(with_key) != {200} or set(without) != {HTTP_UNAUTHORIZED}:
        raise r.CannotRun("requests are not served as the first version says")
    tenants = settings["Tenants"] if not r.TROUBLE else []
    rig.record.write(f"the operator writes version 2, with the tenants {tenants}")
    rig.store.put("op", "config", {**settings, "Version": 2, "Tenants": tenants})
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    await _ask_all(rig, "after", NEVER_KEY)
    ran = [name for desk in desks for name in desk.runs if name.startswith("after")]
    rig.record.write(f"ROUTE: {len(ran)} requests with a key that was never held ran")
    return bool(ran)


r.main(FOLDER, 2, case)
