"""HTTP interface of the gateway for callers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from aiohttp import web

from borageworks.api.problem import problem_response
from borageworks.api.protocol import CallerProtocol
from borageworks.api.sink import ResponseSink
from borageworks.events import Event, emit
from borageworks.exceptions import (
    BodyMalformedError,
    BodyTooLargeError,
    CallerFailedError,
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
from borageworks.gateway.deployment import Deployment
from borageworks.gateway.directory import Directory
from borageworks.gateway.exchange import Exchange, ExchangeRunner
from borageworks.gateway.organisation_tally import NO_ORGANISATION, OrganisationTally
from borageworks.gateway.placer import Placer
from borageworks.gateway.retries import Retries
from borageworks.gateway.route import Route
from borageworks.gateway.settings import GatewaySettings
from borageworks.gateway.shutdown import Shutdown
from borageworks.gateway.upstream import Upstream
from borageworks.metrics import Metrics

# Used until the operator's configuration states the bounds.
FIRST_HEADER_BYTES = 65_536
FIRST_IDLE_TIMEOUT_S = 15.0
NOT_READY_RETRY_S = 0.5
# The caller's next connection reaches another instance.
LEAVING_RETRY_S = 0.02
OVERLOADED_RETRY_S = 0.02
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Frontend:
    """HTTP interface of the gateway for callers.

    Parameters
    ----------
    settings
        Settings of the process.
    codec, directory, placer, upstream, retries, metrics
        Parts of the gateway.
    shutdown
        Decides what is still accepted while the process stops.
    store_silence
        Returns for how many seconds the store has not answered, 0 if it does.
    admission
        Decides which requests this process takes.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        codec: Codec,
        directory: Directory,
        placer: Placer,
        upstream: Upstream,
        retries: Retries,
        metrics: Metrics,
        shutdown: Shutdown,
        store_silence: Callable[[], float],
        admission: Admission,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._directory = directory
        self._placer = placer
        self._upstream = upstream
        self._retries = retries
        self._metrics = metrics
        self._shutdown = shutdown
        self._store_silence = store_silence
        self._admission = admission
        self._rng = random.Random()
        self._server: web.Server | None = None
        self._acceptor: Acceptor | None = None
        self._running = 0
        self._tally = OrganisationTally("callers", "requests")

    @property
    def running(self) -> int:
        """Number of requests that are not answered yet."""
        return self._running

    async def start(self) -> None:
        """Listen for callers."""
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._acceptor = Acceptor(self._settings.callers, self._connect, self._metrics)
        self._acceptor.start()

    def report(self) -> None:
        """Log what organisations were refused since the last time."""
        self._tally.report(level=round(self._admission.level, 2), running=self._running)

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._acceptor is not None:
            self._acceptor.stop()
            self._acceptor = None

    def close_idle(self) -> None:
        """Close connections on which no request is running or being received."""
        if self._server is None:
            return
        for connection in self._server.connections:
            if isinstance(connection, CallerProtocol):
                connection.close_if_idle()

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            await self._server.shutdown()

    def _connect(self) -> CallerProtocol:
        assert self._server is not None
        deployment = self._directory.deployment
        limits = deployment.limits if deployment is not None else None
        return CallerProtocol(
            self._server,
            asyncio.get_running_loop(),
            self._count_refusal,
            line_bytes=limits.header_bytes if limits else FIRST_HEADER_BYTES,
            idle_timeout_s=limits.idle_timeout_s if limits else FIRST_IDLE_TIMEOUT_S,
        )

    def _count_refusal(self, refusal: RefusalError) -> None:
        self._metrics.count("refusals", refusal.code)

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        received_at = asyncio.get_running_loop().time()
        self._running += 1
        self._metrics.count("requests")
        protocol = http.protocol
        assert isinstance(protocol, CallerProtocol)
        protocol.answering = True
        try:
            return await self._answer(http, received_at)
        finally:
            protocol.answering = False
            self._running -= 1

    async def _answer(
        self, http: web.BaseRequest, received_at: float
    ) -> web.StreamResponse:
        organisation = self._holder(http)
        self._tally.ask(organisation)
        if not self._admission.admit(received_at, organisation):
            # Before anything else is done for the request, since that costs as much.
            self._tally.refuse(organisation)
            return self._shed()
        call = self._codec.request(http.method, http.raw_path, http.headers)
        sink = ResponseSink(http, call.id, last=self._shutdown.begun)
        runner: ExchangeRunner | None = None
        try:
            exchange = await self._accept(http, call, received_at)
            runner = ExchangeRunner(
                exchange,
                sink,
                self._codec,
                self._directory,
                self._placer,
                self._upstream,
                self._metrics,
                lambda: self._retries.take(exchange.service, organisation),
            )
            await runner.run()
        except RefusalError as refusal:
            self._tally.refuse(organisation)
            self._log_end(call, received_at, refusal.code, runner, refusal)
            if sink.started:
                self._metrics.count("answers_cut", refusal.code)
                sink.abort()
                return sink.response
            return self._refuse(call, refusal)
        except CallerFailedError as error:
            self._log_end(call, received_at, error.code, runner)
            self._metrics.count("callers_lost", error.code)
            sink.abort()
            if not sink.started:
                raise web.HTTPRequestTimeout from error
            return sink.response
        except asyncio.CancelledError:
            self._log_end(call, received_at, "caller_left", runner)
            self._metrics.count("callers_lost", "caller_left")
            raise
        self._metrics.observe(
            "request",
            asyncio.get_running_loop().time() - received_at,
            runner.route,
        )
        self._log_end(call, received_at, "answered", runner)
        return sink.response

    async def _accept(
        self, http: web.BaseRequest, call: CallerRequest, received_at: float
    ) -> Exchange:
        deployment = self._directory.deployment
        if deployment is None:
            raise InstanceNotReadyError(
                "no configuration is known yet", retry_after=NOT_READY_RETRY_S
            )
        route = self._directory.routes.find(call.host, call.path)
        if route is None:
            raise RouteUnknownError(f"no route for {call.host}{call.path}")
        if not self._shutdown.accepts(received_at, route.timeout_s):
            raise InstanceLeavingError(
                "the instance is shutting down", retry_after=LEAVING_RETRY_S
            )
        organisation = _organisation(deployment, route, call)
        body = await _read_body(http, deployment.limits.body_bytes)
        patience = route.timeout_s
        if call.patience_s is not None:
            patience = min(patience, call.patience_s)
        service = self._pick_service(route)
        self._retries.record_request(service, organisation or NO_ORGANISATION)
        return Exchange(
            request=call,
            host_header=http.headers.get("Host", ""),
            route=route,
            service=service,
            organisation=organisation,
            body=body,
            version=deployment.version,
            received_at=received_at,
            deadline=received_at + patience,
        )

    def _holder(self, http: web.BaseRequest) -> str:
        """Return the organisation whose key a request bears."""
        deployment = self._directory.deployment
        if deployment is None or deployment.organisations is None:
            return NO_ORGANISATION
        key = self._codec.caller_key(http.headers)
        holder = deployment.organisations.get(key) if key is not None else None
        return NO_ORGANISATION if holder is None else holder.name

    def _pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        return self._rng.choices(
            [target.service for target in route.targets],
            [target.weight for target in route.targets],
        )[0]

    def _refuse(self, call: CallerRequest, refusal: RefusalError) -> web.Response:
        self._count_refusal(refusal)
        response = problem_response(refusal, call.id)
        if refusal.retry_after is not None:
            # Callers here take fractions; a whole second is longer than most aims.
            response.headers["Retry-After"] = f"{refusal.retry_after:.3f}"
        self._close_if_others_serve(response)
        return response

    def _close_if_others_serve(self, response: web.Response) -> None:
        """End the connection of a refused caller whose next one leads elsewhere."""
        if self._shutdown.begun or self._admission.crowded:
            response.force_close()

    def _shed(self) -> web.Response:
        refusal = InstanceOverloadedError(
            f"the instance takes {self._admission.level:.1f} requests a second "
            "of an organisation",
            retry_after=OVERLOADED_RETRY_S,
        )
        self._count_refusal(refusal)
        response = web.Response(
            status=refusal.status,
            text=refusal.detail,
            headers={"Retry-After": f"{OVERLOADED_RETRY_S:.3f}"},
        )
        self._close_if_others_serve(response)
        return response

    def _log_end(
        self,
        call: CallerRequest,
        received_at: float,
        outcome: str,
        runner: ExchangeRunner | None,
        refusal: RefusalError | None = None,
    ) -> None:
        taken = asyncio.get_running_loop().time() - received_at
        deployment = self._directory.deployment
        emit(
            Event.REQUEST_ENDED,
            request_id=call.id,
            path=call.path,
            outcome=outcome,
            organisation=runner.organisation if runner else None,
            taken_s=round(taken, 4),
            endpoint=runner.endpoint if runner else "",
            service=runner.service if runner else "",
            version=deployment.version if deployment else None,
            store_silent_s=self._store_silence(),
            attempts=runner.attempts if runner else 0,
            first_event_s=_rounded(runner.first_part_s if runner else None),
            detail=refusal.detail if refusal else "",
            retry_after_s=refusal.retry_after if refusal else None,
        )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)


def _organisation(
    deployment: Deployment, route: Route, call: CallerRequest
) -> str | None:
    if deployment.organisations is None:
        return None
    holder = deployment.organisations.get(call.key) if call.key is not None else None
    if holder is not None:
        return holder.name
    if route.public:
        return None
    raise KeyUnknownError("the API key is missing or unknown")


async def _read_body(http: web.BaseRequest, limit: int) -> bytes | None:
    if not http.can_read_body:
        return None
    if http.headers.get("Expect", "").lower() == "100-continue":
        transport = http.transport
        if transport is not None:
            transport.write(CONTINUE)
    if (http.content_length or 0) > limit:
        raise BodyTooLargeError(f"the body is over {limit} bytes")
    body = bytearray()
    try:
        while data := await http.content.readany():
            body += data
            if len(body) > limit:
                raise BodyTooLargeError(f"the body is over {limit} bytes")
    except web.RequestPayloadError as error:
        raise BodyMalformedError(f"the body is incomplete: {error}") from error
    return bytes(body)
