"""Interface that the HTTP server requires of the router."""

from __future__ import annotations

from typing import Any, Protocol

from borageworks.api.sink import ResponseSink
from borageworks.endpoints.call import Call


class Backend(Protocol):
    """Runs calls and reports the state of the instance."""

    async def run(self, call: Call, sink: ResponseSink) -> None:
        """Run a call and write its response to `sink`, or raise RefusalError."""

    def readiness_blockers(self) -> list[str]:
        """Return the reasons why the instance is not ready; empty if it is ready."""

    def status(self) -> dict[str, Any]:
        """Return the state of the instance for operators."""
