"""Keeps the callers' connections of an instance within its file descriptors."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

# Files and sockets that are not connections: the platform keeps 200 for files, and the
# process listens on four addresses.
RESERVED_DESCRIPTORS = 204
# A request needs a connection to its caller and one to an endpoint.
DESCRIPTORS_PER_REQUEST = 2
# Above this fraction of the limit, callers are told to close their connections.
CLOSE_RATIO = 0.75
# The request of a connection that has just been opened or used may be on its way.
MIN_IDLE_S = 1.0
# Above this fraction of the limit in use by requests, new callers are sent elsewhere.
FULL_RATIO = 0.9
# Connections are accepted up to this multiple of the limit: those without a complete
# request need no connection to an endpoint yet. The rest is for the store and links.
ACCEPT_RATIO = 1.8

Connection = TypeVar("Connection", bound=Hashable)


def max_caller_connections(
    max_descriptors: int, instances: int, max_connections: float = math.inf
) -> int:
    """Return how many connections of callers fit.

    Parameters
    ----------
    max_descriptors
        Open files that the process may have.
    instances
        Number of instances, each of which has a link to this one.
    max_connections
        Connections for which there is memory.
    """
    free = max_descriptors - RESERVED_DESCRIPTORS - instances
    limit = min(free // DESCRIPTORS_PER_REQUEST, max_connections / ACCEPT_RATIO)
    return max(int(limit), 1)


class ConnectionLimit(Generic[Connection]):
    """Decides which callers' connections are closed when descriptors run short.

    Callers may keep idle connections open for a long time, and those of a refused
    request stay open beside the connection of its retry. Above the limit the longest
    idle connections are closed. One in use, or idle for a moment only, is not: the
    limit leaves room for those until the callers are sent elsewhere. Of those in use,
    the ones are closed whose request has been arriving without progress for longest.

    Parameters
    ----------
    limit
        Connections that may be open.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # Times since which they are idle, in their order.
        self._idle: OrderedDict[Connection, float] = OrderedDict()
        self._busy: set[Connection] = set()
        # Those of them whose request is not complete, with the time of their last
        # progress, in its order.
        self._unfinished: OrderedDict[Connection, float] = OrderedDict()
        self._resumed_at = -math.inf

    @property
    def limit(self) -> int:
        """Number of connections that may be open."""
        return self._limit

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._idle) + len(self._busy)

    @property
    def unfinished(self) -> int:
        """Number of requests that have not arrived completely."""
        return len(self._unfinished)

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their next response."""
        return self.count > CLOSE_RATIO * self._limit

    @property
    def full(self) -> bool:
        """Whether nearly all connections are in use by requests."""
        return len(self._busy) > FULL_RATIO * self._limit

    def set_limit(self, limit: int) -> None:
        """Set the number of connections that may be open."""
        self._limit = limit

    def accepts(self, opening: int) -> bool:
        """Return whether another connection fits beside those in use.

        Parameters
        ----------
        opening
            Accepted connections that have not been added yet.
        """
        return self.count + opening < ACCEPT_RATIO * self._limit

    def open(self, now: float, connection: Connection) -> list[Connection]:
        """Add a connection and return the idle ones to close for it."""
        self._idle[connection] = now
        return self.take_idle(now)

    def take_idle(self, now: float) -> list[Connection]:
        """Return the longest idle connections to close above the limit."""
        to_close: list[Connection] = []
        while self.count > self._limit:
            longest_idle, since = next(iter(self._idle.items()))
            if now - since < MIN_IDLE_S:
                break
            del self._idle[longest_idle]
            to_close.append(longest_idle)
        return to_close

    def keep(self, now: float, connection: Connection) -> None:
        """Add a connection again that was to be closed and is in use."""
        self._idle[connection] = now

    def record_pause(self, now: float) -> None:
        """Record that the process has stood still until now.

        Bodies may have been waiting for it, so that none counts as stalled for a while.
        """
        self._resumed_at = now

    def take_stalled(self, now: float) -> list[Connection]:
        """Return connections to close whose requests make no progress."""
        to_close: list[Connection] = []
        if now - self._resumed_at < MIN_IDLE_S:
            return to_close
        while self._unfinished and self.count >= self._limit:
            connection, since = next(iter(self._unfinished.items()))
            if now - since < MIN_IDLE_S:
                break
            self.close(connection)
            to_close.append(connection)
        return to_close

    def begin_body(self, now: float, connection: Connection) -> None:
        """Record that the body of a connection's request begins to arrive."""
        if connection in self._busy:
            self._unfinished[connection] = now

    def record_progress(self, now: float, connection: Connection) -> None:
        """Record that more of a body has arrived."""
        if connection in self._unfinished:
            self._unfinished[connection] = now
            self._unfinished.move_to_end(connection)

    def end_body(self, connection: Connection) -> None:
        """Record that a request has arrived completely, or is given up."""
        self._unfinished.pop(connection, None)

    def begin_request(self, connection: Connection) -> None:
        """Record that a request has arrived on an open connection."""
        if connection in self._idle:
            del self._idle[connection]
            self._busy.add(connection)

    def end_request(self, now: float, connection: Connection) -> None:
        """Record that the response to a connection's request has been sent."""
        if connection in self._busy:
            self._busy.remove(connection)
            self._idle[connection] = now

    def close(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._idle.pop(connection, None)
        self._busy.discard(connection)
        self._unfinished.pop(connection, None)
