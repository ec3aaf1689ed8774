"""Codec for the calls that run batch items of stages and free their results."""

import msgspec
from multidict import CIMultiDict

from eelgrass_coordination import JsonDecoder

from ..exceptions import BatchAnswerMalformed
from ..process.batch_items import BatchItem, ItemFailure, ItemOutcome
from . import names

__all__ = [
    "FREE_PATH",
    "RUN_PATH",
    "call_headers",
    "decode_outcomes",
    "encode_free",
    "encode_items",
    "producer_of",
]

RUN_PATH = names.STAGE_RUN_PATH
FREE_PATH = names.STAGE_FREE_PATH

_FAILURE_BY_REASON = {
    "late": ItemFailure.LATE,
    "gone": ItemFailure.INPUT_GONE,
    "room": ItemFailure.NO_ROOM,
    "error": ItemFailure.FAILED,
}


class _Item(msgspec.Struct, rename="pascal", omit_defaults=True):
    id: str
    phase: int | None
    segment: int | None
    remaining_ms: int = 0
    key: str | None = None
    inputs: tuple[str, ...] | None = None


class _Items(msgspec.Struct, rename="pascal"):
    items: list[_Item]


class _Result(msgspec.Struct, rename="pascal"):
    handle: str | None = None
    reason: str | None = None


class _Results(msgspec.Struct, rename="pascal"):
    items: list[_Result]


class _Free(msgspec.Struct, rename="pascal"):
    handles: list[str]


_decoder = JsonDecoder(_Results)


def encode_items(items: list[BatchItem], now: float) -> bytes:
    """Return the body of a call that runs batch items."""
    return msgspec.json.encode(_Items([_item(item, now) for item in items]))


def decode_outcomes(body: bytes, count: int) -> list[ItemOutcome]:
    """Decode the response to a call into one outcome per item, in the call's order.

    Raises :class:`BatchAnswerMalformed` if the response does not match the call.
    """
    try:
        results = _decoder.decode(body).items
    except msgspec.MsgspecError as error:
        raise BatchAnswerMalformed(repr(error)) from error
    if len(results) != count:
        raise BatchAnswerMalformed(f"{len(results)} results for {count} batch items")
    return [_outcome(result) for result in results]


def encode_free(handles: list[str]) -> bytes:
    """Return the body of a call that frees results."""
    return msgspec.json.encode(_Free(handles))


def producer_of(handle: str) -> str:
    """Return the address of the backend server that holds a result."""
    return handle.partition("/")[0]


def _item(item: BatchItem, now: float) -> _Item:
    return _Item(
        id=item.request_id,
        phase=item.stage,
        segment=item.number,
        remaining_ms=max(1, int((item.deadline - now) * 1000)),
        key=item.key,
        inputs=item.inputs if item.key is None else None,
    )


def _outcome(result: _Result) -> ItemOutcome:
    if result.handle:
        return ItemOutcome(handle=result.handle)
    failure = _FAILURE_BY_REASON.get(result.reason or "", ItemFailure.FAILED)
    return ItemOutcome(failure=failure)


def call_headers(server_id: str) -> CIMultiDict[str]:
    """Return headers with which any server but this one rejects the call."""
    return CIMultiDict({names.EXPECT_ENGINE: server_id})
