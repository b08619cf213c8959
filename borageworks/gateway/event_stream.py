"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.exceptions import EndpointReplyMalformedError

_TERMINATORS = (b"\n\n", b"\r\n\r\n")
MAX_TERMINATOR_BYTES = 4
# Hundreds of times the size of an event with a few tokens.
MAX_EVENT_BYTES = 65_536
_ID_PREFIX = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Raw bytes of one event, and its numeric id or None."""

    data: bytes
    id: int | None


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Parameters
    ----------
    max_bytes
        Maximum size of an event.
    """

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_bytes = max_bytes
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
            If an incomplete event is larger than the maximum.
        """
        # A terminator may be split between the buffer and the new bytes.
        search_start = max(len(self._buffer) - MAX_TERMINATOR_BYTES + 1, 0)
        self._buffer += data
        events: list[StreamEvent] = []
        while (end := _event_end(self._buffer, search_start)) > 0:
            block = bytes(self._buffer[:end])
            del self._buffer[:end]
            search_start = 0
            events.append(StreamEvent(block, _event_id(block)))
        if len(self._buffer) > self._max_bytes:
            raise EndpointReplyMalformedError(
                f"event is larger than {self._max_bytes} bytes"
            )
        return events


def _event_end(data: bytearray, search_start: int) -> int:
    """Return the end offset of the first event, 0 if it is incomplete."""
    ends = [
        position + len(terminator)
        for terminator in _TERMINATORS
        if (position := data.find(terminator, search_start)) >= 0
    ]
    return min(ends, default=0)


def _event_id(block: bytes) -> int | None:
    for line in block.splitlines():
        if line.startswith(_ID_PREFIX):
            text = line[len(_ID_PREFIX) :].strip()
            return int(text) if text.isdigit() else None
    return None
