"""Calls to backend servers that run batch items or free results."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp
import msgspec
from multidict import CIMultiDict

from eelgrass_coordination import StallAwareTimeout

from ..exceptions import AnswerTooLong, BatchAnswerMalformed
from ..process.backends import Backend
from ..process.batch_items import BatchItem, ItemFailure, ItemOutcome
from .answer_bounds import MAX_REPORT_BYTES, read_bounded
from .answer_head import has_length
from .backend import RequestWithheld
from .calls import CallPath, MisattributedAnswer

__all__ = ["BatchCalls", "BatchCodec"]

CONNECT_TIMEOUT_S = 0.3
FREE_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


class BatchCodec(Protocol):
    """The part of the platform adapter that encodes and decodes batch calls."""

    RUN_PATH: str
    FREE_PATH: str

    def encode_items(self, items: list[BatchItem], now: float) -> bytes:
        """Return the body of a call that runs items."""

    def decode_outcomes(self, body: bytes, count: int) -> list[ItemOutcome]:
        """Decode the answer; raises :class:`BatchAnswerMalformed`."""

    def encode_free(self, handles: list[str]) -> bytes:
        """Return the body of a call that frees results."""

    def call_headers(self, server_id: str) -> CIMultiDict[str]:
        """Return the headers of a call that only this server may accept."""


class _Answer(msgspec.Struct, frozen=True):
    """An answer; without a length its body ended with the connection."""

    status: int
    body: bytes
    has_length: bool


class BatchCalls:
    """Calls backend servers.

    ``on_replaced`` is called if another server answers at a server's address, and
    ``on_refused`` if a server refuses a call because it is full.
    """

    def __init__(
        self,
        codec: BatchCodec,
        on_replaced: Callable[[Backend], None],
        on_refused: Callable[[Backend], None] = lambda backend: None,
    ) -> None:
        self._codec = codec
        self._on_replaced = on_replaced
        self._on_refused = on_refused

    async def run(
        self, backend: Backend, items: list[BatchItem], timeout_s: float
    ) -> list[ItemOutcome]:
        """Run items in one call; if it fails, every outcome has a failure."""
        now = asyncio.get_running_loop().time()
        body = self._codec.encode_items(items, now)
        timeout = StallAwareTimeout(timeout_s)
        path, is_path_lost = CallPath(), False

        def on_path_lost() -> None:
            nonlocal is_path_lost
            if path.is_direct:
                is_path_lost = True
                timeout.restart(0.0)

        try:
            async with timeout:
                answer = await self._post(
                    backend, self._codec.RUN_PATH, body, path, on_path_lost
                )
            if answer.status == HTTP_OK:
                return self._decode(answer, len(items))
        except aiohttp.ConnectionTimeoutError:
            return _all_failed(items, ItemFailure.CONNECT_TIMED_OUT)
        except TimeoutError:
            if is_path_lost:
                return _all_failed(items, ItemFailure.LOST)
            backend.connections.suspect_path()
            # Other connections to this server may be dead as well.
            backend.connections.replace()
            return _all_failed(items, ItemFailure.TIMED_OUT)
        except aiohttp.ClientConnectorError:
            return _all_failed(items, ItemFailure.CONNECT_FAILED)
        except RequestWithheld:
            return _all_failed(items, ItemFailure.RESTING)
        except (
            aiohttp.ClientResponseError,
            ValueError,
            AnswerTooLong,
            BatchAnswerMalformed,
            MisattributedAnswer,
        ):
            return _all_failed(items, ItemFailure.UNREACHABLE)
        except (aiohttp.ClientError, OSError):
            backend.connections.suspect_path()
            return _all_failed(items, ItemFailure.LOST)
        if answer.status == HTTP_MISDIRECTED:
            self._on_replaced(backend)
            return _all_failed(items, ItemFailure.UNREACHABLE)
        if answer.status == HTTP_UNAVAILABLE:
            self._on_refused(backend)
            return _all_failed(items, ItemFailure.NO_ROOM)
        return _all_failed(items, ItemFailure.FAILED)

    async def free(self, backend: Backend, handles: list[str]) -> bool:
        """Free results; return whether the server did so.

        A failure is harmless, because results expire by themselves. So is an answer to
        another such call: the server has got this one.
        """
        body = self._codec.encode_free(handles)
        try:
            async with StallAwareTimeout(FREE_TIMEOUT_S):
                answer = await self._post_free(backend, body)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
            AnswerTooLong,
        ):
            return False
        return answer.status == HTTP_OK

    async def _post_free(self, backend: Backend, body: bytes) -> _Answer:
        path = self._codec.FREE_PATH
        try:
            return await self._post(backend, path, body, decides=False)
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
            # An answer that came again has broken a shared connection.
            return await self._post(backend, path, body)

    def _decode(self, answer: _Answer, count: int) -> list[ItemOutcome]:
        """Decode the outcomes of items; raises :class:`BatchAnswerMalformed`."""
        try:
            return self._codec.decode_outcomes(answer.body, count)
        except BatchAnswerMalformed:
            if answer.has_length:
                raise
            # The connection ended inside the answer, as if the server had crashed.
            return [ItemOutcome(failure=ItemFailure.LOST)] * count

    async def _post(
        self,
        backend: Backend,
        path: str,
        body: bytes,
        call_path: CallPath | None = None,
        on_path_lost: Callable[[], None] | None = None,
        decides: bool = True,
    ) -> _Answer:
        headers = self._codec.call_headers(backend.entry.id)
        headers["Content-Type"] = "application/json"
        connections = backend.connections
        connections.begin_call(on_path_lost)
        try:
            async with connections.request(
                "POST",
                path,
                headers,
                body,
                CONNECT_TIMEOUT_S,
                decides=decides,
                path=call_path,
            ) as response:
                connections.track(response)
                body = await read_bounded(response, MAX_REPORT_BYTES)
                return _Answer(response.status, body, has_length(response))
        finally:
            connections.end_call(on_path_lost)


def _all_failed(items: list[BatchItem], failure: ItemFailure) -> list[ItemOutcome]:
    return [ItemOutcome(failure=failure)] * len(items)
