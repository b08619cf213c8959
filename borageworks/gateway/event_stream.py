"""Splits an event stream into whole events."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.exceptions import EndpointReplyMalformedError

_ENDS = (b"\n\n", b"\r\n\r\n")
LONGEST_END = 4
# Hundreds of times an event with a few tokens.
MAX_EVENT_BYTES = 65_536
_ID = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its bytes, and its id or None."""

    data: bytes
    id: int | None


class EventSplitter:
    """Collects bytes of a stream and returns the events that are complete.

    Parameters
    ----------
    limit
        Largest event in bytes.
    """

    def __init__(self, limit: int = MAX_EVENT_BYTES) -> None:
        self._limit = limit
        self._buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not complete."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        EndpointReplyMalformedError
            If an event is over the limit.
        """
        # The end of an event may have begun before these bytes.
        searched = max(len(self._buffer) - LONGEST_END + 1, 0)
        self._buffer += data
        events: list[StreamEvent] = []
        while (end := _end(self._buffer, searched)) > 0:
            block = bytes(self._buffer[:end])
            del self._buffer[:end]
            searched = 0
            events.append(StreamEvent(block, _event_id(block)))
        if len(self._buffer) > self._limit:
            raise EndpointReplyMalformedError(f"event over {self._limit} bytes")
        return events


def _end(data: bytearray, searched: int) -> int:
    """Return where the first event ends, 0 if it has no end yet."""
    found = [
        position + len(end)
        for end in _ENDS
        if (position := data.find(end, searched)) >= 0
    ]
    return min(found, default=0)


def _event_id(block: bytes) -> int | None:
    for line in block.splitlines():
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
