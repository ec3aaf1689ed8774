"""Decodes the entries that backend servers write about themselves."""

import msgspec

from eelgrass_coordination.ids import BackendId, DataCentre

from ..exceptions import ServerEntryMalformed
from ..process.backends import BackendState, HostEntry

__all__ = ["SERVERS_TABLE", "decode_server"]

SERVERS_TABLE = "servers"


class _Server(msgspec.Struct, frozen=True, rename="pascal"):
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    warmup_left_ms: float = 0.0


_decoder = msgspec.json.Decoder(_Server)


def decode_server(server_id: str, value: bytes) -> HostEntry:
    """Decode the entry of a server; raises :class:`ServerEntryMalformed`."""
    try:
        wire = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise ServerEntryMalformed(server_id, repr(error)) from error
    # Any state but ready means that the server is on its way out.
    leaving = wire.state != "ready"
    return HostEntry(
        id=BackendId(server_id),
        service=wire.service,
        address=wire.address,
        data_centre=DataCentre(wire.zone),
        limit=max(1, wire.slots),
        state=BackendState.LEAVING if leaving else BackendState.LIVE,
    )
