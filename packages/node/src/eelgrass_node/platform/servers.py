"""Decodes the entries that backend servers write about themselves.

An entry may come from another writer. One that is not exactly what a server
writes names no server.
"""

import ipaddress
import time
from collections.abc import Mapping

import msgspec

from eelgrass_coordination.ids import BackendId, DataCentre

from ..exceptions import ServerEntryMalformed
from ..process.backends import BackendState, HostEntry

__all__ = ["SERVERS_TABLE", "decode_server"]

SERVERS_TABLE = "servers"

_STATES = {"ready": BackendState.LIVE, "draining": BackendState.LEAVING}
# Far over what any server takes at a time; more is taken for a mistake.
MAX_SLOTS = 100_000
MAX_PORT = 65_535
# A start that lies further ahead of this host's time of day is taken for a
# mistake: clocks differ by seconds.
MAX_AHEAD_MS = 86_400_000


class _Server(msgspec.Struct, frozen=True, rename="pascal"):
    """The wire's entry; what is not used is declared so that it is checked.

    ``born`` is the time of the server's start, in Unix milliseconds; servers of
    older deployments do not tell it.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    warmup_left_ms: float
    sequence: int
    born: int = msgspec.field(default=0, name="born")


_decoder = msgspec.json.Decoder(_Server)


def decode_server(
    region_by_data_centre: Mapping[str, str], server_id: str, value: bytes
) -> HostEntry:
    """Decode the entry of a server; raises :class:`ServerEntryMalformed`."""
    try:
        wire = _decoder.decode(value)
        _check(wire)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ServerEntryMalformed(server_id, repr(error)) from error
    return HostEntry(
        id=BackendId(server_id),
        service=wire.service,
        address=wire.address,
        data_centre=DataCentre(wire.zone),
        limit=wire.slots,
        state=_STATES[wire.state],
        started=wire.born,
        region=region_by_data_centre.get(wire.zone, ""),
        warm_up_s=wire.warmup_left_ms / 1000,
    )


def _check(wire: _Server) -> None:
    """Raise :class:`ValueError` where a value cannot be meant."""
    host, _, port = wire.address.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"the port of {wire.address} is wrong")
    if wire.state not in _STATES:
        raise ValueError(f"the state {wire.state} is not known")
    if not wire.service or not wire.zone:
        raise ValueError("the service or the data centre is empty")
    if not 0 < wire.slots <= MAX_SLOTS:
        raise ValueError(f"{wire.slots} slots")
    if wire.sequence < 0 or not wire.warmup_left_ms >= 0:
        raise ValueError("a count is negative")
    latest = time.time() * 1000 + MAX_AHEAD_MS
    if not 0 <= wire.born <= latest:
        raise ValueError(f"a start at {wire.born}")
