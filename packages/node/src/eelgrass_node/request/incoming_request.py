"""A caller's request, the head of a server's response, and the codec for both.

The platform adapter implements the codec. Bodies, request targets and unrecognised
headers are passed through byte for byte. All times are in seconds on the event
loop's clock.
"""

from typing import Protocol

import msgspec
from multidict import CIMultiDict

from eelgrass_coordination.ids import SoftwareVersion

from ..version.deployment import AccountGrant, Route, RouteKind, ServiceName

__all__ = [
    "IncomingRequest",
    "PromptPart",
    "PromptShape",
    "ResponseHead",
    "RoutedRequest",
    "WireCodec",
]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share, with its token count."""

    id: str
    tokens: int


class PromptShape(msgspec.Struct, frozen=True):
    """The parts of a prompt in order, and the limits on input and output tokens."""

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    def prefix_key(self) -> str | None:
        """Return the id of the last shareable part, which identifies the prefix.

        The very last part belongs to this request alone.
        """
        if len(self.parts) < 2:
            return None
        return self.parts[-2].id

    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the parts that other requests may share."""
        return tuple(part.id for part in self.parts[:-1])

    def shared_tokens(self) -> int:
        """Return the token count of the prefix: all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])


class IncomingRequest(msgspec.Struct, frozen=True):
    """A caller's request, decoded.

    ``caller_deadline_s`` is how long the caller waits, counted from ``arrived_at``;
    None if the caller does not state it. ``item_counts`` holds the number of batch
    items of each stage. ``last_event_id`` is the last event that the caller has of a
    stream that it resumes, and ``resumes`` the id of the request that brought the first
    one.
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
    resumes: str | None
    item_counts: tuple[int, ...]
    item_key: str
    prompt: PromptShape

    def item_count(self, stage: int) -> int:
        """Return the number of batch items of a stage; 0 if the stage is left out."""
        counts = self.item_counts
        return counts[stage] if stage < len(counts) else 0


class RoutedRequest(msgspec.Struct, frozen=True):
    """An incoming request with the route, service and account assigned to it.

    ``deadline`` is when the caller must have its response, and ``target_at`` until
    when a response meets the latency target and earns full credit.
    ``caller_timeout_s`` is how long callers of the route wait, over all their attempts.
    ``version`` is the software version that began the stream, if the request resumes
    one.
    """

    incoming: IncomingRequest
    route: Route
    service: ServiceName
    account: AccountGrant | None
    deadline: float
    target_at: float
    caller_timeout_s: float = 0.0
    version: SoftwareVersion | None = None

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has a part of the stream already."""
        incoming = self.incoming
        return self.route.is_resumable_stream and (
            incoming.resumes is not None or incoming.last_event_id is not None
        )

    @property
    def stream_id(self) -> str:
        """The id of the request that brings, or has brought, the first event."""
        return self.incoming.resumes or self.incoming.request_id

    @property
    def caller_leaves_at(self) -> float:
        """When the caller gives up: at its deadline, or earlier on a silent stream.

        By the callers' protocol, a caller of a stream waits for an event for at most
        the longest of 2 s, four times the latency target and eight times the target
        for the gap between events.
        """
        if self.route.kind is not RouteKind.STREAM:
            return self.deadline
        route = self.route
        wait_s = max(2.0, 4 * route.target_s, 8 * route.inter_token_target_s)
        return min(self.deadline, self.incoming.arrived_at + wait_s)

    @property
    def account_name(self) -> str | None:
        """The name of the client account, if the request belongs to one."""
        return None if self.account is None else self.account.name

    @property
    def regions(self) -> frozenset[str] | None:
        """The regions to which the route and the account restrict the request.

        None if neither restricts it; empty if they have no region in common.
        """
        account_regions = self.account.regions if self.account else frozenset()
        bounds = [bound for bound in (self.route.regions, account_regions) if bound]
        return frozenset.intersection(*bounds) if bounds else None

    @property
    def priority(self) -> int:
        """The priority of the request; 0 is the most urgent."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority


class ResponseHead(msgspec.Struct, frozen=True):
    """The head of a backend server's response, decoded.

    ``not_run`` is the server's guarantee that it did not run the request; ``closes``
    means that it will close the connection. ``load`` is the numbers of running
    requests, waiting requests and slots, if the server reports them.
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
    """Encodes and decodes requests; the platform adapter implements it.

    Servers answer ``GET`` requests to ``REPORT_PATH`` with their state.
    """

    REPORT_PATH: str

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
        """Return the headers of the request to a backend server.

        ``copy_from`` is the address of an engine that has the prompt prefix cached.
        """

    def decode_head(
        self, status: int, raw_headers: tuple[tuple[bytes, bytes], ...]
    ) -> ResponseHead:
        """Decode the head of a backend server's response."""

    def decode_start(self, report: bytes) -> int | None:
        """Decode when a server was started from the report of its state.

        The result is as in its entry, and None if the report does not state it.
        """
