"""Emulated callers that resume broken streams, and engines that break them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from borageworks_emulator.platform.endpoint import (
    Behaviour,
    EmulatedEndpoint,
    event_bytes,
)
from borageworks_emulator.platform.harness import Harness, configuration

STREAM_EVENTS = 5
RESUMES_HEADER = "Resumes"
LAST_EVENT_HEADER = "Last-Event-Id"


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """What a caller received of a stream.

    Parameters
    ----------
    attempt
        Id of the request.
    status
        HTTP status, 0 if the connection broke.
    body
        Bytes received.
    complete
        Whether the response ended regularly.
    """

    attempt: str
    status: int
    body: bytes
    complete: bool

    @property
    def events(self) -> int:
        """Number of events received."""
        return self.body.count(b"id: ")


def whole_stream(first: int = 0) -> bytes:
    """Return the events of a stream from one on."""
    return b"".join(event_bytes(number) for number in range(first, STREAM_EVENTS))


def bodies(answers: Iterable[StreamAnswer]) -> set[bytes]:
    """Return the bodies of the answers that have any events."""
    return {answer.body for answer in answers if answer.events}


def engine(
    name: str,
    version: str,
    behaviour_of: Callable[[web.BaseRequest], Behaviour] | None = None,
) -> EmulatedEndpoint:
    """Return an engine with a version of its software."""
    emulated = EmulatedEndpoint(name, behaviour_of)
    emulated.software_version = version
    return emulated


def breaking_engine(name: str, version: str, after: int = 2) -> EmulatedEndpoint:
    """Return an engine that resets each new stream after some events."""

    def behave(request: web.BaseRequest) -> Behaviour:
        resumed = LAST_EVENT_HEADER in request.headers
        return Behaviour(reset_after_events=None if resumed else after)

    return engine(name, version, behave)


def continuing_engine(name: str, version: str) -> EmulatedEndpoint:
    """Return an engine that refuses new streams and goes on with others."""
    return engine(
        name,
        version,
        lambda request: Behaviour(not_run=LAST_EVENT_HEADER not in request.headers),
    )


def new_runs(engines: Iterable[EmulatedEndpoint]) -> set[str]:
    """Return the ids of the runs of some engines that began a stream."""
    return {
        run.id
        for emulated in engines
        for run in emulated.runs
        if LAST_EVENT_HEADER not in run.headers
    }


def resumed_runs(engines: Iterable[EmulatedEndpoint]) -> set[str]:
    """Return the attempts whose streams callers resumed at some engines."""
    return {
        run.headers[RESUMES_HEADER]
        for emulated in engines
        for run in emulated.runs
        if RESUMES_HEADER in run.headers and LAST_EVENT_HEADER in run.headers
    }


def stores(harness: Harness, kind: str) -> bool:
    """Return whether the store holds a key of the gateway of some kind."""
    return any(key.startswith(f"borageworks/{kind}/") for key in harness.store.keys)


async def allow_attempts(harness: Harness, count: int) -> None:
    """Configure how many engines an attempt of a caller may be sent to."""
    changed = configuration(2)
    for route in changed["routes"]:
        route["max_attempts"] = count
    await harness.configure(changed)
    await harness.wait_until_current()


async def receive(
    harness: Harness, path: str = "/resume/", **headers: str
) -> StreamAnswer:
    """Send a request and return what was received of its stream."""
    sent = harness.request_headers(**headers)
    attempt = sent["X-Borageworks-Attempt-Id"]
    # Requests that share nothing are not taken for those that crash engines.
    sent["X-Borageworks-Prompt-Prefix"] = f"{attempt.encode().hex()}:300"
    body = b""
    try:
        async with harness.session.post(
            path, data=attempt.encode(), headers=sent
        ) as response:
            async for data in response.content.iter_any():
                body += data
            return StreamAnswer(attempt, response.status, body, True)
    except aiohttp.ClientError:
        return StreamAnswer(attempt, 0, body, False)


async def begin(harness: Harness, count: int) -> list[tuple[str, int]]:
    """Begin streams that break off; return attempt and number of events of each."""
    begun: list[tuple[str, int]] = []
    while len(begun) < count:
        answer = await receive(harness)
        if answer.events and not answer.complete:
            begun.append((answer.attempt, answer.events))
    return begun


async def take_up(
    harness: Harness, attempt: str, events: int, **headers: str
) -> tuple[int, bool]:
    """Resume a stream; return the status, and whether the answer is its rest."""
    answer = await receive(
        harness, Resumes=attempt, Last_Event_Id=str(events - 1), **headers
    )
    return answer.status, answer.body == whole_stream(events)
