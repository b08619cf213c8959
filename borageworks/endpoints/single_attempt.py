"""Disables automatic retries of the HTTP library."""

from __future__ import annotations

import aiohttp


class SingleAttempt:
    """Client middleware that disables automatic retries of the HTTP library.

    The library retries GET, PUT, DELETE and similar methods once after a lost
    connection. This could run a non-idempotent service twice and bypasses the retry
    budgets.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request on the first call, and raise on any later one."""
        if self._sent:
            raise aiohttp.ServerDisconnectedError("connection lost")
        self._sent = True
        return await handler(request)
