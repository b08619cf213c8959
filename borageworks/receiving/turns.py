"""Limits the received bytes that are processed in one iteration of the event loop."""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Iterable
from typing import Protocol

from borageworks.metrics import Metrics
from borageworks.receiving.loop_watch import LoopWatch

# Bytes processed for one connection before that of the next.
MAX_PIECE_BYTES = 4_096
MIN_PIECE_BYTES = 512
# Time of a connection before that of the next. A piece of plain bytes takes 2 us, one
# of chunks of one byte 200 us, or 25 us if it has the least size. With equal pieces, a
# body of 4 MiB took longer than a minute beside 180 connections with such chunks.
QUANTUM_S = 0.00003
# Time for such pieces in an iteration: as much as half of what everything else took
# since the last one, so that a busy loop does not starve them.
TURN_RATIO = 0.5
MIN_TURN_S = 0.002
MAX_TURN_S = 0.01


class WaitingConnection(Protocol):
    """A connection with received bytes that have not been processed."""

    @property
    def has_piece(self) -> bool:
        """Whether there are bytes that can be processed now."""

    def process_piece(self) -> int:
        """Process at most `MAX_PIECE_BYTES` and return how many."""


class BufferingConnection(Protocol):
    """A connection that is not being read."""

    @property
    def descriptor(self) -> int | None:
        """File descriptor, None if the connection is closed."""

    @property
    def ends_with_peer(self) -> bool:
        """Whether what it has received is of no use when the peer has left."""

    def abort(self) -> None:
        """Reset the connection."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes received that have not been processed."""


class ReceiveTurns:
    """Gives connections turns to process what they have received.

    What a connection sends faster than it is processed is processed over several
    iterations of the loop, so that timers, tasks and other connections run in between.
    The measure is time: bytes of a large body take far less of it than small units.

    Parameters
    ----------
    metrics
        Counts how often connections had to wait as `receive_waits`.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._watch = LoopWatch(metrics)
        self._left_s = MAX_TURN_S
        self._ended_at = 0.0
        # In the order of their turns; a dict, as each connection waits at most once.
        self._waiting: dict[WaitingConnection, None] = {}
        self._paused: set[BufferingConnection] = set()
        self._head_bytes = 0
        self._running = False
        self._handle: asyncio.Handle | None = None

    @property
    def watch(self) -> LoopWatch:
        """Names what has held the loop."""
        return self._watch

    @property
    def head_bytes(self) -> int:
        """Bytes that parsers keep of incomplete heads of requests."""
        return self._head_bytes

    def record_heads(self, change: int) -> None:
        """Record by how much what parsers keep of incomplete heads has changed."""
        self._head_bytes += change

    def review_paused(self) -> int:
        """Close paused connections whose peer has left.

        Costs a call of the system for each connection that is not being read.

        Returns
        -------
        int
            Bytes that the others have received and not processed, and those of
            incomplete heads.
        """
        for connection in _find_left(self._paused):
            self._metrics.count("paused_connections_left")
            connection.abort()
        unprocessed = sum(connection.buffered_bytes for connection in self._paused)
        return unprocessed + self._head_bytes

    def record_paused(self, connection: BufferingConnection) -> None:
        """Record that nothing more is read from a connection for now."""
        self._paused.add(connection)

    def record_reading(self, connection: BufferingConnection) -> None:
        """Record that a connection is read again, or closed."""
        self._paused.discard(connection)

    def wait(self, connection: WaitingConnection) -> None:
        """Process the pieces of a connection now, or in the next iterations.

        They are processed now if no other connection waits and time is left.
        """
        if connection in self._waiting:
            return
        self._waiting[connection] = None
        try:
            if len(self._waiting) == 1 and not self._running:
                self._run()
        finally:
            if connection in self._waiting:
                self._metrics.count("receive_waits")
            self._schedule()

    def _run(self) -> None:
        self._running = True
        try:
            while self._waiting and self._left_s > 0.0:
                started = time.perf_counter()
                connection = next(iter(self._waiting))
                del self._waiting[connection]
                used_s = 0.0
                while used_s < QUANTUM_S and connection.has_piece:
                    connection.process_piece()
                    used_s = time.perf_counter() - started
                if connection.has_piece:
                    self._waiting[connection] = None
                self._left_s -= used_s
        finally:
            self._running = False
            self._ended_at = time.perf_counter()

    def _schedule(self) -> None:
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._handle = None
        share_s = TURN_RATIO * (time.perf_counter() - self._ended_at)
        self._left_s = min(max(share_s, MIN_TURN_S), MAX_TURN_S)
        try:
            self._run()
        finally:
            # An unexpected error of one connection leaves the turns of the others.
            if self._waiting:
                self._schedule()


def _find_left(connections: Iterable[BufferingConnection]) -> list[BufferingConnection]:
    """Return the connections whose peer has left.

    The event loop does not watch a connection that it does not read from.
    """
    poll = select.poll()
    by_descriptor: dict[int, BufferingConnection] = {}
    for connection in connections:
        descriptor = connection.descriptor if connection.ends_with_peer else None
        if descriptor is not None:
            by_descriptor[descriptor] = connection
            poll.register(descriptor, select.POLLRDHUP)
    if not by_descriptor:
        return []
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
