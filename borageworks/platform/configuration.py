"""Decodes the operator's configuration."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.exceptions import DeploymentMalformedError
from borageworks.gateway.deployment import (
    CallerLimits,
    Deployment,
    EngineProfile,
    Organisation,
    ServiceProfile,
)
from borageworks.gateway.route import RetryPolicy, Route, Target

MILLISECONDS_PER_SECOND = 1000.0
# Limits for callers, used if the configuration has none.
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0

# Numbers beyond these limits do not fit into timers and messages between instances.
MAX_DURATION_MS = 1e9
MAX_COUNT = 2**53

Duration = Annotated[float, Field(gt=0, le=MAX_DURATION_MS)]
Count = Annotated[int, Field(ge=1, le=MAX_COUNT)]
Size = Annotated[int, Field(ge=0, le=MAX_COUNT)]


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class _Split(_Model):
    service: str
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)]


class _Route(_Model):
    name: str
    hostname: str
    prefix: Annotated[str, Field(pattern=r"^/(.*/)?$")]
    route_type: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: Duration
    target_latency_ms: Duration
    max_attempts: Count = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    service: str | None = None
    traffic_split: tuple[_Split, ...] = ()


class _Engine(_Model):
    slots: Count
    kv_capacity: Count


class _Service(_Model):
    name: str
    max_conns: Count | None = None
    engine: _Engine | None = None
    cold_s: Annotated[float, Field(ge=0, le=MAX_DURATION_MS)] = 0.0
    cold_per_s: Annotated[float, Field(ge=0, le=MAX_COUNT)] = 0.0


class _Limits(_Model):
    max_header_bytes: Size = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: Size = DEFAULT_MAX_BODY_BYTES
    idle_timeout_ms: Duration = DEFAULT_IDLE_TIMEOUT_MS
    tokens_per_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] | None = None


class _Tenant(_Model):
    name: str
    api_keys: tuple[str, ...] = ()


class ConfigurationModel(_Model):
    """Validated configuration; unknown fields are ignored, as new ones may come."""

    version: Size
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


def decode_configuration(data: bytes) -> Deployment:
    """Return the deployment that a configuration describes.

    Raises
    ------
    DeploymentMalformedError
        If the configuration is invalid.
    """
    try:
        model = ConfigurationModel.model_validate_json(data)
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(step) for step in first_error["loc"])
        raise DeploymentMalformedError(f"{location}: {first_error['msg']}") from error
    return to_deployment(model)


def to_deployment(model: ConfigurationModel) -> Deployment:
    """Return the deployment of a validated configuration."""
    return Deployment(
        version=model.version,
        routes=tuple(_route(route) for route in model.routes),
        services={service.name: _service(service) for service in model.services},
        organisations=_organisations(model.tenants),
        limits=CallerLimits(
            header_bytes=model.limits.max_header_bytes,
            body_bytes=model.limits.max_body_bytes,
            idle_timeout_s=model.limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
        ),
        tokens_per_s=model.limits.tokens_per_s,
    )


def _route(model: _Route) -> Route:
    stream = model.route_type == "streaming"
    if stream:
        retry_policy = RetryPolicy.RESUME if model.resumable else RetryPolicy.NEVER
    else:
        retry_policy = (
            RetryPolicy.FULL if model.route_type == "idempotent" else RetryPolicy.NEVER
        )
    targets = tuple(
        Target(split.service, split.weight) for split in model.traffic_split
    )
    if model.service is not None:
        targets = (Target(model.service, 1.0),)
    return Route(
        name=model.name,
        host=model.hostname,
        prefix=model.prefix,
        retry_policy=retry_policy,
        stream=stream,
        timeout_s=model.timeout_ms / MILLISECONDS_PER_SECOND,
        target_latency_s=model.target_latency_ms / MILLISECONDS_PER_SECOND,
        max_attempts=model.max_attempts,
        public=model.public,
        prompt_affinity=model.sticky,
        targets=targets,
    )


def _service(model: _Service) -> ServiceProfile:
    engine = model.engine
    return ServiceProfile(
        name=model.name,
        engine=EngineProfile(engine.slots, engine.kv_capacity) if engine else None,
        max_connections=model.max_conns,
        cold_s=model.cold_s,
        cold_per_s=model.cold_per_s,
    )


def _organisations(
    tenants: tuple[_Tenant, ...] | None,
) -> dict[str, Organisation] | None:
    if tenants is None:
        return None
    return {
        key: Organisation(tenant.name) for tenant in tenants for key in tenant.api_keys
    }


def to_services(model: ConfigurationModel) -> tuple[ServiceProfile, ...]:
    """Return all services of a validated configuration, also those of equal names."""
    return tuple(_service(service) for service in model.services)
