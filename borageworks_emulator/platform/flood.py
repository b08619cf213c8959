"""Program whose callers ask one gateway again and again, for one organisation."""

from __future__ import annotations

import asyncio
import re
import sys

REQUEST = (
    "GET {path}{number} HTTP/1.1\r\n"
    "Host: {host}\r\n"
    "Authorization: Token {key}\r\n"
    "X-Borageworks-Attempt-Id: f{caller}-{number}\r\n"
    "X-Borageworks-Deadline-Remaining: 3000\r\n\r\n"
)
HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
RECONNECT_S = 0.1


class FloodCaller(asyncio.Protocol):
    """Connection that asks again as soon as it has an answer.

    It costs a small part of what the gateway does for a request, so that the gateway is
    the first to have more work than it can do, however busy the machine is.

    Parameters
    ----------
    caller
        Number of the caller.
    host, path, key
        Host header, beginning of the path, and API key of its requests.
    """

    def __init__(self, caller: int, host: str, path: str, key: str) -> None:
        self.closed = asyncio.Event()
        self._fields = {"caller": caller, "host": host, "path": path, "key": key}
        self._transport: asyncio.Transport | None = None
        self._number = 0
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._ask()

    def connection_lost(self, _error: Exception | None) -> None:
        """Note that the connection has ended."""
        self.closed.set()

    def data_received(self, data: bytes) -> None:
        """Ask again once an answer is whole."""
        self._received += data
        head, end, body = self._received.partition(HEAD_END)
        length = LENGTH.search(head)
        if end and length and len(body) >= int(length[1]):
            self._received = b""
            self._ask()

    def _ask(self) -> None:
        assert self._transport is not None
        self._number += 1
        request = REQUEST.format(number=self._number, **self._fields)
        self._transport.write(request.encode())


async def keep_asking(address: tuple[str, int], caller: int, *target: str) -> None:
    """Keep one caller's connection open, with a new one whenever it ends."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            transport, protocol = await loop.create_connection(
                lambda: FloodCaller(caller, *target), *address
            )
        except OSError:
            await asyncio.sleep(RECONNECT_S)
            continue
        try:
            await protocol.closed.wait()
        finally:
            transport.abort()


async def flood(port: int, callers: int, host: str, path: str, key: str) -> None:
    """Ask until the process is ended."""
    address = ("127.0.0.1", port)
    await asyncio.gather(
        *(keep_asking(address, caller, host, path, key) for caller in range(callers))
    )


if __name__ == "__main__":
    asyncio.run(flood(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:6]))
