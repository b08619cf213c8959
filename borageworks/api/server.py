"""HTTP server for callers, the load balancer and the metrics scraper."""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from aiohttp import web

from borageworks.api.authentication import authenticate
from borageworks.api.backend import Backend
from borageworks.api.completion import parse_completion
from borageworks.api.connection import (
    DISCARD_TIMEOUT_S,
    LINGERING_TIMEOUT_S,
    CallerConnection,
)
from borageworks.api.problem import problem_event, problem_response
from borageworks.api.request_body import discard_rest, read_body
from borageworks.api.sink import ResponseSink
from borageworks.catalog.objects import Organisation, PoolKind, Service
from borageworks.catalog.replica import Replica
from borageworks.config.settings import Settings
from borageworks.endpoints.call import Call
from borageworks.endpoints.headers import end_to_end
from borageworks.events import Event, emit
from borageworks.exceptions import (
    BodyTooLargeError,
    CallerFailedError,
    InstanceNotReadyError,
    MethodForbiddenError,
    RefusalError,
    RequestMalformedError,
    RouteUnknownError,
    ServiceForbiddenError,
    ServiceUnknownError,
)
from borageworks.metrics import Metrics
from borageworks.receiving.body_budget import BodyAllowance, BodyBudget
from borageworks.receiving.rejections import Rejections
from borageworks.receiving.turns import ReceiveTurns
from borageworks.timers import Timers

COMPLETIONS_PATH = "/v1/chat/completions"
LISTEN_BACKLOG = 1024
MAX_BODY_BYTES = 64 * 1_048_576
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
REQUEST_ID = web.RequestKey("request_id", str)
ALLOWANCE = web.RequestKey("allowance", BodyAllowance)


class Server:
    """HTTP server of one instance.

    Parameters
    ----------
    settings
        Address and name of the instance.
    replica
        Configuration in effect.
    backend
        Runs the calls and reports the state of the instance.
    metrics
        Counters of requests and refusals.
    """

    def __init__(
        self, settings: Settings, replica: Replica, backend: Backend, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._backend = backend
        self._metrics = metrics
        self._turns = ReceiveTurns(metrics)
        self._memory_bytes = settings.limits.memory_bytes
        self._body_budget: BodyBudget | None = None
        # A restarted instance must not reuse request IDs that endpoints still remember.
        self._request_id_prefix = f"{settings.instance}-{secrets.token_hex(4)}"
        self._request_numbers = itertools.count(1)
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._address = settings.listen.host_port

    @property
    def address(self) -> tuple[str, int]:
        """Address that the server listens on."""
        return self._address

    async def start(self) -> None:
        """Start to accept connections."""
        app = web.Application(
            middlewares=[self._handle_errors], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_post(COMPLETIONS_PATH, self._completions)
        app.router.add_get("/v1/models", self._models)
        app.router.add_get("/v1/models/{model}", self._model)
        app.router.add_route("*", "/services/{service}", self._plain_service)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._plain_service)
        app.router.add_get("/readyz", self._readiness)
        app.router.add_get("/livez", self._liveness)
        app.router.add_get("/metrics", self._metrics_page)
        app.router.add_get("/status", self._status)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        self._body_budget = BodyBudget(
            self._memory_bytes,
            None,
            self._turns.review_paused,
            Rejections(self._metrics),
            self._metrics,
            connections=self._count_connections,
        )
        self._body_budget.start(Timers())
        host, port = self._settings.listen.host_port
        self._listener = await asyncio.get_running_loop().create_server(
            self._connect, host, port, backlog=LISTEN_BACKLOG
        )
        self._address = self._listener.sockets[0].getsockname()[:2]

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections continue."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def stop(self) -> None:
        """Close all connections."""
        if self._body_budget is not None:
            self._body_budget.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def _connect(self) -> CallerConnection:
        assert self._runner is not None
        assert self._runner.server is not None
        return CallerConnection(
            self._runner.server,
            asyncio.get_running_loop(),
            self._count_refusal,
            self._turns,
            discard_timeout_s=DISCARD_TIMEOUT_S
            if math.isfinite(self._memory_bytes)
            else LINGERING_TIMEOUT_S,
        )

    def _count_connections(self) -> int:
        assert self._runner is not None and self._runner.server is not None
        return len(self._runner.server.connections)

    def _count_refusal(self, refusal: RefusalError) -> None:
        self._metrics.count("refusals", refusal.code)

    @web.middleware
    async def _handle_errors(self, request: web.Request, handler: Handler) -> Any:
        request_id = f"{self._request_id_prefix}-{next(self._request_numbers)}"
        request[REQUEST_ID] = request_id
        self._metrics.count("requests")
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        assert self._body_budget is not None
        try:
            with self._body_budget.open(connection) as allowance:
                request[ALLOWANCE] = allowance
                return await handler(request)
        except RefusalError as refusal:
            response = self._refusal_response(refusal, request_id)
        except web.HTTPException as error:
            refused = _refusal_from(error, request)
            response = self._refusal_response(refused, request_id)
        if math.isfinite(self._memory_bytes):
            discard_rest(request, response)
        return response

    def _refusal_response(self, refusal: RefusalError, request_id: str) -> web.Response:
        self._count_refusal(refusal)
        emit(
            Event.REQUEST_REFUSED,
            request_id=request_id,
            code=refusal.code,
            ran=refusal.ran.value,
            detail=refusal.detail,
        )
        return problem_response(refusal, request_id)

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        organisation = self._authenticate(request)
        completion, body = parse_completion(await _read_body(request, MAX_BODY_BYTES))
        service = self._find_service(completion.model, organisation, PoolKind.ENGINE)
        _check_body_size(body, service)
        call = Call(
            request_id=request[REQUEST_ID],
            organisation=organisation.id,
            service=service,
            method="POST",
            path=COMPLETIONS_PATH,
            headers=(("Content-Type", "application/json"),),
            body=body,
            stream=completion.stream,
            wants_usage=completion.wants_usage,
            idempotency_key=request.headers.get("Idempotency-Key"),
        )
        return await self._run_call(request, call)

    async def _plain_service(self, request: web.Request) -> web.StreamResponse:
        organisation = self._authenticate(request)
        service = self._find_service(
            request.match_info["service"], organisation, PoolKind.PLAIN
        )
        body = await _read_body(request, service.max_body_bytes)
        path = "/" + request.raw_path.removeprefix(f"/services/{service.id}").lstrip(
            "/"
        )
        call = Call(
            request_id=request[REQUEST_ID],
            organisation=organisation.id,
            service=service,
            method=request.method,
            path=path,
            headers=end_to_end(request.headers.items()),
            body=body,
            idempotency_key=request.headers.get("Idempotency-Key"),
        )
        return await self._run_call(request, call)

    async def _run_call(self, request: web.Request, call: Call) -> web.StreamResponse:
        sink = ResponseSink(request, call.request_id)
        try:
            await self._backend.run(call, sink)
        except RefusalError as refusal:
            if not sink.started:
                raise
            await self._abort_response(sink, call, refusal)
        except CallerFailedError as error:
            self._metrics.count("callers_lost", error.code)
            sink.abort()
            if not sink.started:
                raise web.HTTPRequestTimeout from error
        return sink.response

    async def _abort_response(
        self, sink: ResponseSink, call: Call, refusal: RefusalError
    ) -> None:
        self._metrics.count("answers_cut", refusal.code)
        emit(
            Event.ANSWER_CUT,
            request_id=call.request_id,
            code=refusal.code,
            detail=refusal.detail,
        )
        if call.stream:
            try:
                await sink.write(problem_event(refusal, call.request_id))
            except CallerFailedError as error:
                self._metrics.count("callers_lost", error.code)
        sink.abort()

    def _authenticate(self, request: web.Request) -> Organisation:
        if not self._replica.organisations:
            # Without a configuration every key would be refused as unknown.
            reasons = self._backend.readiness_blockers() or [
                "no organisation is configured"
            ]
            raise InstanceNotReadyError("; ".join(reasons), retry_after=1.0)
        return authenticate(request, self._replica)

    def _find_service(
        self, service_id: str, organisation: Organisation, kind: PoolKind
    ) -> Service:
        reasons = self._backend.readiness_blockers()
        service = self._replica.services.get(service_id)
        if service is None and reasons:
            raise InstanceNotReadyError("; ".join(reasons), retry_after=1.0)
        pool = self._replica.pools.get(service.pool) if service is not None else None
        if service is None or pool is None or pool.endpoints != kind:
            raise ServiceUnknownError(f"unknown model or service {service_id!r}")
        if not _may_use(organisation, service):
            raise ServiceForbiddenError(
                f"organisation {organisation.id!r} may not use service {service_id!r}"
            )
        return service

    def _model_object(self, service: Service) -> dict[str, Any]:
        return {
            "id": service.id,
            "object": "model",
            "created": 0,
            "owned_by": service.pool,
        }

    async def _models(self, request: web.Request) -> web.StreamResponse:
        organisation = self._authenticate(request)
        data = [
            self._model_object(service)
            for service in self._replica.services.values()
            if _may_use(organisation, service) and self._is_model(service)
        ]
        return _json_response({"object": "list", "data": data})

    async def _model(self, request: web.Request) -> web.StreamResponse:
        organisation = self._authenticate(request)
        service = self._find_service(
            request.match_info["model"], organisation, PoolKind.ENGINE
        )
        return _json_response(self._model_object(service))

    def _is_model(self, service: Service) -> bool:
        pool = self._replica.pools.get(service.pool)
        return pool is not None and pool.endpoints == PoolKind.ENGINE

    async def _readiness(self, request: web.Request) -> web.StreamResponse:
        reasons = self._backend.readiness_blockers()
        return _json_response(
            {"ready": not reasons, "lacking": reasons}, status=503 if reasons else 200
        )

    async def _liveness(self, request: web.Request) -> web.StreamResponse:
        return _json_response({"live": True})

    async def _metrics_page(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text=self._metrics.render())

    async def _status(self, request: web.Request) -> web.StreamResponse:
        return _json_response(self._backend.status())


def _json_response(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=orjson.dumps(body), content_type="application/json"
    )


def _may_use(organisation: Organisation, service: Service) -> bool:
    return service.organisations is None or organisation.id in service.organisations


def _check_body_size(body: bytes, service: Service) -> None:
    if len(body) > service.max_body_bytes:
        raise BodyTooLargeError(
            f"request body of {len(body)} bytes exceeds the limit of {service.id!r}: "
            f"{service.max_body_bytes}"
        )


async def _read_body(request: web.Request, max_bytes: int) -> bytes:
    return bytes(await read_body(request, max_bytes, request[ALLOWANCE]) or b"")


def _refusal_from(error: web.HTTPException, request: web.Request) -> RefusalError:
    match error.status:
        case 404:
            return RouteUnknownError(f"unknown path {request.path!r}")
        case 405:
            return MethodForbiddenError(
                f"{request.path!r} does not accept {request.method}"
            )
        case _:
            return RequestMalformedError(error.reason)
