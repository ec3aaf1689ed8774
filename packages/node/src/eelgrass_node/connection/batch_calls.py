"""Calls to backend servers that run pieces of stages, and that free results."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp
from multidict import CIMultiDict

from eelgrass_coordination import StallAwareTimeout

from ..exceptions import BatchAnswerMalformed
from ..process.backends import Backend
from ..process.batch_items import BatchItem, ItemFailure, ItemOutcome

__all__ = ["BatchCalls", "BatchCodec"]

CONNECT_S = 0.3
FREE_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


class BatchCodec(Protocol):
    """What the adapter does for calls of pieces."""

    RUN_PATH: str
    FREE_PATH: str

    def encode_items(self, items: list[BatchItem], now: float) -> bytes:
        """Return the body of a call that runs pieces."""

    def decode_outcomes(self, body: bytes, count: int) -> list[ItemOutcome]:
        """Decode the answer; raises :class:`PieceAnswerMalformed`."""

    def encode_free(self, handles: list[str]) -> bytes:
        """Return the body of a call that frees results."""

    def call_headers(self, server_id: str) -> CIMultiDict[str]:
        """Return the headers of a call that only this server may take."""


class BatchCalls:
    """Makes the calls; ``on_replaced`` is told where another server answers."""

    def __init__(
        self, codec: BatchCodec, on_replaced: Callable[[Backend], None]
    ) -> None:
        self._codec = codec
        self._on_replaced = on_replaced

    async def run(
        self, backend: Backend, items: list[BatchItem], within_s: float
    ) -> list[ItemOutcome]:
        """Run pieces; a call that fails gives each of them a trouble."""
        now = asyncio.get_running_loop().time()
        body = self._codec.encode_items(items, now)
        try:
            async with StallAwareTimeout(within_s):
                status, answer = await self._post(backend, self._codec.RUN_PATH, body)
            if status == HTTP_OK:
                return self._codec.decode_outcomes(answer, len(items))
        except TimeoutError:
            # Other connections there may be as dead as this one.
            backend.connections.replace()
            return _all(items, ItemFailure.TIMED_OUT)
        except (aiohttp.ClientConnectorError, ValueError, BatchAnswerMalformed):
            return _all(items, ItemFailure.UNREACHABLE)
        except (aiohttp.ClientError, OSError):
            return _all(items, ItemFailure.LOST)
        if status == HTTP_MISDIRECTED:
            self._on_replaced(backend)
            return _all(items, ItemFailure.UNREACHABLE)
        if status == HTTP_UNAVAILABLE:
            return _all(items, ItemFailure.NO_ROOM)
        return _all(items, ItemFailure.FAILED)

    async def free(self, backend: Backend, handles: list[str]) -> bool:
        """Free results; returns whether the server took it.

        A failure does no harm: results expire by themselves.
        """
        body = self._codec.encode_free(handles)
        try:
            async with StallAwareTimeout(FREE_TIMEOUT_S):
                status, _ = await self._post(backend, self._codec.FREE_PATH, body)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return False
        return status == HTTP_OK

    async def _post(
        self, backend: Backend, path: str, body: bytes
    ) -> tuple[int, bytes]:
        headers = self._codec.call_headers(backend.entry.id)
        headers["Content-Type"] = "application/json"
        connections = backend.connections
        connections.begin_call()
        try:
            async with connections.request(
                "POST", path, headers, body, CONNECT_S, reuse=True
            ) as response:
                connections.track(response)
                return response.status, await response.read()
        finally:
            connections.end_call()


def _all(items: list[BatchItem], failure: ItemFailure) -> list[ItemOutcome]:
    return [ItemOutcome(failure=failure)] * len(items)
