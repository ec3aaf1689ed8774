"""Which server of a service a request goes to.

For model engines the pattern is: prompts share long first parts (two thirds of
the largest prompts on the users' sheets), reading a part again costs its tokens
over the engine's speed, and every node sees only its own share of the traffic.
Requests about one subject therefore go to the engine that a hash of the subject
names, at every node alike and without a word between them; where that engine is
busier than its neighbours by more than the reading is worth, to the next one.

Plain services take the server with the least load that we know of.
"""

import random
from collections.abc import Sequence

from eelgrass_coordination import ranked

from .backends import Backend

__all__ = ["hash_order", "place_plain", "place_prompt", "copy_source"]

# Seconds by which a running request slows a new one down, and by which one that
# waits does: a step takes some 0.15 ms more for each running request and a
# request some hundred steps; one that waits holds up by its whole prompt.
RUNNING_S = 0.006
WAITING_S = 0.15
# Extra seconds for a server in another data centre: the way there and back,
# and the price of the bytes.
ELSEWHERE_S = 0.02
# The same for an engine that has to fetch results from another data centre; on
# the sheets the price of a gigabyte of results is that of some 200,000 tokens
# read again, so 7 MB are worth about this.
FETCH_ELSEWHERE_S = 0.05
# Tokens read in a second by an engine that does nothing else, on the sheets.
READ_TOKENS_PER_S = 36_000.0
# An engine that is listed for so long has got what the hash gives it; the users
# count a part as read again only within some 10 s of its last use.
SETTLED_S = 10.0
# Copying is worth its while where it takes this part of the time of reading; on
# the sheets it is a fortieth.
COPY_FRACTION = 0.2
# Parts under this are read in some 10 ms, no more than a copy takes to begin.
MIN_COPY_TOKENS = 500


def place_plain(servers: Sequence[Backend], data_centre: str, now: float) -> Backend:
    """Return the server on which a plain request is expected to end first."""
    return min(servers, key=lambda server: _plain_cost(server, data_centre, now))


def place_prompt(
    servers: Sequence[Backend],
    prefix_key: str | None,
    shared_tokens: int,
    data_centre: str,
    inputs_at: str,
    now: float,
) -> Backend:
    """Return the engine on which a prompt is expected to be read first.

    ``subject`` names the last part that other prompts share, and
    ``shared_tokens`` counts the tokens up to it; one without a subject is read
    whole anywhere. ``inputs_at`` is the data centre that holds the results which
    the engine has to fetch, if any.
    """
    read_s = shared_tokens / READ_TOKENS_PER_S
    if prefix_key is None:
        ordered = random.sample(servers, len(servers))
    else:
        ordered = hash_order(servers, prefix_key)

    def cost(placed: tuple[int, Backend]) -> float:
        place, server = placed
        # The next in order is where the subject's overflow goes, so its shared
        # parts may well be there.
        read_again_s = read_s * min(1.0, place * 0.5)
        load_s = _prompt_cost(server, data_centre, now)
        return load_s + _fetch_s(server, inputs_at) + read_again_s

    # Of equals the first in order is taken: with 45 engines a node knows the
    # load of few, and one place in its list would get all that is equal.
    return min(enumerate(ordered), key=cost)[1]


def copy_source(
    listed: Sequence[Backend],
    chosen: Backend,
    prefix_key: str | None,
    shared_tokens: int,
    copy_s: float,
    now: float,
) -> Backend | None:
    """Return the engine from which ``chosen`` should copy shared parts, if any.

    The pattern: an engine that is new takes over a part of all subjects, and
    one that is full, slow or leaving hands some on. Their first parts are then
    read again, a quarter of a second each, though the engine before holds them:
    that is the first one in the order of the hash that has been there long
    enough. ``copy_s`` is how long copying them takes. An engine that holds them
    already copies nothing.
    """
    if prefix_key is None or shared_tokens < MIN_COPY_TOKENS:
        return None
    if copy_s > COPY_FRACTION * shared_tokens / READ_TOKENS_PER_S:
        return None
    settled = [s for s in listed if now - s.first_listed_at >= SETTLED_S]
    if not settled:
        return None
    holder = hash_order(settled, prefix_key)[0]
    return None if holder is chosen else holder


def hash_order(servers: Sequence[Backend], prefix_key: str) -> list[Backend]:
    """Return the servers in the order of their hash with a subject."""
    return ranked(servers, prefix_key, name=lambda server: server.entry.id)


def _plain_cost(server: Backend, data_centre: str, now: float) -> float:
    running, waiting = server.load_at(now)
    cost = (running + 1) * max(server.expected_call_s(), 0.01) + waiting * WAITING_S
    return cost + _way_s(server, data_centre)


def _prompt_cost(server: Backend, data_centre: str, now: float) -> float:
    running, waiting = server.load_at(now)
    return running * RUNNING_S + waiting * WAITING_S + _way_s(server, data_centre)


def _fetch_s(server: Backend, inputs_at: str) -> float:
    if not inputs_at or server.entry.data_centre == inputs_at:
        return 0.0
    return FETCH_ELSEWHERE_S


def _way_s(server: Backend, data_centre: str) -> float:
    return 0.0 if server.entry.data_centre == data_centre else ELSEWHERE_S
