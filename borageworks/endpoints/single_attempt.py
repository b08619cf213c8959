"""Requests that the HTTP library sends at most once, and only if still wanted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aiohttp

from borageworks.exceptions import EndpointDeclinedError


def always() -> bool:
    """Return that a request is to be sent."""
    return True


class CheckedRequest(aiohttp.ClientRequest):
    """Request that is checked once more when its connection is open.

    Opening a connection may take a second, in which the endpoint may have stated that
    it wants no requests.
    """

    is_wanted: Callable[[], bool] = staticmethod(always)

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Send the request on a connection.

        Raises
        ------
        EndpointDeclinedError
            If the request is not wanted any more; nothing was sent.
        """
        if not self.is_wanted():
            raise EndpointDeclinedError("declined while a connection was opened")
        return await super().send(conn)


class SingleAttempt:
    """Client middleware that disables automatic retries of the HTTP library.

    The library retries GET, PUT, DELETE and similar methods once after a lost
    connection. This could run a non-idempotent service twice and bypasses the retry
    budgets.

    Parameters
    ----------
    is_wanted
        Returns whether the request is to be sent, once its connection is open.
    """

    def __init__(self, is_wanted: Callable[[], bool] = always) -> None:
        self._is_wanted = is_wanted
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request on the first call, and raise on any later one."""
        if self._sent:
            raise aiohttp.ServerDisconnectedError("connection lost")
        self._sent = True
        if isinstance(request, CheckedRequest):
            request.is_wanted = self._is_wanted
        return await handler(request)
