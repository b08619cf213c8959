"""Reads bodies of many small chunks at the cost of their bytes."""

from __future__ import annotations

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol


async def read_available(content: StreamReader, protocol: BaseProtocol) -> bytes:
    """Return what has arrived of a body, empty at its end.

    `StreamReader.readany` resumes the connection once for each chunk and keeps the ends
    of chunks; 180 connections with chunks of one byte held the process for a minute.
    The library has no public way to take all chunks at once.

    Parameters
    ----------
    content
        Body, of which everything is read by this function.
    protocol
        Its connection, which is resumed if the library has paused it.
    """
    while not content._buffer and not content.is_eof():
        error = content.exception()
        if error is not None:
            raise error
        await content._wait("read_available")
    error = content.exception()
    if error is not None:
        raise error
    data = b"".join(content._buffer)
    content._buffer.clear()
    content._size = 0
    content._cursor += len(data)
    if content._http_chunk_splits:
        content._http_chunk_splits.clear()
    if protocol._reading_paused:
        protocol.resume_reading()
    return data
