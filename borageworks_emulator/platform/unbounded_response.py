"""Emulated endpoint whose responses never end."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator, Mapping

import orjson

from borageworks_emulator.platform.endpoint import (
    ATTEMPT_ID_HEADER,
    SEAL_HEADER,
    endpoint_entry,
)

BLOCK_BYTES = 64 * 1024
HEADERS_END = b"\r\n\r\n"


def filler(length: int = BLOCK_BYTES) -> bytes:
    """Return bytes that contain no line end."""
    return b"\x01x" * (length // 2)


# Responses by name: bytes that are sent once, followed by bytes that are repeated.
# `{head}` is replaced by the header lines that identify request and endpoint.
UNBOUNDED_RESPONSES: Mapping[str, tuple[bytes, bytes]] = {
    "no_line_end": (b"", filler()),
    "blank_lines": (b"", b"\r\n" * 1024),
    "status_line": (b"HTTP/1.1 200 ", b"O" * BLOCK_BYTES),
    "header": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a" * BLOCK_BYTES),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Many: a\r\n" * 1024),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "stream_body": (
        b"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\r\n",
        filler(),
    ),
    "stream_chunks": (
        b"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + filler() + b"\r\n",
    ),
    "line_feeds": (
        b"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\r\n",
        b"\n" * BLOCK_BYTES,
    ),
    "comments": (
        b"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\r\n",
        b":\n\n" * (BLOCK_BYTES // 3),
    ),
    "chunk_size": (
        b"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n",
        b"0" * BLOCK_BYTES,
    ),
    "chunk_extension": (
        b"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5;",
        b"a" * BLOCK_BYTES,
    ),
    "refusal_body": (
        b"HTTP/1.1 503 Busy\r\n{head}X-Borageworks-Not-Executed: 1\r\n\r\n",
        filler(),
    ),
    "failure_body": (b"HTTP/1.1 500 Failed\r\n{head}\r\n", filler()),
}

_STREAM_HEAD = b"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"


def _numbered_events() -> Iterator[bytes]:
    numbers = itertools.count()
    while True:
        block = itertools.islice(numbers, 1024)
        yield b"".join(b"id: %d\ndata: x\n\n" % number for number in block)


# Streams of many small units by name: bytes that are sent once, and a function that
# returns the blocks which follow without end.
SMALL_UNITS: Mapping[str, tuple[bytes, Callable[[], Iterator[bytes]]]] = {
    "line_ends": (
        _STREAM_HEAD + b"\r\n",
        lambda: itertools.repeat(b"\r\n" * (BLOCK_BYTES // 2)),
    ),
    "line_feeds_after_event": (
        _STREAM_HEAD + b"\r\nid: 0\ndata: x\n\n",
        lambda: itertools.repeat(b"\n" * BLOCK_BYTES),
    ),
    "events": (
        _STREAM_HEAD + b"\r\n",
        lambda: itertools.repeat(b"data: x\n\n" * (BLOCK_BYTES // 9)),
    ),
    "numbered_events": (_STREAM_HEAD + b"\r\n", _numbered_events),
    "lines": (
        _STREAM_HEAD + b"\r\n",
        lambda: itertools.repeat(b":\n" * (BLOCK_BYTES // 2)),
    ),
    "chunks": (
        _STREAM_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        lambda: itertools.repeat(b"1\r\n\n\r\n" * (BLOCK_BYTES // 6)),
    ),
}


def _blocks(kind: str) -> tuple[bytes, Iterator[bytes]]:
    """Return the bytes that a kind of response begins with, and those that follow."""
    if kind in SMALL_UNITS:
        prologue, blocks = SMALL_UNITS[kind]
        return prologue, blocks()
    prologue, repeated = UNBOUNDED_RESPONSES[kind]
    return prologue, itertools.repeat(repeated)


class UnboundedResponseEndpoint:
    """Endpoint that sends an unbounded response to every request.

    Parameters
    ----------
    name
        Name under which it is registered.
    kind
        Kind of response, a key of `UNBOUNDED_RESPONSES` or `SMALL_UNITS`.
    serves_kv_events
        Whether it serves the events of its KV cache correctly.
    """

    def __init__(self, name: str, kind: str, *, serves_kv_events: bool = True) -> None:
        self.name = name
        self.kind = kind
        self.request_count = 0
        self.sent_bytes = 0
        self.address = ("127.0.0.1", 0)
        self._serves_kv_events = serves_kv_events
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, service: str) -> bytes:
        """Return the store entry that registers the endpoint."""
        return endpoint_entry(self.address, service)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(HEADERS_END)
                if self._serves_kv_events and head.startswith(b"GET /kv-"):
                    writer.write(_kv_events_response())
                    continue
                self.request_count += 1
                await self._send_response(head, writer)
        except (OSError, asyncio.IncompleteReadError):
            # Expected: the gateway closed the connection.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send_response(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        prologue, blocks = _blocks(self.kind)
        request_id = _header(head, ATTEMPT_ID_HEADER)
        identity_lines = (
            f"{ATTEMPT_ID_HEADER}: {request_id}\r\n"
            f"{SEAL_HEADER}: seal-of-{self.name}\r\n"
        ).encode()
        writer.write(prologue.replace(b"{head}", identity_lines))
        for block in blocks:
            writer.write(block)
            self.sent_bytes += len(block)
            await writer.drain()
            # Draining returns at once while the system's buffers have room.
            await asyncio.sleep(0)


def _header(head: bytes, name: str) -> str:
    for line in head.decode("latin-1").split("\r\n"):
        header_name, _, value = line.partition(":")
        if header_name.lower() == name.lower():
            return value.strip()
    return ""


def _kv_events_response() -> bytes:
    body = orjson.dumps(
        {"epoch": "1", "next": 1, "held": [], "lost": False, "events": []}
    )
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
