"""Chooses the server of a service for a request.

Prompts to model engines share long prefixes (two thirds of the largest prompts). The
prefill of a prefix that is not cached takes its tokens over the engine's speed, and
each node sees only its own share of the traffic. Prompts with the same prefix key
therefore go to the engine that a hash of the key selects, which is the same at every
node without coordination. If that engine is busier than others by more than the
prefill is worth, the next one in hash order is chosen.

Requests to plain services go to the server with the least known load.
"""

import random
from collections.abc import Sequence

from eelgrass_coordination import ranked

from .backends import Backend

__all__ = ["copy_source", "hash_order", "place_plain", "place_prompt"]

# Seconds by which each running and each waiting request delays a new one. A step takes
# some 0.15 ms longer for each running request, and a request takes some hundred steps.
# A waiting request delays a new one by the prefill of its whole prompt.
RUNNING_S = 0.006
WAITING_S = 0.15
# Extra seconds for a server in another data centre: the round trip and the price of
# the traffic.
REMOTE_S = 0.02
# Extra seconds for an engine that has to fetch results from another data centre. The
# transfer of a gigabyte costs as much as the prefill of some 200,000 tokens, so 7 MB
# are worth about this.
REMOTE_FETCH_S = 0.05
# Prefill speed of an engine that does nothing else.
PREFILL_TOKENS_PER_S = 36_000.0
# An engine that has been listed for this long has cached the prefixes that the hash
# assigns to it. Repeated prefill counts as waste only within some 10 s of the last use.
CACHE_WARM_S = 10.0
# A prefix is copied if that takes at most this fraction of its prefill time; on a fast
# link it takes a fortieth.
COPY_FRACTION = 0.2
# The prefill of a shorter prefix takes some 10 ms, no longer than starting a copy.
MIN_COPY_TOKENS = 500


def place_plain(servers: Sequence[Backend], data_centre: str, now: float) -> Backend:
    """Return the server on which a plain request is expected to finish first."""
    return min(servers, key=lambda server: _plain_cost(server, data_centre, now))


def place_prompt(
    servers: Sequence[Backend],
    prefix_key: str | None,
    shared_tokens: int,
    data_centre: str,
    inputs_at: str,
    now: float,
) -> Backend:
    """Return the engine that is expected to finish the prefill of a prompt first.

    ``prefix_key`` identifies the longest prefix that other prompts share, and
    ``shared_tokens`` is its length. A prompt without one needs a full prefill on any
    engine. ``inputs_at`` is the data centre that holds the results that the engine has
    to fetch, if any.
    """
    prefill_s = shared_tokens / PREFILL_TOKENS_PER_S
    if prefix_key is None:
        ordered = random.sample(servers, len(servers))
    else:
        ordered = hash_order(servers, prefix_key)

    def cost(placed: tuple[int, Backend]) -> float:
        position, server = placed
        # The overflow of a prefix goes to the next engine in hash order, so the prefix
        # may be cached there, too.
        repeated_prefill_s = prefill_s * min(1.0, position * 0.5)
        load_s = _prompt_cost(server, data_centre, now)
        return load_s + _fetch_s(server, inputs_at) + repeated_prefill_s

    # Ties go to the first engine in hash or random order. With 45 engines a node knows
    # the load of only a few, and in list order one engine would get all ties.
    return min(enumerate(ordered), key=cost)[1]


def copy_source(
    listed: Sequence[Backend],
    chosen: Backend,
    prefix_key: str | None,
    shared_tokens: int,
    copy_s: float,
    now: float,
) -> Backend | None:
    """Return the engine from which ``chosen`` should copy a shared prefix, if any.

    A new engine takes over a share of all prefixes, and one that is full, slow or
    leaving passes some on. Their prefill would then be repeated, which takes a quarter
    of a second each, although another engine has them cached: the first one in hash
    order that has been listed long enough. ``copy_s`` is the duration of the copy. An
    engine that has the prefix cached already copies nothing. Engines of different
    software versions do not share their caches, as their formats may differ.
    """
    if prefix_key is None or shared_tokens < MIN_COPY_TOKENS:
        return None
    if copy_s > COPY_FRACTION * shared_tokens / PREFILL_TOKENS_PER_S:
        return None
    established = [
        server
        for server in listed
        if server.entry.version == chosen.entry.version
        and now - server.first_listed_at >= CACHE_WARM_S
    ]
    if not established:
        return None
    holder = hash_order(established, prefix_key)[0]
    return None if holder is chosen else holder


def hash_order(servers: Sequence[Backend], prefix_key: str) -> list[Backend]:
    """Return the servers in the order of their hash with a prefix key."""
    return ranked(servers, prefix_key, name=lambda server: server.entry.id)


def _plain_cost(server: Backend, data_centre: str, now: float) -> float:
    running, waiting = server.load_at(now)
    cost = (running + 1) * max(server.expected_call_s(), 0.01) + waiting * WAITING_S
    return cost + _network_s(server, data_centre)


def _prompt_cost(server: Backend, data_centre: str, now: float) -> float:
    running, waiting = server.load_at(now)
    return running * RUNNING_S + waiting * WAITING_S + _network_s(server, data_centre)


def _fetch_s(server: Backend, inputs_at: str) -> float:
    if not inputs_at or server.entry.data_centre == inputs_at:
        return 0.0
    return REMOTE_FETCH_S


def _network_s(server: Backend, data_centre: str) -> float:
    return 0.0 if server.entry.data_centre == data_centre else REMOTE_S
