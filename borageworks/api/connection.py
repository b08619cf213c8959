"""HTTP connection that reports parse errors as problem details."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from aiohttp import web

from borageworks.api.problem import problem_response
from borageworks.events import Event, emit
from borageworks.exceptions import RefusalError, RequestMalformedError, UnexpectedError
from borageworks.receiving.paced_protocol import PacedProtocol
from borageworks.receiving.turns import MAX_PIECE_BYTES, ReceiveTurns

INTERNAL_SERVER_ERROR = 500
MAX_LINE_BYTES = 8_190
# Longer than the idle timeout of common load balancers.
KEEP_ALIVE_TIMEOUT_S = 3630.0
# The library keeps twice as much of a body, and a chunk end for each 16 bytes of it,
# before it stops reading from the connection.
READ_BUFFER_BYTES = 16_384
# Time in which the rest of a refused request is discarded, so that its caller reads the
# refusal before the connection is reset.
DISCARD_TIMEOUT_S = 1.0
# The same without a limit on memory; the default of the library.
LINGERING_TIMEOUT_S = 10.0
# Time for a caller to read what is left of a response that is cut.
ABORT_TIMEOUT_S = 1.0

RefusalCounter = Callable[[RefusalError], None]
ConnectionCallback = Callable[["CallerConnection"], None]


class CallerConnection(PacedProtocol, web.RequestHandler):
    """HTTP connection of one caller.

    aiohttp responds in plain text to requests that it cannot parse; this class sends
    the same problem details as for every other refusal, and counts the refusal.
    """

    __slots__ = (
        "_admitted",
        "_count_refusal",
        "_discarding",
        "_has_received",
        "_head_bytes",
        "_max_head_bytes",
        "_on_lost",
        "_on_made",
        "_peer",
        "_piece_bytes",
        "_received",
        "_received_at",
        "_receiving",
        "_request_in_progress",
        "_turns",
        "_unprocessed",
        "body_accounted",
        "peer_counted",
        "receiving_body",
    )

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        count_refusal: RefusalCounter,
        turns: ReceiveTurns,
        *,
        max_line_bytes: int = MAX_LINE_BYTES,
        max_head_bytes: float = math.inf,
        idle_timeout_s: float = KEEP_ALIVE_TIMEOUT_S,
        discard_timeout_s: float = LINGERING_TIMEOUT_S,
        on_made: ConnectionCallback | None = None,
        on_lost: ConnectionCallback | None = None,
        received: bytes = b"",
        admitted: bool = False,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]  # the annotation omits None
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            keepalive_timeout=idle_timeout_s,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=discard_timeout_s,
        )
        self._turns = turns
        self._unprocessed = bytearray()
        self._piece_bytes = MAX_PIECE_BYTES
        self._count_refusal = count_refusal
        self._on_made = on_made
        self._on_lost = on_lost
        # What was received before the connection was opened.
        self._received = received
        # Whether the request in it has been admitted.
        self._admitted = admitted
        self._peer = ""
        self._received_at = loop.time()
        self._has_received = False
        # Whether the bytes on their way belong to a body whose length was accepted.
        self.body_accounted = False
        # Whether the rest of a request's body is awaited.
        self.receiving_body = False
        # Whether the connection counts toward the limit of its peer address.
        self.peer_counted = False
        self._request_in_progress = False
        self._receiving = False
        self._discarding = False
        # What the parser keeps of the head of a request that is incomplete.
        self._head_bytes = 0
        self._max_head_bytes = max_head_bytes

    @property
    def peer(self) -> str:
        """Address of the caller, without its port."""
        return self._peer

    @property
    def received_at(self) -> float:
        """Loop time at which bytes were last received, or the connection was opened."""
        return self._received_at

    @property
    def ends_with_peer(self) -> bool:
        """Whether the peer's leaving ends what the connection is used for."""
        return self.receiving_body

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller to read them."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def buffered_bytes(self) -> int:
        """Bytes received, not processed and not accounted for otherwise."""
        return 0 if self.body_accounted else super().buffered_bytes

    @property
    def awaits_request(self) -> bool:
        """Whether its first request, or bytes of another, have not been read yet."""
        return not self._has_received or self.has_arriving

    @property
    def has_arriving(self) -> bool:
        """Whether bytes of a request have arrived that have not been read yet."""
        return not self._discarding and self.has_unread

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
        if self._discarding:
            return
        self._receiving = self._has_received = True
        self._received_at = self._loop.time()
        super().data_received(data)

    def _process(self, data: bytes) -> None:
        super()._process(data)
        self._count_head(len(data))

    def _count_head(self, size: int) -> None:
        """Count bytes of an incomplete head, and close the connection over the limit.

        The library limits lines and their number only, which allows 8 MB. Bytes are
        those of a head while the library waits for a request: not while one is handled,
        or the rest of its body is read, so that pipelined requests are not counted.
        """
        waits = self._waiter is not None and not self._waiter.done()
        head_bytes = self._head_bytes + size if waits and not self._messages else 0
        self._set_head_bytes(head_bytes)
        # The piece in which a head ends may contain other bytes.
        if head_bytes > self._max_head_bytes + MAX_PIECE_BYTES:
            self._count_refusal(
                RequestMalformedError(f"the head is over {self._max_head_bytes} bytes")
            )
            self.discard_unprocessed()
            self.abort()

    def _set_head_bytes(self, size: int) -> None:
        self._turns.record_heads(size - self._head_bytes)
        self._head_bytes = size

    def take_admitted(self) -> bool:
        """Return whether the request being handled was admitted before it was parsed.

        Only the first one of a connection may have been.
        """
        admitted, self._admitted = self._admitted, False
        return admitted

    def discard_rest(self) -> None:
        """Read and drop what still arrives until the connection is closed."""
        self._discarding = True
        self.discard_unprocessed()
        self._resume_transport_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the start of the connection."""
        super().connection_made(transport)
        address = transport.get_extra_info("peername")
        self._peer = address[0] if address else ""
        if self._on_made is not None:
            self._on_made(self)
        if self._received:
            received, self._received = self._received, b""
            self.data_received(received)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection.

        What has not been processed is dropped, as no response could be delivered: many
        callers that leave together would otherwise hold the loop for seconds.
        """
        self.discard_unprocessed()
        super().connection_lost(exc)
        self._set_head_bytes(0)
        if self._on_lost is not None:
            self._on_lost(self)

    def close_cut(self) -> None:
        """Close the connection on which a response is cut.

        What was written is sent for `ABORT_TIMEOUT_S` at most. Otherwise a caller that
        does not read would keep the buffer and the descriptor without limit.
        """
        transport = self.transport
        if transport is not None:
            transport.close()
            self._loop.call_later(ABORT_TIMEOUT_S, transport.abort)

    async def start(self) -> None:
        """Handle requests until the connection is closed."""
        try:
            await super().start()
        finally:
            transport = self.transport
            if transport is not None and transport.is_closing():
                self._abort_if_unread(transport)

    def force_close(self) -> None:
        """Close the connection; complete responses are still sent to a reader."""
        transport = self.transport
        super().force_close()
        if transport is not None:
            self._abort_if_unread(transport)

    def _abort_if_unread(self, transport: asyncio.Transport) -> None:
        """Abort a closing transport when its caller takes nothing for a while."""
        unsent = transport.get_write_buffer_size()

        def check() -> None:
            if 0 < transport.get_write_buffer_size() < unsent:
                self._abort_if_unread(transport)
            else:
                transport.abort()

        if unsent:
            self._loop.call_later(ABORT_TIMEOUT_S, check)

    def close_if_idle(self, first_request_s: float = 0.0) -> bool:
        """Close the connection unless a request is handled or being received.

        Parameters
        ----------
        first_request_s
            Seconds for which a new connection may be without a request.

        Returns
        -------
        bool
            Whether it is closed.
        """
        # A request that has been read is handled in the next iteration of the loop.
        busy = self._request_in_progress or self._receiving or bool(self._messages)
        # What arrives while the loop is busy is read in a later iteration.
        busy = busy or self.has_arriving or self._is_new(first_request_s)
        if not busy and self.transport is not None:
            self.transport.close()
            self._abort_if_unread(self.transport)
        return not busy

    def _is_new(self, first_request_s: float) -> bool:
        """Return whether the first request of the connection may be on its way."""
        opened_s = self._loop.time() - self._received_at
        return not self._has_received and opened_s < first_request_s

    def close_if_stalled(self, silent_s: float) -> bool:
        """Close the connection if the head of its request has stopped arriving.

        Returns
        -------
        bool
            Whether it is closed.
        """
        silent = self._loop.time() - self._received_at >= silent_s
        stalled = silent and not (
            self._request_in_progress
            or self._messages
            or self.has_unprocessed
            or self.has_arriving
        )
        if stalled:
            self.abort()
        return stalled

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
