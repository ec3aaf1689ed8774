"""A sample deployment, node settings and configuration of realistic size."""

import hashlib
from collections.abc import Sequence
from typing import Any

import msgspec

from .deployment import BackendKind, BackendSpec, DeploymentSpec, PlatformSpec
from .ports import free_addresses

__all__ = [
    "ACCOUNT_KEY",
    "DATA_CENTRES",
    "OPERATOR_TOKEN",
    "sample_deployment",
    "create_items",
    "node_settings",
    "sample_configuration",
]

ACCOUNT_KEY = "demo-key"
OPERATOR_TOKEN = "demo-operators"
DATA_CENTRES = ("cau-giay", "long-bien", "ha-dong")
ACCOUNTS = ("permit-clerks", "contractors", "architects", "ministry", "archive")
POOLS = {"encoders": 2.0, "retrievers": 3.0, "rerankers": 2.0}
SERVICES = ("register-desk", "member-portal", "permit-liaison", "archive-index")


def sample_deployment(
    engines: int = 6,
    pool_size: int = 3,
    work: float = 1.0,
    step_ms: float = 4.0,
    **platform: Any,
) -> DeploymentSpec:
    """Return a sample deployment of stand-ins on free loopback ports.

    ``work`` scales the time of a call to pools and services; at 0 they answer at once.
    """
    specs: list[tuple[str, str, BackendKind, int, float]] = []
    for n in range(engines):
        name = f"reader-{n + 1}"
        specs.append((name, "model-readers", BackendKind.ENGINE, 16, step_ms))
    for service in POOLS:
        for n in range(pool_size):
            work_ms = POOLS[service] * work
            specs.append((f"{service}-{n + 1}", service, BackendKind.POOL, 8, work_ms))
    for service in SERVICES:
        for n in range(pool_size):
            specs.append((f"{service}-{n + 1}", service, BackendKind.POOL, 8, work))
    addresses = free_addresses(len(specs) + 1)
    backends = tuple(
        BackendSpec(
            id=name,
            service=service,
            address=address,
            data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
            kind=kind,
            limit=limit,
            work_ms=work_ms,
        )
        for n, ((name, service, kind, limit, work_ms), address) in enumerate(
            zip(specs, addresses, strict=False)
        )
    )
    return DeploymentSpec(PlatformSpec(addresses[-1], **platform), backends)


def node_settings(
    platform: str, count: int, data_centres: Sequence[str] = DATA_CENTRES
) -> list[dict[str, Any]]:
    """Return the settings of ``count`` nodes on free loopback ports."""
    addresses = free_addresses(3 * count)
    nodes = []
    for n in range(count):
        callers, internal, gossip = addresses[3 * n : 3 * n + 3]
        nodes.append(
            {
                "node": f"entry-{n + 1}",
                "data_centre": data_centres[n % len(data_centres)],
                "listen": {"callers": callers, "internal": internal, "gossip": gossip},
                "platform": {"address": f"http://{platform}"},
                "operator_token": OPERATOR_TOKEN,
            }
        )
    for node in nodes:
        node["peers"] = [
            {"id": other["node"], **_peer_addresses(other)}
            for other in nodes
            if other is not node
        ][:8]
    return nodes


def _peer_addresses(node: dict[str, Any]) -> dict[str, str]:
    listen = node["listen"]
    return {"internal": listen["internal"], "gossip": listen["gossip"]}


def sample_configuration() -> dict[str, dict[str, Any]]:
    """Return templates, client accounts and parameter sets by kind and name."""
    digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
    templates = {
        "revision-check": {
            "deadline_ms": 4000,
            "stages": _reading_stages(max_tokens="$length"),
            "parameters": {
                "model": {"type": "string"},
                "length": {"type": "integer", "required": False, "default": 16},
            },
        },
        "transmittal": {
            "deadline_ms": 4000,
            "priority": 5,
            "stages": [
                {"name": "encode", "kind": "encode", "service": "encoders"},
                {
                    "name": "lodge",
                    "kind": "call",
                    "service": "register-desk",
                    "operation": "lodge-transmittal",
                    "idempotent": False,
                },
            ],
        },
        "current-issue": {
            "deadline_ms": 2000,
            "priority": 10,
            "stages": [
                {
                    "name": "look-up",
                    "kind": "call",
                    "service": "archive-index",
                    "operation": "current-issue",
                }
            ],
        },
    }
    accounts = {name: {"key_sha256": digest} for name in ACCOUNTS}
    parameters = {
        f"{account}/{template}": {
            "account": account,
            "template": template,
            "values": {"model": "reader-7b"} if template == "revision-check" else {},
        }
        for account in ACCOUNTS
        for template in templates
    }
    return {"templates": templates, "accounts": accounts, "parameters": parameters}


def _reading_stages(max_tokens: int | str) -> list[dict[str, Any]]:
    return [
        {"name": "encode", "kind": "encode", "service": "encoders"},
        {"name": "retrieve", "kind": "retrieve", "service": "retrievers"},
        {"name": "rerank", "kind": "rerank", "service": "rerankers"},
        {
            "name": "draft",
            "kind": "generate",
            "service": "model-readers",
            "model": "$model",
            "max_tokens": max_tokens,
        },
    ]


def create_items(configuration: dict[str, dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the change items that create a configuration, as JSON values."""
    return [
        {
            "kind": kind,
            "name": name,
            "action": "create",
            "base_revision": 0,
            "value": msgspec.Raw(msgspec.json.encode(value)),
        }
        for kind, by_name in configuration.items()
        for name, value in by_name.items()
    ]
