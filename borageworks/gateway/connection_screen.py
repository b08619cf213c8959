"""Decides on accepted connections by the first request that waits in them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from borageworks.gateway.early_admission import EarlyDecision
from borageworks.metrics import Metrics

# More than a head and a small body; what is larger is decided on once it is parsed.
MAX_REQUEST_BYTES = 16_384
# A connection without a request for this long is opened like any other: its limits on
# slow heads and idle callers are those of open connections.
MAX_WAIT_S = 0.25


class RequestAdmission(Protocol):
    """Decides on requests by their bytes, see `EarlyAdmission`."""

    @property
    def active(self) -> bool:
        """Whether requests may be refused."""

    def decide(self, now: float, data: bytes) -> EarlyDecision:
        """Decide on the request that received bytes consist of."""

    def refusal_response(self) -> bytes:
        """Return the response to a refused request."""


OpenConnection = Callable[[socket.socket, bytes, bool], None]


class ConnectionScreen:
    """Refuses the first requests of connections without opening a transport.

    Parameters
    ----------
    admission
        Decides on the requests.
    open_connection
        Opens a connection, given what it has received and whether the request in that
        has been admitted.
    metrics
        Counts `connections_not_accepted` by reason.
    """

    def __init__(
        self,
        admission: RequestAdmission,
        open_connection: OpenConnection,
        metrics: Metrics,
    ) -> None:
        self._admission = admission
        self._open_connection = open_connection
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[socket.socket, asyncio.TimerHandle] = {}

    @property
    def waiting(self) -> int:
        """Number of connections whose request has not arrived."""
        return len(self._waiting)

    def take(self, connection: socket.socket) -> None:
        """Decide on a connection, at once or when it has received something."""
        if not self._admission.active:
            self._open_connection(connection, b"", False)
        elif not self._decide(connection):
            self._loop.add_reader(connection, self._readable, connection)
            self._waiting[connection] = self._loop.call_later(
                MAX_WAIT_S, self._open_undecided, connection
            )

    def release(self) -> None:
        """Open all connections that wait for their request."""
        for connection in list(self._waiting):
            self._open_undecided(connection)

    def _readable(self, connection: socket.socket) -> None:
        self._stop_waiting(connection)
        if not self._decide(connection):
            self._open_connection(connection, b"", False)

    def _open_undecided(self, connection: socket.socket) -> None:
        self._stop_waiting(connection)
        self._open_connection(connection, b"", False)

    def _stop_waiting(self, connection: socket.socket) -> None:
        self._waiting.pop(connection).cancel()
        self._loop.remove_reader(connection)

    def _decide(self, connection: socket.socket) -> bool:
        """Decide on a connection; return False if it has received nothing."""
        try:
            data = connection.recv(MAX_REQUEST_BYTES)
        except BlockingIOError:
            return False
        except OSError as error:
            self._drop(connection, type(error).__name__)
            return True
        match self._admission.decide(self._loop.time(), data):
            case EarlyDecision.REFUSED:
                self._refuse(connection)
            case _ if not data or _has_left(connection):
                # A request that nobody waits for would cost as much as any other.
                self._drop(connection, "left")
            case decision:
                admitted = decision is EarlyDecision.ADMITTED
                self._open_connection(connection, data, admitted)
        return True

    def _refuse(self, connection: socket.socket) -> None:
        try:
            connection.send(self._admission.refusal_response())
        except OSError as error:
            self._drop(connection, type(error).__name__)
        else:
            connection.close()

    def _drop(self, connection: socket.socket, reason: str) -> None:
        self._metrics.count("connections_not_accepted", reason)
        connection.close()


def _has_left(connection: socket.socket) -> bool:
    """Return whether the caller has closed the connection."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
