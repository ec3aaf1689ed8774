"""Runs a demo in one process: a node, all stand-ins and sample requests."""

import json
from typing import Any

import msgspec

from eelgrass_node.process.node import Node
from eelgrass_node.settings import Settings

from .client import Client, Reply
from .deployment import StandIns
from .samples import node_settings, sample_configuration, sample_deployment

__all__ = ["run_demo"]


async def run_demo() -> None:
    """Start the deployment on loopback, send requests and print the answers."""
    stand_ins = StandIns(sample_deployment())
    await stand_ins.start()
    (raw,) = node_settings(stand_ins.spec.platform.address, 1)
    raw["timing"] = {"drain_notice_ms": 100}
    node = Node(msgspec.convert(raw, Settings))
    await node.start()
    try:
        async with Client() as client:
            await _run_requests(client, raw["listen"])
    finally:
        node.stopping.request()
        clean = await node.run_until_stopped()
        await stand_ins.close()
    print(f"\nPlanned stop completed without cutting off requests: {clean}")


async def _run_requests(client: Client, listen: dict[str, str]) -> None:
    callers, internal = listen["callers"], listen["internal"]
    report = await client.configure(internal, sample_configuration())
    _print_title("A configuration change")
    print(
        f"  {report['result']['outcome']} as revision {report['result']['revision']},"
    )
    print(f"  in force on {', '.join(report['in_force'])}")

    _print_title("A request through four stages, streamed")
    reply = await client.call(
        callers, "revision-check", "Is A-101 rev C current?", stream=True
    )
    print("  " + "".join(line.get("text", "") for line in reply.body))
    final = reply.body[-1]
    print(f"  complete: {final['complete']}, chunks: {final['count']}")

    _print_title("A transmittal sent twice under one key")
    for number in (1, 2):
        reply = await client.call(callers, "transmittal", "A-101 rev C", key="t-1")
        replayed = reply.headers.get("Idempotent-Replayed", "false")
        print(f"  call {number}: {reply.status} {reply.body['output']}, {replayed=}")

    _print_title("A refusal")
    reply = await client.call(
        callers, "current-issue", "A-101", deadline_ms=999_999_999
    )
    _print_refusal(reply)

    _print_title("Amend a template while serving")
    print("  " + await _amend(client, internal))

    _print_title("Cost per stage")
    for row in await client.operate(internal, "costs"):
        name = f"{row['account']}/{row['pipeline']}/{row['stage']}"
        useful, wasted = row["useful_ms"], row["wasted_ms"]
        print(f"  {name:42} useful {useful:7.2f} ms  wasted {wasted:5.2f} ms")


async def _amend(client: Client, internal: str) -> str:
    (shown,) = await client.operate(internal, "objects/templates?name=current-issue")
    value: dict[str, Any] = {**shown["value"], "deadline_ms": 1500}
    item = {
        "kind": "templates",
        "name": "current-issue",
        "action": "amend",
        "base_revision": shown["revision"],
        "value": value,
    }
    first = await client.change(internal, "demo-amend-1", [item])
    second = await client.change(internal, "demo-amend-2", [item])
    problem = second["result"]["problems"][0]
    return (
        f"first team: {first['result']['outcome']}; second team with the same "
        f"base: {second['result']['outcome']}, {problem['reason']}"
    )


def _print_refusal(reply: Reply) -> None:
    print("  " + json.dumps(reply.body, indent=2).replace("\n", "\n  "))


def _print_title(text: str) -> None:
    print(f"\n{text}")
