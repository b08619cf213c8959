"""Limits the received bytes that are processed in one iteration of the event loop."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from borageworks.metrics import Metrics
from borageworks.receiving.loop_watch import LoopWatch

# Bytes processed for one connection before that of the next.
MAX_PIECE_BYTES = 4_096
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
        self._running = False
        self._handle: asyncio.Handle | None = None

    @property
    def watch(self) -> LoopWatch:
        """Names what has held the loop."""
        return self._watch

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
                connection.process_piece()
                if connection.has_piece:
                    self._waiting[connection] = None
                self._left_s -= time.perf_counter() - started
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
