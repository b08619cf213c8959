"""Non-idempotent requests: at most one run per idempotency key."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from borageworks.claims.key import IdempotencyKey, body_hash
from borageworks.claims.response_cache import ResponseCache
from borageworks.claims.retained_response import RetainedResponse
from borageworks.claims.service import ClaimService
from borageworks.config.settings import ClaimSettings
from borageworks.endpoints.call import Call
from borageworks.endpoints.response_status import FINAL_STATUSES
from borageworks.endpoints.sink import Sink
from borageworks.exceptions import (
    AnswerNotHeldError,
    ClaimUnavailableError,
    IdempotencyKeyExpiredError,
    IdempotencyKeyMissingError,
    IdempotencyKeyReleasedError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    Ran,
    RefusalError,
    RequestInProgressError,
)
from borageworks.metrics import Metrics
from borageworks.router.entry import Entry
from borageworks.router.tee import TeeSink
from borageworks.wire.messages import (
    ClaimOutcome,
    ClaimReply,
    ClaimState,
    HeldAnswer,
    HeldAnswerQuery,
    HeldAnswerReply,
    Message,
)

Send = Callable[[str, Message], None]

# The holder replies from memory; one that takes longer is treated as unreachable.
QUERY_TIMEOUT_S = 2.0
REPLAYED_HEADER = "Idempotent-Replayed"
# Leaves room for the other fields in a message frame of 1 MiB.
MAX_RETAINED_RESPONSE_BYTES = 900_000


class AtMostOnceRunner:
    """Runs claimed requests and responds to resends.

    Parameters
    ----------
    settings
        Memory limit for retained responses.
    entry
        Entry side that runs requests on granted slots.
    claims
        Service that records which requests run.
    metrics
        Metrics of the process.
    send
        Sends a message to any instance, including this one.
    """

    def __init__(
        self,
        settings: ClaimSettings,
        entry: Entry,
        claims: ClaimService,
        metrics: Metrics,
        send: Send,
    ) -> None:
        self._entry = entry
        self._claims = claims
        self._metrics = metrics
        self._send = send
        self._responses = ResponseCache(settings.held_answer_bytes)
        self._sequence = itertools.count(1)
        self._queries: dict[int, asyncio.Future[HeldAnswerReply]] = {}
        self._run_tasks: set[asyncio.Task[None]] = set()

    async def run(self, call: Call, sink: Sink) -> None:
        """Run a call once, or write the retained response of its first run.

        Raises
        ------
        RefusalError
            If it was not run, or if its outcome is unknown or its response is no longer
            retained.
        """
        if call.idempotency_key is None:
            raise IdempotencyKeyMissingError(
                f"service {call.service.id!r} requires an Idempotency-Key header"
            )
        key = IdempotencyKey.parse(call.idempotency_key)
        self._entry.check_admission(call)
        reply = await self._claims.claim(
            call.organisation, key, body_hash(_identity_bytes(call))
        )
        match reply.outcome:
            case ClaimOutcome.CLAIMED:
                await self._run_claimed(call, sink, key)
            case ClaimOutcome.DUPLICATE:
                await self._respond_to_resend(call, sink, key, reply)
            case ClaimOutcome.BODY_MISMATCH:
                raise IdempotencyKeyReusedError(
                    "the idempotency key was used with another method, path or body"
                )
            case ClaimOutcome.EXPIRED:
                raise IdempotencyKeyExpiredError(
                    "the idempotency key was issued too long ago or in the future"
                )
            case ClaimOutcome.UNAVAILABLE:
                raise ClaimUnavailableError(
                    "the platform store cannot record the claim", retry_after=1.0
                )

    def receive(self, sender: str, message: HeldAnswerQuery | HeldAnswerReply) -> None:
        """Handle a query for a retained response, or the reply to one."""
        match message:
            case HeldAnswerQuery():
                found, response = self._responses.find(message.key_hash)
                if response is None:
                    response = RetainedResponse(0, "", b"")
                self._send(
                    sender,
                    HeldAnswerReply(
                        message.request_id,
                        found,
                        response.status,
                        response.content_type,
                        response.body,
                    ),
                )
            case HeldAnswerReply():
                future = self._queries.get(message.request_id)
                if future is not None and not future.done():
                    future.set_result(message)

    async def _run_claimed(self, call: Call, sink: Sink, key: IdempotencyKey) -> None:
        """Run in a separate task, which completes even if the caller disconnects."""
        run = asyncio.get_running_loop().create_task(self._execute(call, sink, key))
        self._run_tasks.add(run)
        run.add_done_callback(self._run_tasks.discard)
        # Retrieves the exception if the caller has gone; its claim is already updated.
        run.add_done_callback(lambda task: task.cancelled() or task.exception())
        await asyncio.shield(run)

    async def _execute(self, call: Call, sink: Sink, key: IdempotencyKey) -> None:
        key_hash = key.hash(call.organisation)
        self._responses.mark_running(key_hash)
        tee = TeeSink(sink, MAX_RETAINED_RESPONSE_BYTES)
        try:
            await self._entry.run(call, tee)
        except RefusalError as refusal:
            if refusal.ran is Ran.NOT_RUN:
                await self._claims.release(call.organisation, key)
            else:
                self._claims.finish(call.organisation, key, ClaimState.UNKNOWN)
            self._responses.discard(key_hash)
            raise
        except BaseException:
            self._claims.finish(call.organisation, key, ClaimState.UNKNOWN)
            self._responses.discard(key_hash)
            raise
        self._claims.finish(call.organisation, key, ClaimState.DONE)
        if tee.body is None:
            self._responses.discard(key_hash)
        else:
            self._responses.store(
                key_hash, RetainedResponse(tee.status, tee.content_type, tee.body)
            )
        if tee.caller_error is not None:
            raise tee.caller_error

    async def _respond_to_resend(
        self, call: Call, sink: Sink, key: IdempotencyKey, reply: ClaimReply
    ) -> None:
        self._metrics.count("resends", reply.state.name.lower())
        if reply.state is ClaimState.RELEASED:
            raise IdempotencyKeyReleasedError(
                "the first request with this key did not run; resend it with a new key"
            )
        holder = self._claims.response_holder(reply)
        if holder is not None:
            holder_reply = await self._query_holder(holder, key.hash(call.organisation))
            match holder_reply.found:
                # An instance of an earlier version may hold a response with any status.
                case HeldAnswer.HELD if holder_reply.status in FINAL_STATUSES:
                    await _write_retained(sink, holder_reply)
                    return
                case HeldAnswer.RUNNING:
                    raise RequestInProgressError(
                        "the first request with this key is still queued or running",
                        ran=Ran.UNKNOWN,
                        retry_after=1.0,
                    )
                case HeldAnswer.HELD | HeldAnswer.GONE:
                    pass
        if reply.state is ClaimState.DONE:
            raise AnswerNotHeldError(
                "the first request with this key ran; its response is not retained",
                ran=Ran.RAN,
            )
        raise OutcomeUnknownError(
            "the first request with this key may have run; its instance was lost or "
            "could not determine the outcome"
        )

    async def _query_holder(self, holder: str, key_hash: bytes) -> HeldAnswerReply:
        request_id = next(self._sequence)
        future: asyncio.Future[HeldAnswerReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._queries[request_id] = future
        self._send(holder, HeldAnswerQuery(request_id, key_hash))
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                return await future
        except TimeoutError:
            return HeldAnswerReply(request_id, HeldAnswer.GONE)
        finally:
            del self._queries[request_id]


async def _write_retained(sink: Sink, holder_reply: HeldAnswerReply) -> None:
    headers = [(REPLAYED_HEADER, "true")]
    if holder_reply.content_type:
        headers.append(("Content-Type", holder_reply.content_type))
    await sink.start(holder_reply.status, headers)
    await sink.write(holder_reply.body)
    await sink.finish()


def _identity_bytes(call: Call) -> bytes:
    return f"{call.service.id}\0{call.method}\0{call.path}\0".encode() + call.body
