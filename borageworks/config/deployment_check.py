"""Rules for a deployment before it is sent, without I/O."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Sequence

from borageworks.config.deployment_listing import DeploymentListing
from borageworks.config.finding import (
    Finding,
    FindingCode,
    error,
    format_duration,
    hash_key,
    information,
    warning,
)
from borageworks.gateway.route import RetryPolicy, Route
from borageworks.gateway.settings import GatewaySettings
from borageworks.receiving.memory_account import LARGE_REQUEST_RATIO, MemoryLimits

# Characters that a request line cannot contain, or that end its path.
NOT_IN_PATH = re.compile(r"[^\x21-\x7e]|[?#]")
NOT_IN_HOST = re.compile(r"[^\x21-\x7e]|[/?#@*]")
# A gateway holds at least this much at rest; how much more shows only once it runs.
LEAST_AT_REST_BYTES = 38 * 1_048_576

Rule = Callable[[DeploymentListing], Iterator[Finding]]


def check_deployment(
    listing: DeploymentListing, settings: GatewaySettings | None = None
) -> list[Finding]:
    """Return what is wrong with a deployment.

    Parameters
    ----------
    listing
        Deployment to check.
    settings
        Settings of an instance that has to serve it, None if not known.
    """
    findings = [finding for rule in RULES for finding in rule(listing)]
    if settings is not None:
        findings.extend(_check_memory(listing, settings))
    return findings


def _check_route_list(listing: DeploymentListing) -> Iterator[Finding]:
    routes = listing.deployment.routes
    if not routes:
        message = "there are no routes: all requests are refused"
        yield warning(FindingCode.NO_ROUTES, listing.path("routes"), message)
    for index, first in _repeated([route.name for route in routes]):
        yield warning(
            FindingCode.DUPLICATE_NAME,
            listing.path("routes", index, "name"),
            f"route {routes[index].name!r} has the same name as "
            f"{listing.path('routes', first)}: logs and metrics do not distinguish "
            "them",
        )
    last_routes = {
        (route.host.lower(), route.prefix): index for index, route in enumerate(routes)
    }
    for index, route in enumerate(routes):
        last = last_routes[route.host.lower(), route.prefix]
        if last != index:
            yield error(
                FindingCode.ROUTE_REPLACED,
                listing.path("routes", index),
                f"route {route.name!r} is never used: route {routes[last].name!r} at "
                f"{listing.path('routes', last)} has the same host and prefix",
            )


def _check_addresses(listing: DeploymentListing) -> Iterator[Finding]:
    header_bytes = listing.deployment.limits.header_bytes
    for index, route in enumerate(listing.deployment.routes):
        host_fault = _host_fault(route.host)
        if host_fault:
            yield warning(
                FindingCode.HOST_UNREACHABLE,
                listing.path("routes", index, "host"),
                f"no valid request matches host {route.host!r}: {host_fault}",
            )
        prefix_fault = _prefix_fault(route.prefix, header_bytes)
        if prefix_fault:
            yield warning(
                FindingCode.PREFIX_UNREACHABLE,
                listing.path("routes", index, "prefix"),
                f"no valid request matches the prefix of route {route.name!r}: "
                f"{prefix_fault}",
            )


def _host_fault(host: str) -> str:
    """Return why no request can have a host, empty if one can."""
    _, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        return "hosts are compared without their port"
    character = NOT_IN_HOST.search(host)
    if character:
        return f"a host does not contain {character[0]!r}, and there are no wildcards"
    return ""


def _prefix_fault(prefix: str, header_bytes: int) -> str:
    """Return why no request path can have a prefix, empty if one can."""
    character = NOT_IN_PATH.search(prefix)
    if character:
        return f"a request path does not contain {character[0]!r}"
    # A header limit of 0 has its own finding.
    if 0 < header_bytes < len(prefix):
        return f"it is longer than the header limit of {header_bytes} bytes"
    return ""


def _check_targets(listing: DeploymentListing) -> Iterator[Finding]:
    services = listing.deployment.services
    for index, route in enumerate(listing.deployment.routes):
        if not route.targets:
            yield error(
                FindingCode.NO_TARGET,
                listing.path("routes", index),
                f"route {route.name!r} leads to no service: all its requests are "
                "refused",
            )
        has_weight = any(target.weight for target in route.targets)
        for position, target in enumerate(route.targets):
            steps = ("routes", index, "targets", position)
            if target.service not in services:
                yield error(
                    FindingCode.UNKNOWN_SERVICE,
                    listing.path(*steps, "service"),
                    f"route {route.name!r} leads to service {target.service!r}, which "
                    "is not listed",
                )
            if target.weight == 0:
                effect = "it gets no new requests"
                if not has_weight:
                    effect = "since all weights are 0, all targets get equal parts"
                yield warning(
                    FindingCode.WEIGHT_ZERO,
                    listing.path(*steps, "weight"),
                    f"target {target.service!r} of route {route.name!r} has weight 0: "
                    f"{effect}",
                )


def _check_engine_needs(listing: DeploymentListing) -> Iterator[Finding]:
    for index, route in enumerate(listing.deployment.routes):
        plain = _plain_services(listing, route)
        if route.stream and plain:
            yield warning(
                FindingCode.STREAM_WITHOUT_ENGINE,
                listing.path("routes", index, "stream"),
                f"streaming route {route.name!r} leads to a service without an engine: "
                f"{plain}",
            )
        if route.prompt_affinity and plain:
            yield warning(
                FindingCode.PROMPT_WITHOUT_ENGINE,
                listing.path("routes", index, "prompt_affinity"),
                f"route {route.name!r} is placed by cached prompt parts, but leads to "
                f"a service without an engine: {plain}",
            )


def _plain_services(listing: DeploymentListing, route: Route) -> str:
    """Return the names of the plain services that a route leads to."""
    services = listing.deployment.services
    return ", ".join(
        repr(target.service)
        for target in route.targets
        if target.service in services and services[target.service].engine is None
    )


def _check_route_limits(listing: DeploymentListing) -> Iterator[Finding]:
    for index, route in enumerate(listing.deployment.routes):
        if route.target_latency_s > route.timeout_s:
            yield warning(
                FindingCode.LATENCY_OVER_TIMEOUT,
                listing.path("routes", index, "target_latency_s"),
                f"the target latency of route {route.name!r}, "
                f"{format_duration(route.target_latency_s)}, is over its time limit of "
                f"{format_duration(route.timeout_s)}",
            )
        if route.retry_policy is RetryPolicy.NEVER and route.max_attempts > 1:
            # Not a warning: attempts that were refused have not run and are repeated.
            yield information(
                FindingCode.ATTEMPTS_UNUSED,
                listing.path("routes", index, "attempts"),
                f"requests of route {route.name!r} may run only once: of its "
                f"{route.max_attempts} attempts, those after the first only follow "
                "refusals",
            )


def _check_services(listing: DeploymentListing) -> Iterator[Finding]:
    services = listing.services
    for index, first in _repeated([service.name for service in services]):
        yield error(
            FindingCode.DUPLICATE_NAME,
            listing.path("services", index, "name"),
            f"service {services[index].name!r} replaces the one at "
            f"{listing.path('services', first)}",
        )
    used = {
        target.service
        for route in listing.deployment.routes
        for target in route.targets
    }
    for index, service in enumerate(services):
        if service.name not in used:
            yield warning(
                FindingCode.SERVICE_UNUSED,
                listing.path("services", index),
                f"no route leads to service {service.name!r}",
            )
        engine, limit = service.engine, service.max_connections
        if engine is not None and limit is not None and engine.slots > limit:
            yield warning(
                FindingCode.SLOTS_OVER_CONNECTIONS,
                listing.path("services", index, "engine", "slots"),
                f"engines of service {service.name!r} have {engine.slots} slots, but "
                f"accept {limit} connections: the other slots are never used",
            )


def _check_organisations(listing: DeploymentListing) -> Iterator[Finding]:
    organisations = listing.organisations
    if organisations is None:
        return
    for index, first in _repeated([item.name for item in organisations]):
        yield warning(
            FindingCode.DUPLICATE_NAME,
            listing.path("organisations", index, "name"),
            f"organisation {organisations[index].name!r} is the same as the one at "
            f"{listing.path('organisations', first)}: both have one share",
        )
    for index, organisation in enumerate(organisations):
        if not organisation.keys:
            yield warning(
                FindingCode.ORGANISATION_WITHOUT_KEYS,
                listing.path("organisations", index),
                f"organisation {organisation.name!r} has no API key",
            )
    yield from _check_keys(listing)
    has_keys = any(item.keys for item in organisations)
    needs_key = [route for route in listing.deployment.routes if not route.public]
    if not has_keys and needs_key:
        yield error(
            FindingCode.NO_KEYS,
            listing.path("organisations"),
            f"no organisation has an API key: all requests of {len(needs_key)} routes "
            "that are not public are refused",
        )
    if has_keys and listing.deployment.routes and not needs_key:
        yield warning(
            FindingCode.KEYS_UNUSED,
            listing.path("organisations"),
            "organisations have API keys, but all routes are public: no request needs "
            "a key",
        )


def _check_keys(listing: DeploymentListing) -> Iterator[Finding]:
    holders: dict[str, tuple[str, str]] = {}
    for index, organisation in enumerate(listing.organisations or ()):
        for position, key in enumerate(organisation.keys):
            place = listing.path("organisations", index, "keys", position)
            if not key or key != key.strip():
                yield warning(
                    FindingCode.KEY_UNUSABLE,
                    place,
                    f"no request matches key {hash_key(key)} of organisation "
                    f"{organisation.name!r}: it is empty or begins or ends with a "
                    "space",
                )
            name, first_place = holders.setdefault(key, (organisation.name, place))
            if name != organisation.name:
                yield error(
                    FindingCode.KEY_OF_TWO_ORGANISATIONS,
                    place,
                    f"key {hash_key(key)} of organisation {organisation.name!r} is "
                    f"also a key of {name!r} at {first_place}",
                )
            elif first_place != place:
                yield warning(
                    FindingCode.DUPLICATE_KEY,
                    place,
                    f"key {hash_key(key)} of organisation {organisation.name!r} is "
                    f"already listed at {first_place}",
                )


def _check_limits(listing: DeploymentListing) -> Iterator[Finding]:
    limits = listing.deployment.limits
    if limits.header_bytes == 0:
        yield error(
            FindingCode.HEADER_LIMIT_ZERO,
            listing.path("limits", "header_bytes"),
            "the header limit is 0: all requests are refused",
        )
    if limits.body_bytes == 0:
        yield warning(
            FindingCode.BODY_LIMIT_ZERO,
            listing.path("limits", "body_bytes"),
            "the body limit is 0: all requests with a body are refused",
        )


def _check_memory(
    listing: DeploymentListing, settings: GatewaySettings
) -> Iterator[Finding]:
    body_bytes = listing.deployment.limits.body_bytes
    limits = MemoryLimits(settings.memory_bytes, LEAST_AT_REST_BYTES)
    memory_bytes = LARGE_REQUEST_RATIO * limits.account_bytes
    if body_bytes > memory_bytes:
        yield error(
            FindingCode.BODY_LIMIT_OVER_MEMORY,
            listing.path("limits", "body_bytes"),
            f"bodies may have {body_bytes} bytes, but instance {settings.instance!r} "
            f"has memory for {memory_bytes:.0f} bytes of bodies: larger ones are "
            "always refused",
        )


def _repeated(names: Sequence[str]) -> Iterator[tuple[int, int]]:
    """Return the positions of repeated names, each with that of the first one."""
    first_positions: dict[str, int] = {}
    for index, name in enumerate(names):
        first = first_positions.setdefault(name, index)
        if first != index:
            yield index, first


RULES: tuple[Rule, ...] = (
    _check_route_list,
    _check_addresses,
    _check_targets,
    _check_engine_needs,
    _check_route_limits,
    _check_services,
    _check_organisations,
    _check_limits,
)
