"""Decodes JSON that comes from outside the process.

Whatever is wrong with it, :class:`msgspec.MsgspecError` is raised. The library alone
raises :class:`RecursionError` for deeply nested values, also in fields that no type
declares, and :class:`UnicodeDecodeError`; code that expects the library's own errors
would end with them.
"""

from typing import Any, Generic, TypeVar

import msgspec

__all__ = ["JsonDecoder", "decode_json"]

T = TypeVar("T")
UNWRAPPED_ERRORS = (RecursionError, UnicodeDecodeError)


class JsonDecoder(Generic[T]):
    """Decodes values of one type, for example ``JsonDecoder(list[int])``."""

    def __init__(self, value_type: type[T]) -> None:
        self._decoder = msgspec.json.Decoder(value_type)

    def decode(self, data: bytes | str) -> T:
        """Decode a value; raises :class:`msgspec.MsgspecError`."""
        try:
            return self._decoder.decode(data)
        except UNWRAPPED_ERRORS as error:
            raise msgspec.DecodeError(str(error)) from error


def decode_json(data: bytes | str, value_type: Any = Any) -> Any:
    """Decode a value of a type; raises :class:`msgspec.MsgspecError`."""
    try:
        return msgspec.json.decode(data, type=value_type)
    except UNWRAPPED_ERRORS as error:
        raise msgspec.DecodeError(str(error)) from error
