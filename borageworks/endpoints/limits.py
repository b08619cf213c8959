"""Reads answers of bounded size."""

from __future__ import annotations

import aiohttp

from borageworks.exceptions import EndpointReplyMalformedError

MAX_ANSWER_BYTES = 64 * 1_048_576


async def read_bounded(
    response: aiohttp.ClientResponse, limit: int = MAX_ANSWER_BYTES
) -> bytes:
    """Return the whole body.

    Parameters
    ----------
    response
        Answer whose head has arrived.
    limit
        Largest body in bytes.

    Raises
    ------
    EndpointReplyMalformedError
        If the body is over the limit.
    """
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit:
            response.close()
            raise EndpointReplyMalformedError(f"answer over {limit} bytes")
        parts.append(part)
    return b"".join(parts)
