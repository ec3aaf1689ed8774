"""Decodes the entries that backend servers register in the store.

Other writers may write to the same table, so an entry is rejected unless it has
exactly the form that a server writes.
"""

import ipaddress
import time
from collections.abc import Mapping

import msgspec

from eelgrass_coordination import JsonDecoder
from eelgrass_coordination.ids import BackendId, DataCentre, SoftwareVersion

from ..exceptions import ServerEntryMalformed
from ..process.backends import BackendState, HostEntry

__all__ = ["SERVERS_TABLE", "decode_server"]

SERVERS_TABLE = "servers"

_STATE_BY_NAME = {"ready": BackendState.LIVE, "draining": BackendState.LEAVING}
# Far above the concurrency of any server; more is rejected as a mistake.
MAX_SLOTS = 100_000
MAX_PORT = 65_535
# A start time further ahead of this host's clock is rejected as a mistake, because
# clocks of hosts differ by seconds only.
MAX_START_AHEAD_MS = 86_400_000


class _Server(msgspec.Struct, frozen=True, rename="pascal"):
    """An entry on the wire. Unused fields are declared so that they are checked.

    ``born`` is the time of the server's start, in Unix milliseconds; servers of
    older deployments omit it.
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


_decoder = JsonDecoder(_Server)


def decode_server(
    region_by_data_centre: Mapping[str, str], server_id: str, value: bytes
) -> HostEntry:
    """Decode a server's entry; raise :class:`ServerEntryMalformed` if it is wrong."""
    try:
        wire = _decoder.decode(value)
        _validate(wire)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ServerEntryMalformed(server_id, repr(error)) from error
    return HostEntry(
        id=BackendId(server_id),
        service=wire.service,
        address=wire.address,
        data_centre=DataCentre(wire.zone),
        limit=wire.slots,
        state=_STATE_BY_NAME[wire.state],
        started=wire.born,
        region=region_by_data_centre.get(wire.zone, ""),
        warm_up_s=wire.warmup_left_ms / 1000,
        version=SoftwareVersion(wire.version),
    )


def _validate(wire: _Server) -> None:
    """Raise :class:`ValueError` if a value is invalid or implausible."""
    host, _, port = wire.address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"the address {wire.address} has no valid port")
    if wire.state not in _STATE_BY_NAME:
        raise ValueError(f"the state {wire.state} is unknown")
    if not wire.service or not wire.zone:
        raise ValueError("the service or the data centre is empty")
    if not 0 < wire.slots <= MAX_SLOTS:
        raise ValueError(f"{wire.slots} slots are out of range")
    if wire.sequence < 0 or not wire.warmup_left_ms >= 0:
        raise ValueError("the sequence or the remaining warm-up time is negative")
    latest_start = time.time() * 1000 + MAX_START_AHEAD_MS
    if not 0 <= wire.born <= latest_start:
        raise ValueError(f"the start time {wire.born} is out of range")
