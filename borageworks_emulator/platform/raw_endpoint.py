"""Emulated endpoint that writes its responses byte by byte to a raw connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from borageworks_emulator.platform.endpoint import (
    ATTEMPT_ID_HEADER,
    SEAL_HEADER,
    endpoint_entry,
)

HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request of which only the head has been read.

    Parameters
    ----------
    number, connection
        Numbers of the request and of its connection at the endpoint, from 1.
    head
        Request line and headers.
    reader, writer
        The connection; the body has to be read from it.
    """

    number: int
    connection: int
    head: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def identity(self) -> bytes:
        """Header lines of a response that identify request and endpoint."""
        request_id = self._header(ATTEMPT_ID_HEADER)
        return f"{ATTEMPT_ID_HEADER}: {request_id}\r\n{SEAL_HEADER}: s\r\n".encode()

    @property
    def body_length(self) -> int:
        """Stated length of the body."""
        return int(self._header("Content-Length") or 0)

    async def read_body(self) -> bytes:
        """Return the complete body."""
        return await self.reader.readexactly(self.body_length)

    def respond(self, status: str, lines: bytes, body: bytes) -> None:
        """Write a response; `lines` are headers beside the identifying ones."""
        head = f"HTTP/1.1 {status} X\r\n".encode() + self.identity + lines
        self.writer.write(head + b"\r\n" + body)

    def reset(self) -> None:
        """Reset the connection, so that the peer sees no orderly close."""
        connection = self.writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    def _header(self, name: str) -> str:
        for line in self.head.decode("latin-1").split("\r\n"):
            header_name, _, value = line.partition(":")
            if header_name.lower() == name.lower():
                return value.strip()
        return ""


class RawEndpoint:
    """Endpoint whose responses are written by a coroutine.

    Parameters
    ----------
    name
        Name under which it is registered.
    handle
        Handles a request; the connection goes on with the next one afterwards.
    handle_poll
        Handles a request for the cached prompt parts; None leaves it unanswered.
    """

    def __init__(
        self,
        name: str,
        handle: Callable[[RawRequest], Awaitable[None]],
        handle_poll: Callable[[RawRequest], Awaitable[None]] | None = None,
    ) -> None:
        self.name = name
        self.address = ("127.0.0.1", 0)
        self.requests = 0
        self.connections = 0
        self._handle = handle
        self._handle_poll = handle_poll
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self, service: str) -> bytes:
        """Return the store entry that registers the endpoint."""
        return endpoint_entry(self.address, service)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        connection = self.connections
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                request = RawRequest(
                    self.requests + 1, connection, head, reader, writer
                )
                if not head.startswith(b"GET /kv-"):
                    self.requests += 1
                    await self._handle(request)
                elif self._handle_poll is not None:
                    await self._handle_poll(request)
                else:
                    await asyncio.sleep(3600)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Expected: the connection or the test has ended.
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
