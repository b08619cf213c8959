"""Writing of responses to the caller's connection."""

from __future__ import annotations

import asyncio

from aiohttp import web

from borageworks.api.connection import CallerConnection
from borageworks.endpoints.sink import Headers
from borageworks.exceptions import CallerDisconnectedError, CallerStalledError

# A caller that has stopped reading must not occupy an endpoint slot for longer.
STALL_TIMEOUT_S = 30.0


class ResponseSink:
    """Writes the response to one HTTP request.

    Parameters
    ----------
    request
        The caller's request.
    request_id
        Value of the header ``X-Request-Id``.
    close_after
        Whether to close the connection after the response.
    """

    def __init__(
        self, request: web.BaseRequest, request_id: str, *, close_after: bool = False
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._close_after = close_after
        self._response: web.StreamResponse | None = None
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether the caller may have received a byte."""
        return self._response is not None

    @property
    def finished(self) -> bool:
        """Whether the response was sent to its end."""
        return self._finished

    @property
    def response(self) -> web.StreamResponse:
        """The response; only valid after `start`."""
        assert self._response is not None
        return self._response

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; does nothing if a previous attempt sent them."""
        if self._response is not None:
            return
        self._response = web.StreamResponse(status=status)
        for name, value in headers:
            self._response.headers.add(name, value)
        self._response.headers["X-Request-Id"] = self._request_id
        if self._close_after:
            self._response.force_close()
        try:
            await self._response.prepare(self._request)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body and wait until the connection accepts more."""
        if not data:
            return
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                await self.response.write(data)
        except TimeoutError as error:
            raise CallerStalledError(
                f"the caller accepted no data for {STALL_TIMEOUT_S:g} s"
            ) from error
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error

    async def finish(self) -> None:
        """Send the end of the body."""
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                await self.response.write_eof()
        except TimeoutError as error:
            raise CallerStalledError(
                f"the caller accepted no data for {STALL_TIMEOUT_S:g} s"
            ) from error
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error
        self._finished = True

    def abort(self) -> None:
        """Close the connection without the end of the body, so truncation shows."""
        protocol = self._request.protocol
        if isinstance(protocol, CallerConnection):
            protocol.close_cut()
        elif self._request.transport is not None:
            self._request.transport.close()
