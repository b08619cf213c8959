"""Stand-in of one endpoint of the platform, with faults to switch on."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import orjson
from aiohttp import web
from multidict import CIMultiDictProxy

SEAL = "X-Borageworks-Response-Seal"
REQUEST_ID = "X-Borageworks-Attempt-Id"
RESET_PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How an endpoint treats one request.

    Parameters
    ----------
    status
        Status of its answer.
    not_run
        Whether it refuses without running the request.
    hang
        Whether it never answers.
    break_after
        Number of events after which it resets the connection, None for never; 0 resets
        before the head of the answer.
    torn
        Whether it breaks off in the middle of an event.
    echo
        Request id that it states, None for the right one.
    seal
        Whether it vouches for its answer.
    unframed
        Whether the answer has no length and is ended by a reset.
    events
        Number of events of a stream.
    pause_s
        Seconds between events.
    plain
        Whether it answers with a plain body.
    named
        Whether body and events carry the request's id.
    think_s
        Seconds before its answer, or its first event.
    """

    status: int = 200
    not_run: bool = False
    hang: bool = False
    break_after: int | None = None
    torn: bool = False
    echo: str | None = None
    seal: bool = True
    unframed: bool = False
    events: int = 5
    pause_s: float = 0.0
    plain: bool = False
    named: bool = False
    think_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an endpoint began to run, at a time of the loop."""

    id: str
    method: str
    target: str
    headers: CIMultiDictProxy[str]
    body: bytes
    at: float


class EmulatedEndpoint:
    """One endpoint on a loopback port.

    Parameters
    ----------
    name
        Identity, which requests name.
    behave
        Returns how a request is treated.

    Attributes
    ----------
    began, finished
        Called when a request begins to run, and when the endpoint has stopped to work
        on it.
    """

    def __init__(
        self, name: str, behave: Callable[[web.BaseRequest], Behaviour] | None = None
    ) -> None:
        self.name = name
        self.began: Callable[[Run], None] = lambda _run: None
        self.finished: Callable[[Run], None] = lambda _run: None
        self.behave = behave or (lambda _request: Behaviour())
        self.runs: list[Run] = []
        self.refused = 0
        self.cancelled: list[str] = []
        self.address = ("127.0.0.1", 0)
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the one that it had."""
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._listener = await asyncio.get_running_loop().create_server(
            self._server, *self.address
        )
        self.address = self._listener.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            for protocol in self._server.connections:
                if protocol.transport is not None:
                    protocol.transport.abort()
            await self._server.shutdown(0.1)

    def entry(self, service: str, *, state: str = "ready", slots: int = 8) -> bytes:
        """Return the entry with which it registers itself."""
        return endpoint_entry(self.address, service, state, slots)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/kv-list":
            return web.json_response({"epoch": "1", "next": 1, "held": []})
        if request.path == "/kv-events":
            await asyncio.sleep(float(request.headers.get("Wait-Ms", "0")) / 1000)
            return web.json_response(
                {"epoch": "1", "next": 1, "lost": False, "events": []}
            )
        identity = request.headers.get(REQUEST_ID, "")
        if request.headers.get("X-Borageworks-Expect-Instance") != self.name:
            self.refused += 1
            return web.Response(status=421)
        body = await request.read()
        behaviour = self.behave(request)
        headers = {REQUEST_ID: behaviour.echo or identity}
        if behaviour.seal:
            headers[SEAL] = f"seal-of-{self.name}"
        if behaviour.not_run:
            self.refused += 1
            headers["X-Borageworks-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        run = Run(
            identity,
            request.method,
            request.raw_path,
            request.headers,
            body,
            asyncio.get_running_loop().time(),
        )
        self.runs.append(run)
        self.began(run)
        try:
            return await self._run(request, behaviour, headers)
        except asyncio.CancelledError:
            self.cancelled.append(identity)
            raise
        except ConnectionResetError:
            # The caller left between two writes.
            self.cancelled.append(identity)
            raise asyncio.CancelledError from None
        finally:
            self.finished(run)

    async def _run(
        self, request: web.BaseRequest, behaviour: Behaviour, headers: dict[str, str]
    ) -> web.StreamResponse:
        assert request.transport is not None
        if behaviour.hang:
            await asyncio.sleep(3600)
        if behaviour.break_after == 0:
            _reset(request)
        await asyncio.sleep(behaviour.think_s)
        identity = request.headers.get(REQUEST_ID, "") if behaviour.named else ""
        if behaviour.status != 200 or behaviour.plain:
            text = plain_text(self.name, identity)
            return web.Response(status=behaviour.status, headers=headers, text=text)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        if behaviour.unframed:
            # An answer that ends with its connection carries neither header.
            request.transport.write(
                b"HTTP/1.1 200 OK\r\n"
                + b"".join(f"{k}: {v}\r\n".encode() for k, v in headers.items())
                + b"\r\nid: 0\ndata: 0\n\n"
            )
            await asyncio.sleep(0.05)
            _reset(request)
            return response
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for sent, event in enumerate(range(first, behaviour.events)):
            if sent == behaviour.break_after:
                if behaviour.torn:
                    await response.write(f"id: {event}\nda".encode())
                # A reset would otherwise overtake what was sent before it.
                await asyncio.sleep(RESET_PAUSE_S)
                _reset(request)
                return response
            await response.write(event_bytes(event, identity))
            await asyncio.sleep(behaviour.pause_s)
        await response.write_eof()
        return response


def _reset(request: web.BaseRequest) -> None:
    """Reset the connection of a request, so that the peer sees no regular end."""
    transport = request.transport
    assert transport is not None
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def endpoint_entry(
    address: tuple[str, int], service: str, state: str = "ready", slots: int = 8
) -> bytes:
    """Return the entry with which an endpoint registers itself."""
    return orjson.dumps(
        {
            "service": service,
            "address": f"{address[0]}:{address[1]}",
            "zone": "zone-a",
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold_ms": 0,
            "seq": 1,
        }
    )


def event_bytes(event: int, identity: str = "") -> bytes:
    """Return one event of a stream."""
    return f"id: {event}\ndata: {event}{identity}\n\n".encode()


def plain_text(endpoint: str, identity: str = "") -> str:
    """Return the body of a plain answer."""
    return f"by {endpoint}{identity}"
