"""Callers that resume streams at other nodes, and servers of several versions."""

import asyncio
import itertools
from typing import Any

import aiohttp
from yarl import URL

from .entry import COMPLETE_STREAM, HOST, KEY, EntryDeployment, until

__all__ = [
    "DEADLINE_MS",
    "SERVERS",
    "TARGET",
    "StreamCaller",
    "VersionedDeployment",
    "of_several_versions",
]

TARGET = "/stream/resumed/x"
DEADLINE_MS = 3000
EVENT_END = b"\n\n"
SERVERS = 3


class StreamCaller:
    """One stream of one caller, over several attempts.

    ``addresses`` are those at which the nodes listen for callers. ``body`` holds the
    complete events that have arrived, and ``request_ids`` the ids of all attempts.
    """

    _numbers = itertools.count()

    def __init__(
        self, deployment: EntryDeployment, addresses: list[str] | None = None
    ) -> None:
        self._deployment = deployment
        self._addresses = addresses
        self._first_id: str | None = None
        self.body = b""
        self.request_ids: list[str] = []
        self.refusal_headers: dict[str, str] = {}

    @property
    def events(self) -> int:
        """The number of events that have arrived."""
        return self.body.count(EVENT_END)

    @property
    def complete(self) -> bool:
        """Whether all events have arrived, each once and in order."""
        return self.body == COMPLETE_STREAM

    async def read(
        self, node: int, events: int | None = None, resumes: str | None = None
    ) -> int:
        """Make one attempt; return its status, 0 if the connection broke.

        The caller leaves once it has ``events`` events. ``resumes`` replaces the id of
        the attempt that brought the first event.
        """
        request_id = f"stream-{next(self._numbers)}"
        self.request_ids.append(request_id)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Eelgrassward-Attempt-Id": request_id,
            "Eelgrassward-Deadline-Ms": str(DEADLINE_MS),
        }
        if self._first_id or resumes:
            headers["Resumes"] = resumes or self._first_id
            headers["Last-Event-Id"] = str(self.events)
        url = URL(f"http://{self._address(node)}{TARGET}", encoded=True)
        buffer = b""
        try:
            async with (
                asyncio.timeout(2 * DEADLINE_MS / 1000),
                aiohttp.ClientSession(auto_decompress=False) as session,
                session.post(url, data=b"body", headers=headers) as response,
            ):
                if response.status != 200:
                    self.refusal_headers = dict(response.headers)
                    return response.status
                async for data in response.content.iter_any():
                    buffer = self._take_events(buffer + data, request_id)
                    if events is not None and self.events >= events:
                        break
                return response.status
        except (aiohttp.ClientError, OSError):
            return 0

    def versions(self) -> set[str]:
        """Return the software versions of the servers that ran any attempt."""
        return {
            run.version
            for run in self._deployment.runs("readers")
            if run.request_id in self.request_ids
        }

    def _address(self, node: int) -> str:
        if self._addresses is not None:
            return self._addresses[node]
        return self._deployment.nodes[node].settings.callers

    def _take_events(self, data: bytes, request_id: str) -> bytes:
        """Take the complete events; return the rest."""
        whole, end, rest = data.rpartition(EVENT_END)
        if end and self._first_id is None:
            self._first_id = request_id
        self.body += whole + end
        return rest


class VersionedDeployment(EntryDeployment):
    """A deployment whose model servers are released in several versions.

    It starts with three servers of each version in ``versions``.
    """

    def __init__(
        self,
        versions: tuple[str, ...] = ("v1", "v2"),
        nodes: int = 4,
        event_s: float = 0.05,
    ) -> None:
        super().__init__(nodes, event_s, servers=SERVERS)
        self._later_versions = versions[1:]

    async def __aenter__(self) -> "VersionedDeployment":
        """Start the deployment, then the servers of the later versions."""
        await super().__aenter__()
        for version in self._later_versions:
            await self.release(version)
        return self

    async def release(self, version: str, count: int = SERVERS, **entry: int) -> None:
        """Start servers of a version, and wait until all nodes know them."""
        for number in range(count):
            server_id = f"readers-{version}-{number}"
            await self.start_engine("readers", server_id, version=version, **entry)
        await until(lambda: self._all_know(version, count))

    async def withdraw(self, version: str) -> None:
        """Remove the servers of a version from the list; they go on serving."""
        for engine in self.engines_by_service["readers"]:
            if engine.version == version:
                self.store.remove("servers", engine.server_id)
        await until(lambda: self._all_know(version, 0))

    async def begin(self, node: int, count: int) -> list[StreamCaller]:
        """Begin streams at a node, and leave them after two events."""
        callers = [StreamCaller(self) for _ in range(count)]
        await asyncio.gather(*(caller.read(node, events=2) for caller in callers))
        assert all(caller.events >= 2 for caller in callers)
        return callers

    async def resume(
        self, callers: list[StreamCaller], node: int, **options: Any
    ) -> list[int]:
        """Resume streams at a node; return the statuses."""
        attempts = (caller.read(node, **options) for caller in callers)
        return await asyncio.gather(*attempts)

    def _all_know(self, version: str, count: int) -> bool:
        """Return whether all nodes list ``count`` model servers of a version."""
        return all(
            sum(
                server.entry.version == version
                for server in node.backends.by_service.get("readers", ())
            )
            == count
            for node in self.nodes
        )


def of_several_versions(callers: list[StreamCaller]) -> list[list[str]]:
    """Return the ids of the streams that more than one version has run."""
    return [caller.request_ids for caller in callers if len(caller.versions()) > 1]
