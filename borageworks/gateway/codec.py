"""Interface between the gateway and the adapter of a platform."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from multidict import CIMultiDictProxy

from borageworks.gateway.caller_request import CallerRequest
from borageworks.gateway.deployment import Deployment
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.response_head import ResponseHead
from borageworks.placement.cache_update import CacheUpdate


class Codec(Protocol):
    """Converts between the platform's messages and the types of the gateway."""

    configuration_key: str
    endpoint_prefix: str
    evacuation_prefix: str
    own_prefix: str
    cache_wait_header: str
    cache_list_target: str

    def decode_configuration(self, data: bytes) -> Deployment:
        """Decode the operator's configuration, or raise DeploymentMalformedError."""
        ...

    def decode_endpoint(self, key: str, data: bytes) -> Endpoint:
        """Decode an entry of the endpoint list.

        Raises
        ------
        EndpointEntryMalformedError
            If the entry is malformed.
        """
        ...

    def decode_request(
        self, method: str, target: str, headers: CIMultiDictProxy[str]
    ) -> CallerRequest:
        """Decode a caller's request."""
        ...

    def caller_api_key(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the API key of a caller's request, or None."""
        ...

    def find_api_key(self, request: bytes) -> str | None:
        """Return the API key of a caller's request that has not been parsed."""
        ...

    def forwarded_headers(
        self,
        request: CallerRequest,
        host_header: str,
        organisation: str | None,
        endpoint: str,
        remaining_s: float,
        last_event_id: int | None,
    ) -> Iterable[tuple[str, str]]:
        """Return the headers of the request to an endpoint."""
        ...

    def decode_response_head(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseHead:
        """Decode the head of an endpoint's response."""
        ...

    def cache_events_target(self, since: int) -> str:
        """Return the request target for an engine's cache updates after `since`."""
        ...

    def decode_cache_events(self, data: bytes) -> Iterator[CacheUpdate]:
        """Decode updates of an engine's cache, or raise EndpointFailedError."""
        ...

    def decode_cache_list(self, data: bytes) -> Iterator[CacheUpdate]:
        """Decode the full list of an engine's cache, or raise EndpointFailedError."""
        ...
