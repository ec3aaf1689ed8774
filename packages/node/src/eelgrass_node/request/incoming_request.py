"""A caller's request for a route, and the codec that the adapter supplies.

Bodies, targets and foreign headers are kept byte for byte. All times are on
the clock of the event loop, in seconds.
"""

from typing import Protocol

import msgspec
from multidict import CIMultiDict

from ..version.deployment import AccountGrant, Route, RouteKind, ServiceName

__all__ = [
    "IncomingRequest",
    "ResponseHead",
    "PromptPart",
    "PromptShape",
    "RoutedRequest",
    "WireCodec",
]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share, with its tokens."""

    id: str
    tokens: int


class PromptShape(msgspec.Struct, frozen=True):
    """The parts of a prompt in order, and the tokens in and out at most."""

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    def prefix_key(self) -> str | None:
        """Return the id of the last part that other requests may share."""
        if len(self.parts) < 2:
            return None
        return self.parts[-2].id

    def shared_tokens(self) -> int:
        """Return the tokens of all parts but the request's own."""
        return sum(part.tokens for part in self.parts[:-1])


class IncomingRequest(msgspec.Struct, frozen=True):
    """What a caller sent, decoded once.

    ``caller_deadline_s`` is how long the caller waits from ``arrived_at``, None
    where it does not say. ``piece_counts`` holds the pieces of each stage.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: float
    caller_deadline_s: float | None
    api_key: str | None
    last_event_id: str | None
    item_counts: tuple[int, ...]
    item_key: str
    prompt: PromptShape

    def item_count(self, stage: int) -> int:
        """Return the number of pieces of a stage; none where it is left out."""
        counts = self.item_counts
        return counts[stage] if stage < len(counts) else 0


class RoutedRequest(msgspec.Struct, frozen=True):
    """An arrival with the route, service and account that it was given.

    ``deadline`` is when the caller must have its answer, ``due`` when the
    answer earns its full credit; both on the clock of the event loop.
    """

    incoming: IncomingRequest
    route: Route
    service: ServiceName
    account: AccountGrant | None
    deadline: float
    due: float

    @property
    def caller_leaves_at(self) -> float:
        """When the caller gives up: at its deadline, or before the first event.

        Callers of a stream wait for an event no longer than the longest of 2 s,
        four times the target and eight times the longest pause (the users'
        protocol).
        """
        if self.route.kind is not RouteKind.STREAM:
            return self.deadline
        route = self.route
        wait_s = max(2.0, 4 * route.target_s, 8 * route.gap_target_s)
        return min(self.deadline, self.incoming.arrived_at + wait_s)

    @property
    def account_name(self) -> str | None:
        """The name of the client account, where the request belongs to one."""
        return None if self.account is None else self.account.name

    @property
    def regions(self) -> frozenset[str] | None:
        """The regions to which both route and account bind the request.

        None where neither binds it; none are left where they contradict each other.
        """
        account_regions = self.account.regions if self.account else frozenset()
        bounds = [bound for bound in (self.route.regions, account_regions) if bound]
        return frozenset.intersection(*bounds) if bounds else None

    @property
    def priority(self) -> int:
        """The rank of the request; 0 is the most urgent."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority


class ResponseHead(msgspec.Struct, frozen=True):
    """The head of a backend server's answer, decoded once.

    ``not_run`` says that the server promises not to have run the request and
    ``closes`` that it will close the connection. ``load`` is running, waiting
    and slots, where the server tells.
    """

    status: int
    request_id: str | None
    server_id: str | None
    signed: bool
    not_run: bool
    closes: bool
    load: tuple[int, int, int] | None
    headers: CIMultiDict[str]


class WireCodec(Protocol):
    """What the adapter does for a request."""

    def decode_request(
        self,
        method: str,
        target: str,
        raw_headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        arrived_at: float,
    ) -> IncomingRequest:
        """Decode a caller's request; raises :class:`RequestMalformed`."""

    def encode_request(
        self,
        routed: RoutedRequest,
        server_id: str,
        deadline_s: float,
        inputs: tuple[str, ...],
        last_event_id: str | None,
        copy_from: str | None = None,
    ) -> CIMultiDict[str]:
        """Return the headers towards a backend server.

        ``copy_from`` is the address of an engine that holds shared parts of the
        prompt.
        """

    def decode_head(
        self, status: int, raw_headers: tuple[tuple[bytes, bytes], ...]
    ) -> ResponseHead:
        """Decode the head of a backend server's answer."""
