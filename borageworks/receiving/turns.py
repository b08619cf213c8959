"""Limits the received bytes that are processed in one iteration of the event loop."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from borageworks.metrics import Metrics
from borageworks.receiving.loop_watch import LoopWatch

# Bytes processed for one connection before that of the next.
MAX_PIECE_BYTES = 4_096
# Bytes processed for all connections in an iteration; a byte takes up to a microsecond
# if it is a unit of its own.
MAX_ITERATION_BYTES = 8_192
# Without connections that wait, the allowance is renewed after this time instead of
# once per iteration, which would need a callback in each.
RENEWAL_INTERVAL_S = 0.001


class WaitingConnection(Protocol):
    """A connection with received bytes that have not been processed."""

    @property
    def has_piece(self) -> bool:
        """Whether there are bytes that can be processed now."""

    def process_piece(self) -> int:
        """Process at most `MAX_PIECE_BYTES` and return how many."""


class ReceiveTurns:
    """Gives connections turns to process what they have received.

    What a connection sends faster than it is processed is processed over several
    iterations of the loop, so that timers, tasks and other connections run in between.

    Parameters
    ----------
    metrics
        Counts how often connections had to wait as `receive_waits`.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._watch = LoopWatch(metrics)
        self._left_bytes = MAX_ITERATION_BYTES
        self._renewed_at = 0.0
        # In the order of their turns; a dict, as each connection waits at most once.
        self._waiting: dict[WaitingConnection, None] = {}
        self._handle: asyncio.Handle | None = None

    @property
    def watch(self) -> LoopWatch:
        """Names what has held the loop."""
        return self._watch

    def take(self, size: int) -> bool:
        """Take bytes from the allowance; return False if they have to wait.

        Up to a piece never waits: otherwise work that queues here would not show as
        lag of the loop, by which an overloaded instance knows that it is.
        """
        if size <= MAX_PIECE_BYTES:
            return True
        if self._waiting:
            return False
        now = time.monotonic()
        if now - self._renewed_at >= RENEWAL_INTERVAL_S:
            self._renewed_at = now
            self._left_bytes = MAX_ITERATION_BYTES
        if self._left_bytes < size:
            return False
        self._left_bytes -= size
        return True

    def wait(self, connection: WaitingConnection) -> None:
        """Process the pieces of a connection in the next iterations."""
        if connection not in self._waiting:
            self._metrics.count("receive_waits")
            self._waiting[connection] = None
            self._schedule()

    def _schedule(self) -> None:
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._handle = None
        self._renewed_at = time.monotonic()
        self._left_bytes = MAX_ITERATION_BYTES
        try:
            while self._waiting and self._left_bytes > 0:
                connection = next(iter(self._waiting))
                del self._waiting[connection]
                self._left_bytes -= connection.process_piece()
                if connection.has_piece:
                    self._waiting[connection] = None
        finally:
            # An unexpected error of one connection leaves the turns of the others.
            if self._waiting:
                self._schedule()
