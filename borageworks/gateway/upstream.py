"""HTTP connections from the gateway to endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

import aiohttp
import yarl

from borageworks.endpoints.body_payload import body_payload
from borageworks.endpoints.bounded_connector import BoundedConnector
from borageworks.endpoints.http_errors import convert_http_errors
from borageworks.endpoints.single_attempt import (
    CheckedRequest,
    SingleAttempt,
    always,
)
from borageworks.endpoints.sockets import open_bounded_socket, open_socket
from borageworks.gateway.endpoint import Endpoint
from borageworks.receiving.loop_watch import LoopWatch
from borageworks.receiving.turns import MAX_PIECE_BYTES, ReceiveTurns

# Allows for one packet lost on a local network, which TCP retransmits after one second,
# before another endpoint is tried.
CONNECT_TIMEOUT_S = 1.2
# Shorter than the idle timeout of common servers, so that an endpoint rarely closes a
# pooled connection at the moment when it is reused.
KEEPALIVE_TIMEOUT_S = 4.0
MAX_HEADER_BYTES = 16_384
# The library keeps twice as much of a body before it stops reading from the connection.
READ_BUFFER_BYTES = 16_384


class Upstream:
    """HTTP client for endpoints.

    Requests that must not be retried use a new connection each: a failure to connect
    then proves that the request was not sent, and the connection cannot carry a late
    response to an earlier request.

    Parameters
    ----------
    turns
        Gives connections turns to process what they have received.
    limits_memory
        Whether to limit what the system keeps for endpoints that do not read.
    """

    def __init__(self, turns: ReceiveTurns, *, limits_memory: bool = False) -> None:
        self._turns = turns
        self._open_socket = open_bounded_socket if limits_memory else open_socket
        self._pooled: aiohttp.ClientSession | None = None
        self._unpooled: aiohttp.ClientSession | None = None

    @property
    def watch(self) -> LoopWatch:
        """Names what has held the event loop."""
        return self._turns.watch

    def start(self) -> None:
        """Create the client sessions on the running event loop."""
        self._pooled = _new_session(
            BoundedConnector(
                self._turns,
                limit=0,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=self._open_socket,
            )
        )
        self._unpooled = _new_session(
            BoundedConnector(
                self._turns, limit=0, force_close=True, socket_factory=self._open_socket
            )
        )

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._unpooled):
            if session is not None:
                await session.close()

    @asynccontextmanager
    async def open(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes | bytearray | None,
        *,
        fresh: bool,
        is_wanted: Callable[[], bool] = always,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request; failures inside the block are raised as typed errors.

        Parameters
        ----------
        endpoint
            Endpoint to send the request to.
        method, target
            Method and target of the request line; the target is sent unchanged.
        headers
            Headers in the order in which they are sent.
        body
            Complete body, or None.
        fresh
            Whether to use a new connection.
        is_wanted
            Returns whether the request is still to be sent when a connection is open.

        Raises
        ------
        EndpointDeclinedError
            If the request was not wanted any more, so that it was not sent.
        EndpointUnreachableError
            If no connection was established, so that the request was not sent.
        EndpointFailedError
            On any other failure; the request may have been executed.
        """
        session = self._unpooled if fresh else self._pooled
        assert session is not None
        url = yarl.URL(f"http://{endpoint.host}:{endpoint.port}{target}", encoded=True)
        with convert_http_errors(endpoint.id):
            async with session.request(
                method,
                url,
                data=body_payload(body),
                headers=list(headers),
                allow_redirects=False,
                middlewares=(SingleAttempt(is_wanted),),
            ) as response:
                try:
                    yield response
                except BaseException:
                    # A connection with an unread response cannot be reused, and closing
                    # it signals the endpoint to stop.
                    response.close()
                    raise


async def read_body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body as it arrives."""
    while data := await response.content.readany():
        yield data


async def read_in_pieces(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body like `read_body`, for a receiver that works on each byte.

    The event loop goes on between the pieces of what arrived at once.
    """
    async for data in read_body(response):
        yield data[:MAX_PIECE_BYTES]
        for start in range(MAX_PIECE_BYTES, len(data), MAX_PIECE_BYTES):
            await asyncio.sleep(0)
            yield data[start : start + MAX_PIECE_BYTES]


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        request_class=CheckedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
    )
