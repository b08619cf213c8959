"""Decodes the platform's settings file, which has lines of the form ``a.b=value``."""

from __future__ import annotations

import math
import resource
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from borageworks.exceptions import SettingsInvalidError
from borageworks.gateway.settings import GatewaySettings, HostPort
from borageworks.placement.settings import PlacementSettings

MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MEGABYTE = 1_048_576
MAX_PORT = 65_535
# The load balancer checks readiness every second and removes an instance after two
# failed checks. The remainder covers a check that has just succeeded and the time that
# a new connection takes to arrive.
BALANCER_LAG_S = 2.8
# A higher mean lag adds noticeably to the shortest target latencies of callers, and
# shows that the event loop is never idle.
LOOP_LAG_LIMIT_S = 0.03


def _split_address(text: object) -> object:
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        return {"host": host, "port": port}
    return text


def _split_list(text: object) -> object:
    return [item for item in text.split(",") if item] if isinstance(text, str) else text


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class _HostPort(_Model):
    host: Annotated[str, Field(min_length=1)]
    port: Annotated[int, Field(gt=0, le=MAX_PORT)]


_Address = Annotated[_HostPort, BeforeValidator(_split_address)]
Positive = Annotated[float, Field(gt=0)]


class _Listen(_Model):
    front: _Address
    ready: _Address
    control: _Address


def _descriptor_limit() -> int:
    """Return the limit of open files that the operating system sets."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class _Limits(_Model):
    cpu_share: Positive = 1.0
    cores: Positive = 1.0
    memory_mb: Positive = math.inf
    max_fds: Annotated[int, Field(gt=0)] = Field(default_factory=_descriptor_limit)
    peer_connections: Annotated[int, Field(gt=0)] | None = None
    organisation_bodies: Annotated[int, Field(gt=0)] | None = None


class _Bounds(_Model):
    contact_ms: Positive
    config_apply_ms: Positive
    grace_s: Positive
    retry_budget_ratio: Annotated[float, Field(ge=0)]
    budget_window_s: Positive
    budget_extra: Annotated[float, Field(ge=0)]
    quota_window_s: Positive = PlacementSettings().share_window_s
    evacuate_ms: Positive = math.inf
    cold_over: Annotated[float, Field(ge=0)] = PlacementSettings().cold_over
    cold_slack: Annotated[float, Field(ge=0)] = PlacementSettings().cold_slack


class _Store(_Model):
    address: _Address


class _Settings(_Model):
    node_name: Annotated[str, Field(min_length=1)]
    ip: Annotated[str, Field(min_length=1)]
    zone: Annotated[str, Field(min_length=1)]
    listen: _Listen
    port_range: Annotated[
        tuple[Annotated[int, Field(gt=0, le=MAX_PORT)], ...],
        BeforeValidator(_split_list),
        Field(min_length=1),
    ]
    seeds: Annotated[tuple[_Address, ...], BeforeValidator(_split_list)] = ()
    limits: _Limits = _Limits()
    bounds: _Bounds
    platform: _Store
    bootstrap: bool = False


def load_settings(path: Path) -> GatewaySettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsInvalidError
        With all errors, each with the name of its field.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError((f"cannot read {path}: {error}",)) from error
    return parse_settings(text)


def parse_settings(text: str) -> GatewaySettings:
    """Return the settings in the text of a file; raises like `load_settings`."""
    tree, errors = _parse_tree(text)
    if errors:
        raise SettingsInvalidError(tuple(errors))
    try:
        model = _Settings.model_validate(tree)
    except ValidationError as error:
        raise SettingsInvalidError(
            tuple(
                f"{'.'.join(str(step) for step in detail['loc'])}: {detail['msg']}"
                for detail in error.errors(include_url=False, include_input=False)
            )
        ) from error
    return _gateway_settings(model)


def parse_port(text: str) -> int:
    """Return the port number in `text`.

    Raises
    ------
    SettingsInvalidError
        If the text is not a port number.
    """
    if not text.isdecimal() or not 0 < int(text) <= MAX_PORT:
        raise SettingsInvalidError((f"{text!r} is not a port number",))
    return int(text)


def _parse_tree(text: str) -> tuple[dict[str, object], list[str]]:
    tree: dict[str, object] = {}
    errors: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        name, equals, value = line.partition("=")
        if not equals:
            errors.append(f"line {number}: no '='")
            continue
        node = tree
        *parents, leaf = name.strip().split(".")
        for parent in parents:
            child = node.setdefault(parent, {})
            if not isinstance(child, dict):
                errors.append(f"line {number}: {parent!r} has both a value and fields")
                break
            node = child
        else:
            node[leaf] = value.strip()
    return tree, errors


def _gateway_settings(model: _Settings) -> GatewaySettings:
    bounds = model.bounds
    return GatewaySettings(
        instance=model.node_name,
        domain=model.zone,
        host=model.ip,
        callers_address=_host_port(model.listen.front),
        status_address=_host_port(model.listen.ready),
        relay_address=_host_port(model.listen.control),
        peer_port=model.port_range[0],
        seeds=tuple(_host_port(seed) for seed in model.seeds),
        store_address=_host_port(model.platform.address),
        capacity=model.limits.cpu_share * model.limits.cores,
        max_descriptors=model.limits.max_fds,
        memory_bytes=model.limits.memory_mb * BYTES_PER_MEGABYTE,
        peer_connections=model.limits.peer_connections,
        organisation_bodies=model.limits.organisation_bodies,
        config_apply_s=bounds.config_apply_ms / MILLISECONDS_PER_SECOND,
        recovery_grace_s=bounds.contact_ms / MILLISECONDS_PER_SECOND,
        shutdown_timeout_s=bounds.grace_s,
        lag_limit_s=LOOP_LAG_LIMIT_S,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.budget_window_s,
        retry_allowance=bounds.budget_extra,
        balancer_lag_s=BALANCER_LAG_S,
        share_window_s=bounds.quota_window_s,
        first_start=model.bootstrap,
        evacuate_s=bounds.evacuate_ms / MILLISECONDS_PER_SECOND,
        cold_over=bounds.cold_over,
        cold_slack=bounds.cold_slack,
    )


def _host_port(address: _HostPort) -> HostPort:
    return HostPort(address.host, address.port)
