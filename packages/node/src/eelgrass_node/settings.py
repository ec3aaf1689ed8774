"""The settings of a node, which are read from YAML and validated when it starts."""

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


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of all sections; an unknown key is an error."""


class Listen(_Section):
    """Addresses that the node listens on, each an IP number and port."""

    callers: str
    internal: str
    gossip: str


class Peer(_Section):
    """A seed node; this node learns of the other nodes from its seeds."""

    id: NodeId
    internal: str
    gossip: str


class Platform(_Section):
    """The address of the platform's services, and the timeout of a call to them."""

    address: str
    call_timeout_ms: int = 500


class Statsd(_Section):
    """The StatsD server that counters are sent to."""

    host: str
    port: int = 8125
    prefix: str = "eelgrassward"


class Limits(_Section):
    """Limits on callers' request bodies, on requests in flight, and of the machine.

    ``memory_mb`` is the memory of the machine, in units of 1,000,000 bytes, and
    ``max_descriptors`` how many files and connections the process may open.
    """

    max_body_bytes: int = 1 << 20
    max_in_flight: int = 2000
    memory_mb: float = 300.0
    max_descriptors: int = 4100


class Policy(_Section):
    """The policies for server choice, queue order, admission and retries."""

    choice: Choice = Choice.LEAST_OF_TWO
    order: Order = Order.PRIORITY_DEADLINE
    admission: Admission = Admission.FEASIBLE
    retry_budget_ratio: float = 0.1
    retry_budget_reserve: float = 20.0


class Timing(_Section):
    """Intervals and time limits, in milliseconds."""

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


class Settings(_Section):
    """All settings of one node. Operators' calls must carry ``operator_token``."""

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
    """Read and validate a settings file; raises :class:`SettingsError`."""
    name = str(file)
    try:
        raw = yaml.safe_load(file.read_text())
    except OSError as error:
        remedy = "Specify the path of a readable file."
        raise SettingsError(name, "file", str(error), remedy) from error
    except yaml.YAMLError as error:
        remedy = "Correct the YAML syntax."
        raise SettingsError(name, "file", str(error), remedy) from error
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise _validation_error(name, error, raw) from error
    _check_values(name, settings)
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
        remedy = "Specify a value of the expected type."
    found = "" if value is None else f" (found {value!r})"
    return SettingsError(name, key, f"{reason}{found}", remedy)


def _value_at(raw: Any, key: str) -> Any:
    for segment in key.split("."):
        if not isinstance(raw, dict):
            return None
        raw = raw.get(segment)
    return None if isinstance(raw, dict) else raw


def _check_values(name: str, settings: Settings) -> None:
    addresses = {
        "listen.callers": settings.listen.callers,
        "listen.internal": settings.listen.internal,
        "listen.gossip": settings.listen.gossip,
    }
    for index, peer in enumerate(settings.peers):
        addresses[f"peers[{index}].internal"] = peer.internal
        addresses[f"peers[{index}].gossip"] = peer.gossip
    for key, value in addresses.items():
        if not ADDRESS.fullmatch(value):
            remedy = "Specify an IP address and a port, for example 10.0.0.5:8080."
            raise SettingsError(name, key, f"not an address (found {value!r})", remedy)
    if not settings.platform.address.startswith("http://"):
        remedy = "Specify a URL, for example http://10.0.0.9:9000."
        value = settings.platform.address
        raise SettingsError(name, "platform.address", f"found {value!r}", remedy)
    for key in Timing.__struct_fields__:
        value = getattr(settings.timing, key)
        if value <= 0:
            remedy = "Specify a positive number of milliseconds."
            raise SettingsError(name, f"timing.{key}", f"found {value}", remedy)
    for key in Limits.__struct_fields__:
        value = getattr(settings.limits, key)
        if value <= 0:
            raise SettingsError(
                name, f"limits.{key}", f"found {value}", "Specify a positive number."
            )
    if not 0 <= settings.policy.retry_budget_ratio <= 1:
        remedy = "Specify a fraction from 0 to 1."
        value = settings.policy.retry_budget_ratio
        raise SettingsError(name, "policy.retry_budget_ratio", f"found {value}", remedy)
