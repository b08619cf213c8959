"""Writes log events to a file descriptor without blocking on its reader."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import Any

import eliot
import orjson

from borageworks.events import Event
from borageworks.metrics import Metrics

# Bounds memory while the reader is paused; further lines are dropped.
MAX_BUFFERED_LINES = 2000
# About twice the rate of an instance under usual load; bounds the cost of log floods.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 600.0
# Token bucket capacity reserved for events about the process. During an incident,
# hundreds of lines about single requests would otherwise displace them.
RESERVED_LINES = 100.0
REQUEST_EVENTS = frozenset(
    event.number
    for event in (
        Event.REQUEST_REFUSED,
        Event.REQUEST_RETRIED,
        Event.ANSWER_DROPPED,
        Event.ANSWER_CUT,
        Event.REQUEST_ENDED,
        Event.ATTEMPT_FAILED,
        Event.REQUEST_PLACED,
        Event.PLACED_ALONE,
    )
)


class LogWriter:
    """Log destination that never blocks.

    Lines over the rate limit or the buffer size are dropped and counted, those about
    single requests first; the next line written is preceded by one with the number
    dropped.

    Parameters
    ----------
    descriptor
        Open file descriptor, which becomes non-blocking.
    metrics
        Counts dropped lines.
    instance
        Name of the instance, added to each line.
    """

    def __init__(self, descriptor: int, metrics: Metrics, instance: str) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._metrics = metrics
        self._lines: deque[bytes] = deque()
        self._tokens = MAX_BURST_LINES + RESERVED_LINES
        self._refilled_at = 0.0
        self._dropped = 0
        self._scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Receive log messages on the running loop."""
        self._loop = asyncio.get_running_loop()
        self._refilled_at = self._loop.time()
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.write)

    def stop(self) -> None:
        """Write what the descriptor accepts without blocking and stop."""
        self._flush()
        eliot.remove_destination(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Buffer one message for writing, or drop and count it."""
        assert self._loop is not None
        now = self._loop.time()
        self._tokens = min(
            self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S,
            MAX_BURST_LINES + RESERVED_LINES,
        )
        self._refilled_at = now
        reserved = RESERVED_LINES if message.get("event") in REQUEST_EVENTS else 0.0
        if self._tokens < 1.0 + reserved or len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            self._metrics.count("log_lines_dropped")
            return
        self._tokens -= 1.0
        if self._dropped:
            event_number, event_name = Event.LOG_LINES_DROPPED.value
            self._lines.append(
                orjson.dumps(
                    {
                        "message_type": f"borageworks:{event_name}",
                        "event": event_number,
                        "timestamp": message.get("timestamp"),
                        "instance": self._instance,
                        "lines": self._dropped,
                    }
                )
                + b"\n"
            )
            self._dropped = 0
        fields = {"instance": self._instance}
        fields |= {
            name: value
            for name, value in message.items()
            if name not in ("task_uuid", "task_level")
        }
        self._lines.append(orjson.dumps(fields, default=repr) + b"\n")
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        assert self._loop is not None
        self._scheduled = False
        while self._lines:
            data = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._scheduled = True
                self._loop.call_later(0.05, self._flush)
                return
            except OSError:
                # The reader is gone; only the metrics can report the loss.
                self._metrics.count("log_lines_dropped", amount=len(self._lines))
                self._lines.clear()
                return
            self._lines.clear()
            if written < len(data):
                self._lines.append(data[written:])
