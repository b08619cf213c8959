"""What the HTTP interface needs from the daemon."""

from __future__ import annotations

from typing import Any, Protocol

from borageworks.api.sink import ResponseSink
from borageworks.endpoints.call import Call


class Frontend(Protocol):
    """Runs calls and tells the state of the instance."""

    async def run(self, call: Call, sink: ResponseSink) -> None:
        """Run a call and write its answer, or raise RefusalError."""

    def lacking(self) -> list[str]:
        """Return why the instance is not ready; empty when it is."""

    def status(self) -> dict[str, Any]:
        """Return the state of the instance for operators."""
