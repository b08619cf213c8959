"""Forwards one caller's request to endpoints of its service."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import aiohttp
import xxhash

from borageworks.api.sink import ResponseSink
from borageworks.endpoints.bounded_body import read_bounded
from borageworks.endpoints.headers import end_to_end
from borageworks.endpoints.response_status import FINAL_STATUSES
from borageworks.events import Event, emit
from borageworks.exceptions import (
    AnswerLostError,
    AnswerTimeoutError,
    CapacityExceededError,
    EndpointDeclinedError,
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
from borageworks.gateway.caller_request import CallerRequest
from borageworks.gateway.codec import Codec
from borageworks.gateway.directory import Directory
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.event_stream import EventSplitter, StreamEvent
from borageworks.gateway.placer import Placer
from borageworks.gateway.response_head import ResponseHead
from borageworks.gateway.route import RetryPolicy, Route
from borageworks.gateway.stream_versions import StreamVersions
from borageworks.gateway.upstream import Upstream, read_body, read_in_pieces
from borageworks.metrics import Metrics
from borageworks.placement.decisions import Placed
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.stream_origins import stream_id
from borageworks.placement.work import Work
from borageworks.receiving.body_budget import BodyAllowance
from borageworks.receiving.loop_watch import HOLD_LIMIT_S

# Fraction of the target latency that a request may wait for a free endpoint although it
# can no longer meet its target. An early refusal leaves the caller time to retry.
MAX_LATENESS_RATIO = 0.25
# Unreachable endpoints to try before the caller gets an error.
MAX_CONNECT_ATTEMPTS = 3
# Responses other than streams are forwarded once complete; larger ones are errors.
MAX_BUFFERED_BYTES = 1 << 20
# The body of a refusal is not forwarded; it is read only to reuse the connection. If it
# exceeds these limits, the connection is closed instead.
MAX_REFUSAL_BODY_BYTES = 65_536
REFUSAL_BODY_TIMEOUT_S = 0.1
BUSY_RETRY_AFTER_S = 0.2
SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR_STATUSES = range(500, 600)
# Statuses that tell callers that their request was not executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Exchange:
    """A caller's request with its route, service and deadline.

    Parameters
    ----------
    request
        Decoded request.
    host_header
        Host header as sent by the caller.
    route, service
        Route, and the service selected from its targets.
    organisation
        Organisation of the API key, or None if there is none.
    body
        Complete body, None if there is none.
    version
        Version of the configuration that the request was accepted under.
    received_at, deadline
        Loop times of the request and of the earlier of the caller's deadline and the
        route's time limit.
    """

    request: CallerRequest
    host_header: str
    route: Route
    service: str
    organisation: str | None
    body: bytes | bytearray | None
    version: int
    received_at: float
    deadline: float


class ExchangeRunner:
    """Forwards one caller's request to endpoints, with retries on failure.

    Parameters
    ----------
    exchange
        The request to forward.
    sink
        Receives the response.
    codec, directory, placer, upstream, notices, streams, metrics
        Components of the gateway.
    take_retry
        Takes one retry from the fleet's budget; returns False if none is left.
    allowance
        Memory of the process that the request holds.
    """

    def __init__(
        self,
        exchange: Exchange,
        sink: ResponseSink,
        codec: Codec,
        directory: Directory,
        placer: Placer,
        upstream: Upstream,
        notices: EndpointNotices,
        streams: StreamVersions,
        metrics: Metrics,
        take_retry: Callable[[], bool],
        allowance: BodyAllowance,
    ) -> None:
        self._exchange = exchange
        self._sink = sink
        self._codec = codec
        self._directory = directory
        self._placer = placer
        self._upstream = upstream
        self._notices = notices
        self._streams = streams
        self._metrics = metrics
        self._take_retry = take_retry
        self._allowance = allowance
        self._loop = asyncio.get_running_loop()
        self._excluded: set[str] = set()
        self._attempts = 0
        self._connect_failures = 0
        self._may_have_run = False
        # Whether another endpoint answered the last attempt.
        self._misdirected = False
        self._last_event_id = exchange.request.last_event_id
        self._fingerprint = _fingerprint(exchange)
        # Version of the engine whose events the caller has, None before its first event
        # and for a stream that it resumes until its version is known.
        self._software_version: str | None = None
        resumable = exchange.route.retry_policy is RetryPolicy.RESUME
        self._resumed = resumable and exchange.request.last_event_id is not None
        self._stream = _stream(exchange, self._resumed) if resumable else b""
        self._failure_response: BufferedResponse | None = None
        self._timeout: asyncio.Timeout | None = None
        # The last placement, and when it arrived.
        self._placed: tuple[Placed, float] | None = None
        self.endpoint = ""
        self.first_event_s: float | None = None
        self.longest_pause_s = 0.0

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
        """Organisation of the request, or None if there is none."""
        return self._exchange.organisation

    @property
    def resumed_stream(self) -> str:
        """Id of the stream that the caller resumes, empty if it begins one."""
        return self._stream.hex() if self._resumed else ""

    @property
    def route(self) -> str:
        """Name of the request's route."""
        return self._exchange.route.name

    @property
    def _reuses_connections(self) -> bool:
        return self._exchange.route.retry_policy is not RetryPolicy.NEVER

    @property
    def _refusal_outcome(self) -> WorkOutcome:
        if self._misdirected and self._placer.has_cold_limit(self.service):
            return WorkOutcome.MISDIRECTED
        return WorkOutcome.REFUSED

    async def run(self) -> None:
        """Forward the request until its response has been sent to the caller.

        Raises
        ------
        RefusalError
            If there is no complete response; the sink may have started one.
        CallerFailedError
            If the caller has disconnected.
        """
        try:
            async with asyncio.timeout_at(self._exchange.deadline) as self._timeout:
                try:
                    await self._attempt_until_done()
                finally:
                    self._timeout = None
        except _NoFurtherAttemptError as error:
            await self._send_response(error.response)
        except TimeoutError as error:
            if self._may_have_run:
                raise AnswerTimeoutError(
                    "no complete response before the deadline"
                ) from error
            raise CapacityExceededError(
                "no endpoint accepted the request before the deadline",
                retry_after=BUSY_RETRY_AFTER_S,
            ) from error

    def limit_deadline(self, deadline: float) -> None:
        """End the request at `deadline` if it would take longer."""
        timeout = self._timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(min(deadline, self._exchange.deadline))

    async def _attempt_until_done(self) -> None:
        while True:
            endpoint, work = await self._place()
            outcome = WorkOutcome.CALLER_DISCONNECTED
            try:
                done = await self._attempt(endpoint, work)
                outcome = WorkOutcome.SERVED if done else self._refusal_outcome
                if done and self._sink.response.status in SERVER_ERROR_STATUSES:
                    outcome = WorkOutcome.FAILED
            except (EndpointsBusyError, AnswerLostError, _NoFurtherAttemptError):
                # A request that gave way to others says nothing about the endpoint.
                if not self._allowance.ended:
                    outcome = WorkOutcome.REFUSED
                raise
            except EndpointDeclinedError:
                outcome = WorkOutcome.RETURNED
                self._metrics.count("placements_returned")
                done = False
            except EndpointUnreachableError as error:
                outcome = WorkOutcome.UNREACHABLE
                self._record_failure(endpoint, error)
                self._connect_failures += 1
                if self._connect_failures >= MAX_CONNECT_ATTEMPTS:
                    raise self._unreachable_error(str(error)) from error
                done = False
            except (EndpointDisconnectedError, EndpointReplyIncompleteError) as error:
                outcome = WorkOutcome.DISCONNECTED
                done = self._prepare_retry(endpoint, error)
            except EndpointFailedError as error:
                outcome = WorkOutcome.FAILED
                done = self._prepare_retry(endpoint, error)
            finally:
                self._placer.record_end(work.key, outcome)
            if done:
                return
            self._excluded.add(endpoint.id)
            self._excluded |= self._placer.evacuated_endpoints(self._exchange.service)

    def _prepare_retry(self, endpoint: Endpoint, error: EndpointFailedError) -> bool:
        """Return False if the request may be retried, or raise AnswerLostError."""
        self._record_failure(endpoint, error)
        self._may_have_run = True
        if not self._may_retry():
            raise AnswerLostError(str(error)) from error
        return False

    async def _place(self) -> tuple[Endpoint, Work]:
        exchange = self._exchange
        while True:
            now = self._loop.time()
            work = Work(
                key=self._placer.new_key(),
                organisation=exchange.organisation or "",
                remaining_target_s=exchange.received_at
                + exchange.route.target_latency_s
                - now,
                max_wait_s=exchange.route.target_latency_s * MAX_LATENESS_RATIO,
                prompt=exchange.request.prompt
                if exchange.route.prompt_affinity
                else None,
                excluded=frozenset(self._excluded),
                fingerprint=self._fingerprint,
                software_version=self._software_version,
                stream=self._stream,
                stream_lifetime_s=self._stream_lifetime_s(),
                resumed=self._resumed and self._software_version is None,
            )
            try:
                placed = await self._placer.place(
                    exchange.service, exchange.request.id, work
                )
            except RefusalError as error:
                if self._failure_response is not None:
                    raise _NoFurtherAttemptError(self._failure_response) from error
                if self._may_have_run:
                    raise AnswerLostError(str(error)) from error
                raise
            endpoint = self._directory.endpoints.get(placed.endpoint)
            self._placed = placed, self._loop.time()
            wait_s = self._loop.time() - now
            self._metrics.observe("placement_wait", wait_s, exchange.route.name)
            emit(
                Event.REQUEST_PLACED,
                request_id=exchange.request.id,
                service=exchange.service,
                organisation=exchange.organisation,
                endpoint=placed.endpoint,
                placed_by=placed.placed_by,
                unread_tokens=placed.uncached_tokens,
                waited_s=round(wait_s, 4),
                version=exchange.version,
                software_version=endpoint.software_version if endpoint else "",
                last_event=self._last_event_id,
                stream=self.resumed_stream,
            )
            if endpoint is None or endpoint.leaving:
                # The endpoint has become unavailable since the decision.
                outcome = WorkOutcome.UNLISTED
            elif not self._may_go_on_at(endpoint, placed) or not self._is_wanted(
                endpoint
            ):
                # The owner does not know yet what this instance knows of the endpoint.
                outcome = WorkOutcome.RETURNED
                self._metrics.count("placements_returned")
            else:
                self.endpoint = endpoint.id
                if self._resumed:
                    self._software_version = endpoint.software_version
                return endpoint, work
            self._placer.record_end(work.key, outcome)
            self._excluded.add(placed.endpoint)
            self._excluded |= self._placer.evacuated_endpoints(exchange.service)

    def _is_wanted(self, endpoint: Endpoint) -> bool:
        """Return whether the request is still to be sent, as far as known here."""
        assert self._placed is not None
        return self._notices.accepts(endpoint.incarnation) and self._placer.may_send(
            endpoint, *self._placed
        )

    def _may_go_on_at(self, endpoint: Endpoint, placed: Placed) -> bool:
        """Return whether an endpoint has the version that it was chosen for.

        It may have started again with other software, of which this instance or the
        one that placed the request does not know yet.
        """
        if not self._resumed and self._software_version is None:
            return True
        return endpoint.software_version == placed.software_version

    def _stream_lifetime_s(self) -> float:
        """Return the seconds for which the caller may resume its stream."""
        exchange = self._exchange
        remaining_s = exchange.request.remaining_s or 0.0
        remaining_s -= self._loop.time() - exchange.received_at
        return max(remaining_s, exchange.route.timeout_s)

    async def _attempt(self, endpoint: Endpoint, work: Work) -> bool:
        """Send the request once; return whether its response has been forwarded.

        False means that the request may be retried on another endpoint.
        """
        exchange = self._exchange
        headers = self._codec.forwarded_headers(
            exchange.request,
            exchange.host_header,
            exchange.organisation,
            endpoint.id,
            exchange.deadline - self._loop.time(),
            self._last_event_id,
        )
        self._attempts += 1
        self._misdirected = False
        sent_at = self._loop.time()
        may_have_run_before, self._may_have_run = self._may_have_run, True
        try:
            async with self._upstream.open(
                endpoint,
                exchange.request.method,
                exchange.request.target,
                headers,
                exchange.body,
                fresh=not self._reuses_connections,
                is_wanted=lambda: self._is_wanted(endpoint),
            ) as response:
                head = self._codec.decode_response_head(
                    response.status, response.headers
                )
                self._check_request_id(endpoint, head)
                violation = self._find_violation(endpoint, head)
                if not head.wrong_endpoint:
                    self._notices.observe(
                        endpoint, head.notice, sent_at, usable=violation is None
                    )
                    if violation is None:
                        self._placer.record_load(
                            endpoint, head.load, malformed=head.load_malformed
                        )
                    if head.cold_s is not None:
                        self._placer.learn_cold(endpoint, head.cold_s)
                if violation is not None:
                    raise violation
                if head.not_run:
                    self._may_have_run = may_have_run_before
                    self._misdirected = head.wrong_endpoint
                    await self._handle_refusal(endpoint, head, response)
                    return False
                if head.status in SUCCESS_STATUSES and exchange.route.stream:
                    await self._forward_stream(endpoint, response, work)
                    return True
                return await self._forward_buffered(response, head, work)
        except (EndpointUnreachableError, EndpointDeclinedError):
            self._may_have_run = may_have_run_before
            self._attempts -= 1
            raise

    def _check_request_id(self, endpoint: Endpoint, head: ResponseHead) -> None:
        expected = self._exchange.request.id
        if head.request_id is not None and head.request_id != expected:
            raise EndpointReplyCrossedError(
                f"endpoint {endpoint.id!r} responded to request {head.request_id!r}"
            )

    def _find_violation(
        self, endpoint: Endpoint, head: ResponseHead
    ) -> EndpointReplyMalformedError | None:
        """Return how a response violates the protocol, None if it does not."""
        if head.status not in FINAL_STATUSES:
            # What it says of the request is not trusted either: the request may have
            # run.
            return EndpointReplyMalformedError(
                f"endpoint {endpoint.id!r} responded with invalid status {head.status}"
            )
        if head.not_run:
            if head.request_id is None and self._reuses_connections:
                # It may be the copy of an earlier refusal on the same connection.
                return EndpointReplyMalformedError(
                    f"refusal of endpoint {endpoint.id!r} names no request"
                )
            return None
        if head.status in SUCCESS_STATUSES and not head.has_seal:
            return EndpointReplyMalformedError(
                f"response of endpoint {endpoint.id!r} has no seal header"
            )
        if head.status in NOT_EXECUTED_STATUSES:
            return EndpointReplyMalformedError(
                f"endpoint {endpoint.id!r} responded with status {head.status} "
                "without stating that the request was not executed"
            )
        return None

    async def _handle_refusal(
        self, endpoint: Endpoint, head: ResponseHead, response: aiohttp.ClientResponse
    ) -> None:
        await self._discard_refusal_body(endpoint, response)
        self._metrics.count("endpoint_refusals", str(head.status))
        if head.wrong_endpoint:
            self._directory.remove_endpoint(endpoint.id)
            self._placer.update()
        if not self._may_retry():
            if self._failure_response is not None:
                raise _NoFurtherAttemptError(self._failure_response)
            if self._may_have_run:
                raise AnswerLostError(f"endpoint {endpoint.id!r} refused a retry")
            raise EndpointsBusyError(
                f"endpoint {endpoint.id!r} refused the request",
                retry_after=BUSY_RETRY_AFTER_S,
            )

    async def _discard_refusal_body(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        """Read the body of a refusal so that the connection can be reused.

        Failures are only counted: the head already states that the request was not
        executed.
        """
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
                await read_bounded(response, MAX_REFUSAL_BODY_BYTES)
        except (
            aiohttp.ClientError,
            EndpointReplyMalformedError,
            TimeoutError,
        ) as error:
            response.close()
            self._metrics.count("endpoint_refusals_unread", type(error).__name__)

    async def _forward_buffered(
        self, response: aiohttp.ClientResponse, head: ResponseHead, work: Work
    ) -> bool:
        self._placer.record_start(work.key)
        body = bytearray()
        async for data in read_body(response):
            body += data
            if len(body) > MAX_BUFFERED_BYTES:
                raise EndpointReplyMalformedError("the response is too large")
            if not await self._allowance.take_response(len(data)):
                if self._allowance.ended:
                    # Memory of this process was short, which is no fault of the
                    # endpoint, and a retry would need the same memory.
                    raise AnswerLostError("the response was ended as memory was short")
                raise EndpointReplyMalformedError(
                    f"the response has {len(body)} bytes, more than memory is left for"
                )
        buffered = BufferedResponse(
            response.status, end_to_end(response.headers.items()), bytes(body)
        )
        # Otherwise both copies are kept for as long as the caller takes to read.
        del body
        if response.status in SERVER_ERROR_STATUSES and self._may_retry():
            self._failure_response = buffered
            self._metrics.count("retries", "endpoint_error")
            return False
        await self._send_response(buffered)
        return True

    async def _send_response(self, response: BufferedResponse) -> None:
        """Send a complete response to the caller."""
        if self._sink.started:
            raise AnswerLostError("the started stream cannot be continued")
        self._allowance.begin_sending()
        headers = (*response.headers, ("Content-Length", str(len(response.body))))
        await self._sink.start(response.status, headers)
        await self._sink.write(response.body)
        await self._sink.finish()

    async def _forward_stream(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse, work: Work
    ) -> None:
        self._allowance.begin_sending()
        await self._sink.start(response.status, end_to_end(response.headers.items()))
        splitter = EventSplitter()
        resumable = self._exchange.route.retry_policy is RetryPolicy.RESUME
        received_at: float | None = None
        async for data in read_in_pieces(response):
            now = self._loop.time()
            if received_at is None:
                self._placer.record_start(work.key)
                if self.first_event_s is None:
                    self.first_event_s = now - self._exchange.received_at
                    self._metrics.observe("first_event", self.first_event_s, self.route)
            else:
                self.longest_pause_s = max(self.longest_pause_s, now - received_at)
            received_at = now
            started = time.perf_counter()
            events = splitter.feed(data)
            held_s = time.perf_counter() - started
            if held_s > HOLD_LIMIT_S:
                self._upstream.watch.report(
                    held_s,
                    "stream",
                    endpoint=endpoint.id,
                    request_id=self._exchange.request.id,
                    size=len(data),
                )
            if not resumable:
                await self._sink.write(data)
            elif events:
                await self._forward_events(endpoint, events)
        if splitter.incomplete.strip():
            raise EndpointReplyIncompleteError(
                f"stream of endpoint {endpoint.id!r} ended within an event"
            )
        await self._sink.finish()

    async def _forward_events(
        self, endpoint: Endpoint, events: Sequence[StreamEvent]
    ) -> None:
        """Forward the events of one read, as far as their order is right."""
        if self._software_version is None:
            self._record_first_event(endpoint)
        checked: list[bytes] = []
        disorder: EndpointReplyMalformedError | None = None
        for event in events:
            if event.id is not None:
                disorder = self._find_disorder(endpoint, event.id)
                if disorder is not None:
                    break
                self._last_event_id = event.id
            checked.append(event.data)
        await self._sink.write(b"".join(checked))
        if disorder is not None:
            raise disorder

    def _record_first_event(self, endpoint: Endpoint) -> None:
        """Bind the stream to the version whose event goes to the caller."""
        self._software_version = endpoint.software_version
        if self._stream:
            self._streams.origins.learn(
                self._loop.time(),
                self._stream,
                endpoint.software_version,
                self._stream_lifetime_s(),
                "own",
            )

    def _find_disorder(
        self, endpoint: Endpoint, event: int
    ) -> EndpointReplyMalformedError | None:
        """Return how an event breaks the order of its stream, None if it does not."""
        if self._last_event_id is None or event == self._last_event_id + 1:
            return None
        return EndpointReplyMalformedError(
            f"endpoint {endpoint.id!r} sent event {event} after {self._last_event_id}"
        )

    def _may_retry(self) -> bool:
        """Return whether a retry is allowed; if so, take it from the budget."""
        route = self._exchange.route
        if self._allowance.ended:
            return False
        if self._may_have_run and route.retry_policy is RetryPolicy.NEVER:
            return False
        if self._attempts >= route.max_attempts:
            return False
        if not self._take_retry():
            self._metrics.count("retries_denied", "budget")
            return False
        return True

    def _record_failure(self, endpoint: Endpoint, error: EndpointFailedError) -> None:
        self._metrics.count("attempt_failures", error.code)
        emit(
            Event.ATTEMPT_FAILED,
            request_id=self._exchange.request.id,
            endpoint=endpoint.id,
            code=error.code,
            detail=str(error),
            last_event=self._last_event_id,
        )

    def _unreachable_error(self, detail: str) -> RefusalError:
        if self._may_have_run:
            return AnswerLostError(detail)
        return EndpointUnavailableError(detail, retry_after=BUSY_RETRY_AFTER_S)


def _stream(exchange: Exchange, resumed: bool) -> bytes:
    """Return the id of a caller's stream, empty if the request does not name it."""
    request = exchange.request
    attempt = request.resumed_attempt if resumed else request.id
    if not attempt:
        return b""
    return stream_id(exchange.organisation, exchange.service, attempt)


def _fingerprint(exchange: Exchange) -> bytes:
    """Return a hash that identifies equal requests of an organisation."""
    digest = xxhash.xxh3_64((exchange.organisation or "").encode())
    digest.update(b"\0" + exchange.request.target.encode() + b"\0")
    digest.update(exchange.body or b"")
    return digest.digest()


class _NoFurtherAttemptError(Exception):
    """No retry is possible; carries the server error of an earlier attempt."""

    def __init__(self, response: BufferedResponse) -> None:
        super().__init__()
        self.response = response
