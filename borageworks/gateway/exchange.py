"""Runs one caller's request on endpoints of its service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import xxhash

from borageworks.api.sink import ResponseSink
from borageworks.endpoints.headers import end_to_end
from borageworks.endpoints.limits import read_bounded
from borageworks.events import Event, emit
from borageworks.exceptions import (
    AnswerLostError,
    AnswerTimeoutError,
    CapacityExceededError,
    EndpointDisconnectedError,
    EndpointFailedError,
    EndpointReplyCrossedError,
    EndpointReplyIncompleteError,
    EndpointReplyMalformedError,
    EndpointsBusyError,
    EndpointUnavailableError,
    EndpointUnreachableError,
    RefusalError,
)
from borageworks.gateway.answer_head import AnswerHead
from borageworks.gateway.caller_request import CallerRequest
from borageworks.gateway.codec import Codec
from borageworks.gateway.directory import Directory
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.event_stream import EventSplitter
from borageworks.gateway.placer import Placer
from borageworks.gateway.route import Repeat, Route
from borageworks.gateway.upstream import Upstream, read_body
from borageworks.metrics import Metrics
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.work import Work

# Part of the aim that a request may wait for a free endpoint although it is then late.
# A caller that is told early can still come back in time.
PATIENCE_RATIO = 0.25
# Endpoints that may turn out to be unreachable before the caller is told so.
CONNECT_TRIES = 3
# Answers up to this size are passed on only when they are whole.
WHOLE_BYTES = 1 << 20
# The body of a refusal tells callers nothing. A longer or later one is not worth the
# connection that reading it keeps.
REFUSAL_BYTES = 65_536
REFUSAL_BODY_S = 0.1
BUSY_RETRY_S = 0.2
OK_STATUSES = range(200, 300)
SERVER_ERRORS = range(500, 600)
# Statuses that tell a caller that its request did not run.
PROMISES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request with what decides how it runs.

    Parameters
    ----------
    request
        What the caller asks for.
    host_header
        Host header as it was sent.
    route, service
        Route, and the service that was picked for it.
    organisation
        Organisation of the key, or None on public routes.
    body
        Whole body, None if there is none.
    version
        Version of the configuration that decided.
    received_at, deadline
        Loop times of the request and of the end of the caller's patience or the
        route's time limit.
    """

    request: CallerRequest
    host_header: str
    route: Route
    service: str
    organisation: str | None
    body: bytes | None
    version: int
    received_at: float
    deadline: float


class ExchangeRunner:
    """Runs one caller's request on endpoints of its service.

    Parameters
    ----------
    exchange
        The request.
    sink
        Receives the answer.
    codec, directory, placer, upstream, metrics
        Parts of the gateway.
    take_retry
        Returns whether the fleet's budget allows one more attempt at the service.
    """

    def __init__(
        self,
        exchange: Exchange,
        sink: ResponseSink,
        codec: Codec,
        directory: Directory,
        placer: Placer,
        upstream: Upstream,
        metrics: Metrics,
        take_retry: Callable[[], bool],
    ) -> None:
        self._exchange = exchange
        self._sink = sink
        self._codec = codec
        self._directory = directory
        self._placer = placer
        self._upstream = upstream
        self._metrics = metrics
        self._take_retry = take_retry
        self._loop = asyncio.get_running_loop()
        self._excluded: set[str] = set()
        self._attempts = 0
        self._unreachable = 0
        self._may_have_run = False
        self._last_event = exchange.request.last_event
        self._fingerprint = _fingerprint(exchange)
        self._failure: Answer | None = None
        self.endpoint = ""
        self.first_part_s: float | None = None

    @property
    def attempts(self) -> int:
        """Number of endpoints that the request was sent to."""
        return self._attempts

    @property
    def service(self) -> str:
        """Service of the request."""
        return self._exchange.service

    @property
    def organisation(self) -> str | None:
        """Organisation of the request, None on public routes."""
        return self._exchange.organisation

    @property
    def route(self) -> str:
        """Name of the request's route, which tells its kind."""
        return self._exchange.route.name

    async def run(self) -> None:
        """Run the request until its answer is with the caller.

        Raises
        ------
        RefusalError
            If there is no answer; the sink may have begun to send one.
        CallerFailedError
            If the caller has left.
        """
        try:
            async with asyncio.timeout_at(self._exchange.deadline):
                await self._attempt_until_done()
        except _NoFurtherAttemptError as error:
            await self._send(error.answer)
        except TimeoutError as error:
            if self._may_have_run:
                raise AnswerTimeoutError("no complete answer in time") from error
            raise CapacityExceededError(
                "no endpoint took the request in time", retry_after=BUSY_RETRY_S
            ) from error

    async def _attempt_until_done(self) -> None:
        while True:
            endpoint, work = await self._place()
            outcome = WorkOutcome.LEFT
            try:
                done = await self._attempt(endpoint, work)
                outcome = WorkOutcome.SERVED if done else WorkOutcome.SHED
                if done and self._sink.response.status in SERVER_ERRORS:
                    outcome = WorkOutcome.FAILED
            except (EndpointsBusyError, AnswerLostError, _NoFurtherAttemptError):
                outcome = WorkOutcome.SHED
                raise
            except EndpointUnreachableError as error:
                outcome = WorkOutcome.UNREACHABLE
                self._note_failure(endpoint, error)
                self._unreachable += 1
                if self._unreachable >= CONNECT_TRIES:
                    raise self._unsent(str(error)) from error
                done = False
            except (EndpointDisconnectedError, EndpointReplyIncompleteError) as error:
                outcome = WorkOutcome.BROKEN
                done = self._continue_after(endpoint, error)
            except EndpointFailedError as error:
                outcome = WorkOutcome.FAILED
                done = self._continue_after(endpoint, error)
            finally:
                self._placer.ended(work.key, outcome)
            if done:
                return
            self._excluded.add(endpoint.id)

    def _continue_after(self, endpoint: Endpoint, error: EndpointFailedError) -> bool:
        """Return that the request is not done, if it may be sent once more."""
        self._note_failure(endpoint, error)
        self._may_have_run = True
        if not self._may_repeat():
            raise AnswerLostError(str(error)) from error
        return False

    async def _place(self) -> tuple[Endpoint, Work]:
        exchange = self._exchange
        while True:
            now = self._loop.time()
            work = Work(
                key=self._placer.new_key(),
                organisation=exchange.organisation or "",
                aim_s=exchange.received_at + exchange.route.aim_s - now,
                patience_s=exchange.route.aim_s * PATIENCE_RATIO,
                prompt=exchange.request.prompt if exchange.route.prompts else None,
                excluded=frozenset(self._excluded),
                fingerprint=self._fingerprint,
            )
            try:
                placed = await self._placer.place(
                    exchange.service, exchange.request.id, work
                )
            except RefusalError as error:
                if self._failure is not None:
                    raise _NoFurtherAttemptError(self._failure) from error
                if self._may_have_run:
                    raise AnswerLostError(str(error)) from error
                raise
            waited = self._loop.time() - now
            self._metrics.observe("placement_wait", waited, exchange.route.name)
            emit(
                Event.REQUEST_PLACED,
                request_id=exchange.request.id,
                service=exchange.service,
                organisation=exchange.organisation,
                endpoint=placed.endpoint,
                placed_by=placed.placed_by,
                unread_tokens=placed.unread_tokens,
                waited_s=round(waited, 4),
                version=exchange.version,
            )
            endpoint = self._directory.endpoints.get(placed.endpoint)
            if endpoint is not None and not endpoint.leaving:
                self.endpoint = endpoint.id
                return endpoint, work
            # It left between the decision and now.
            self._placer.ended(work.key, WorkOutcome.GONE)
            self._excluded.add(placed.endpoint)

    async def _attempt(self, endpoint: Endpoint, work: Work) -> bool:
        """Send the request once; return False if it did not run and may be resent."""
        exchange = self._exchange
        headers = self._codec.forwarded_headers(
            exchange.request,
            exchange.host_header,
            exchange.organisation,
            endpoint.id,
            exchange.deadline - self._loop.time(),
            self._last_event,
        )
        self._attempts += 1
        ran_before, self._may_have_run = self._may_have_run, True
        try:
            async with self._upstream.open(
                endpoint,
                exchange.request.method,
                exchange.request.target,
                headers,
                exchange.body,
                fresh=exchange.route.repeat is Repeat.NEVER,
            ) as response:
                head = self._codec.answer(response.status, response.headers)
                self._check(endpoint, head)
                if head.not_run:
                    self._may_have_run = ran_before
                    await self._refused(endpoint, head, response)
                    return False
                if head.status in OK_STATUSES and exchange.route.stream:
                    await self._pass_stream(endpoint, response, work)
                    return True
                return await self._pass_whole(response, head, work)
        except EndpointUnreachableError:
            self._may_have_run = ran_before
            self._attempts -= 1
            raise

    def _check(self, endpoint: Endpoint, head: AnswerHead) -> None:
        expected = self._exchange.request.id
        if head.request_id is not None and head.request_id != expected:
            raise EndpointReplyCrossedError(
                f"endpoint {endpoint.id!r} answered request {head.request_id!r}"
            )
        if head.not_run:
            return
        if head.status in OK_STATUSES and not head.genuine:
            raise EndpointReplyMalformedError(
                f"endpoint {endpoint.id!r} does not vouch for its answer"
            )
        if head.status in PROMISES:
            raise EndpointReplyMalformedError(
                f"endpoint {endpoint.id!r} answered {head.status} and may have run it"
            )

    async def _refused(
        self, endpoint: Endpoint, head: AnswerHead, response: aiohttp.ClientResponse
    ) -> None:
        await self._drop_body(endpoint, response)
        self._metrics.count("endpoint_refusals", str(head.status))
        if head.other_endpoint:
            self._directory.mark_gone(endpoint.id)
            self._placer.update()
        if not self._may_repeat():
            if self._failure is not None:
                raise _NoFurtherAttemptError(self._failure)
            if self._may_have_run:
                raise AnswerLostError(f"endpoint {endpoint.id!r} has no room either")
            raise EndpointsBusyError(
                f"endpoint {endpoint.id!r} has no room", retry_after=BUSY_RETRY_S
            )

    async def _drop_body(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        """Read the rest of a refusal, so that its connection can be used again.

        Its head has said that the request did not run, whatever follows.
        """
        try:
            async with asyncio.timeout(REFUSAL_BODY_S):
                await read_bounded(response, REFUSAL_BYTES)
        except (
            aiohttp.ClientError,
            EndpointReplyMalformedError,
            TimeoutError,
        ) as error:
            response.close()
            self._metrics.count("endpoint_refusals_unread", type(error).__name__)

    async def _pass_whole(
        self, response: aiohttp.ClientResponse, head: AnswerHead, work: Work
    ) -> bool:
        self._placer.started(work.key)
        body = bytearray()
        async for data in read_body(response):
            body += data
            if len(body) > WHOLE_BYTES:
                raise EndpointReplyMalformedError("the answer is too large")
        answer = Answer(
            response.status, end_to_end(response.headers.items()), bytes(body)
        )
        if response.status in SERVER_ERRORS and self._may_repeat():
            self._failure = answer
            self._metrics.count("retries", "endpoint_error")
            return False
        await self._send(answer)
        return True

    async def _send(self, answer: Answer) -> None:
        """Pass a whole answer to the caller."""
        if self._sink.started:
            raise AnswerLostError("the stream cannot go on")
        headers = (*answer.headers, ("Content-Length", str(len(answer.body))))
        await self._sink.start(answer.status, headers)
        await self._sink.write(answer.body)
        await self._sink.finish()

    async def _pass_stream(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse, work: Work
    ) -> None:
        await self._sink.start(response.status, end_to_end(response.headers.items()))
        splitter = EventSplitter()
        whole_events = self._exchange.route.repeat is Repeat.RESUME
        first = True
        async for data in read_body(response):
            if first:
                first = False
                self._placer.started(work.key)
                if self.first_part_s is None:
                    self.first_part_s = self._loop.time() - self._exchange.received_at
                    self._metrics.observe("first_event", self.first_part_s, self.route)
            events = splitter.feed(data)
            if not whole_events:
                await self._sink.write(data)
                continue
            for event in events:
                if event.id is not None:
                    self._check_order(endpoint, event.id)
                    self._last_event = event.id
                await self._sink.write(event.data)
        if whole_events and splitter.rest:
            raise EndpointReplyIncompleteError(
                f"endpoint {endpoint.id!r} stopped inside an event"
            )
        await self._sink.finish()

    def _check_order(self, endpoint: Endpoint, event: int) -> None:
        if self._last_event is not None and event != self._last_event + 1:
            raise EndpointReplyMalformedError(
                f"endpoint {endpoint.id!r} sent event {event} after {self._last_event}"
            )

    def _may_repeat(self) -> bool:
        """Return whether the request may be sent to one more endpoint."""
        route = self._exchange.route
        if self._may_have_run and route.repeat is Repeat.NEVER:
            return False
        if self._attempts >= route.max_attempts:
            return False
        if not self._take_retry():
            self._metrics.count("retries_denied", "budget")
            return False
        return True

    def _note_failure(self, endpoint: Endpoint, error: EndpointFailedError) -> None:
        self._metrics.count("attempt_failures", error.code)
        emit(
            Event.ATTEMPT_FAILED,
            request_id=self._exchange.request.id,
            endpoint=endpoint.id,
            code=error.code,
            detail=str(error),
            last_event=self._last_event,
        )

    def _unsent(self, detail: str) -> RefusalError:
        if self._may_have_run:
            return AnswerLostError(detail)
        return EndpointUnavailableError(detail, retry_after=BUSY_RETRY_S)


def _fingerprint(exchange: Exchange) -> bytes:
    """Return a hash that equal requests of an organisation share."""
    digest = xxhash.xxh3_64((exchange.organisation or "").encode())
    digest.update(b"\0" + exchange.request.target.encode() + b"\0")
    digest.update(exchange.body or b"")
    return digest.digest()


class _NoFurtherAttemptError(Exception):
    """No further attempt is possible, and an endpoint's own failure is at hand."""

    def __init__(self, answer: Answer) -> None:
        super().__init__()
        self.answer = answer
