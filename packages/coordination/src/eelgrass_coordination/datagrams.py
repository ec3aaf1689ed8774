"""UDP transport for the messages of the membership protocol, and for other payloads.

Payloads of other protocols between the same nodes begin with a byte that no message
does. Releases that do not know them drop them as invalid messages.
"""

import asyncio
from collections.abc import Callable

import msgspec

from .json_decoding import JsonDecoder
from .messages import Message

__all__ = ["Datagrams"]

PAYLOAD_PREFIX = b"\x00"


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives messages; ``on_message`` is called for each valid one.

    ``on_payload`` is called with each payload and the address of its sender.
    ``sent`` counts the messages sent and ``sent_bytes`` their bytes.
    """

    def __init__(self, on_message: Callable[[Message], None]) -> None:
        self._on_message = on_message
        self._encoder = msgspec.json.Encoder()
        self._decoder = JsonDecoder(Message)
        self._transport: asyncio.DatagramTransport | None = None
        self.on_payload: Callable[[bytes, str], None] = _ignore
        self.sent = 0
        self.sent_bytes = 0

    async def open(self, address: str) -> None:
        """Listen at an IP address and port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=_parsed(address)
        )

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, address: str, message: Message) -> None:
        """Send one message to an IP address and port."""
        self._send(address, self._encoder.encode(message))

    def send_payload(self, address: str, payload: bytes) -> None:
        """Send a payload to an IP address and port, if the socket is open."""
        if self.is_open:
            self._send(address, PAYLOAD_PREFIX + payload)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it on; an invalid datagram is dropped.

        It may come from an unknown sender, or from a node of another release.
        """
        if data.startswith(PAYLOAD_PREFIX):
            host, port = addr[:2]
            self.on_payload(data[len(PAYLOAD_PREFIX) :], f"{host}:{port}")
            return
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError:
            return
        self._on_message(message)

    def _send(self, address: str, data: bytes) -> None:
        self.sent += 1
        self.sent_bytes += len(data)
        self._transport.sendto(data, _parsed(address))


def _ignore(payload: bytes, address: str) -> None:
    """Drop a payload: the default of ``on_payload``."""


def _parsed(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
