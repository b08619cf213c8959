"""Reads response bodies up to a size limit."""

from __future__ import annotations

import aiohttp

from borageworks.exceptions import EndpointReplyMalformedError

MAX_RESPONSE_BYTES = 64 * 1_048_576


async def read_bounded(
    response: aiohttp.ClientResponse, limit: int = MAX_RESPONSE_BYTES
) -> bytes:
    """Return the complete body.

    Parameters
    ----------
    response
        Response whose head has been received.
    limit
        Maximum size of the body in bytes.

    Raises
    ------
    EndpointReplyMalformedError
        If the body exceeds the limit.
    """
    chunks: list[bytes] = []
    received_bytes = 0
    async for chunk in response.content.iter_any():
        received_bytes += len(chunk)
        if received_bytes > limit:
            response.close()
            raise EndpointReplyMalformedError(f"response body exceeds {limit} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
