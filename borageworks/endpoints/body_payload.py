"""Body of a request that is sent without copies of it."""

from __future__ import annotations

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

# Up to this size, the head and the body of a request are sent together.
MAX_JOINED_BYTES = 65_536


class BodyPayload(BytesPayload):
    """Body of a request that is sent without copies of it.

    The library copies a body to cut it to its length, and again to send it with the
    head. Both stay in memory until the endpoint has read them.
    """

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, or as much of it as the length allows."""
        writer.send_headers()
        await writer.write(memoryview(self._value)[:content_length])


def body_payload(
    body: bytes | bytearray | None,
) -> bytes | bytearray | BodyPayload | None:
    """Return what the library is given to send a body."""
    if body is None or len(body) <= MAX_JOINED_BYTES:
        return body
    return BodyPayload(body)
