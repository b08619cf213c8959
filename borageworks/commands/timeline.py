"""Selects the log events of one request and those that may explain its outcome."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson

from borageworks.events import Event

# Events within this time before or after a request may explain its outcome.
CONTEXT_S = 5.0
_OMITTED_FIELDS = frozenset(
    ("timestamp", "instance", "event", "message_type", "request_id")
)
# Events that may affect every request of an instance.
_INSTANCE_WIDE_EVENTS = frozenset(
    event.number
    for event in (
        Event.INSTANCE_STARTED,
        Event.INSTANCE_STOPPING,
        Event.LOG_LINES_DROPPED,
        Event.DEPLOYMENT_CHANGED,
        Event.DEPLOYMENT_REJECTED,
        Event.STORE_DOWN,
        Event.STORE_UP,
        Event.PLACEMENT_MOVED,
        Event.PLACED_ALONE,
    )
)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One log event."""

    timestamp: float
    instance: str
    event: int
    name: str
    fields: dict[str, Any]


def read_entries(lines: Iterable[bytes]) -> tuple[list[LogEntry], int]:
    """Return the events of log lines in chronological order, and the number of others.

    A log collector may have added a prefix to each line.
    """
    entries: list[LogEntry] = []
    skipped = 0
    for line in lines:
        if not line.strip():
            continue
        entry = _parse_entry(line[line.find(b"{") :])
        if entry is None:
            skipped += 1
        else:
            entries.append(entry)
    entries.sort(key=lambda entry: entry.timestamp)
    return entries, skipped


def _parse_entry(line: bytes) -> LogEntry | None:
    try:
        fields = orjson.loads(line)
        return LogEntry(
            timestamp=float(fields["timestamp"]),
            instance=str(fields.get("instance", "")),
            event=int(fields["event"]),
            name=str(fields["message_type"]).removeprefix("borageworks:"),
            fields=fields,
        )
    except (ValueError, KeyError, TypeError):
        return None


class RequestTimeline:
    """The events of one request, with those that may explain its outcome.

    Parameters
    ----------
    request_id
        Request to explain.
    entries
        Events of all instances in chronological order.
    """

    def __init__(self, request_id: str, entries: list[LogEntry]) -> None:
        self._matches = [
            entry for entry in entries if entry.fields.get("request_id") == request_id
        ]
        self._entries = entries

    @property
    def found(self) -> bool:
        """Whether any event has the request's ID."""
        return bool(self._matches)

    def lines(self) -> Iterator[str]:
        """Yield one line per event; `*` marks the events of the request itself."""
        if not self._matches:
            return
        first = self._matches[0].timestamp - self._matches[0].fields.get("taken_s", 0.0)
        last = self._matches[-1].timestamp
        instances = {entry.instance for entry in self._matches}
        instances |= {str(entry.fields.get("placed_by", "")) for entry in self._matches}
        endpoints = {entry.fields.get("endpoint") for entry in self._matches} - {
            "",
            None,
        }
        # The attempt that began a stream which the request resumes, and the stream.
        origins = {entry.fields.get("resumed_attempt") for entry in self._matches}
        streams = {entry.fields.get("stream") for entry in self._matches} - {"", None}
        for entry in self._entries:
            if entry.fields.get("request_id") in origins - {None}:
                yield _format_entry(entry, entry.timestamp - first, False)
                continue
            if not first - CONTEXT_S <= entry.timestamp <= last + CONTEXT_S:
                continue
            of_request = entry in self._matches
            instance_wide = (
                entry.event in _INSTANCE_WIDE_EVENTS and entry.instance in instances
            )
            of_endpoint = (
                entry.fields.get("endpoint") in endpoints
                and "request_id" not in entry.fields
            )
            of_stream = entry.fields.get("stream") in streams
            if of_request or instance_wide or of_endpoint or of_stream:
                yield _format_entry(entry, entry.timestamp - first, of_request)


def _format_entry(entry: LogEntry, offset_s: float, of_request: bool) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in entry.fields.items()
        if name not in _OMITTED_FIELDS and value not in ("", None)
    )
    marker = "*" if of_request else " "
    return f"{marker} {offset_s:+9.3f} s  {entry.instance}  {entry.name}  {details}"
