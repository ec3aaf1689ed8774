"""The datagrams by which nodes tell each other the origins of streams."""

import msgspec

from eelgrass_coordination import JsonDecoder
from eelgrass_coordination.ids import SoftwareVersion

from ...version.deployment import ServiceName
from .origin_table import StreamOrigin

__all__ = ["Answer", "Ask", "Confirm", "OriginMessage", "Store", "decode", "encode"]


class Store(msgspec.Struct, frozen=True, array_like=True, tag="store"):
    """Keep the origin of a stream for ``ttl_s`` seconds."""

    number: int
    stream: str
    origin: StreamOrigin
    ttl_s: float


class Confirm(msgspec.Struct, frozen=True, array_like=True, tag="confirm"):
    """The origin of message ``number`` is kept."""

    number: int


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Tell the origin of a stream; if it is unknown, what can have begun it.

    ``stream`` is empty if its id is not known. The stream is one of ``service`` and has
    begun within the last ``max_age_s`` seconds.
    """

    number: int
    stream: str
    service: ServiceName
    max_age_s: float


class Answer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """The origin, or the versions that the sender knows of the service.

    ``covers`` is whether ``versions`` includes all versions of the time in question.
    """

    number: int
    origin: StreamOrigin | None
    versions: tuple[SoftwareVersion, ...] = ()
    covers: bool = False


OriginMessage = Store | Confirm | Ask | Answer

_encoder = msgspec.json.Encoder()
_decoder = JsonDecoder(OriginMessage)


def encode(message: OriginMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> OriginMessage:
    """Decode a message; raises :class:`msgspec.MsgspecError`."""
    return _decoder.decode(data)
