"""Load policies, as plain functions that the settings select by name.

Each has a simple baseline, so that one run can measure both.
"""

import random
from collections.abc import Callable, Sequence
from enum import Enum

from .backends import Backend

__all__ = [
    "Admission",
    "Choice",
    "Order",
    "OrderKey",
    "choice_function",
    "order_function",
]

OrderKey = tuple[float, float, int]
ChoiceFunction = Callable[[Sequence[Backend]], Backend]
OrderFunction = Callable[[int, float, int], OrderKey]


class Choice(Enum):
    """How a backend server is chosen among those with free capacity."""

    LEAST_OF_TWO = "least_of_two"
    ROUND_ROBIN = "round_robin"


class Order(Enum):
    """The order in which waiting stages are served."""

    PRIORITY_DEADLINE = "priority_deadline"
    FIRST_COME = "first_come"


class Admission(Enum):
    """Whether requests are refused if their deadline cannot be met."""

    FEASIBLE = "feasible"
    ALL = "all"


def choice_function(choice: Choice, seed: int | None = None) -> ChoiceFunction:
    """Return the function that chooses one of several servers with capacity."""
    if choice is Choice.ROUND_ROBIN:
        return _round_robin()
    return _least_of_two(random.Random(seed))


def order_function(order: Order) -> OrderFunction:
    """Return the function that computes the sort key of a waiter.

    Its parameters are the priority, the deadline in seconds and the arrival number.
    """
    if order is Order.FIRST_COME:
        return lambda priority, deadline, number: (0.0, 0.0, number)
    return lambda priority, deadline, number: (-priority, deadline, number)


def _round_robin() -> ChoiceFunction:
    turn = [0]

    def choose(servers: Sequence[Backend]) -> Backend:
        turn[0] += 1
        return servers[turn[0] % len(servers)]

    return choose


def _least_of_two(randomness: random.Random) -> ChoiceFunction:
    def choose(servers: Sequence[Backend]) -> Backend:
        if len(servers) == 1:
            return servers[0]
        first, second = randomness.sample(servers, 2)
        return min(first, second, key=expected_load)

    return choose


def expected_load(backend: Backend) -> float:
    """Return this node's calls in flight, weighted by the expected call duration."""
    return (backend.in_flight + 1) * backend.expected_call_s()
