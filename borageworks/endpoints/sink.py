"""Where an endpoint client writes the answer."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

Headers = Sequence[tuple[str, str]]


class Sink(Protocol):
    """Receives one answer, in order."""

    @property
    def started(self) -> bool:
        """Whether the caller may have received a byte."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Send the end marker."""
