"""Connector that limits the bytes an endpoint may send outside response bodies."""

from __future__ import annotations

import functools
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler

from borageworks.endpoints.end_checked_handler import EndCheckedHandler
from borageworks.receiving.paced_protocol import PacedProtocol
from borageworks.receiving.turns import MAX_PIECE_BYTES, ReceiveTurns

# Limit for consecutive bytes outside response bodies: response heads, interim (1xx)
# responses and chunk framing. Several times the maximum length of a header field.
MAX_OVERHEAD_BYTES = 65_536


class ResponseOverheadError(aiohttp.ClientError):
    """An endpoint sent too many bytes outside a response body."""


class OverheadLimitedHandler(EndCheckedHandler):
    """Receives responses, and aborts the connection on excessive overhead.

    The HTTP library limits the length of a line and the number of headers. It limits
    neither blank lines and interim responses before a response nor chunk framing.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._overhead_bytes = 0
        self._last_progress: tuple[object, int] = (None, 0)

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._overhead_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Process bytes received from the endpoint."""
        super().data_received(data)
        payload = self._payload
        progress = payload, 0 if payload is None else payload.total_bytes
        if progress != self._last_progress:
            self._last_progress = progress
            self._overhead_bytes = 0
            return
        self._overhead_bytes += len(data)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES and self.transport is not None:
            self._fail_connection()

    def _fail_connection(self) -> None:
        error = ResponseOverheadError(
            f"over {MAX_OVERHEAD_BYTES} bytes received outside a response body"
        )
        self.set_exception(error)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedResponseHandler(PacedProtocol, OverheadLimitedHandler):
    """Receives responses in turns, and none that nobody waits for.

    Parameters
    ----------
    turns
        Gives the connection its turns.
    loop
        Event loop of the connection.
    """

    def __init__(self, turns: ReceiveTurns, loop: Any) -> None:
        super().__init__(loop)
        self._turns = turns
        self._unprocessed = bytearray()
        self._piece_bytes = MAX_PIECE_BYTES
        self._pooled = False

    @property
    def should_close(self) -> bool:
        """Whether the connection cannot be used for another request."""
        return self.has_unprocessed or super().should_close

    def set_pooled(self) -> None:
        """Record that no response is expected until the next request."""
        self._pooled = True

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._pooled = False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Process bytes received from the endpoint."""
        if self._pooled and data:
            # A late copy of a response would be taken for the next one.
            self.abort()
            return
        super().data_received(data)

    def _fail_connection(self) -> None:
        self.discard_unprocessed()
        super()._fail_connection()


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections are aborted on excessive or unexpected bytes.

    Parameters
    ----------
    turns
        Gives the connections turns to process what they have received.
    options
        Arguments of the base class.
    """

    def __init__(self, turns: ReceiveTurns, **options: Any) -> None:
        super().__init__(**options)
        # The library has no public way to choose the protocol of its connections.
        protocol = functools.partial(BoundedResponseHandler, turns, loop=self._loop)
        self._factory = cast(functools.partial[ResponseHandler], protocol)

    def _release(
        self, key: Any, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        if isinstance(protocol, BoundedResponseHandler):
            protocol.set_pooled()
