"""Status and headers of an endpoint's response, as the adapter decoded them."""

from __future__ import annotations

from dataclasses import dataclass, field

from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks.placement.engine_load import EngineLoad


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of an endpoint's response.

    Parameters
    ----------
    status
        HTTP status.
    request_id
        Id of the request that the endpoint responds to, or None if not stated.
    has_seal
        Whether the response carries the endpoint's seal header.
    not_run
        Whether the endpoint states that it did not execute the request.
    wrong_endpoint
        Whether the address now belongs to another endpoint than the expected one.
    notice
        What the endpoint states about itself.
    load
        Load that the endpoint reports, None if it reports none that can be read.
    load_malformed
        Whether it reports a load that cannot be read.
    cold_s
        Seconds for which the endpoint stays cold, None if not stated.
    """

    status: int
    request_id: str | None
    has_seal: bool
    not_run: bool
    wrong_endpoint: bool
    notice: EndpointNotice = field(default_factory=EndpointNotice)
    load: EngineLoad | None = None
    load_malformed: bool = False
    cold_s: float | None = None
