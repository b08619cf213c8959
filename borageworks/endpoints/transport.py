"""HTTP client shared by the endpoint clients."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from borageworks.catalog.objects import Endpoint
from borageworks.endpoints.body_payload import body_payload
from borageworks.endpoints.bounded_connector import BoundedConnector
from borageworks.endpoints.call import Call
from borageworks.endpoints.http_errors import convert_http_errors
from borageworks.endpoints.progress import Progress
from borageworks.endpoints.response_status import FINAL_STATUSES
from borageworks.endpoints.single_attempt import SingleAttempt
from borageworks.exceptions import (
    EndpointRefusedError,
    EndpointReplyCrossedError,
    EndpointReplyMalformedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
)
from borageworks.metrics import Metrics
from borageworks.receiving.turns import ReceiveTurns

CONNECT_TIMEOUT_S = 2.0
# Shorter than the idle timeout of common servers, so that an endpoint rarely closes an
# idle connection just as it is reused.
KEEPALIVE_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 16_384
REQUEST_ID_HEADER = "X-Request-Id"


class Transport:
    """Opens connections to endpoints and sends requests over them.

    Each non-idempotent request uses a new connection, so that a connection failure is
    known to have occurred before the request was sent.

    Parameters
    ----------
    metrics
        Counters of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._turns = ReceiveTurns(metrics)
        self._pooled_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the client sessions on the running event loop."""
        self._pooled_session = self._new_session(
            BoundedConnector(
                self._turns, limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S
            )
        )
        self._single_use_session = self._new_session(
            BoundedConnector(self._turns, limit=0, force_close=True)
        )

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled_session, self._single_use_session):
            if session is not None:
                await session.close()

    async def get_json(
        self, endpoint: Endpoint, path: str, timeout_s: float
    ) -> dict[str, object]:
        """Return the JSON object at `path`.

        Raises
        ------
        EndpointFailedError
            If the endpoint does not return a JSON object within the timeout.
        """
        assert self._pooled_session is not None
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._pooled_session.get(
                _url(endpoint, path), timeout=timeout
            ) as response:
                if response.status != 200:
                    raise EndpointReplyMalformedError(
                        f"{path} of endpoint {endpoint.id!r}: status {response.status}"
                    )
                body = await response.json(content_type=None)
        except TimeoutError as error:
            raise EndpointTimeoutError(f"{path} of endpoint {endpoint.id!r}") from error
        except aiohttp.ClientError as error:
            raise EndpointUnreachableError(
                f"{path} of endpoint {endpoint.id!r}: {error}"
            ) from error
        except ValueError as error:
            raise EndpointReplyMalformedError(
                f"{path} of endpoint {endpoint.id!r}: {error}"
            ) from error
        if not isinstance(body, dict):
            raise EndpointReplyMalformedError(
                f"{path} of endpoint {endpoint.id!r}: not a JSON object"
            )
        return body

    @asynccontextmanager
    async def open(
        self,
        endpoint: Endpoint,
        call: Call,
        progress: Progress,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send the call and convert HTTP library errors raised in the block.

        Raises
        ------
        EndpointUnreachableError
            If no connection was established, so that the request was not sent.
        EndpointFailedError
            On any other failure; the endpoint may have run the request.
        """
        session = (
            self._pooled_session
            if call.service.idempotent
            else self._single_use_session
        )
        assert session is not None
        headers = [
            *call.headers,
            *extra_headers,
            (REQUEST_ID_HEADER, call.request_id),
            ("X-Organisation", call.organisation),
        ]
        timeout = aiohttp.ClientTimeout(
            total=call.service.run_timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        sent_before = progress.sent
        progress.sent = True
        progress.last_received_at = time.monotonic()
        try:
            with convert_http_errors(endpoint.id):
                async with session.request(
                    call.method,
                    _url(endpoint, call.path),
                    data=body_payload(call.body),
                    headers=headers,
                    timeout=timeout,
                    allow_redirects=False,
                    middlewares=(SingleAttempt(),),
                ) as response:
                    _check_status(endpoint, response)
                    _check_request_id(endpoint, call, response)
                    yield response
        except (EndpointRefusedError, EndpointUnreachableError):
            progress.sent = sent_before
            raise

    def _new_session(self, connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )


def _url(endpoint: Endpoint, path: str) -> str:
    host = str(endpoint.host)
    if ":" in host:
        host = f"[{host}]"
    return f"http://{host}:{endpoint.port}{path}"


def _check_status(endpoint: Endpoint, response: aiohttp.ClientResponse) -> None:
    if response.status not in FINAL_STATUSES:
        response.close()
        raise EndpointReplyMalformedError(
            f"endpoint {endpoint.id!r} responded with invalid status {response.status}"
        )


def _check_request_id(
    endpoint: Endpoint, call: Call, response: aiohttp.ClientResponse
) -> None:
    echoed_id = response.headers.get(REQUEST_ID_HEADER)
    if echoed_id is not None and echoed_id != call.request_id:
        response.close()
        raise EndpointReplyCrossedError(
            f"endpoint {endpoint.id!r} sent the response to request {echoed_id!r} "
            f"instead of {call.request_id!r}"
        )
