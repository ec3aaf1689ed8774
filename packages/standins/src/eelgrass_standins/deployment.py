"""Describes a deployment of stand-ins and runs it, or a part of it, in a process."""

import asyncio
from enum import Enum
from typing import Any

import msgspec
from aiohttp import web

from .backend import BackendStandIn, PoolStandIn, build_pool
from .engine import EngineStandIn, build_engine
from .platform import PlatformStandIn, build_platform

__all__ = ["BackendKind", "BackendSpec", "DeploymentSpec", "PlatformSpec", "StandIns"]


LEAVING_NOTICE_S = 0.5


class BackendKind(Enum):
    """Kind of stand-in that runs for a backend server."""

    POOL = "pool"
    ENGINE = "engine"


class BackendSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One backend server; ``work_ms`` is the time of a call or of an engine's step."""

    id: str
    service: str
    address: str
    data_centre: str
    kind: BackendKind = BackendKind.POOL
    limit: int = 8
    work_ms: float = 0.0
    checks_fencing: bool = True
    started: int = 1
    version: str = "v1"

    def host_entry(self) -> dict[str, Any]:
        """Return the entry in the platform's host list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "data_centre": self.data_centre,
            "limit": self.limit,
            "state": "live",
            "started": self.started,
            "checks_fencing": self.checks_fencing,
            "version": self.version,
        }


class PlatformSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform; a rate of 0 means no limit."""

    address: str
    writes_per_s: float = 0
    reads_per_s: float = 0
    host_lag_s: float = 0.0
    latency_ms: float = 0.0


class DeploymentSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All stand-ins of a deployment."""

    platform: PlatformSpec
    backends: tuple[BackendSpec, ...] = ()


class StandIns:
    """Runs stand-ins of a deployment in this process.

    ``only`` selects them by ``platform`` or the ids of backend servers; an empty set
    selects all.
    """

    def __init__(self, spec: DeploymentSpec, only: frozenset[str] = frozenset()):
        self.spec = spec
        self._only = only
        self._runners: dict[str, web.AppRunner] = {}
        self.platform: PlatformStandIn | None = None
        self.backends_by_id: dict[str, BackendStandIn] = {}

    async def start(self) -> None:
        """Start the selected stand-ins."""
        if self._is_selected("platform"):
            await self._start_platform()
        for backend in self.spec.backends:
            if self._is_selected(backend.id):
                await self._start_backend(backend)

    async def stop_one(self, name: str) -> None:
        """Stop one stand-in and cut off its calls in flight."""
        await self._runners.pop(name).cleanup()

    async def leave(self) -> None:
        """Refuse new work at all backend servers, then wait for the work in flight."""
        for backend in self.backends_by_id.values():
            backend.leaving = True
        await asyncio.sleep(LEAVING_NOTICE_S)
        for backend in self.backends_by_id.values():
            await backend.until_idle()

    async def close(self) -> None:
        """Stop all stand-ins."""
        for name in list(self._runners):
            await self.stop_one(name)

    def _is_selected(self, name: str) -> bool:
        return not self._only or name in self._only

    async def _start_platform(self) -> None:
        spec = self.spec.platform
        self.platform = PlatformStandIn(
            spec.writes_per_s,
            spec.reads_per_s,
            spec.host_lag_s,
            spec.latency_ms / 1000,
        )
        self.platform.set_hosts([b.host_entry() for b in self.spec.backends])
        await self._serve("platform", build_platform(self.platform), spec.address)

    async def _start_backend(self, spec: BackendSpec) -> None:
        work_s = spec.work_ms / 1000
        if spec.kind is BackendKind.ENGINE:
            engine = EngineStandIn(spec.id, spec.limit, work_s, spec.checks_fencing)
            app = build_engine(engine)
            self.backends_by_id[spec.id] = engine
        else:
            pool = PoolStandIn(spec.id, spec.limit, work_s)
            app = build_pool(pool)
            self.backends_by_id[spec.id] = pool
        await self._serve(spec.id, app, spec.address)

    async def _serve(self, name: str, app: web.Application, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host.strip("[]"), int(port)).start()
        self._runners[name] = runner
