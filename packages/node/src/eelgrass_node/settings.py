"""The settings of a node, read from YAML and checked whole at the start."""

import re
from pathlib import Path
from typing import Any

import msgspec
import yaml

from eelgrass_coordination.ids import DataCentre, NodeId

from .exceptions import SettingsError
from .process.policy import Admission, Choice, Order

__all__ = [
    "Limits",
    "Listen",
    "Peer",
    "Platform",
    "Policy",
    "Settings",
    "Statsd",
    "Timing",
    "load_settings",
]

ADDRESS = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}")


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all parts: an unknown key is an error."""


class Listen(_Part):
    """Addresses that the node listens on, each an IP number and port."""

    callers: str
    internal: str
    gossip: str


class Peer(_Part):
    """Another node, as a first contact; the others are heard of from it."""

    id: NodeId
    internal: str
    gossip: str


class Platform(_Part):
    """The platform's services; the timeout is for one call."""

    address: str
    call_timeout_ms: int = 500


class Statsd(_Part):
    """Where the counters are sent."""

    host: str
    port: int = 8125
    prefix: str = "eelgrassward"


class Limits(_Part):
    """Limits on what callers send and on what is in flight."""

    max_body_bytes: int = 1 << 20
    max_in_flight: int = 2000


class Policy(_Part):
    """Which policies are in force; see the operator's page."""

    choice: Choice = Choice.LEAST_OF_TWO
    order: Order = Order.PRIORITY_DEADLINE
    admission: Admission = Admission.FEASIBLE
    retry_budget_ratio: float = 0.1
    retry_budget_reserve: float = 20.0


class Timing(_Part):
    """Intervals and bounds, in milliseconds."""

    head_poll_ms: int = 1000
    hosts_poll_ms: int = 1000
    heartbeat_ms: int = 1000
    claim_settle_ms: int = 800
    first_byte_floor_ms: int = 250
    between_pieces_floor_ms: int = 250
    drain_notice_ms: int = 2000
    drain_limit_ms: int = 60000
    change_settle_ms: int = 5000
    cost_store_ms: int = 30000


class Settings(_Part):
    """All settings of one node. ``operator_token`` guards operators' calls."""

    node: NodeId
    data_centre: DataCentre
    listen: Listen
    platform: Platform
    peers: tuple[Peer, ...] = ()
    statsd: Statsd | None = None
    operator_token: str = ""
    limits: Limits = Limits()
    policy: Policy = Policy()
    timing: Timing = Timing()


def load_settings(file: Path) -> Settings:
    """Read and check a settings file; raises :class:`SettingsError`."""
    name = str(file)
    try:
        raw = yaml.safe_load(file.read_text())
    except OSError as error:
        remedy = "Give the path of a readable file."
        raise SettingsError(name, "file", str(error), remedy) from error
    except yaml.YAMLError as error:
        remedy = "Correct the YAML there."
        raise SettingsError(name, "file", str(error), remedy) from error
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise _validation_error(name, error, raw) from error
    _check(name, settings)
    return settings


def _validation_error(name: str, error: Exception, raw: Any) -> SettingsError:
    reason, _, path = str(error).partition(" - at `")
    key = path.rstrip("`").removeprefix("$.") or "file"
    value = _value_at(raw, key)
    if "unknown field" in reason:
        remedy = "Remove it, or correct its spelling."
    elif "missing required field" in reason:
        remedy = "Add it; see the example settings."
    else:
        remedy = "Give a value of the type that is named."
    shown = "" if value is None else f" (found {value!r})"
    return SettingsError(name, key, f"{reason}{shown}", remedy)


def _value_at(raw: Any, key: str) -> Any:
    for part in key.split("."):
        if not isinstance(raw, dict):
            return None
        raw = raw.get(part)
    return None if isinstance(raw, dict) else raw


def _check(name: str, settings: Settings) -> None:
    addresses = {
        "listen.callers": settings.listen.callers,
        "listen.internal": settings.listen.internal,
        "listen.gossip": settings.listen.gossip,
    }
    for number, peer in enumerate(settings.peers):
        addresses[f"peers[{number}].internal"] = peer.internal
        addresses[f"peers[{number}].gossip"] = peer.gossip
    for key, value in addresses.items():
        if not ADDRESS.fullmatch(value):
            remedy = "Give an IP number and a port, as 10.0.0.5:8080."
            raise SettingsError(name, key, f"not an address (found {value!r})", remedy)
    if not settings.platform.address.startswith("http://"):
        remedy = "Give it as http://10.0.0.9:9000."
        value = settings.platform.address
        raise SettingsError(name, "platform.address", f"found {value!r}", remedy)
    for key in Timing.__struct_fields__:
        value = getattr(settings.timing, key)
        if value <= 0:
            remedy = "Give a positive number of milliseconds."
            raise SettingsError(name, f"timing.{key}", f"found {value}", remedy)
    if not 0 <= settings.policy.retry_budget_ratio <= 1:
        remedy = "Give a fraction from 0 to 1."
        value = settings.policy.retry_budget_ratio
        raise SettingsError(name, "policy.retry_budget_ratio", f"found {value}", remedy)
