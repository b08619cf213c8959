"""Sink that forwards a response and retains a copy."""

from __future__ import annotations

from borageworks.endpoints.sink import Headers, Sink
from borageworks.exceptions import CallerFailedError


class TeeSink:
    """Copies a response while it is forwarded to the caller.

    Copying continues after the caller has disconnected, since the response of a
    non-idempotent request is retained for resends.

    Parameters
    ----------
    sink
        Sink of the caller.
    limit_bytes
        Maximum body size of a copy; larger responses are only forwarded.
    """

    def __init__(self, sink: Sink, limit_bytes: int) -> None:
        self._sink = sink
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._status = 0
        self._content_type = ""
        self._caller_error: CallerFailedError | None = None

    @property
    def started(self) -> bool:
        """Whether the caller may have received a byte."""
        return self._sink.started

    @property
    def caller_error(self) -> CallerFailedError | None:
        """Why the caller received an incomplete response; None if complete."""
        return self._caller_error

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._status

    @property
    def content_type(self) -> str:
        """Content type of the response."""
        return self._content_type

    @property
    def body(self) -> bytes | None:
        """Copy of the body; None if it exceeds the limit."""
        return None if self._size_bytes > self._limit_bytes else b"".join(self._chunks)

    async def start(self, status: int, headers: Headers) -> None:
        """Forward the status and headers and record them."""
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
        """Forward and copy a chunk of the body."""
        self._size_bytes += len(data)
        if self._size_bytes <= self._limit_bytes:
            self._chunks.append(data)
        else:
            self._chunks.clear()
        if self._caller_error is None:
            try:
                await self._sink.write(data)
            except CallerFailedError as error:
                self._caller_error = error

    async def finish(self) -> None:
        """Mark the forwarded response as complete."""
        if self._caller_error is None:
            try:
                await self._sink.finish()
            except CallerFailedError as error:
                self._caller_error = error
