"""Interface through which endpoint clients write responses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

Headers = Sequence[tuple[str, str]]


class Sink(Protocol):
    """Receives one response, in order."""

    @property
    def started(self) -> bool:
        """Whether the caller may have received a byte."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """Mark the response as complete."""
