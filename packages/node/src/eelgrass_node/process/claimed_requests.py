"""Runs a request with an idempotency key once, and answers repeats from that run."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

import msgspec

from eelgrass_coordination import Acquisition, Claim, Claims, ClaimState
from eelgrass_coordination.exceptions import ClaimUnsettled
from eelgrass_coordination.ids import ClaimId, Incarnation, NodeId, new_id

from ..connection.peer_calls import PeerCalls
from ..exceptions import PeerUnreachable, Refused
from ..log import Part, log
from ..request.model import CallerRequest
from ..request.reasons import Outcome, RefusalReason

__all__ = ["ClaimedRequests", "OwnerReply", "OwnerState"]

FINISHED_RETENTION_S = 60.0
STORE_BEFORE_ANSWER_S = 0.25
OWNER_REPLY_MARGIN_S = 0.05
RETRY_AFTER_S = 1.0

Execute = Callable[[], Awaitable[Any]]


class OwnerState(Enum):
    """The state of a claim, as its owner reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    NOT_MINE = "not_mine"


class OwnerReply(msgspec.Struct):
    """An owner's reply to a node that waits for one of its claims."""

    state: OwnerState


class _Running:
    """A claim that this process runs, or that it finished a short time ago."""

    def __init__(self) -> None:
        self.finished = asyncio.Event()


class ClaimedRequests:
    """Runs the keyed requests of this process."""

    def __init__(
        self,
        claims: Claims,
        peers: PeerCalls,
        node: NodeId,
        incarnation: Incarnation,
        address: str,
        settle_s: float,
    ) -> None:
        self._claims = claims
        self._peers = peers
        self._node = node
        self._incarnation = incarnation
        self._address = address
        self._settle_s = settle_s
        self._running_by_id: dict[ClaimId, _Running] = {}

    async def run(self, request: CallerRequest, execute: Execute) -> tuple[Any, bool]:
        """Run the request unless its key was used before; return the answer.

        The second value is True if the answer comes from an earlier run.
        """
        while True:
            acquisition = await self._acquire(request)
            if acquisition.acquired:
                return await self._execute(acquisition, execute), False
            finished_claim = await self._finished_claim(request, acquisition.claim)
            if finished_claim is not None:
                return finished_claim.answer, True

    async def wait_until_finished(self, claim_id: ClaimId, wait_s: float) -> OwnerReply:
        """Wait until a claim of this process finishes; return its state for a peer."""
        running = self._running_by_id.get(claim_id)
        if running is None:
            return OwnerReply(OwnerState.NOT_MINE)
        try:
            async with asyncio.timeout(wait_s):
                await running.finished.wait()
        except TimeoutError:
            return OwnerReply(OwnerState.RUNNING)
        return OwnerReply(OwnerState.FINISHED)

    async def _acquire(self, request: CallerRequest) -> Acquisition:
        claim = self._new_claim(request)
        # Registered before the write, because a peer may see the row before this node.
        self._running_by_id[claim.claim_id] = running = _Running()
        timeout_s = min(self._settle_s, request.remaining())
        try:
            acquisition = await self._claims.acquire(claim, timeout_s)
        except ClaimUnsettled as error:
            self._forget(claim.claim_id, running)
            raise _refused(
                RefusalReason.PLATFORM_DOWN, retry_after=RETRY_AFTER_S
            ) from error
        except BaseException:
            self._forget(claim.claim_id, running)
            raise
        if not acquisition.acquired:
            self._forget(claim.claim_id, running)
        return acquisition

    async def _execute(self, acquisition: Acquisition, execute: Execute) -> Any:
        running = self._running_by_id[acquisition.claim.claim_id]
        try:
            answer = await execute()
        except Refused as refused:
            if acquisition.version > 1 and refused.outcome is Outcome.NOT_RUN:
                # The claim was released by an earlier call, whose repeatable stages may
                # have run.
                refused.outcome = Outcome.NO_EFFECT
            await self._store(acquisition, self._after_refusal(acquisition, refused))
            raise
        except BaseException:
            note = "the node met an error"
            await self._store(acquisition, self._claims.mark_unknown(acquisition, note))
            raise
        else:
            await self._store(acquisition, self._claims.complete(acquisition, answer))
            return answer
        finally:
            self._forget_later(acquisition.claim.claim_id, running)

    def _after_refusal(
        self, acquisition: Acquisition, refused: Refused
    ) -> Awaitable[bool]:
        if refused.outcome is Outcome.UNKNOWN:
            log(
                Part.CLAIMS,
                "The outcome of a keyed request is unknown.",
                account=acquisition.claim.account,
                claim=acquisition.claim.claim_id,
                reason=refused.reason.value,
            )
            return self._claims.mark_unknown(acquisition, str(refused))
        # NO_EFFECT allows a new run as well: only repeatable stages were started.
        return self._claims.release(acquisition)

    async def _store(self, acquisition: Acquisition, storing: Awaitable[bool]) -> None:
        """Store the end of a claim, in the background if the store is slow."""
        task = self._claims.finish_in_background(storing)
        await asyncio.wait({task}, timeout=STORE_BEFORE_ANSWER_S)

    async def _finished_claim(
        self, request: CallerRequest, claim: Claim
    ) -> Claim | None:
        """Return the completed claim, or None if the claim must be acquired again.

        Raises :class:`Refused` if the request cannot be answered or run.
        """
        if claim.digest != request.digest or claim.pipeline != request.pipeline.name:
            raise Refused(RefusalReason.KEY_REUSED, Outcome.NOT_RUN)
        if claim.state is ClaimState.COMPLETED:
            return claim
        if claim.state is ClaimState.UNKNOWN:
            raise _refused(RefusalReason.CLAIM_OUTCOME_UNKNOWN, claim.note)
        if claim.state is ClaimState.RESOLVED:
            raise _refused(RefusalReason.CLAIM_RESOLVED, claim.note)
        await self._wait_for_owner(request, claim)
        return None

    async def _wait_for_owner(self, request: CallerRequest, claim: Claim) -> None:
        wait_s = request.remaining() - OWNER_REPLY_MARGIN_S
        if wait_s <= 0:
            raise _refused(RefusalReason.CLAIM_STILL_RUNNING, retry_after=RETRY_AFTER_S)
        if claim.owner_incarnation == self._incarnation:
            reply = await self.wait_until_finished(claim.claim_id, wait_s)
        else:
            reply = await self._ask_owner(claim, wait_s)
        if reply.state is OwnerState.RUNNING:
            raise _refused(RefusalReason.CLAIM_STILL_RUNNING, retry_after=RETRY_AFTER_S)
        if reply.state is OwnerState.FINISHED:
            # The owner may reply shortly before it writes the final row.
            await asyncio.sleep(OWNER_REPLY_MARGIN_S)
            return
        row = await self._claims.find(claim.account, claim.key)
        if row.value is not None and row.value["state"] != ClaimState.RUNNING.value:
            return
        raise _refused(
            RefusalReason.CLAIM_OUTCOME_UNKNOWN,
            "The node that started the request has stopped since.",
        )

    async def _ask_owner(self, claim: Claim, wait_s: float) -> OwnerReply:
        message = {"claim_id": claim.claim_id, "wait_s": wait_s}
        address = claim.owner_address
        timeout_s = wait_s + OWNER_REPLY_MARGIN_S
        try:
            return await self._peers.ask(
                address, "claims/wait", message, OwnerReply, timeout_s
            )
        except PeerUnreachable as error:
            raise _refused(
                RefusalReason.CLAIM_OWNER_UNREACHABLE,
                f"Node {claim.owner!r}: {error}",
                RETRY_AFTER_S,
            ) from error

    def _new_claim(self, request: CallerRequest) -> Claim:
        now = time.time()
        return Claim(
            claim_id=ClaimId(new_id("claim")),
            account=request.account,
            key=request.key or "",
            digest=request.digest,
            pipeline=request.pipeline.name,
            owner=self._node,
            owner_incarnation=self._incarnation,
            owner_address=self._address,
            started_at=now,
            deadline_at=now + request.remaining(),
        )

    def _forget(self, claim_id: ClaimId, running: _Running) -> None:
        running.finished.set()
        self._running_by_id.pop(claim_id, None)

    def _forget_later(self, claim_id: ClaimId, running: _Running) -> None:
        running.finished.set()
        loop = asyncio.get_running_loop()
        loop.call_later(FINISHED_RETENTION_S, self._running_by_id.pop, claim_id, None)


def _refused(
    reason: RefusalReason, detail: str = "", retry_after: float | None = None
) -> Refused:
    return Refused(reason, Outcome.UNKNOWN, detail, retry_after).before_claim()
