"""An endpoint as described by the platform's endpoint list."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint.

    Parameters
    ----------
    id
        Id, which usually changes when the endpoint restarts.
    service
        Service that it runs.
    host, port
        Address, which may be reused by another endpoint later.
    domain
        Failure domain.
    slots
        Number of requests that it runs concurrently.
    leaving
        Whether it is shutting down and accepts no new requests.
    started_ms
        Unix time of its start in milliseconds, 0 if unknown.
    sequence
        Number of the entry among those that this incarnation has written.
    software_version
        Version of its software, empty if unknown. Streams of different versions cannot
        be joined.
    cold_s
        Seconds for which it stays cold, as of when the entry was written.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    slots: int
    leaving: bool
    started_ms: int = 0
    sequence: int = 0
    software_version: str = ""
    cold_s: float = 0.0

    @property
    def incarnation(self) -> str:
        """Identity that differs between restarts with the same id."""
        return f"{self.id}/{self.started_ms}"
