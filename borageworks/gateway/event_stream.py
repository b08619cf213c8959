"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from dataclasses import dataclass

from borageworks.exceptions import EndpointReplyMalformedError

# Blank lines that follow the end of an event say nothing, so they are taken with it:
# otherwise each of them would count as an event.
_EVENT_END = re.compile(rb"(?:\n\n|\r\n\r\n)[\r\n]*")
MAX_TERMINATOR_BYTES = 4
# Hundreds of times the size of an event with a few tokens.
MAX_EVENT_BYTES = 65_536
# Comments and blank lines that keep a connection alive need far fewer bytes.
MAX_FILLER_BYTES = 65_536
_DATA_LINE = re.compile(rb"(?:^|[\r\n])data")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
# Digits of a 64-bit number.
MAX_ID_DIGITS = 19


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Raw bytes of one event, and its numeric id or None."""

    data: bytes
    id: int | None


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Each byte is scanned once, whatever the size of the events.

    Parameters
    ----------
    max_bytes
        Maximum size of an event.
    max_filler_bytes
        Maximum bytes one after the other that contain no event with data.
    """

    def __init__(
        self,
        max_bytes: int = MAX_EVENT_BYTES,
        max_filler_bytes: int = MAX_FILLER_BYTES,
    ) -> None:
        self._max_bytes = max_bytes
        self._max_filler_bytes = max_filler_bytes
        self._filler_bytes = 0
        self._buffer = bytearray()

    @property
    def incomplete(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events completed by them.

        Raises
        ------
        EndpointReplyMalformedError
            If an incomplete event is larger than the maximum, or too many bytes
            contain no data.
        """
        # A terminator may be split between the buffer and the new bytes.
        search_start = max(len(self._buffer) - MAX_TERMINATOR_BYTES + 1, 0)
        self._buffer += data
        events: list[StreamEvent] = []
        start = 0
        for terminator in _EVENT_END.finditer(self._buffer, search_start):
            block = bytes(self._buffer[start : terminator.end()])
            events.append(StreamEvent(block, _event_id(block)))
            start = terminator.end()
        if start:
            self._count_filler(start)
        del self._buffer[:start]
        if len(self._buffer) > self._max_bytes:
            raise EndpointReplyMalformedError(
                f"event is larger than {self._max_bytes} bytes"
            )
        return events

    def _count_filler(self, end: int) -> None:
        """Count the bytes of complete events up to `end`, unless they have data."""
        if _DATA_LINE.search(self._buffer, 0, end):
            self._filler_bytes = 0
            return
        self._filler_bytes += end
        if self._filler_bytes > self._max_filler_bytes:
            raise EndpointReplyMalformedError(
                f"over {self._max_filler_bytes} bytes contain no data"
            )


def _event_id(block: bytes) -> int | None:
    line = _ID_LINE.search(block)
    if line is None:
        return None
    text = line[1].strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
