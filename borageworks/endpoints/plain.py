"""Client for plain application services."""

from __future__ import annotations

import time

import aiohttp

from borageworks.catalog.objects import Endpoint
from borageworks.endpoints.call import Call
from borageworks.endpoints.exchange import Exchange
from borageworks.endpoints.headers import end_to_end
from borageworks.endpoints.limits import read_bounded
from borageworks.endpoints.progress import Progress
from borageworks.endpoints.sink import Sink
from borageworks.endpoints.transport import Transport
from borageworks.exceptions import EndpointRefusedError

# Larger answers and answers of unknown length are streamed, so they cannot be retried
# once their first byte was passed on.
BUFFERED_BYTES = 1_048_576
REFUSED_STATUSES = frozenset((429, 503))


class PlainClient:
    """Passes requests through unchanged; service units are seconds in service."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def exchange(
        self, endpoint: Endpoint, call: Call, sink: Sink, progress: Progress
    ) -> Exchange:
        """Send the call and pass the whole answer to `sink`."""
        began = time.monotonic()
        async with self._transport.open(endpoint, call, progress) as response:
            # For a non-idempotent call such a status is the endpoint's own answer:
            # nothing proves that it did not run.
            if call.service.idempotent and response.status in REFUSED_STATUSES:
                raise EndpointRefusedError(
                    f"endpoint {endpoint.id!r} answered {response.status}"
                )
            headers = end_to_end(response.headers.items())
            if _is_buffered(response):
                body = await read_bounded(response)
                await sink.start(response.status, headers)
                await sink.write(body)
            else:
                await sink.start(response.status, headers)
                async for part in response.content.iter_any():
                    progress.active_at = time.monotonic()
                    progress.units = progress.active_at - began
                    await sink.write(part)
        await sink.finish()
        return Exchange(units=time.monotonic() - began)


def _is_buffered(response: aiohttp.ClientResponse) -> bool:
    length = response.content_length
    return length is not None and length <= BUFFERED_BYTES
