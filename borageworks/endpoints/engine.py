"""Client for model engines with a chat completions API."""

from __future__ import annotations

import time
from typing import Any

import aiohttp
import orjson

from borageworks.catalog.objects import Endpoint
from borageworks.config.settings import FairSettings
from borageworks.endpoints.bounded_body import read_bounded
from borageworks.endpoints.call import Call
from borageworks.endpoints.exchange import Exchange
from borageworks.endpoints.headers import end_to_end
from borageworks.endpoints.progress import Progress
from borageworks.endpoints.sink import Sink
from borageworks.endpoints.stream import StreamDecoder, StreamEvent
from borageworks.endpoints.transport import Transport
from borageworks.exceptions import (
    EndpointRefusedError,
    EndpointReplyIncompleteError,
    EndpointReplyMalformedError,
)

REFUSED_STATUSES = frozenset((429, 503))
RESUME_HEADER = "Resume-Offset"


class EngineClient:
    """Sends chat completions; service units are weighted token counts.

    Parameters
    ----------
    transport
        Connections to endpoints.
    settings
        Weights of prompt and generated tokens.
    """

    def __init__(self, transport: Transport, settings: FairSettings) -> None:
        self._transport = transport
        self._settings = settings

    async def exchange(
        self, endpoint: Endpoint, call: Call, sink: Sink, progress: Progress
    ) -> Exchange:
        """Send the call and forward the complete response to `sink`."""
        resume_headers: tuple[tuple[str, str], ...] = ()
        if progress.content_bytes:
            resume_headers = ((RESUME_HEADER, str(progress.content_bytes)),)
        async with self._transport.open(
            endpoint, call, progress, resume_headers
        ) as response:
            if response.status in REFUSED_STATUSES:
                raise EndpointRefusedError(
                    f"endpoint {endpoint.id!r} refused with status {response.status}"
                )
            if call.stream and response.status == 200:
                return await self._forward_stream(
                    endpoint, call, response, sink, progress
                )
            return await self._forward_complete(endpoint, response, sink)

    async def _forward_complete(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse, sink: Sink
    ) -> Exchange:
        body = await read_bounded(response)
        units = 0.0
        if response.status == 200:
            units = self._units(_parse_completion(endpoint, body).get("usage"))
        await sink.start(response.status, end_to_end(response.headers.items()))
        await sink.write(body)
        await sink.finish()
        return Exchange(units)

    async def _forward_stream(
        self,
        endpoint: Endpoint,
        call: Call,
        response: aiohttp.ClientResponse,
        sink: Sink,
        progress: Progress,
    ) -> Exchange:
        if response.content_type != "text/event-stream":
            raise EndpointReplyMalformedError(
                f"endpoint {endpoint.id!r} returned {response.content_type!r} "
                "for a streaming request"
            )
        offset = progress.content_bytes
        if offset and response.headers.get(RESUME_HEADER) != str(offset):
            raise EndpointReplyIncompleteError(
                f"endpoint {endpoint.id!r} did not resume the stream"
            )
        return await self._forward_events(call, response, sink, progress)

    async def _forward_events(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
        sink: Sink,
        progress: Progress,
    ) -> Exchange:
        started_at = time.monotonic()
        first_content_at = last_content_at = 0.0
        tokens = 0
        usage: dict[str, Any] | None = None
        decoder = StreamDecoder()
        async for data in response.content.iter_any():
            progress.last_received_at = time.monotonic()
            events = decoder.feed(data)
            if not events:
                continue
            if not first_content_at:
                for event in events:
                    _check_software(event, progress)
            if not sink.started:
                await sink.start(200, end_to_end(response.headers.items()))
            forwarded = [event for event in events if _is_forwarded(event, call)]
            content_length = sum(len(event.content) for event in forwarded)
            tokens += sum(1 for event in forwarded if event.content)
            usage = next((e.usage for e in events if e.usage), usage)
            if content_length:
                last_content_at = time.monotonic()
                first_content_at = first_content_at or last_content_at
            # Updated before the write: a resumed stream must not repeat bytes that may
            # have reached the caller.
            progress.content_bytes += content_length
            progress.units = tokens * self._settings.generated_token_units
            await sink.write(b"".join(event.raw for event in forwarded))
            if any(event.done for event in events):
                await sink.finish()
                return Exchange(
                    units=self._units(usage) or progress.units,
                    first_token_s=first_content_at - started_at
                    if first_content_at
                    else 0.0,
                    token_interval_s=(last_content_at - first_content_at) / (tokens - 1)
                    if tokens > 1
                    else 0.0,
                )
        raise EndpointReplyIncompleteError("stream ended before its end marker")

    def _units(self, usage: object) -> float:
        if not isinstance(usage, dict):
            return 0.0
        details = usage.get("prompt_tokens_details")
        cached = details.get("cached_tokens") if isinstance(details, dict) else 0
        uncached_tokens = max(
            0, _token_count(usage.get("prompt_tokens")) - _token_count(cached)
        )
        return (
            uncached_tokens * self._settings.prompt_token_units
            + _token_count(usage.get("completion_tokens"))
            * self._settings.generated_token_units
        )


def _token_count(value: object) -> int:
    return value if isinstance(value, int) and value > 0 else 0


def _check_software(event: StreamEvent, progress: Progress) -> None:
    """Check that a resumed stream goes on with the software that began it."""
    if not event.content or not event.software:
        return
    if progress.content_bytes and progress.software not in ("", event.software):
        raise EndpointReplyIncompleteError(
            f"software {event.software!r} does not go on with a stream of "
            f"{progress.software!r}"
        )
    progress.software = event.software


def _is_forwarded(event: StreamEvent, call: Call) -> bool:
    return call.wants_usage or not event.only_usage


def _parse_completion(endpoint: Endpoint, body: bytes) -> dict[str, Any]:
    try:
        completion = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise EndpointReplyMalformedError(
            f"endpoint {endpoint.id!r}: {error}"
        ) from error
    if not isinstance(completion, dict) or "choices" not in completion:
        raise EndpointReplyMalformedError(
            f"endpoint {endpoint.id!r}: completion has no 'choices'"
        )
    return completion
