"""Interface of endpoint clients."""

from __future__ import annotations

from typing import Protocol

from borageworks.catalog.objects import Endpoint
from borageworks.endpoints.call import Call
from borageworks.endpoints.exchange import Exchange
from borageworks.endpoints.progress import Progress
from borageworks.endpoints.sink import Sink


class EndpointClient(Protocol):
    """Sends calls to one kind of endpoint."""

    async def exchange(
        self, endpoint: Endpoint, call: Call, sink: Sink, progress: Progress
    ) -> Exchange:
        """Send the call and forward the complete response to `sink`.

        Raises
        ------
        EndpointFailedError
            If the attempt failed; `sink.started` states whether bytes were sent.
        """
