"""Sink that passes an answer on and keeps a copy."""

from __future__ import annotations

from borageworks.endpoints.sink import Headers, Sink
from borageworks.exceptions import CallerFailedError


class TeeSink:
    """Copies an answer while it is passed to the caller.

    A caller that leaves does not stop the copy: the answer of a non-idempotent request
    is kept for a resend.

    Parameters
    ----------
    sink
        Sink of the caller.
    limit_bytes
        Larger answers are passed on and not kept.
    """

    def __init__(self, sink: Sink, limit_bytes: int) -> None:
        self._sink = sink
        self._limit = limit_bytes
        self._parts: list[bytes] = []
        self._size = 0
        self._status = 0
        self._content_type = ""
        self._caller_error: CallerFailedError | None = None

    @property
    def started(self) -> bool:
        """Whether the caller may have received a byte."""
        return self._sink.started

    @property
    def caller_error(self) -> CallerFailedError | None:
        """Why the caller got only a part, None if it got all."""
        return self._caller_error

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._status

    @property
    def content_type(self) -> str:
        """Content type of the answer."""
        return self._content_type

    @property
    def body(self) -> bytes | None:
        """Copy of the body, None if it is over the limit."""
        return None if self._size > self._limit else b"".join(self._parts)

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self._status = status
        self._content_type = next(
            (value for name, value in headers if name.lower() == "content-type"), ""
        )
        if self._caller_error is None:
            try:
                await self._sink.start(status, headers)
            except CallerFailedError as error:
                self._caller_error = error

    async def write(self, data: bytes) -> None:
        """Send and copy a part of the body."""
        self._size += len(data)
        if self._size <= self._limit:
            self._parts.append(data)
        else:
            self._parts.clear()
        if self._caller_error is None:
            try:
                await self._sink.write(data)
            except CallerFailedError as error:
                self._caller_error = error

    async def finish(self) -> None:
        """Send the end marker."""
        if self._caller_error is None:
            try:
                await self._sink.finish()
            except CallerFailedError as error:
                self._caller_error = error
