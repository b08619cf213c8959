"""Loopback proxy that impairs the connections that it forwards."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from borageworks_emulator.ports import HOST
from borageworks_emulator.soak.conditions import UNIMPAIRED, Conditions

CHUNK_BYTES = 65_536
CUT_POLL_INTERVAL_S = 0.02
# With this SO_LINGER value, closing discards unsent bytes and resets the connection.
RESET_LINGER = struct.pack("ii", 1, 0)


class LoopbackProxy:
    """Forwards connections to one address under configurable network conditions.

    Bytes sent during a cut are lost, and the connection forwards nothing more in that
    direction, as if a device on the path had lost its state. Connections opened during
    a cut wait for its end.

    Parameters
    ----------
    target
        Returns host and port to forward to, called for each connection.
    """

    def __init__(self, target: Callable[[], tuple[str, int]]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.conditions = UNIMPAIRED
        self.address = (HOST, 0)

    async def start(self) -> None:
        """Listen on a free port, or on the previous one after a stop."""
        self._server = await asyncio.start_server(self._accept, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections on both sides."""
        for connection in list(self._connections):
            connection.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(reader, writer, lambda: self.conditions)
        self._connections.add(connection)
        try:
            await connection.run(self._target())
        finally:
            self._connections.discard(connection)


class _Connection:
    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conditions: Callable[[], Conditions],
    ) -> None:
        self._reader = reader
        self._writers = [writer]
        self._conditions = conditions
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self, target: tuple[str, int]) -> None:
        """Forward both directions until one side closes."""
        try:
            while self._conditions().lose_received:  # noqa: ASYNC110
                await asyncio.sleep(CUT_POLL_INTERVAL_S)
            reader, writer = await asyncio.open_connection(*target)
        except OSError:
            self.reset()
            return
        self._writers.append(writer)
        self._tasks = [
            asyncio.create_task(self._forward(self._reader, writer, sent=True)),
            asyncio.create_task(
                self._forward(reader, self._writers[0], sent=False),
            ),
        ]
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_EXCEPTION)
        if any(task.cancelled() or task.exception() for task in done):
            self.reset()
        for open_writer in self._writers:
            open_writer.close()

    def reset(self) -> None:
        """Reset both sides."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer_socket = writer.get_extra_info("socket")
            if writer_socket is not None and writer_socket.fileno() >= 0:
                writer_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        sent: bool,
    ) -> None:
        discarding = False
        while data := await reader.read(CHUNK_BYTES):
            conditions = self._conditions()
            if conditions.delay_s:
                await asyncio.sleep(conditions.delay_s)
            discarding |= conditions.lose_sent if sent else conditions.lose_received
            if discarding:
                continue
            writer.write(data)
            await writer.drain()
        while discarding or self._loses_bytes(sent=sent):
            # A cut also blocks the end of the stream.
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
            if discarding and not self._loses_bytes(sent=sent):
                raise ConnectionResetError
        writer.write_eof()

    def _loses_bytes(self, *, sent: bool) -> bool:
        conditions = self._conditions()
        return conditions.lose_sent if sent else conditions.lose_received
