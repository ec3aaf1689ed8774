"""A simulated datagram network within one process, in simulated time.

Some hundred members of the membership protocol can run in one process, where a
simulated minute takes seconds. Each datagram is delivered after the network latency,
or is lost.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from .simulated_time import SimulatedTimeLoop

__all__ = ["DatagramLoop", "run_network"]

T = TypeVar("T")

# One-way latency between hosts of different data centres, in seconds.
ONE_WAY_DELAY_S = 0.0009


class DatagramLoop(SimulatedTimeLoop):
    """A loop whose datagram sockets are connected by a simulated network.

    ``loss`` is the fraction of datagrams that are lost. ``sent`` counts the datagrams
    sent and ``sent_bytes`` their bytes. ``is_cut`` returns whether the path from one
    host to another is cut.
    """

    def __init__(self, loss: float = 0.0, seed: int = 1) -> None:
        super().__init__()
        self._loss = loss
        self._random = random.Random(seed)
        self._protocol_by_address: dict[tuple[str, int], asyncio.DatagramProtocol] = {}
        self.sent = 0
        self.sent_bytes = 0
        self.is_cut: Callable[[str, str], bool] = lambda source, to: False

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: tuple[str, int], **options: Any
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        """Bind a protocol to an address of the simulated network."""
        protocol = protocol_factory()
        self._protocol_by_address[local_addr] = protocol
        return _Transport(self, local_addr), protocol

    def carry(self, data: bytes, source: tuple[str, int], to: tuple[str, int]) -> None:
        """Deliver a datagram after the network latency, or lose it."""
        self.sent += 1
        self.sent_bytes += len(data)
        if self._random.random() >= self._loss and not self.is_cut(source[0], to[0]):
            self.call_later(ONE_WAY_DELAY_S, self._deliver, data, source, to)

    def unbind(self, address: tuple[str, int]) -> None:
        """Drop the datagrams that arrive at an address from now on."""
        self._protocol_by_address.pop(address, None)

    def _deliver(
        self, data: bytes, source: tuple[str, int], to: tuple[str, int]
    ) -> None:
        protocol = self._protocol_by_address.get(to)
        if protocol is not None:
            protocol.datagram_received(data, source)


class _Transport(asyncio.DatagramTransport):
    def __init__(self, loop: DatagramLoop, address: tuple[str, int]) -> None:
        super().__init__()
        self._loop = loop
        self._address = address
        self._closed = False

    def sendto(self, data: bytes, addr: tuple[str, int] | None = None) -> None:
        self._loop.carry(data, self._address, addr)

    def is_closing(self) -> bool:
        return self._closed

    def close(self) -> None:
        self._closed = True
        self._loop.unbind(self._address)


def run_network(main: Coroutine[Any, Any, T], loss: float = 0.0, seed: int = 1) -> T:
    """Run ``main`` to completion on a simulated network, in simulated time."""
    with asyncio.Runner(loop_factory=lambda: DatagramLoop(loss, seed)) as runner:
        return runner.run(main)
