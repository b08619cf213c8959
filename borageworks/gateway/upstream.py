"""HTTP connections from the gateway to endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import aiohttp
import yarl

from borageworks.endpoints.bounded import BoundedConnector
from borageworks.endpoints.failures import typed_failures
from borageworks.endpoints.single_attempt import SingleAttempt
from borageworks.endpoints.sockets import open_socket
from borageworks.exceptions import EndpointReplyIncompleteError
from borageworks.gateway.endpoint import Endpoint

# Lets one lost packet be sent again on a local network before another endpoint is
# tried; the first retransmission of TCP comes after a second.
CONNECT_TIMEOUT_S = 1.2
# Shorter than the idle timeout of common servers, so that a kept connection is rarely
# closed by the endpoint at the moment of its next use.
KEEPALIVE_S = 4.0
MAX_HEADER_BYTES = 16_384


class Upstream:
    """Connections to endpoints.

    Requests that must not be repeated get a fresh connection each: a failure to connect
    is then known to have happened before the request was sent, and no late answer to an
    earlier request can be on the connection.
    """

    def __init__(self) -> None:
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    def start(self) -> None:
        """Create the client sessions on the running loop."""
        self._kept = _session(
            BoundedConnector(
                limit=0, keepalive_timeout=KEEPALIVE_S, socket_factory=open_socket
            )
        )
        self._fresh = _session(
            BoundedConnector(limit=0, force_close=True, socket_factory=open_socket)
        )

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()

    @asynccontextmanager
    async def open(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes | None,
        *,
        fresh: bool,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request; failures inside the block become typed errors.

        Parameters
        ----------
        endpoint
            Receiver.
        method, target
            Request line; the target is sent as it is.
        headers
            Headers in order.
        body
            Whole body, or None.
        fresh
            Whether to use a new connection.

        Raises
        ------
        EndpointUnreachableError
            If no connection was made, so that the request was certainly not sent.
        EndpointFailedError
            Any other failure; the request may have run.
        """
        session = self._fresh if fresh else self._kept
        assert session is not None
        url = yarl.URL(f"http://{endpoint.host}:{endpoint.port}{target}", encoded=True)
        with typed_failures(endpoint.id):
            async with session.request(
                method,
                url,
                data=body,
                headers=list(headers),
                allow_redirects=False,
                middlewares=(SingleAttempt(),),
            ) as response:
                try:
                    yield response
                except BaseException:
                    # A connection in the middle of an answer is of no further use, and
                    # closing it tells the endpoint to stop.
                    response.close()
                    raise


async def read_body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body as it arrives.

    Raises
    ------
    EndpointReplyIncompleteError
        If the body has no length and its connection was reset: the HTTP library takes
        any end of such a connection for the end of the body.
    """
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    while data := await response.content.readany():
        yield data
    failure = protocol.exception() if protocol is not None else None
    if isinstance(failure, OSError) and not _has_length(response):
        raise EndpointReplyIncompleteError(f"the connection was reset: {failure!r}")


def _has_length(response: aiohttp.ClientResponse) -> bool:
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
    )
