"""Client for plain application services."""

from __future__ import annotations

import time

import aiohttp

from borageworks.catalog.objects import Endpoint
from borageworks.endpoints.bounded_body import read_bounded
from borageworks.endpoints.call import Call
from borageworks.endpoints.exchange import Exchange
from borageworks.endpoints.headers import end_to_end
from borageworks.endpoints.progress import Progress
from borageworks.endpoints.sink import Sink
from borageworks.endpoints.transport import Transport
from borageworks.exceptions import EndpointRefusedError

# Larger responses and responses of unknown length are streamed. Their requests cannot
# be retried once the first byte has been forwarded.
MAX_BUFFERED_BYTES = 1_048_576
REFUSED_STATUSES = frozenset((429, 503))


class PlainServiceClient:
    """Forwards requests unchanged; service units are seconds of processing time."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def exchange(
        self, endpoint: Endpoint, call: Call, sink: Sink, progress: Progress
    ) -> Exchange:
        """Send the call and forward the complete response to `sink`."""
        started_at = time.monotonic()
        async with self._transport.open(endpoint, call, progress) as response:
            # Such a status does not prove that the endpoint did not run the request.
            # For a non-idempotent call it is therefore forwarded as the response.
            if call.service.idempotent and response.status in REFUSED_STATUSES:
                raise EndpointRefusedError(
                    f"endpoint {endpoint.id!r} refused with status {response.status}"
                )
            headers = end_to_end(response.headers.items())
            if _is_buffered(response):
                body = await read_bounded(response)
                await sink.start(response.status, headers)
                await sink.write(body)
            else:
                await sink.start(response.status, headers)
                async for chunk in response.content.iter_any():
                    progress.last_received_at = time.monotonic()
                    progress.units = progress.last_received_at - started_at
                    await sink.write(chunk)
        await sink.finish()
        return Exchange(units=time.monotonic() - started_at)


def _is_buffered(response: aiohttp.ClientResponse) -> bool:
    length = response.content_length
    return length is not None and length <= MAX_BUFFERED_BYTES
