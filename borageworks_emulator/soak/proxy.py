"""Loopback proxy that harms the connections that pass through it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from borageworks_emulator.ports import HOST
from borageworks_emulator.soak.conditions import CLEAR, Conditions

CHUNK_BYTES = 65_536
# Interval at which bytes that a cut holds up look whether it is over.
HOLD_POLL_S = 0.02
# Closing with this option discards what was not sent and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LoopbackProxy:
    """Forwards connections to one address under changing conditions.

    Bytes that a cut swallows are gone: the connection stays silent for good, as after a
    loss of state on the way, and new connections are silent while the cut lasts.

    Parameters
    ----------
    target
        Returns host and port to forward to, asked for each connection.
    """

    def __init__(self, target: Callable[[], tuple[str, int]]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.conditions = CLEAR
        self.address = (HOST, 0)

    async def start(self) -> None:
        """Listen on a free port, or on the one that it had."""
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
                await asyncio.sleep(HOLD_POLL_S)
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
        for opened in self._writers:
            opened.close()

    def reset(self) -> None:
        """Reset both sides."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            connection = writer.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        sent: bool,
    ) -> None:
        swallowed = False
        while data := await reader.read(CHUNK_BYTES):
            conditions = self._conditions()
            if conditions.delay_s:
                await asyncio.sleep(conditions.delay_s)
            swallowed |= conditions.lose_sent if sent else conditions.lose_received
            if swallowed:
                continue
            writer.write(data)
            await writer.drain()
        while swallowed or self._loses(sent=sent):
            # The end of a connection does not pass a cut either.
            await asyncio.sleep(HOLD_POLL_S)
            if swallowed and not self._loses(sent=sent):
                raise ConnectionResetError
        writer.write_eof()

    def _loses(self, *, sent: bool) -> bool:
        conditions = self._conditions()
        return conditions.lose_sent if sent else conditions.lose_received
