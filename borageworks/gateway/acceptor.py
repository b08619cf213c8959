"""Listening socket for callers that stays responsive on a busy event loop."""

from __future__ import annotations

import asyncio
import math
import select
import socket
import time
from collections.abc import Callable

from borageworks.events import Event, emit
from borageworks.gateway.connection_screen import ConnectionScreen, RequestAdmission
from borageworks.gateway.settings import HostPort
from borageworks.metrics import Metrics
from borageworks.timers import Timers, TimerSubscription

# The system drops the opening packet of a connection that finds the queue full, and the
# caller's system repeats it only after a second.
LISTEN_BACKLOG = 1_024
MIN_LISTEN_BACKLOG = 64
# Part of the memory for what arrives on connections that have not been accepted.
BACKLOG_RATIO = 0.1
# Readiness events alone left new connections waiting for seconds on a busy instance
# without loop lag, so the listening socket is also polled.
POLL_INTERVAL_S = 0.05
# Connections opened before the event loop goes on.
MAX_OPENED_PER_POLL = 64
# Time of a poll: as much as everything else took since the last one, so that refusals
# leave half of the processor to the requests that are served.
MIN_POLL_S = 0.001
MAX_POLL_S = 0.01
# Backoff after a failed accept, such as when no file descriptors are left.
ACCEPT_BACKOFF_S = 0.1
# The system doubles these values. They are less than those for endpoints, as there may
# be a thousand callers: with 64 KiB, 200 callers whose bodies were being discarded took
# a process of 160 MB to 160.5 MB.
RECEIVE_BUFFER_BYTES = 16_384
SEND_BUFFER_BYTES = 65_536


def max_waiting_connections(memory_bytes: float) -> int:
    """Return how many connections may wait to be accepted.

    Parameters
    ----------
    memory_bytes
        Memory for callers, infinite if there is no limit.
    """
    # The system doubles the size of buffers.
    fitting = BACKLOG_RATIO * memory_bytes / (2 * RECEIVE_BUFFER_BYTES)
    return int(min(max(fitting, MIN_LISTEN_BACKLOG), LISTEN_BACKLOG))


class Acceptor:
    """Accepts callers' connections even if the event loop is overloaded.

    Parameters
    ----------
    address
        Address to listen on.
    protocol_factory
        Creates the protocol of a new connection, given what has been received and
        whether the request in that has been admitted.
    metrics
        Counts connections that could not be accepted, by reason.
    may_accept
        Returns whether there is room for another connection beside a number of those
        that are being opened. Without room, callers wait in the queue of the system.
        It is called only while a connection waits to be accepted.
    admission
        Decides on requests before their connections are opened.
    on_polled
        Told after each poll whether no more admitted connections wait than it opened.
    memory_bytes
        Memory for callers, infinite if there is no limit. With a limit, what the system
        keeps for each connection is limited as well.
    """

    def __init__(
        self,
        address: HostPort,
        protocol_factory: Callable[[bytes, bool], asyncio.BaseProtocol],
        metrics: Metrics,
        may_accept: Callable[[int], bool] = lambda _opening: True,
        admission: RequestAdmission | None = None,
        on_polled: Callable[[bool], None] = lambda _kept_up: None,
        *,
        memory_bytes: float = math.inf,
    ) -> None:
        self._memory_bytes = memory_bytes
        self._pending = select.poll()
        self._may_accept = may_accept
        self._on_polled = on_polled
        self._address = address
        self._protocol_factory = protocol_factory
        self._screen = (
            None
            if admission is None
            else ConnectionScreen(admission, self._open, metrics)
        )
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._poll_timer: TimerSubscription | None = None
        self._backoff_until = 0.0
        self._opened = 0
        self._polled_at = 0.0
        self._tasks: set[asyncio.Task[object]] = set()

    def start(self) -> None:
        """Start listening."""
        limits_memory = math.isfinite(self._memory_bytes)
        listener = socket.create_server(
            self._address, backlog=max_waiting_connections(self._memory_bytes)
        )
        listener.setblocking(False)
        if limits_memory:
            # Accepted connections take it over.
            for option, size in (
                (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
                (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
            ):
                listener.setsockopt(socket.SOL_SOCKET, option, size)
        self._pending.register(listener, select.POLLIN)
        self._socket = listener
        self._loop.add_reader(listener, self._accept)
        self._poll_timer = Timers().every(POLL_INTERVAL_S, lambda _now: self._accept())

    def stop(self) -> None:
        """Close the listening socket; open and queued connections stay open."""
        if self._socket is None:
            return
        for _ in range(-(-LISTEN_BACKLOG // MAX_OPENED_PER_POLL)):
            self._poll(math.inf)
        if self._screen is not None:
            self._screen.release()
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._loop.remove_reader(self._socket)
        self._pending.unregister(self._socket)
        self._socket.close()
        self._socket = None

    def _accept(self) -> None:
        if self._socket is None or self._loop.time() < self._backoff_until:
            return
        began = time.perf_counter()
        elapsed_s = began - self._polled_at
        deadline = began + min(max(elapsed_s, MIN_POLL_S), MAX_POLL_S)
        try:
            self._poll(deadline)
        finally:
            self._polled_at = time.perf_counter()

    def _poll(self, deadline: float) -> None:
        assert self._socket is not None
        self._opened = 0
        while self._opened < MAX_OPENED_PER_POLL and time.perf_counter() < deadline:
            if not self._pending.poll(0):
                break
            waiting = self._screen.waiting if self._screen is not None else 0
            if not self._may_accept(len(self._tasks) + waiting):
                self._pause("no_room")
                return
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._back_off(error)
                return
            connection.setblocking(False)
            if self._screen is None:
                self._open(connection, b"", False)
            else:
                self._screen.take(connection)
        self._on_polled(self._opened < MAX_OPENED_PER_POLL)

    def _open(self, connection: socket.socket, received: bytes, admitted: bool) -> None:
        self._opened += 1
        task = self._loop.create_task(
            self._open_connection(connection, received, admitted)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _back_off(self, error: OSError) -> None:
        """Stop accepting for a while, until file descriptors may be free."""
        emit(Event.ACCEPT_FAILED, error=repr(error))
        self._pause(type(error).__name__)

    def _pause(self, reason: str) -> None:
        """Stop accepting for a while.

        The socket remains readable meanwhile, so its reader is removed to keep the
        event loop from spinning.
        """
        assert self._socket is not None
        self._metrics.count("connections_not_accepted", reason)
        self._backoff_until = self._loop.time() + ACCEPT_BACKOFF_S
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_BACKOFF_S, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept)

    async def _open_connection(
        self, connection: socket.socket, received: bytes, admitted: bool
    ) -> None:
        try:
            await self._loop.connect_accepted_socket(
                lambda: self._protocol_factory(received, admitted), connection
            )
        except OSError as error:
            # The caller has closed the connection meanwhile.
            self._metrics.count("connections_not_accepted", type(error).__name__)
            connection.close()
