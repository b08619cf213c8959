"""Reads the operator's configuration for a check, with the places of all faults."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from borageworks.config.deployment_listing import DeploymentListing, OrganisationKeys
from borageworks.config.finding import (
    Finding,
    FindingCode,
    error,
    information,
    json_path,
    warning,
)
from borageworks.platform.configuration import (
    ConfigurationModel,
    to_deployment,
    to_services,
)

UNKNOWN_FIELD_TYPE = "extra_forbidden"
# Names of fields of the deployment's types, and of places in the rules, that are
# different in the configuration.
FIELD_NAMES = {
    "attempts": "max_attempts",
    "body_bytes": "max_body_bytes",
    "header_bytes": "max_header_bytes",
    "host": "hostname",
    "idle_timeout_s": "idle_timeout_ms",
    "keys": "api_keys",
    "max_connections": "max_conns",
    "memory_tokens": "kv_capacity",
    "organisations": "tenants",
    "prompt_affinity": "sticky",
    "stream": "route_type",
    "target_latency_s": "target_latency_ms",
    "targets": "traffic_split",
    "timeout_s": "timeout_ms",
}


@dataclass(frozen=True, slots=True)
class ConfigurationReading:
    """What was read of a configuration.

    Parameters
    ----------
    listing
        Decoded deployment, None if the configuration is malformed.
    findings
        Faults and remarks about the text.
    """

    listing: DeploymentListing | None
    findings: tuple[Finding, ...]


class _Places:
    """Translates places in the deployment to JSON paths.

    Parameters
    ----------
    model
        Configuration that describes the deployment.
    """

    def __init__(self, model: ConfigurationModel) -> None:
        self._model = model

    def path(self, *steps: str | int) -> str:
        """Return the JSON path of a place in the deployment."""
        match steps:
            case ("tokens_per_s",):
                return json_path(("limits", "tokens_per_s"))
            case ("routes", int(index), "targets", *_) if (
                self._model.routes[index].service is not None
            ):
                return json_path(("routes", index, "service"))
            case ("routes", int(index), "retry_policy"):
                stream = self._model.routes[index].route_type == "streaming"
                field = "resumable" if stream else "route_type"
                return json_path(("routes", index, field))
        return json_path(FIELD_NAMES.get(str(step), step) for step in steps)


def read_configuration(data: bytes, *, strict: bool = False) -> ConfigurationReading:
    """Return the deployment that a configuration describes, and faults of its text.

    Accepts exactly what gateways accept, and raises nothing.

    Parameters
    ----------
    data
        Configuration as the operator wrote it.
    strict
        Whether to report unknown fields.
    """
    unknown: list[Finding] = []
    try:
        model = ConfigurationModel.model_validate_json(data, extra="forbid")
    except ValidationError as fault:
        malformed: list[Finding] = []
        for detail in fault.errors(include_url=False, include_input=False):
            place = json_path(detail["loc"])
            if detail["type"] != UNKNOWN_FIELD_TYPE:
                malformed.append(error(FindingCode.MALFORMED, place, detail["msg"]))
            elif strict:
                message = "unknown field, which gateways ignore"
                unknown.append(information(FindingCode.UNKNOWN_FIELD, place, message))
        if malformed:
            return ConfigurationReading(None, (*malformed, *unknown))
        model = ConfigurationModel.model_validate_json(data)
    listing = DeploymentListing(
        deployment=to_deployment(model),
        services=to_services(model),
        organisations=_organisation_keys(model),
        places=_Places(model),
    )
    findings = (*_repeated_members(data), *_ignored_values(model), *unknown)
    return ConfigurationReading(listing, findings)


def resembles_configuration(data: bytes, other_members: frozenset[str]) -> bool:
    """Return whether JSON text is a configuration rather than something else.

    Decides by the members of the outermost object; in malformed text, by all names.

    Parameters
    ----------
    data
        Text, which may be malformed.
    other_members
        Members of the outermost object of the other format.
    """
    try:
        document = json.loads(data, parse_int=str)
        names = set(document) if isinstance(document, dict) else set()
    except (ValueError, RecursionError):
        text = data.decode(errors="replace")
        names = set(re.findall(r'"(\w+)"\s*:', text))
    own_members = ConfigurationModel.model_fields.keys()
    return len(names & own_members) > len(names & other_members)


def _organisation_keys(
    model: ConfigurationModel,
) -> tuple[OrganisationKeys, ...] | None:
    if model.tenants is None:
        return None
    return tuple(
        OrganisationKeys(tenant.name, tenant.api_keys) for tenant in model.tenants
    )


def _ignored_values(model: ConfigurationModel) -> Iterator[Finding]:
    for index, route in enumerate(model.routes):
        if route.service is not None and route.traffic_split:
            yield warning(
                FindingCode.VALUE_IGNORED,
                json_path(("routes", index, "traffic_split")),
                f"route {route.name!r} has both service and traffic_split: only the "
                "service is used",
            )
        if route.resumable and route.route_type != "streaming":
            yield warning(
                FindingCode.VALUE_IGNORED,
                json_path(("routes", index, "resumable")),
                f"route {route.name!r} is resumable without being of type streaming: "
                "this has no effect",
            )


class _Members(list[tuple[str, Any]]):
    """Members of a JSON object in the order of the text."""


def _repeated_members(data: bytes) -> Iterator[Finding]:
    """Return a finding for each name that an object has more than once."""
    # Numbers are left as text: the standard library limits their length.
    try:
        document = json.loads(data, object_pairs_hook=_Members, parse_int=str)
    except (ValueError, RecursionError) as fault:
        message = f"other programs may not be able to read the text: {fault}"
        yield warning(FindingCode.MALFORMED, json_path(()), message)
        return
    yield from _repeated_below((), document)


def _repeated_below(steps: tuple[str | int, ...], value: object) -> Iterator[Finding]:
    # The decoder has limited the depth already.
    if isinstance(value, _Members):
        names: set[str] = set()
        for name, item in value:
            if name in names:
                yield warning(
                    FindingCode.DUPLICATE_MEMBER,
                    json_path((*steps, name)),
                    "the object has this name more than once: only the last is used",
                )
            names.add(name)
            yield from _repeated_below((*steps, name), item)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _repeated_below((*steps, index), item)
