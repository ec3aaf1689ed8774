"""Codec of the calls that run the pieces of stages and free their results."""

import msgspec
from multidict import CIMultiDict

from ..exceptions import PieceAnswerMalformed
from ..process.pieces import Piece, PieceOutcome, PieceTrouble
from . import names

__all__ = [
    "FREE_PATH",
    "RUN_PATH",
    "call_headers",
    "decode_outcomes",
    "encode_free",
    "encode_pieces",
    "maker_of",
]

RUN_PATH = names.STAGE_RUN_PATH
FREE_PATH = names.STAGE_FREE_PATH

_TROUBLES = {
    "late": PieceTrouble.LATE,
    "gone": PieceTrouble.INPUT_GONE,
    "room": PieceTrouble.NO_ROOM,
    "error": PieceTrouble.FAILED,
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


_decoder = msgspec.json.Decoder(_Results)


def encode_pieces(pieces: list[Piece], now: float) -> bytes:
    """Return the body of a call that runs pieces."""
    return msgspec.json.encode(_Items([_item(piece, now) for piece in pieces]))


def decode_outcomes(body: bytes, count: int) -> list[PieceOutcome]:
    """Decode the answer, in the order of the call.

    Raises :class:`PieceAnswerMalformed` where it does not fit the call.
    """
    try:
        results = _decoder.decode(body).items
    except msgspec.MsgspecError as error:
        raise PieceAnswerMalformed(repr(error)) from error
    if len(results) != count:
        raise PieceAnswerMalformed(f"{len(results)} results for {count} pieces")
    return [_outcome(result) for result in results]


def encode_free(handles: list[str]) -> bytes:
    """Return the body of a call that frees results."""
    return msgspec.json.encode(_Free(handles))


def maker_of(handle: str) -> str:
    """Return the address of the backend server that holds a result."""
    return handle.partition("/")[0]


def _item(piece: Piece, now: float) -> _Item:
    return _Item(
        id=piece.request_id,
        phase=piece.stage,
        segment=piece.number,
        remaining_ms=max(1, int((piece.deadline - now) * 1000)),
        key=piece.key,
        inputs=piece.inputs if piece.key is None else None,
    )


def _outcome(result: _Result) -> PieceOutcome:
    if result.handle:
        return PieceOutcome(handle=result.handle)
    trouble = _TROUBLES.get(result.reason or "", PieceTrouble.FAILED)
    return PieceOutcome(trouble=trouble)


def call_headers(server_id: str) -> CIMultiDict[str]:
    """Return the headers of a call that only this server may take."""
    return CIMultiDict({names.EXPECT_ENGINE: server_id})
