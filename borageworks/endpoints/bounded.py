"""Connections that end when an endpoint sends bytes that are no answer."""

from __future__ import annotations

import functools
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Bytes that may arrive without becoming part of a body: the head of an answer, interim
# answers, and the framing of chunks. Several times the longest header field.
MAX_OVERHEAD_BYTES = 65_536


class AnswerOverheadError(aiohttp.ClientError):
    """An endpoint sent too many bytes that are no part of a body."""


class BoundedResponseHandler(ResponseHandler):
    """Receives answers, and ends the connection when bytes bring none closer.

    The HTTP library bounds the length of a line and the number of headers. It does not
    bound blank lines and interim answers before an answer, nor the framing of chunks.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._overhead = 0
        self._reached: tuple[object, int] = (None, 0)

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request."""
        self._overhead = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the endpoint."""
        super().data_received(data)
        payload = self._payload
        reached = payload, 0 if payload is None else payload.total_bytes
        if reached != self._reached:
            self._reached = reached
            self._overhead = 0
            return
        self._overhead += len(data)
        if self._overhead > MAX_OVERHEAD_BYTES and self.transport is not None:
            self._give_up()

    def _give_up(self) -> None:
        error = AnswerOverheadError(
            f"over {MAX_OVERHEAD_BYTES} bytes that are no part of an answer"
        )
        self.set_exception(error)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections end when bytes bring no answer closer."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The library has no public way to choose the protocol of its connections.
        protocol = functools.partial(BoundedResponseHandler, loop=self._loop)
        self._factory = cast(functools.partial[ResponseHandler], protocol)
