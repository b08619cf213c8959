"""Program that floods one gateway with requests of one organisation."""

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
HEADERS_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
RECONNECT_DELAY_S = 0.1


class FloodCaller(asyncio.Protocol):
    """Connection that sends its next request as soon as it has a response.

    A request costs far less here than in the gateway, so that the gateway is overloaded
    before this process is, however busy the machine is.

    Parameters
    ----------
    caller
        Number of the caller.
    host, path, key
        Host header, path prefix and API key of its requests.
    """

    def __init__(self, caller: int, host: str, path: str, key: str) -> None:
        self.closed = asyncio.Event()
        self._fields = {"caller": caller, "host": host, "path": path, "key": key}
        self._transport: asyncio.Transport | None = None
        self._request_number = 0
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._send_request()

    def connection_lost(self, _error: Exception | None) -> None:
        """Signal that the connection has ended."""
        self.closed.set()

    def data_received(self, data: bytes) -> None:
        """Send the next request once a response is complete."""
        self._received += data
        head, separator, body = self._received.partition(HEADERS_END)
        length = CONTENT_LENGTH.search(head)
        if separator and length and len(body) >= int(length[1]):
            self._received = b""
            self._send_request()

    def _send_request(self) -> None:
        assert self._transport is not None
        self._request_number += 1
        request = REQUEST.format(number=self._request_number, **self._fields)
        self._transport.write(request.encode())


async def run_caller(address: tuple[str, int], caller: int, *target: str) -> None:
    """Run one caller, which reconnects whenever its connection ends."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            transport, protocol = await loop.create_connection(
                lambda: FloodCaller(caller, *target), *address
            )
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY_S)
            continue
        try:
            await protocol.closed.wait()
        finally:
            transport.abort()


async def flood(port: int, callers: int, host: str, path: str, key: str) -> None:
    """Send requests until the process is terminated."""
    address = ("127.0.0.1", port)
    await asyncio.gather(
        *(run_caller(address, caller, host, path, key) for caller in range(callers))
    )


if __name__ == "__main__":
    asyncio.run(flood(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:6]))
