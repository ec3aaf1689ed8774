"""An HTTP client for callers, operators and stand-ins, for tests and benchmarks."""

from typing import Any

import aiohttp
import msgspec

from .journal import JournalEntry
from .samples import ACCOUNT_KEY, OPERATOR_TOKEN, create_items

__all__ = ["Client", "Reply"]

DEFAULT_TIMEOUT_S = 30.0


class Reply(msgspec.Struct, frozen=True):
    """An answer to a caller: status, headers and decoded body."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def outcome(self) -> str | None:
        """The outcome stated in a refusal; None for other answers."""
        return self.body.get("outcome") if isinstance(self.body, dict) else None


class Client:
    """Calls nodes and stand-ins by address; use it as an async context manager."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=DEFAULT_TIMEOUT_S),
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def call(
        self,
        address: str,
        pipeline: str,
        value: Any,
        account: str = "permit-clerks",
        key: str | None = None,
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> Reply:
        """Send one request to a node and read the complete answer."""
        body = {"account": account, "input": value, **fields}
        return await self.post_raw(
            address, pipeline, msgspec.json.encode(body), key, headers
        )

    async def post_raw(
        self,
        address: str,
        pipeline: str,
        body: bytes,
        key: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send an encoded body to a pipeline and read the complete answer."""
        sent_headers = {"Authorization": f"Bearer {ACCOUNT_KEY}", **(headers or {})}
        if key is not None:
            sent_headers["Idempotency-Key"] = key
        url = f"http://{address}/v1/pipelines/{pipeline}/requests"
        async with self._session.post(url, data=body, headers=sent_headers) as response:
            raw = await response.read()
            return Reply(response.status, dict(response.headers), _decode(raw))

    async def operate(self, internal: str, path: str, message: Any = None) -> Any:
        """Call the operators' interface: POST with a ``message``, GET without one."""
        url = f"http://{internal}/operator/v1/{path}"
        headers = {"Operator-Token": OPERATOR_TOKEN}
        if message is None:
            async with self._session.get(url, headers=headers) as response:
                return msgspec.json.decode(await response.read())
        data = msgspec.json.encode(message)
        async with self._session.post(url, data=data, headers=headers) as response:
            return msgspec.json.decode(await response.read())

    async def change(
        self, internal: str, change_id: str, items: list[dict[str, Any]]
    ) -> Any:
        """Submit a configuration change."""
        message = {"change_id": change_id, "author": "test", "items": items}
        return await self.operate(internal, "changes", message)

    async def amend(
        self, internal: str, kind: str, name: str, change_id: str, **fields: Any
    ) -> Any:
        """Amend fields of an object, based on its current revision at a node."""
        shown = await self.operate(internal, f"objects/{kind}?name={name}")
        item = {
            "kind": kind,
            "name": name,
            "action": "amend",
            "base_revision": shown[0]["revision"],
            "value": {**shown[0]["value"], **fields},
        }
        return await self.change(internal, change_id, [item])

    async def configure(self, internal: str, configuration: dict) -> Any:
        """Create all objects of a configuration in one change."""
        items = create_items(configuration)
        return await self.change(internal, "initial-configuration", items)

    async def control(self, address: str, path: str, message: Any) -> None:
        """Post a message to a stand-in's control path, such as ``faults``."""
        url = f"http://{address}/control/{path}"
        data = msgspec.json.encode(message)
        async with self._session.post(url, data=data) as response:
            response.raise_for_status()

    async def journal(self, address: str) -> list[JournalEntry]:
        """Read the journal of a backend server."""
        url = f"http://{address}/control/journal"
        async with self._session.get(url) as response:
            body = await response.read()
        return msgspec.json.decode(body, type=list[JournalEntry])

    async def health(self, address: str) -> int:
        """Return the status of a node's health check."""
        async with self._session.get(f"http://{address}/health") as response:
            return response.status


def _decode(raw: bytes) -> Any:
    lines = raw.splitlines()
    try:
        if len(lines) > 1:
            return [msgspec.json.decode(line) for line in lines]
        return msgspec.json.decode(raw)
    except msgspec.MsgspecError:
        return raw.decode(errors="replace")
