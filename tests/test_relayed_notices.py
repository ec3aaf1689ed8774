"""Servers that say that they leave or want rest, to hosts that share one connection.

One of two nodes is cut off from the servers and calls them through the other.
"""

import asyncio
import itertools

from support.host_links import LinkedDeployment, cut_off, source_ip
from support.notices import calls_after_leaving, calls_while_resting, served_share
from support.soak_deployment import Call

CALLS_PER_S = 50


async def load(deployment, for_s):
    """Send plain calls to both nodes in turn; return them."""
    loop = asyncio.get_running_loop()
    began, sending, calls = loop.time(), [], []
    nodes = itertools.cycle(range(2))
    for number in range(int(for_s * CALLS_PER_S)):
        await asyncio.sleep(began + number / CALLS_PER_S - loop.time())
        call = Call(f"relayed-{number}", "safe", next(nodes), loop.time())
        calls.append(call)
        ask = deployment.ask("/safe/x", node=call.node, request_id=call.request_id)
        sending.append(asyncio.create_task(ask))
    for call, (status, _, _) in zip(calls, await asyncio.gather(*sending), strict=True):
        call.status = status
    return calls


def asked_node(calls):
    """Return a function that tells which node a call's caller asked."""
    node_by_id = {call.request_id: f"node-{call.node}" for call in calls}
    return lambda arrival: node_by_id[arrival.request_ids[0]]


class TestNoticesToNodesThatShareAPath:
    # Guards against notices that reach only the node which holds the connection, or
    # only the one behind it.
    async def test_a_server_says_that_it_leaves(self):
        async with LinkedDeployment(nodes=2, servers=3) as deployment:
            await cut_off(deployment)
            engines = deployment.engines_by_service["desk"]
            engines[0].says_leaving = True
            calls = await load(deployment, for_s=3.5)
            assert {a.peer for a in engines[0].arrivals} == {source_ip(1)}
            assert calls_after_leaving(engines, calls) == {}
            assert calls_after_leaving(engines, calls, asked_node(calls)) == {}

    async def test_a_server_asks_for_rest(self):
        async with LinkedDeployment(nodes=2, servers=3) as deployment:
            await cut_off(deployment)
            engines = deployment.engines_by_service["desk"]
            engines[0].rest_s = 3.0
            calls = await load(deployment, for_s=3.5)
            assert {a.peer for a in engines[0].arrivals} == {source_ip(1)}
            assert calls_while_resting(engines) == {}
            assert calls_while_resting(engines, asked_node(calls)) == {}
            assert served_share(calls) >= 0.9
