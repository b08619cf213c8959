"""Decodes the platform's settings file, lines of the form ``a.b=value``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from borageworks.exceptions import SettingsInvalidError
from borageworks.gateway.settings import GatewaySettings, HostPort

MILLISECONDS_PER_SECOND = 1000.0
HIGHEST_PORT = 65_535
# The platform checks readiness each second and takes an instance out after two misses;
# the rest covers a check that has just been passed and the way of a connection.
BALANCER_LAG_S = 2.8
# A mean lag over this adds noticeably to the shortest aims of callers, and shows that
# the loop is never idle.
LAG_LIMIT_S = 0.03


def _address(text: object) -> object:
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        return {"host": host, "port": port}
    return text


def _addresses(text: object) -> object:
    return [item for item in text.split(",") if item] if isinstance(text, str) else text


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class _HostPort(_Model):
    host: Annotated[str, Field(min_length=1)]
    port: Annotated[int, Field(gt=0, le=HIGHEST_PORT)]


_Address = Annotated[_HostPort, BeforeValidator(_address)]
Positive = Annotated[float, Field(gt=0)]


class _Listen(_Model):
    front: _Address
    ready: _Address
    control: _Address


class _Limits(_Model):
    cpu_share: Positive = 1.0
    cores: Positive = 1.0


class _Bounds(_Model):
    contact_ms: Positive
    config_apply_ms: Positive
    grace_s: Positive
    retry_budget_ratio: Annotated[float, Field(ge=0)]
    budget_window_s: Positive
    budget_extra: Annotated[float, Field(ge=0)]


class _Store(_Model):
    address: _Address


class _Settings(_Model):
    node_name: Annotated[str, Field(min_length=1)]
    ip: Annotated[str, Field(min_length=1)]
    zone: Annotated[str, Field(min_length=1)]
    listen: _Listen
    port_range: Annotated[
        tuple[Annotated[int, Field(gt=0, le=HIGHEST_PORT)], ...],
        BeforeValidator(_addresses),
        Field(min_length=1),
    ]
    seeds: Annotated[tuple[_Address, ...], BeforeValidator(_addresses)] = ()
    limits: _Limits = _Limits()
    bounds: _Bounds
    platform: _Store


def load_settings(path: Path) -> GatewaySettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsInvalidError
        With every fault, each with the name of its field.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError((f"cannot read {path}: {error}",)) from error
    return parse_settings(text)


def parse_settings(text: str) -> GatewaySettings:
    """Return the settings in a text; raises like `load_settings`."""
    tree, faults = _tree(text)
    if faults:
        raise SettingsInvalidError(tuple(faults))
    try:
        model = _Settings.model_validate(tree)
    except ValidationError as error:
        raise SettingsInvalidError(
            tuple(
                f"{'.'.join(str(step) for step in fault['loc'])}: {fault['msg']}"
                for fault in error.errors(include_url=False, include_input=False)
            )
        ) from error
    return _settings(model)


def parse_port(text: str) -> int:
    """Return a port.

    Raises
    ------
    SettingsInvalidError
        If the text is none.
    """
    if not text.isdecimal() or not 0 < int(text) <= HIGHEST_PORT:
        raise SettingsInvalidError((f"{text!r} is no port",))
    return int(text)


def _tree(text: str) -> tuple[dict[str, object], list[str]]:
    tree: dict[str, object] = {}
    faults: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        name, equals, value = line.partition("=")
        if not equals:
            faults.append(f"line {number}: no '='")
            continue
        branch = tree
        *parents, leaf = name.strip().split(".")
        for parent in parents:
            below = branch.setdefault(parent, {})
            if not isinstance(below, dict):
                faults.append(f"line {number}: {parent!r} has a value and fields")
                break
            branch = below
        else:
            branch[leaf] = value.strip()
    return tree, faults


def _settings(model: _Settings) -> GatewaySettings:
    bounds = model.bounds
    return GatewaySettings(
        instance=model.node_name,
        domain=model.zone,
        host=model.ip,
        callers=_pair(model.listen.front),
        status=_pair(model.listen.ready),
        relay=_pair(model.listen.control),
        peer_port=model.port_range[0],
        seeds=tuple(_pair(seed) for seed in model.seeds),
        store=_pair(model.platform.address),
        capacity=model.limits.cpu_share * model.limits.cores,
        apply_s=bounds.config_apply_ms / MILLISECONDS_PER_SECOND,
        contact_s=bounds.contact_ms / MILLISECONDS_PER_SECOND,
        shutdown_s=bounds.grace_s,
        lag_limit_s=LAG_LIMIT_S,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.budget_window_s,
        retry_extra=bounds.budget_extra,
        balancer_lag_s=BALANCER_LAG_S,
    )


def _pair(address: _HostPort) -> HostPort:
    return HostPort(address.host, address.port)
