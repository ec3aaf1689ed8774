"""Measures the processor time that a queue owner spends on each item set.

The load is that of the busiest stage of a large deployment: sets of 16 batch items with
8 inputs each, 8 servers whose calls of up to 69 items take 0.28 s, 140 listed servers,
and a burst that keeps hundreds of items waiting.

Example::

    python benchmarks/piece_queue.py
"""

import asyncio
import time

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.connection.listen_probe import probe_listening
from eelgrass_node.process.backends import Backends, HostEntry
from eelgrass_node.process.batch_items import BatchItem, ItemOutcome
from eelgrass_node.process.local_queues import LocalQueues
from eelgrass_node.process.poison_requests import PoisonRequests
from eelgrass_node.process.reachability import DataCentreReachability
from eelgrass_node.process.retry_budget import RetryBudgets
from eelgrass_node.version.deployment import (
    BatchLimits,
    CallerLimits,
    Deployment,
    Service,
    ServiceName,
)

SERVICE = ServiceName("archive")
LIMITS = BatchLimits(
    slots=1,
    queue=2,
    batch=69,
    call_s=0.15,
    item_s=0.0018,
    memory_bytes=1.2e6,
    result_life_s=4.0,
)
SERVERS = 8
OTHER_SERVERS = 132
ITEMS = 16
INPUTS = 8
RESULT_BYTES = 6000
WAITING_SETS = (4, 20, 60)
RUN_S = 3.0


def listed_servers() -> list[HostEntry]:
    """Return the servers of the stage and those of other services."""
    names = [(SERVICE, n) for n in range(SERVERS)]
    names += [("other", n) for n in range(OTHER_SERVERS)]
    return [
        HostEntry(
            id=BackendId(f"{service}-{number}"),
            service=service,
            address=f"10.1.{0 if service == SERVICE else 1}.{number}:8080",
            data_centre=DataCentre("abc"[number % 3]),
        )
        for service, number in names
    ]


def new_item_set(number: int, now: float) -> list[BatchItem]:
    """Return the batch items of one stage of one request."""
    inputs = tuple(f"10.1.1.{n}:8080/{number:x}{n:x}" for n in range(INPUTS))
    return [
        BatchItem(
            request_id=f"{number:016x}",
            stage=2,
            number=item,
            key=None,
            inputs=inputs,
            deadline=now + 4.0,
            due=now + 2.0,
            priority=1,
            result_bytes=RESULT_BYTES,
        )
        for item in range(ITEMS)
    ]


async def run_call(
    server, items: list[BatchItem], within_s: float
) -> list[ItemOutcome]:
    """Simulate a server of the stage: answer after the duration of the call."""
    await asyncio.sleep(LIMITS.call_s + LIMITS.item_s * len(items))
    handles = (f"{server.entry.address}/{p.request_id}{p.number:x}" for p in items)
    return [ItemOutcome(handle=handle) for handle in handles]


async def free_call(server, handles: list[str]) -> bool:
    """Report the results as freed, without a call."""
    return True


async def measure(waiting_sets: int) -> tuple[int, float]:
    """Return the number of completed item sets and their processor seconds."""
    loop = asyncio.get_running_loop()
    backends = Backends()
    backends.update(listed_servers())
    service = Service(name=SERVICE, max_connections=800, batch_limits=LIMITS)
    deployment = Deployment(
        number=1,
        routes_by_host={},
        service_by_name={SERVICE: service},
        account_by_key={},
        has_accounts=False,
        limits=CallerLimits(max_body_bytes=0, idle_s=0.0),
    )
    retries = RetryBudgets(0.2, 200.0, 10.0, loop.time)
    retries.sharing_nodes = 1
    local = LocalQueues(
        backends,
        lambda: deployment,
        retries,
        DataCentreReachability(DataCentre("a"), loop.time),
        run_call,
        free_call,
        lambda handle: handle.partition("/")[0],
        lambda name, waited_s: None,
        PoisonRequests(
            backends,
            probe_listening,
            lambda marks: None,
            loop.time,
            lambda: 0,
            None,
            print,
        ),
        lambda server: False,
    )
    completed = 0
    began = time.process_time()

    async def caller(number: int) -> None:
        nonlocal completed
        while loop.time() < end:
            number += waiting_sets
            outcomes = await local.run(SERVICE, new_item_set(number, loop.time()))
            handles = [o.handle for o in outcomes if o.handle]
            completed += 1
            local.free(SERVICE, handles)
            await asyncio.sleep(0 if handles else 0.05)

    end = loop.time() + RUN_S
    await asyncio.gather(*(caller(number) for number in range(waiting_sets)))
    return completed, time.process_time() - began


def main() -> None:
    """Print a line per queue length."""
    for waiting_sets in WAITING_SETS:
        completed, spent_s = asyncio.run(measure(waiting_sets))
        print(
            f"{waiting_sets * ITEMS:5d} items waiting: {completed} sets, "
            f"{spent_s / completed * 1000:.2f} ms each"
        )


if __name__ == "__main__":
    main()
