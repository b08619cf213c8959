"""A caller's request in the form that endpoint clients send."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.catalog.objects import Service


@dataclass(frozen=True, slots=True)
class Call:
    """One request of one organisation.

    Parameters
    ----------
    request_id
        Sent as ``X-Request-Id`` and compared with the value that the endpoint returns.
    organisation
        ID of the organisation.
    service
        Requested service.
    method, path
        HTTP method; path and query string at the endpoint.
    headers
        End-to-end headers of the caller without credentials.
    body
        Request body for the endpoint.
    stream
        Whether the caller requested server-sent events.
    wants_usage
        Whether the caller requested the usage event of a stream.
    idempotency_key
        Value of ``Idempotency-Key`` or None.
    """

    request_id: str
    organisation: str
    service: Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool = False
    wants_usage: bool = False
    idempotency_key: str | None = None
