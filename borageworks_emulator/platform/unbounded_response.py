"""Stand-in of an endpoint that sends bytes that are no answer and never end."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import orjson

from borageworks_emulator.platform.engine import REQUEST_ID, SEAL, endpoint_entry

BLOCK_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"


def noise(length: int = BLOCK_BYTES) -> bytes:
    """Return bytes without a line end."""
    return b"\x01x" * (length // 2)


# What follows a request, by name: bytes that are sent once, and those that are sent
# again and again. `{id}` stands for the request's id.
ENDLESS: Mapping[str, tuple[bytes, bytes]] = {
    "noise": (b"", noise()),
    "blank_lines": (b"", b"\r\n" * 1024),
    "status_line": (b"HTTP/1.1 200 ", b"O" * BLOCK_BYTES),
    "header": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a" * BLOCK_BYTES),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Many: a\r\n" * 1024),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "stream_body": (
        b"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\r\n",
        noise(),
    ),
    "stream_chunks": (
        b"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + noise() + b"\r\n",
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
        noise(),
    ),
    "failure_body": (b"HTTP/1.1 500 Failed\r\n{head}\r\n", noise()),
}


class EndlessEndpoint:
    """Endpoint that answers every request with bytes that never end.

    Parameters
    ----------
    name
        Identity.
    kind
        What it sends, a key of `ENDLESS`.
    memory_news
        Whether it tells what it keeps as it should.
    """

    def __init__(self, name: str, kind: str, *, memory_news: bool = True) -> None:
        self.name = name
        self.kind = kind
        self.asked = 0
        self.sent_bytes = 0
        self.address = ("127.0.0.1", 0)
        self._memory_news = memory_news
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
        """Return the entry with which it registers itself."""
        return endpoint_entry(self.address, service)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                if self._memory_news and head.startswith(b"GET /kv-"):
                    writer.write(_memory_answer())
                    continue
                self.asked += 1
                await self._pour(head, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The gateway closed the connection, as it should.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pour(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        first, again = ENDLESS[self.kind]
        identity = _header(head, REQUEST_ID)
        own = f"{REQUEST_ID}: {identity}\r\n{SEAL}: seal-of-{self.name}\r\n".encode()
        writer.write(first.replace(b"{head}", own))
        while True:
            writer.write(again)
            self.sent_bytes += len(again)
            await writer.drain()


def _header(head: bytes, name: str) -> str:
    for line in head.decode("latin-1").split("\r\n"):
        found, _, value = line.partition(":")
        if found.lower() == name.lower():
            return value.strip()
    return ""


def _memory_answer() -> bytes:
    body = orjson.dumps(
        {"epoch": "1", "next": 1, "held": [], "lost": False, "events": []}
    )
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
