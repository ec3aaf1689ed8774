"""The parts of an entry node that serve callers' requests, put together."""

import asyncio
from typing import TYPE_CHECKING

from .process.store_tables import MAX_GAP_S
from .request.incoming_request import WireCodec
from .request.server_checks import ServerChecks
from .request.serving_context import ServingContext
from .request.stage_planner import StagePlanner

if TYPE_CHECKING:
    from .entry_node import EntryNode

__all__ = ["serving_context"]


def serving_context(node: "EntryNode", codec: WireCodec) -> ServingContext:
    """Return the parts of a node that its requests use."""
    planner = StagePlanner(
        node.server_choice.choose,
        lambda: node.deployments.current,
        node.queue_loads,
        node.final_call_latency,
    )
    return ServingContext(
        codec=codec,
        choose=node.server_choice.choose,
        no_server_refusal=node.server_choice.refusal,
        unavailable=node.server_choice.unavailable,
        is_allowed=node.server_choice.is_allowed,
        admit=node.request_admission.admit,
        copy_source=node.server_choice.copy_source,
        data_centre_of=node.local_queues.data_centre_of,
        has_ended=node.backends.has_ended,
        plan=planner.plan,
        infeasible_retry_after_s=planner.infeasible_retry_after_s,
        stages_rest_s=planner.rest_left_s,
        run_items=node.shared_queues.run,
        free_results=node.shared_queues.results.free,
        final_call_latency=node.final_call_latency,
        retries=node.retry_budgets,
        reachability=node.reachability,
        brittle_servers=node.brittle_servers,
        origins=node.stream_origins,
        is_list_recent=lambda: node.tables.servers.is_confirmed_within(MAX_GAP_S),
        server_checks=ServerChecks(codec, asyncio.get_running_loop().time),
        on_server_replaced=node.on_server_replaced,
        on_server_failing=node.failure_gossip.announce_failure,
        poison_requests=node.poison_requests,
        part_trials=node.part_trials,
        count=node.counters.count,
        metrics=node.metrics,
    )
