"""The operator's configuration: routes, services, organisations and limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.gateway.route import Route


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Capacity of each model engine of a service, as the operator configures it.

    `slots` requests run concurrently; running requests and cached prompt parts share
    memory for `memory_tokens` tokens.
    """

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """A service; `engine` is None for plain services.

    `max_connections` is the number that each endpoint accepts, None if not stated.
    After an endpoint starts during traffic it is cold for `cold_s` seconds, in which it
    takes `cold_per_s` requests a second from all instances together; 0 for any number.
    """

    name: str
    engine: EngineProfile | None
    max_connections: int | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on the idle time of connections."""

    header_bytes: int
    body_bytes: int
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer that holds API keys."""

    name: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operator's configuration.

    Parameters
    ----------
    version
        Number that increases with each change.
    routes, services
        Routes, and services by name.
    organisations
        Organisation by API key; None if requests need no key.
    limits
        Limits for callers.
    tokens_per_s
        Total throughput of all engines in tokens a second, with generated tokens
        counted twice; None if not configured.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceProfile]
    organisations: Mapping[str, Organisation] | None
    limits: CallerLimits
    tokens_per_s: float | None
