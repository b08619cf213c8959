"""Accepts callers' connections, however busy the loop is."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from borageworks.events import Event, emit
from borageworks.gateway.settings import HostPort
from borageworks.metrics import Metrics
from borageworks.timers import Subscription, Timers

# A second's worth of a busy instance. Callers give up connections that wait longer, and
# those are still accepted before newer ones.
BACKLOG = 128
# A busy instance took no new connection for seconds although its loop was not late, so
# that the queue is also looked at by time.
INTERVAL_S = 0.05
# Bounds one turn of the loop.
ACCEPTS_PER_TURN = 64
# Time without accepting after the process ran out of file descriptors.
PAUSE_S = 0.1


class Acceptor:
    """Accepts callers' connections, however busy the loop is.

    Parameters
    ----------
    address
        Address to listen on.
    connect
        Returns the protocol of a new connection.
    metrics
        Counts connections that could not be accepted, by reason.
    """

    def __init__(
        self,
        address: HostPort,
        connect: Callable[[], asyncio.BaseProtocol],
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._connect = connect
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._polling: Subscription | None = None
        self._paused_until = 0.0
        self._tasks: set[asyncio.Task[object]] = set()

    def start(self) -> None:
        """Listen."""
        listener = socket.create_server(self._address, backlog=BACKLOG)
        listener.setblocking(False)
        self._socket = listener
        self._loop.add_reader(listener, self._accept)
        self._polling = Timers().every(INTERVAL_S, lambda _now: self._accept())

    def stop(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._socket is None:
            return
        if self._polling is not None:
            self._polling.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def _accept(self) -> None:
        if self._socket is None or self._loop.time() < self._paused_until:
            return
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._pause(error)
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._open(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self, error: OSError) -> None:
        """Wait for descriptors to become free; the socket stays readable meanwhile."""
        assert self._socket is not None
        self._metrics.count("connections_not_accepted", type(error).__name__)
        emit(Event.ACCEPT_FAILED, error=repr(error))
        self._paused_until = self._loop.time() + PAUSE_S
        self._loop.remove_reader(self._socket)
        self._loop.call_later(PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept)

    async def _open(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._connect, connection)
        except OSError as error:
            # The caller has left meanwhile.
            self._metrics.count("connections_not_accepted", type(error).__name__)
            connection.close()
