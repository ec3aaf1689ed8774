"""HTTP client for the operator interface of nodes."""

import asyncio
import os
from typing import Any

import aiohttp
import msgspec

from eelgrass_coordination import decode_json
from eelgrass_node.connection.sockets import new_session

from .exceptions import NodeRefused, NoNode

__all__ = ["Target", "call", "target_of"]

TIMEOUT_S = 30.0
TOKEN_HEADER = "Operator-Token"
TOKEN_VARIABLE = "EELGRASS_OPERATOR_TOKEN"
NODES_VARIABLE = "EELGRASS_NODES"
HTTP_OK = 200


class Target(msgspec.Struct, frozen=True):
    """The nodes to try in turn, and the operators' token."""

    nodes: list[str]
    token: str


def target_of(node: list[str]) -> Target:
    """Return the target that the options give, or else the environment."""
    nodes = node or os.environ.get(NODES_VARIABLE, "127.0.0.1:8081").split(",")
    return Target(nodes, os.environ.get(TOKEN_VARIABLE, ""))


def call(target: Target, path: str, message: Any = None) -> Any:
    """Make one call and return the decoded response; POST if there is a message.

    If a node does not answer, the next one is tried. This is safe for changes: each
    carries an id by which it takes effect only once.
    """
    return asyncio.run(_call(target, path, message))


async def _call(target: Target, path: str, message: Any) -> Any:
    headers = {TOKEN_HEADER: target.token}
    reason = "no address"
    async with new_session(None, total_s=TIMEOUT_S, headers=headers) as session:
        for node in target.nodes:
            url = f"http://{node}/operator/v1/{path}"
            try:
                return await _send(session, url, message)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                reason = repr(error)
    raise NoNode(target.nodes, reason)


async def _send(session: aiohttp.ClientSession, url: str, message: Any) -> Any:
    method = "GET" if message is None else "POST"
    data = None if message is None else msgspec.json.encode(message)
    async with session.request(method, url, data=data) as response:
        body = await response.read()
        if response.status != HTTP_OK:
            raise NodeRefused(_error_reason(response.status, body))
        return decode_json(body)


def _error_reason(status: int, body: bytes) -> str:
    try:
        return decode_json(body)["error"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return f"status {status}"
