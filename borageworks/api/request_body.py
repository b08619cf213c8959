"""Reads the bodies of requests within the memory of the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from borageworks.api.connection import CallerConnection
from borageworks.exceptions import (
    BodyLateError,
    BodyMalformedError,
    BodyTooLargeError,
    InstanceOverloadedError,
)
from borageworks.receiving.body_budget import BodyAllowance
from borageworks.receiving.body_reader import read_available
from borageworks.receiving.memory_account import SMALL_BYTES

# Memory for a body of unknown length is taken in steps of this size, each with an
# eighth more, which a growing `bytearray` allocates ahead.
BODY_STEP_BYTES = 16_384
BODY_STEP_COST_BYTES = BODY_STEP_BYTES * 9 // 8
# Bodies that fill the memory take about a second to arrive.
MEMORY_RETRY_AFTER_S = 0.5
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


def is_small_and_received(http_request: web.BaseRequest) -> bool:
    """Return whether a small body has arrived completely with its head."""
    announced = http_request.content_length
    received = http_request.content.is_eof()
    return received and announced is not None and announced <= SMALL_BYTES


async def read_body(
    http_request: web.BaseRequest,
    max_bytes: int,
    allowance: BodyAllowance,
    deadline: float | None = None,
    on_progress: Callable[[], None] = lambda: None,
) -> bytes | bytearray | None:
    """Return the body of a request, None if it has none.

    Parameters
    ----------
    http_request
        The request.
    max_bytes
        Largest size of its body.
    allowance
        Memory of the request.
    deadline
        Loop time at which the body must be complete, None for any time.
    on_progress
        Called when more of the body has arrived.

    Raises
    ------
    BodyTooLargeError
        If it has more than `max_bytes`.
    BodyMalformedError
        If it is incomplete.
    BodyLateError
        If it is incomplete at the deadline.
    InstanceOverloadedError
        If there is no memory for it; with a stated length, this shows before the body
        is read.
    """
    if not http_request.can_read_body:
        allowance.begin_running()
        return None
    announced = http_request.content_length
    if (announced or 0) > max_bytes:
        raise BodyTooLargeError(f"the body is over {max_bytes} bytes")
    # The rest of a body of unknown length is taken as it arrives.
    first_bytes = BODY_STEP_COST_BYTES if announced is None else announced
    if not await allowance.take_request(first_bytes, announced=announced is not None):
        raise _no_memory()
    if is_small_and_received(http_request):
        body: bytes | bytearray = await _read_received(http_request)
        allowance.begin_running()
        return body
    connection = http_request.protocol
    assert isinstance(connection, CallerConnection)
    connection.body_accounted = announced is not None
    connection.receiving_body = True
    try:
        async with asyncio.timeout_at(deadline) as timeout:
            allowance.begin_receiving(timeout)
            body = await _receive(http_request, max_bytes, allowance, on_progress)
    except TimeoutError as error:
        if allowance.ended:
            raise _no_memory() from error
        raise BodyLateError(
            "the body did not arrive before the deadline of the request"
        ) from error
    finally:
        connection.body_accounted = connection.receiving_body = False
        allowance.begin_running()
    if allowance.ended:
        # The body was completed in the iteration of the loop in which it was chosen,
        # before the timeout took effect.
        raise _no_memory()
    return body


async def _receive(
    http_request: web.BaseRequest,
    max_bytes: int,
    allowance: BodyAllowance,
    on_progress: Callable[[], None],
) -> bytearray:
    """Return a body that has not arrived yet; see `read_body`."""
    if http_request.headers.get("Expect", "").lower() == "100-continue":
        transport = http_request.transport
        if transport is not None:
            transport.write(CONTINUE_RESPONSE)
    connection = http_request.protocol
    assert isinstance(connection, CallerConnection)
    announced = http_request.content_length
    counted = BODY_STEP_BYTES
    body = bytearray()
    try:
        while data := await read_available(http_request.content, connection):
            while announced is None and len(body) + len(data) > counted:
                # Taken before the bytes are kept; nothing more is read meanwhile.
                if not await allowance.take_request(BODY_STEP_COST_BYTES):
                    raise _no_memory()
                counted += BODY_STEP_BYTES
            body += data
            if len(body) > max_bytes:
                raise BodyTooLargeError(f"the body is over {max_bytes} bytes")
            allowance.record_received(len(data))
            on_progress()
    except web.RequestPayloadError as error:
        raise BodyMalformedError(f"the body is incomplete: {error}") from error
    return body


def discard_rest(http_request: web.BaseRequest, response: web.Response) -> None:
    """Close the connection after a refusal if a large body is still arriving.

    Until its caller has read the refusal, the rest is dropped without being parsed. A
    body of unknown length is large once as much of it has arrived.
    """
    length = http_request.content_length
    content = http_request.content
    size = content.total_bytes if length is None else length
    connection = http_request.protocol
    if (
        size > SMALL_BYTES
        and not content.is_eof()
        and isinstance(connection, CallerConnection)
    ):
        response.force_close()
        connection.discard_rest()


async def _read_received(http_request: web.BaseRequest) -> bytes:
    try:
        return await http_request.content.readany()
    except web.RequestPayloadError as error:
        raise BodyMalformedError(f"the body is incomplete: {error}") from error


def _no_memory() -> InstanceOverloadedError:
    return InstanceOverloadedError(
        "the bodies of requests take all the memory that the instance has for them",
        retry_after=MEMORY_RETRY_AFTER_S,
    )
