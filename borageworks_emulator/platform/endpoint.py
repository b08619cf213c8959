"""Emulated endpoint of the platform, with configurable faults."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import orjson
from aiohttp import web
from multidict import CIMultiDictProxy

SEAL_HEADER = "X-Borageworks-Response-Seal"
ATTEMPT_ID_HEADER = "X-Borageworks-Attempt-Id"
RESET_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How an endpoint handles one request.

    Parameters
    ----------
    status
        HTTP status of the response.
    not_run
        Whether it refuses the request and states that it was not run.
    hang
        Whether it never responds.
    reset_after_events
        Number of events after which it resets the connection, None for never; 0 resets
        before the headers of the response.
    ends_mid_event
        Whether the reset cuts an event in the middle.
    stated_request_id
        Request id in the response headers, None for that of the request.
    sealed
        Whether the response carries the seal header.
    without_length
        Whether the response has neither length nor chunks and ends by a reset.
    closes_orderly
        Whether a response without length ends by an orderly close instead.
    events
        Number of events of a stream.
    event_interval_s
        Seconds between events.
    dribbles
        Whether a stream consists of single bytes of one event without end.
    plain_body
        Whether the response has a plain body instead of an event stream.
    with_request_id
        Whether body and events contain the request id.
    with_version
        Whether events contain the version of the endpoint's software.
    response_delay_s
        Seconds before the response, or the first event of a stream.
    copy_delay_s
        Seconds after a plain response until a copy of it is sent on the same
        connection, None for no copy.
    """

    status: int = 200
    not_run: bool = False
    hang: bool = False
    reset_after_events: int | None = None
    ends_mid_event: bool = False
    stated_request_id: str | None = None
    sealed: bool = True
    without_length: bool = False
    closes_orderly: bool = False
    events: int = 5
    event_interval_s: float = 0.0
    dribbles: bool = False
    plain_body: bool = False
    with_request_id: bool = False
    with_version: bool = False
    response_delay_s: float = 0.0
    copy_delay_s: float | None = None


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an endpoint has started to run.

    `started_at` is event loop time.
    """

    id: str
    method: str
    target: str
    headers: CIMultiDictProxy[str]
    body: bytes
    started_at: float


class EmulatedEndpoint:
    """One endpoint on a loopback port.

    Parameters
    ----------
    name
        Name under which it is registered; it refuses requests that expect another one.
    behaviour_of
        Returns how a request is handled.

    Attributes
    ----------
    stated_headers
        Headers of all its responses in which it states something about itself.
    software_version
        Version of its software in its entry.
    domain, born, cold_ms, sequence
        Failure domain, start, cold period and number of its entry.
    on_run_started, on_run_finished
        Called when a request starts to run, and when the endpoint has stopped working
        on it.
    """

    def __init__(
        self,
        name: str,
        behaviour_of: Callable[[web.BaseRequest], Behaviour] | None = None,
    ) -> None:
        self.name = name
        self.on_run_started: Callable[[Run], None] = lambda _run: None
        self.on_run_finished: Callable[[Run], None] = lambda _run: None
        self.behaviour_of = behaviour_of or (lambda _request: Behaviour())
        self.runs: list[Run] = []
        self.refused = 0
        self.stated_headers: Mapping[str, str] = {}
        self.software_version = "v1"
        self.domain = "zone-a"
        self.born = 0
        self.cold_ms = 0
        self.sequence = 1
        self.cancelled: list[str] = []
        self.address = ("127.0.0.1", 0)
        self._server: web.Server | None = None
        self._tcp_server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the previous one after a restart."""
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._tcp_server = await asyncio.get_running_loop().create_server(
            self._server, *self.address
        )
        self.address = self._tcp_server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._tcp_server is not None:
            self._tcp_server.close()
        if self._server is not None:
            for protocol in self._server.connections:
                if protocol.transport is not None:
                    protocol.transport.abort()
            await self._server.shutdown(0.1)

    def entry(self, service: str, *, state: str = "ready", slots: int = 8) -> bytes:
        """Return the store entry that registers the endpoint."""
        return endpoint_entry(
            self.address,
            service,
            state,
            slots,
            self.software_version,
            zone=self.domain,
            **({"born": self.born} if self.born else {}),
            cold_ms=self.cold_ms,
            seq=self.sequence,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/kv-list":
            return web.json_response(
                {"epoch": "1", "next": 1, "held": []}, headers=self.stated_headers
            )
        if request.path == "/kv-events":
            await asyncio.sleep(float(request.headers.get("Wait-Ms", "0")) / 1000)
            return web.json_response(
                {"epoch": "1", "next": 1, "lost": False, "events": []},
                headers=self.stated_headers,
            )
        request_id = request.headers.get(ATTEMPT_ID_HEADER, "")
        if request.headers.get("X-Borageworks-Expect-Instance") != self.name:
            self.refused += 1
            return web.Response(status=421, headers={ATTEMPT_ID_HEADER: request_id})
        # Not `request.read`, which answers 413 above 1 MiB; the platform allows 4 MiB.
        body = await request.content.read()
        behaviour = self.behaviour_of(request)
        headers = {
            ATTEMPT_ID_HEADER: behaviour.stated_request_id or request_id,
            **self.stated_headers,
        }
        if behaviour.sealed:
            headers[SEAL_HEADER] = f"seal-of-{self.name}"
        if behaviour.not_run:
            self.refused += 1
            headers["X-Borageworks-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        run = Run(
            request_id,
            request.method,
            request.raw_path,
            request.headers,
            body,
            asyncio.get_running_loop().time(),
        )
        self.runs.append(run)
        self.on_run_started(run)
        try:
            return await self._run(request, behaviour, headers)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        except ConnectionResetError:
            # The caller disconnected between two writes.
            self.cancelled.append(request_id)
            raise asyncio.CancelledError from None
        finally:
            self.on_run_finished(run)

    async def _run(
        self, request: web.BaseRequest, behaviour: Behaviour, headers: dict[str, str]
    ) -> web.StreamResponse:
        assert request.transport is not None
        if behaviour.hang:
            await asyncio.sleep(3600)
        if behaviour.reset_after_events == 0:
            _reset(request)
        await asyncio.sleep(behaviour.response_delay_s)
        request_id = (
            request.headers.get(ATTEMPT_ID_HEADER, "")
            if behaviour.with_request_id
            else ""
        )
        if behaviour.status != 200 or behaviour.plain_body:
            text = plain_body_text(self.name, request_id)
            if behaviour.copy_delay_s is not None:
                copy = _encode_response(headers, text)
                asyncio.get_running_loop().call_later(
                    behaviour.copy_delay_s, request.transport.write, copy
                )
            return web.Response(status=behaviour.status, headers=headers, text=text)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        if behaviour.without_length:
            # A response that ends with its connection has neither Content-Length nor
            # Transfer-Encoding.
            request.transport.write(
                b"HTTP/1.1 200 OK\r\n"
                + b"".join(f"{k}: {v}\r\n".encode() for k, v in headers.items())
                + b"\r\nid: 0\ndata: 0\n\n"
                + (b"id: 1\nda" if behaviour.ends_mid_event else b"")
            )
            await asyncio.sleep(0.05)
            if behaviour.closes_orderly:
                request.transport.close()
            else:
                _reset(request)
            return response
        await response.prepare(request)
        while behaviour.dribbles:
            await response.write(b":")
            await asyncio.sleep(behaviour.event_interval_s)
        version = f"@{self.software_version}" if behaviour.with_version else ""
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for sent, event in enumerate(range(first, behaviour.events)):
            if sent == behaviour.reset_after_events:
                if behaviour.ends_mid_event:
                    await response.write(f"id: {event}\nda".encode())
                # An immediate reset would discard data that is still in flight.
                await asyncio.sleep(RESET_DELAY_S)
                _reset(request)
                return response
            await response.write(event_bytes(event, request_id + version))
            await asyncio.sleep(behaviour.event_interval_s)
        await response.write_eof()
        return response


def _encode_response(headers: dict[str, str], text: str) -> bytes:
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(text)}"])
    return f"{head}\r\n\r\n{text}".encode()


def _reset(request: web.BaseRequest) -> None:
    """Reset the connection of a request, so that the peer sees no orderly close."""
    transport = request.transport
    assert transport is not None
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def endpoint_entry(
    address: tuple[str, int],
    service: str,
    state: str = "ready",
    slots: int = 8,
    software_version: str = "v1",
    **fields: object,
) -> bytes:
    """Return the store entry that registers an endpoint; `fields` replace others."""
    return orjson.dumps(
        {
            "service": service,
            "address": f"{address[0]}:{address[1]}",
            "zone": "zone-a",
            "version": software_version,
            "slots": slots,
            "state": state,
            "cold_ms": 0,
            "seq": 1,
            **fields,
        }
    )


def event_bytes(event: int, request_id: str = "") -> bytes:
    """Return one event of a stream."""
    return f"id: {event}\ndata: {event}{request_id}\n\n".encode()


def plain_body_text(endpoint: str, request_id: str = "") -> str:
    """Return the body of a plain response."""
    return f"by {endpoint}{request_id}"
