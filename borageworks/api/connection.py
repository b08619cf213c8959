"""HTTP connection that reports parse errors as problem details."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from borageworks.api.problem import problem_response
from borageworks.events import Event, emit
from borageworks.exceptions import RefusalError, RequestMalformedError, UnexpectedError
from borageworks.receiving.paced_protocol import PacedProtocol
from borageworks.receiving.turns import ReceiveTurns

INTERNAL_SERVER_ERROR = 500
MAX_LINE_BYTES = 8_190
# Longer than the idle timeout of common load balancers.
KEEP_ALIVE_TIMEOUT_S = 3630.0

RefusalCounter = Callable[[RefusalError], None]
LostCallback = Callable[["CallerConnection"], None]


class CallerConnection(PacedProtocol, web.RequestHandler):
    """HTTP connection of one caller.

    aiohttp responds in plain text to requests that it cannot parse; this class sends
    the same problem details as for every other refusal, and counts the refusal.
    """

    __slots__ = (
        "_count_refusal",
        "_on_lost",
        "_receiving",
        "_request_in_progress",
        "_turns",
        "_unprocessed",
    )

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        count_refusal: RefusalCounter,
        turns: ReceiveTurns,
        *,
        max_line_bytes: int = MAX_LINE_BYTES,
        idle_timeout_s: float = KEEP_ALIVE_TIMEOUT_S,
        on_lost: LostCallback | None = None,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]  # the annotation omits None
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            keepalive_timeout=idle_timeout_s,
            auto_decompress=False,
        )
        self._turns = turns
        self._unprocessed = bytearray()
        self._count_refusal = count_refusal
        self._on_lost = on_lost
        self._request_in_progress = False
        self._receiving = False

    @property
    def request_in_progress(self) -> bool:
        """Whether a request is being handled."""
        return self._request_in_progress

    @request_in_progress.setter
    def request_in_progress(self, value: bool) -> None:
        self._request_in_progress = value
        if not value:
            self._receiving = self.has_unprocessed

    def data_received(self, data: bytes) -> None:
        """Process bytes received from the caller."""
        self._receiving = True
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exc)
        if self._on_lost is not None:
            self._on_lost(self)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is handled or being received."""
        # A request that has been read is handled in the next iteration of the loop.
        busy = self._request_in_progress or self._receiving or self._messages
        if not busy and self.transport is not None:
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that could not be parsed or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError(
                "cannot send an error: the response has already begun"
            )
        refusal: RefusalError
        if status == INTERNAL_SERVER_ERROR:
            emit(Event.TASK_FAILED, task="request", error=repr(exc))
            refusal = UnexpectedError("internal error of the router; see its log")
        else:
            reason = (message or "").partition("\n")[0].rstrip(":")
            refusal = RequestMalformedError(
                reason or "the HTTP request cannot be parsed"
            )
        self._count_refusal(refusal)
        response = problem_response(refusal, "")
        response.force_close()
        return response
