"""Distinguishes the end of a response from the loss of its connection."""

from __future__ import annotations

from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from borageworks.endpoints.response_status import FINAL_STATUSES
from borageworks.endpoints.sockets import unacknowledged_bytes

# Time in which an endpoint may take the rest of a request that it has responded to.
REST_TIMEOUT_S = 1.0


class EndCheckedHandler(ResponseHandler):
    """Receives responses, and takes none for complete that was broken off.

    A response without a length ends with its connection. The HTTP library takes any
    loss of the connection for that end. Here it is complete only if the endpoint closed
    the connection orderly after its system had received the whole request: an endpoint
    that closes earlier resets the connection, and if the reset comes behind the close,
    it shows only as an error of a write, or not at all.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._ends_with_connection = False
        self._ended_early = False

    @property
    def should_close(self) -> bool:
        """Whether the connection cannot be used for another request."""
        return super().should_close or self._is_sending

    @property
    def _is_sending(self) -> bool:
        """Whether the endpoint's system has not received the whole request yet."""
        return self.transport is not None and unacknowledged_bytes(self.transport) > 0

    @property
    def _is_receiving(self) -> bool:
        return self._payload is None or not self._payload.is_eof()

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        # The body of the previous response would pass for a complete one.
        self._payload = None
        self._ends_with_connection = False
        super().set_response_params(**params)

    def close(self) -> None:
        """Close the connection; the rest of a request is sent for a limited time.

        An endpoint that has responded early may read the rest slowly or not at all.
        """
        transport = self.transport
        super().close()
        if transport is not None and transport.get_write_buffer_size():
            self._loop.call_later(REST_TIMEOUT_S, transport.abort)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on the head of a response with its body."""
        message, _ = data
        if message.code not in FINAL_STATUSES and message.code // 100 != 1:
            # Where such a response ends is not certain.
            self.force_close()
        self._ends_with_connection = (
            not message.chunked and "Content-Length" not in message.headers
        )
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """Process that the endpoint sends nothing more."""
        super().eof_received()
        if self._is_receiving and self._is_sending:
            # Otherwise the transport would first send the rest of the request.
            self._ended_early = True
            assert self.transport is not None
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Process the end of the connection."""
        broken_off = exc is not None or self._ended_early
        if self._ends_with_connection and broken_off and self._is_receiving:
            reason = "reset" if exc is None else repr(exc)
            if self._payload is not None:
                self._payload.set_exception(
                    aiohttp.ClientPayloadError(
                        f"response without a length was broken off: {reason}"
                    )
                )
        super().connection_lost(exc)
