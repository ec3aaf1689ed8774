"""Reads callers' requests, finds their route and client account, and serves them."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from aiohttp import web

from ..exceptions import (
    CallerGone,
    MemoryExhausted,
    RequestMalformed,
    RequestRefused,
)
from ..log import Part, log
from ..process.deployments import DeploymentInForce
from ..process.memory_budget import NO_ROOM_RETRY_S
from ..process.stopping import Stopping
from ..version.deployment import AccountGrant, Route, RouteKind
from .caller_response import CallerResponse
from .incoming_request import IncomingRequest, RoutedRequest, WireCodec
from .request_execution import ANSWER_MARGIN_S, RequestExecution
from .serving_context import ServingContext
from .stream_resumption import with_stream_origin
from .typical_deadline import TypicalDeadlines

__all__ = ["RequestHandler"]

# Values of Retry-After, in seconds. A node receives its configuration within 0.5 s of
# its start; when a node is stopping, another node can serve the request at once.
START_RETRY_S = 0.5
STOPPING_RETRY_S = 0.1
# A node with an outdated configuration asks other nodes for the newer one after 0.5 s;
# the node that the caller reaches after this time most likely has it.
OUTDATED_RETRY_S = 0.5
# A request that has not run can be sent again at once.
EARLY_END_RETRY_S = 0.1
# A batch item until its result is used, and a part of a prompt.
ITEM_BYTES = 1024
PART_BYTES = 256
# Used if the caller states no deadline; the route's timeout is shorter.
DEFAULT_DEADLINE_S = 30.0
HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_HEADER_TOO_LARGE = 431
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_INTERNAL_ERROR = 500


class RequestHandler:
    """Handles the requests that callers send to this process."""

    def __init__(
        self,
        codec: WireCodec,
        deployments: DeploymentInForce,
        context: ServingContext,
        stopping: Stopping,
        count: Callable[[str], None],
    ) -> None:
        self._codec = codec
        self._deployments = deployments
        self._context = context
        self._stopping = stopping
        self._count = count
        self._random = random.Random()
        self._typical_deadlines = TypicalDeadlines()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and return its response."""
        arrived_at = _now()
        answer = CallerResponse(request, self._stopping.stopping)
        with self._stopping.in_flight():
            try:
                return await self._handle_in_time(request, answer, arrived_at)
            except CallerGone:
                self._count("caller.gone")
                return answer.no_response()
            except asyncio.CancelledError:
                self._count("caller.gone")
                raise
            except Exception as error:  # noqa: BLE001
                log(
                    Part.CALLERS,
                    "A request failed with an unhandled error; it is answered with "
                    "500, or its stream is closed.",
                    error=repr(error),
                )
                self._count("refusal.internal-error")
                return answer.refusal(HTTP_INTERNAL_ERROR, "internal error of the node")

    async def _handle_in_time(
        self, request: web.BaseRequest, answer: CallerResponse, arrived_at: float
    ) -> web.StreamResponse:
        """Handle a request; refuse it if it must end before it has its answer.

        That is when the grace period of a half-closed caller or the time of a planned
        stop is over.
        """
        connection = request.protocol
        if connection.answer_by is not None and connection.answer_by <= arrived_at:
            return self._end_early(answer)
        try:
            async with asyncio.timeout_at(connection.answer_by) as limit:
                end_at = _bringing_forward(limit)

                def on_half_close(when: float) -> None:
                    # A caller that has left may resume its stream elsewhere at once, if
                    # this node releases it.
                    end_at(_now() if answer.can_be_resumed else when)

                with (
                    connection.calling_on_half_close(on_half_close),
                    self._stopping.calling_at_limit(end_at),
                ):
                    return await self._handle(request, answer, arrived_at)
        except TimeoutError:
            if not limit.expired():
                raise
            return self._end_early(answer)

    def _end_early(self, answer: CallerResponse) -> web.StreamResponse:
        """Refuse a request whose work was stopped, or break off its stream."""
        if answer.can_be_resumed and not self._stopping.is_at_limit:
            # Its caller has most likely left, so that the answer is not cut.
            return answer.abort()
        if self._stopping.is_at_limit:
            reason, counter = "the node has stopped", "refusal.stop-limit"
        else:
            reason = "the caller ended its direction and the answer took too long"
            counter = "refusal.half-closed"
        log(
            Part.CALLERS,
            "A request was ended before it had its answer.",
            reason=reason,
            may_have_run=answer.may_have_run,
            is_cut=answer.has_begun,
        )
        self._count(counter)
        if answer.has_begun:
            self._count("answer.cut")
        if answer.may_have_run:
            return answer.refusal(HTTP_BAD_GATEWAY, reason)
        return answer.refusal(HTTP_UNAVAILABLE, reason, EARLY_END_RETRY_S)

    async def _handle(
        self, request: web.BaseRequest, answer: CallerResponse, arrived_at: float
    ) -> web.StreamResponse:
        deployment = self._deployments.current
        if deployment is None:
            self._count("refusal.not-configured")
            return answer.refusal(
                HTTP_UNAVAILABLE, "the node has no configuration yet", START_RETRY_S
            )
        if self._stopping.refusing:
            self._count("refusal.node-stopping")
            return answer.refusal(
                HTTP_UNAVAILABLE, "the node is stopping", STOPPING_RETRY_S
            )
        if _header_bytes(request) > deployment.limits.max_header_bytes:
            self._count("refusal.header-too-large")
            return answer.refusal(
                HTTP_HEADER_TOO_LARGE, "the request header is too large"
            )
        max_body_bytes = deployment.limits.max_body_bytes
        if (request.content_length or 0) > max_body_bytes:
            return self._refuse_too_large(answer)
        try:
            incoming = self._codec.decode_request(
                request.method, request.raw_path, request.raw_headers, b"", arrived_at
            )
        except RequestMalformed as error:
            self._count("refusal.malformed")
            return answer.refusal(HTTP_BAD_REQUEST, str(error))
        try:
            request.protocol.reserve_decoded(_decoded_bytes(incoming))
        except MemoryExhausted as error:
            return self._refuse_without_memory(incoming, answer, error)
        # What no body can make legal is refused before it is read.
        found = self._find_route(incoming, answer)
        if isinstance(found, web.StreamResponse):
            return found
        deadline_s = min(
            DEFAULT_DEADLINE_S, incoming.caller_deadline_s or DEFAULT_DEADLINE_S
        )
        try:
            async with asyncio.timeout_at(arrived_at + deadline_s):
                body = await request.protocol.read_body(max_body_bytes)
        except TimeoutError:
            self._count("refusal.body-too-slow")
            return answer.refusal(
                HTTP_TIMEOUT, "the request body did not arrive in time"
            )
        except web.HTTPRequestEntityTooLarge:
            return self._refuse_too_large(answer)
        except MemoryExhausted as error:
            return self._refuse_without_memory(incoming, answer, error)
        return await self._route(msgspec.structs.replace(incoming, body=body), answer)

    def _refuse_too_large(self, answer: CallerResponse) -> web.StreamResponse:
        self._count("refusal.body-too-large")
        return answer.refusal(HTTP_TOO_LARGE, "the request body is too large")

    def _refuse_without_memory(
        self, incoming: IncomingRequest, answer: CallerResponse, error: MemoryExhausted
    ) -> web.StreamResponse:
        self._count("refusal.no-memory")
        log(
            Part.REQUESTS,
            "Refused, as the node has no memory for the request; it has not run.",
            id=incoming.request_id,
            retry_after_s=NO_ROOM_RETRY_S,
        )
        response = answer.refusal(HTTP_UNAVAILABLE, str(error), NO_ROOM_RETRY_S)
        response.force_close()
        return response

    def _find_route(
        self, incoming: IncomingRequest, answer: CallerResponse
    ) -> tuple[Route, AccountGrant | None] | web.StreamResponse:
        """Return the route and account of a request, or a refusal."""
        deployment = self._deployments.current
        route = deployment.match(incoming.host, incoming.target.partition("?")[0])
        if route is None:
            return self._refuse_unknown(incoming, answer, "no route", HTTP_NOT_FOUND)
        account = None
        if deployment.has_accounts and not route.public:
            account = deployment.account_by_key.get(incoming.api_key or "")
            if account is None:
                return self._refuse_unknown(
                    incoming, answer, "unknown key", HTTP_UNAUTHORIZED
                )
        return route, account

    async def _route(
        self, incoming: IncomingRequest, answer: CallerResponse
    ) -> web.StreamResponse:
        # A newer version may have come into force while the body was being read.
        found = self._find_route(incoming, answer)
        if isinstance(found, web.StreamResponse):
            return found
        routed = self._new_routed_request(incoming, *found)
        try:
            routed = await with_stream_origin(self._context.origins, routed)
        except RequestRefused as refused:
            return self._refuse_resumption(routed, answer, refused)
        if routed.route.kind is RouteKind.STREAM:
            try:
                answer.reserve_stream()
            except MemoryExhausted as error:
                return self._refuse_without_memory(incoming, answer, error)
        answer.may_have_run, answer.resumable = True, routed.route.resumable
        return await RequestExecution(self._context, routed, answer).serve()

    def _new_routed_request(
        self, incoming: IncomingRequest, route: Route, account: AccountGrant | None
    ) -> RoutedRequest:
        wait_s = incoming.caller_deadline_s
        if wait_s is None:
            wait_s = DEFAULT_DEADLINE_S
        waited_s = self._typical_deadlines.record(route.name, wait_s)
        limit_s = min(wait_s - ANSWER_MARGIN_S, route.timeout_s)
        return RoutedRequest(
            incoming=incoming,
            route=route,
            service=route.pick_service(self._random),
            account=account,
            deadline=incoming.arrived_at + max(0.0, limit_s),
            target_at=incoming.arrived_at + route.target_s - waited_s,
            caller_timeout_s=max(
                route.timeout_s, self._typical_deadlines.longest(route.name)
            ),
        )

    def _refuse_resumption(
        self, routed: RoutedRequest, answer: CallerResponse, refused: RequestRefused
    ) -> web.StreamResponse:
        self._count("refusal.stream-origin")
        log(
            Part.REQUESTS,
            "A stream cannot be resumed; its caller is refused.",
            id=routed.incoming.request_id,
            resumes=routed.incoming.resumes,
            route=routed.route.name,
            reason=refused.reason,
        )
        return answer.refusal(HTTP_UNAVAILABLE, refused.reason, refused.retry_after_s)

    def _refuse_unknown(
        self,
        incoming: IncomingRequest,
        answer: CallerResponse,
        reason: str,
        status: int,
    ) -> web.StreamResponse:
        """Refuse a request whose route or key is not in the configuration.

        Callers treat ``status`` as final. A node that knows of a newer configuration
        but does not have it yet answers 503 instead, because the newer one may have
        the route or key.
        """
        superseded = self._deployments.superseded
        kind = f"{reason} yet" if superseded else reason
        self._count(f"refusal.{kind.replace(' ', '-')}")
        log(
            Part.REQUESTS,
            "Refused.",
            id=incoming.request_id,
            reason=kind,
            version=self._deployments.number,
        )
        if superseded:
            return answer.refusal(HTTP_UNAVAILABLE, kind, OUTDATED_RETRY_S)
        return answer.refusal(status, reason)


def _bringing_forward(limit: asyncio.Timeout) -> Callable[[float], None]:
    """Return a function that brings a timeout forward to a time, if that is earlier."""

    def end_at(when: float) -> None:
        is_earlier = limit.when() is None or when < limit.when()
        if is_earlier and not limit.expired():
            limit.reschedule(when)

    return end_at


def _header_bytes(request: web.BaseRequest) -> int:
    return sum(len(name) + len(value) for name, value in request.raw_headers)


def _decoded_bytes(incoming: IncomingRequest) -> int:
    """Return what a few bytes of a header may take once they are decoded."""
    items = sum(incoming.item_counts)
    return ITEM_BYTES * items + PART_BYTES * len(incoming.prompt.parts)


def _now() -> float:
    return asyncio.get_running_loop().time()
