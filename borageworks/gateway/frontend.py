"""HTTP server of the gateway for callers."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

from aiohttp import web

from borageworks.api.connection import (
    DISCARD_TIMEOUT_S,
    LINGERING_TIMEOUT_S,
    CallerConnection,
)
from borageworks.api.problem import problem_response
from borageworks.api.request_body import (
    MEMORY_RETRY_AFTER_S,
    discard_rest,
    is_small_and_received,
    read_body,
)
from borageworks.api.sink import ResponseSink
from borageworks.events import Event, emit
from borageworks.exceptions import (
    CallerFailedError,
    EndpointUnavailableError,
    InstanceLeavingError,
    InstanceNotReadyError,
    InstanceOverloadedError,
    KeyUnknownError,
    RefusalError,
    RouteUnknownError,
)
from borageworks.gateway.acceptor import Acceptor
from borageworks.gateway.admission import Admission
from borageworks.gateway.caller_request import CallerRequest
from borageworks.gateway.codec import Codec
from borageworks.gateway.connection_limit import MIN_IDLE_S, ConnectionLimit
from borageworks.gateway.deployment import Deployment
from borageworks.gateway.directory import Directory
from borageworks.gateway.early_admission import (
    OVERLOADED_RETRY_AFTER_S,
    EarlyAdmission,
    overload_refusal,
)
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.exchange import Exchange, ExchangeRunner
from borageworks.gateway.organisation_tally import (
    MAX_NAMED_ORGANISATIONS,
    NO_ORGANISATION,
    OrganisationTally,
)
from borageworks.gateway.placer import Placer
from borageworks.gateway.retry_budgets import RetryBudgets
from borageworks.gateway.route import RetryPolicy, Route
from borageworks.gateway.settings import GatewaySettings
from borageworks.gateway.shutdown import Shutdown
from borageworks.gateway.stream_versions import StreamVersions
from borageworks.gateway.tally_limit import TallyLimit
from borageworks.gateway.upstream import Upstream
from borageworks.metrics import Metrics
from borageworks.placement.stream_origins import stream_id
from borageworks.receiving.body_budget import BodyAllowance, BodyBudget
from borageworks.receiving.rejections import Rejections
from borageworks.receiving.turns import ReceiveTurns

# Limits in force until the operator's configuration has been received.
INITIAL_MAX_HEADER_BYTES = 65_536
INITIAL_IDLE_TIMEOUT_S = 15.0
NOT_READY_RETRY_AFTER_S = 0.5
# Short, since the caller's next connection reaches another instance.
LEAVING_RETRY_AFTER_S = 0.02
# Time for handlers to end when their connections are closed.
CLOSE_TIMEOUT_S = 0.1


class Frontend:
    """HTTP server of the gateway for callers.

    Parameters
    ----------
    settings
        Settings of the process.
    codec, directory, placer, upstream, notices, streams, retry_budgets, metrics
        Components of the gateway.
    shutdown
        Decides which requests are accepted during shutdown.
    store_outage_s
        Returns the seconds since the store stopped replying, 0 while it replies.
    admission
        Decides which requests are admitted under overload.
    connection_limit
        Decides which connections of callers are closed to free descriptors.
    wait_until_current
        Waits while the configuration may be out of date after a pause.
    turns
        Gives connections turns to process what they have received.
    body_budget
        Memory that the process may hold for callers and endpoints.
    rejections
        Counts and logs who was rejected and why.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        codec: Codec,
        directory: Directory,
        placer: Placer,
        upstream: Upstream,
        notices: EndpointNotices,
        streams: StreamVersions,
        retry_budgets: RetryBudgets,
        metrics: Metrics,
        shutdown: Shutdown,
        store_outage_s: Callable[[], float],
        admission: Admission,
        connection_limit: ConnectionLimit[CallerConnection],
        wait_until_current: Callable[[], Awaitable[None]],
        turns: ReceiveTurns,
        body_budget: BodyBudget,
        rejections: Rejections,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._directory = directory
        self._placer = placer
        self._upstream = upstream
        self._notices = notices
        self._streams = streams
        self._retry_budgets = retry_budgets
        self._metrics = metrics
        self._shutdown = shutdown
        self._store_outage_s = store_outage_s
        self._admission = admission
        self._connection_limit = connection_limit
        self._wait_until_current = wait_until_current
        self._turns = turns
        self._body_budget = body_budget
        self._rejections = rejections
        self._peer_connections = TallyLimit(
            lambda: settings.peer_connections or settings.max_descriptors
        )
        self._organisation_bodies = TallyLimit(
            lambda: settings.organisation_bodies or connection_limit.limit
        )
        self._rng = random.Random()
        self._server: web.Server | None = None
        self._acceptor: Acceptor | None = None
        self._running = 0
        self._runners: set[ExchangeRunner] = set()
        self._tally = OrganisationTally("callers", "requests")
        self._early_admission = EarlyAdmission(
            codec, directory, admission, self._tally, metrics
        )

    @property
    def running(self) -> int:
        """Number of requests without a complete response."""
        return self._running

    async def start(self) -> None:
        """Start listening for callers."""
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._acceptor = Acceptor(
            self._settings.callers_address,
            self._new_protocol,
            self._metrics,
            self._may_accept,
            self._early_admission,
            self._record_poll,
            memory_bytes=self._body_budget.limit_bytes,
        )
        self._acceptor.start()

    def report(self) -> None:
        """Log the refusals by organisation since the last report."""
        now = asyncio.get_running_loop().time()
        self._tally.report(
            level=round(self._admission.limit_per_s, 2),
            running=self._running,
            share_reached=self._admission.share_reached(now)[:MAX_NAMED_ORGANISATIONS],
        )

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._acceptor is not None:
            self._acceptor.stop()
            self._acceptor = None

    def limit_deadlines(self) -> None:
        """Give running requests a final response before the shutdown ends."""
        for runner in self._runners:
            runner.limit_deadline(self._shutdown.response_deadline)

    def close_idle(self) -> bool:
        """Close connections on which no request is running, received or expected.

        Returns
        -------
        bool
            Whether no connection is left on which a request is still to be read.
        """
        all_read = True
        for connection in self._server.connections if self._server else ():
            if isinstance(connection, CallerConnection):
                closed = connection.close_if_idle(MIN_IDLE_S)
                all_read = all_read and (closed or not connection.awaits_request)
        return all_read

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            await self._server.shutdown(CLOSE_TIMEOUT_S)

    def _new_protocol(self, received: bytes, admitted: bool) -> CallerConnection:
        assert self._server is not None
        deployment = self._directory.deployment
        limits = deployment.limits if deployment is not None else None
        header_bytes = limits.header_bytes if limits else INITIAL_MAX_HEADER_BYTES
        connection = CallerConnection(
            self._server,
            asyncio.get_running_loop(),
            self._count_refusal,
            self._turns,
            max_line_bytes=header_bytes,
            max_head_bytes=header_bytes if self._settings.limits_memory else math.inf,
            idle_timeout_s=limits.idle_timeout_s if limits else INITIAL_IDLE_TIMEOUT_S,
            discard_timeout_s=DISCARD_TIMEOUT_S
            if self._settings.limits_memory
            else LINGERING_TIMEOUT_S,
            on_made=self._connection_made,
            on_lost=self._connection_lost,
            received=received,
            admitted=admitted,
        )
        now = asyncio.get_running_loop().time()
        self._close_idle(now, self._connection_limit.open(now, connection))
        return connection

    def _close_idle(self, now: float, connections: list[CallerConnection]) -> None:
        for idle in connections:
            if idle.close_if_idle():
                self._metrics.count("connections_closed", "descriptors")
            elif idle.close_if_stalled(MIN_IDLE_S):
                self._rejections.record("descriptors", idle.peer, "", phase="head")
            else:
                self._connection_limit.keep(now, idle)

    def _record_poll(self, kept_up: bool) -> None:
        now = asyncio.get_running_loop().time()
        self._admission.record_poll(now, kept_up=kept_up)

    def _may_accept(self, opening: int) -> bool:
        """Close connections of no use if needed; return whether another one fits."""
        now = asyncio.get_running_loop().time()
        self._body_budget.detect_pause(now)
        for stalled in self._connection_limit.take_stalled(now):
            self._rejections.record("descriptors", stalled.peer, "", phase="receiving")
            stalled.abort()
        if not self._connection_limit.accepts(opening):
            self._close_idle(now, self._connection_limit.take_idle(now))
        return self._connection_limit.accepts(
            opening
        ) and self._body_budget.has_room_for_connection(now)

    def _connection_made(self, connection: CallerConnection) -> None:
        connection.peer_counted = self._peer_connections.take(connection.peer)
        if not connection.peer_counted:
            self._rejections.record("peer_connections", connection.peer, "")
            connection.abort()

    def _connection_lost(self, connection: CallerConnection) -> None:
        self._connection_limit.close(connection)
        if connection.peer_counted:
            self._peer_connections.release(connection.peer)

    def _count_refusal(self, refusal: RefusalError) -> None:
        self._metrics.count("refusals", refusal.code)

    async def _handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        received_at = asyncio.get_running_loop().time()
        self._running += 1
        self._metrics.count("requests")
        protocol = http_request.protocol
        assert isinstance(protocol, CallerConnection)
        protocol.request_in_progress = True
        self._connection_limit.begin_request(protocol)
        try:
            with self._body_budget.open(protocol) as allowance:
                return await self._respond(http_request, received_at, allowance)
        finally:
            protocol.request_in_progress = False
            protocol.body_accounted = False
            now = asyncio.get_running_loop().time()
            self._connection_limit.end_request(now, protocol)
            self._running -= 1

    async def _respond(
        self,
        http_request: web.BaseRequest,
        received_at: float,
        allowance: BodyAllowance,
    ) -> web.StreamResponse:
        organisation = self._key_organisation(http_request)
        allowance.organisation = organisation
        self._tally.record_requested(organisation)
        protocol = http_request.protocol
        assert isinstance(protocol, CallerConnection)
        admitted = protocol.take_admitted()
        if not admitted and not self._admission.admit(received_at, organisation):
            # Refused before any other work, which would cost as much as the refusal.
            self._tally.record_refused(organisation, admitted=False)
            response = self._refuse_overloaded()
            self._discard_rest(http_request, response)
            return response
        request = self._codec.decode_request(
            http_request.method, http_request.raw_path, http_request.headers
        )
        sink = ResponseSink(
            http_request,
            request.id,
            close_after=self._shutdown.begun or self._connection_limit.closing,
        )
        runner: ExchangeRunner | None = None
        try:
            exchange = await self._prepare_exchange(
                http_request, request, received_at, allowance
            )
            runner = ExchangeRunner(
                exchange,
                sink,
                self._codec,
                self._directory,
                self._placer,
                self._upstream,
                self._notices,
                self._streams,
                self._metrics,
                lambda: self._retry_budgets.take(exchange.service, organisation),
                allowance,
            )
            self._runners.add(runner)
            await runner.run()
        except RefusalError as refusal:
            self._tally.record_refused(organisation)
            self._log_request_end(request, received_at, refusal.code, runner, refusal)
            if sink.started:
                self._metrics.count("answers_cut", refusal.code)
                sink.abort()
                return sink.response
            response = self._refuse(request, refusal)
            self._discard_rest(http_request, response)
            return response
        except CallerFailedError as error:
            self._log_request_end(request, received_at, error.code, runner)
            self._metrics.count("callers_lost", error.code)
            sink.abort()
            if not sink.started:
                raise web.HTTPRequestTimeout from error
            return sink.response
        except asyncio.CancelledError:
            self._log_request_end(request, received_at, "caller_left", runner)
            self._metrics.count("callers_lost", "caller_left")
            raise
        finally:
            if runner is not None:
                self._runners.discard(runner)
        self._metrics.observe(
            "request",
            asyncio.get_running_loop().time() - received_at,
            runner.route,
        )
        self._log_request_end(request, received_at, "answered", runner)
        return sink.response

    async def _prepare_exchange(
        self,
        http_request: web.BaseRequest,
        request: CallerRequest,
        received_at: float,
        allowance: BodyAllowance,
    ) -> Exchange:
        await self._wait_until_current()
        deployment = self._directory.deployment
        if deployment is None:
            raise InstanceNotReadyError(
                "no configuration has been received yet",
                retry_after=NOT_READY_RETRY_AFTER_S,
            )
        route = self._directory.routes.find(request.host, request.path)
        if route is None:
            raise RouteUnknownError(f"no route for {request.host}{request.path}")
        timeout_s = route.timeout_s
        if request.remaining_s is not None:
            timeout_s = min(timeout_s, request.remaining_s)
        repeatable = route.retry_policy is not RetryPolicy.NEVER
        if not self._shutdown.accepts(received_at, timeout_s, repeatable=repeatable):
            raise InstanceLeavingError(
                "the instance is shutting down", retry_after=LEAVING_RETRY_AFTER_S
            )
        organisation = _organisation(deployment, route, request)
        body = await self._read_body(
            http_request,
            deployment.limits.body_bytes,
            organisation or NO_ORGANISATION,
            allowance,
            min(received_at + timeout_s, self._shutdown.response_deadline),
        )
        service = self._pick_service(route, request, organisation)
        self._retry_budgets.record_request(service, organisation or NO_ORGANISATION)
        return Exchange(
            request=request,
            host_header=http_request.headers.get("Host", ""),
            route=route,
            service=service,
            organisation=organisation,
            body=body,
            version=deployment.version,
            received_at=received_at,
            deadline=min(received_at + timeout_s, self._shutdown.response_deadline),
        )

    async def _read_body(
        self,
        http_request: web.BaseRequest,
        max_bytes: int,
        organisation: str,
        allowance: BodyAllowance,
        deadline: float,
    ) -> bytes | bytearray | None:
        """Return the body of a request, None if it has none; see `read_body`.

        Raises
        ------
        InstanceOverloadedError
            Also if too many bodies of the organisation are arriving.
        """
        if not http_request.can_read_body or is_small_and_received(http_request):
            return await read_body(http_request, max_bytes, allowance)
        connection = http_request.protocol
        assert isinstance(connection, CallerConnection)
        if not self._organisation_bodies.take(organisation):
            self._rejections.record(
                "organisation_bodies", connection.peer, organisation
            )
            raise InstanceOverloadedError(
                "too many bodies of the organisation are arriving at the same time",
                retry_after=MEMORY_RETRY_AFTER_S,
            )
        loop = asyncio.get_running_loop()
        limit = self._connection_limit
        limit.begin_body(loop.time(), connection)
        try:
            return await read_body(
                http_request,
                max_bytes,
                allowance,
                deadline,
                lambda: limit.record_progress(loop.time(), connection),
            )
        finally:
            limit.end_body(connection)
            self._organisation_bodies.release(organisation)

    def _key_organisation(self, http_request: web.BaseRequest) -> str:
        """Return the organisation of a request's API key, or NO_ORGANISATION."""
        deployment = self._directory.deployment
        if deployment is None or deployment.organisations is None:
            return NO_ORGANISATION
        api_key = self._codec.caller_api_key(http_request.headers)
        key_organisation = (
            deployment.organisations.get(api_key) if api_key is not None else None
        )
        return NO_ORGANISATION if key_organisation is None else key_organisation.name

    def _pick_service(
        self, route: Route, request: CallerRequest, organisation: str | None
    ) -> str:
        """Return a service of a route, for a resumed stream the one that began it."""
        if not route.targets:
            raise EndpointUnavailableError(
                f"route {route.name!r} leads to no service",
                retry_after=NOT_READY_RETRY_AFTER_S,
            )
        services = [target.service for target in route.targets]
        if request.resumed_attempt is not None and len(services) > 1:
            now = asyncio.get_running_loop().time()
            for service in services:
                stream = stream_id(organisation, service, request.resumed_attempt)
                if self._streams.origins.find(now, stream) is not None:
                    return service
        weights = [target.weight for target in route.targets]
        return self._rng.choices(services, weights if any(weights) else None)[0]

    def _refuse(self, request: CallerRequest, refusal: RefusalError) -> web.Response:
        self._count_refusal(refusal)
        response = problem_response(refusal, request.id)
        if refusal.retry_after is not None:
            # Callers accept fractions; a whole second exceeds most target latencies.
            response.headers["Retry-After"] = f"{refusal.retry_after:.3f}"
        self._close_unless_serving(response)
        return response

    def _close_unless_serving(self, response: web.Response) -> None:
        """Close the connection if the instance wants to have fewer of them."""
        if (
            self._shutdown.begun
            or self._admission.overloaded
            or self._connection_limit.closing
        ):
            response.force_close()

    def _discard_rest(
        self, http_request: web.BaseRequest, response: web.Response
    ) -> None:
        if self._settings.limits_memory:
            discard_rest(http_request, response)

    def _refuse_overloaded(self) -> web.Response:
        refusal = overload_refusal(self._admission)
        self._count_refusal(refusal)
        response = web.Response(
            status=refusal.status,
            text=refusal.detail,
            headers={"Retry-After": f"{OVERLOADED_RETRY_AFTER_S:.3f}"},
        )
        self._close_unless_serving(response)
        return response

    def _log_request_end(
        self,
        request: CallerRequest,
        received_at: float,
        outcome: str,
        runner: ExchangeRunner | None,
        refusal: RefusalError | None = None,
    ) -> None:
        duration_s = asyncio.get_running_loop().time() - received_at
        deployment = self._directory.deployment
        emit(
            Event.REQUEST_ENDED,
            request_id=request.id,
            path=request.path,
            outcome=outcome,
            organisation=runner.organisation if runner else None,
            taken_s=round(duration_s, 4),
            endpoint=runner.endpoint if runner else "",
            service=runner.service if runner else "",
            version=deployment.version if deployment else None,
            store_silent_s=self._store_outage_s(),
            attempts=runner.attempts if runner else 0,
            resumed_attempt=request.resumed_attempt,
            stream=runner.resumed_stream if runner else "",
            first_event_s=_rounded(runner.first_event_s if runner else None),
            longest_pause_s=_rounded(runner.longest_pause_s if runner else None),
            detail=refusal.detail if refusal else "",
            retry_after_s=refusal.retry_after if refusal else None,
        )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)


def _organisation(
    deployment: Deployment, route: Route, request: CallerRequest
) -> str | None:
    if deployment.organisations is None:
        return None
    key_organisation = (
        deployment.organisations.get(request.api_key)
        if request.api_key is not None
        else None
    )
    if key_organisation is not None:
        return key_organisation.name
    if route.public:
        return None
    raise KeyUnknownError("the API key is missing or unknown")
