"""Findings of a check, with the texts of values in their messages."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, StrEnum

from borageworks.gateway.route import Target

MILLISECONDS_PER_SECOND = 1000.0
KEY_HASH_DIGITS = 8
DURATION_SUFFIX = "_s"
RATE_SUFFIX = "_per_s"

PLAIN_MEMBER = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


class Severity(StrEnum):
    """How a finding affects the deployment.

    ERROR: the configuration is rejected, or requests that it describes cannot be
    served. WARNING: a part of it has no effect or contradicts another part.
    INFORMATION: nothing is wrong.
    """

    ERROR = "error"
    WARNING = "warning"
    INFORMATION = "information"


class FindingCode(StrEnum):
    """Codes of the findings; docs/checking.md has a row for each."""

    ADDED = "added"
    ATTEMPTS_UNUSED = "attempts_unused"
    BODY_LIMIT_OVER_MEMORY = "body_limit_over_memory"
    BODY_LIMIT_ZERO = "body_limit_zero"
    CHANGED = "changed"
    DUPLICATE_KEY = "duplicate_key"
    DUPLICATE_MEMBER = "duplicate_member"
    DUPLICATE_NAME = "duplicate_name"
    HEADER_LIMIT_ZERO = "header_limit_zero"
    HOST_UNREACHABLE = "host_unreachable"
    KEYS_UNUSED = "keys_unused"
    KEY_OF_TWO_ORGANISATIONS = "key_of_two_organisations"
    KEY_UNUSABLE = "key_unusable"
    LATENCY_OVER_TIMEOUT = "latency_over_timeout"
    MALFORMED = "malformed"
    NO_KEYS = "no_keys"
    NO_ROUTES = "no_routes"
    NO_TARGET = "no_target"
    ORGANISATION_WITHOUT_KEYS = "organisation_without_keys"
    PREFIX_UNREACHABLE = "prefix_unreachable"
    PROMPT_WITHOUT_ENGINE = "prompt_without_engine"
    REMOVED = "removed"
    ROUTE_REPLACED = "route_replaced"
    SERVICE_UNUSED = "service_unused"
    SETTINGS_INVALID = "settings_invalid"
    SLOTS_OVER_CONNECTIONS = "slots_over_connections"
    STREAM_WITHOUT_ENGINE = "stream_without_engine"
    UNKNOWN_FIELD = "unknown_field"
    UNKNOWN_SERVICE = "unknown_service"
    UNREADABLE = "unreadable"
    VALUE_IGNORED = "value_ignored"
    VERSION_NOT_ABOVE = "version_not_above"
    WEIGHT_ZERO = "weight_zero"


@dataclass(frozen=True, slots=True)
class Finding:
    """A result of a check.

    Parameters
    ----------
    code, severity
        Kind of the finding and how it affects the deployment.
    place
        JSON path in the checked file.
    message
        Description for operators; never contains an API key.
    old, new
        Texts of the values, for differences from the version in force.
    """

    code: FindingCode
    severity: Severity
    place: str
    message: str
    old: str | None = None
    new: str | None = None


def error(code: FindingCode, place: str, message: str) -> Finding:
    """Return a finding of severity ERROR."""
    return Finding(code, Severity.ERROR, place, message)


def warning(code: FindingCode, place: str, message: str) -> Finding:
    """Return a finding of severity WARNING."""
    return Finding(code, Severity.WARNING, place, message)


def information(code: FindingCode, place: str, message: str) -> Finding:
    """Return a finding of severity INFORMATION."""
    return Finding(code, Severity.INFORMATION, place, message)


def json_path(steps: Iterable[str | int]) -> str:
    """Return the JSON path of a member of an object or an item of a list."""
    path = "$"
    for step in steps:
        if isinstance(step, str) and PLAIN_MEMBER.fullmatch(step):
            path += f".{step}"
        else:
            path += f"[{json.dumps(step)}]"
    return path


def hash_key(key: str) -> str:
    """Return the text by which findings name an API key."""
    return "#" + hashlib.sha256(key.encode()).hexdigest()[:KEY_HASH_DIGITS]


def format_duration(seconds: float) -> str:
    """Return a duration in milliseconds, the unit of the configuration."""
    return f"{seconds * MILLISECONDS_PER_SECOND:.10g} ms"


def is_duration(name: str) -> bool:
    """Return whether a field holds seconds, by the suffix of its name."""
    return name.endswith(DURATION_SUFFIX) and not name.endswith(RATE_SUFFIX)


def field_label(name: str) -> str:
    """Return the name of a field in messages."""
    if is_duration(name):
        name = name.removesuffix(DURATION_SUFFIX)
    return name.replace("_", " ")


def format_value(name: str, value: object) -> str:
    """Return the text of the value of a field of the deployment."""
    match value:
        case None:
            return "not set"
        case bool():
            return "true" if value else "false"
        case float() if is_duration(name):
            return format_duration(value)
        case float():
            return f"{value:.10g}"
        case Enum():
            return str(value.value)
        case Target():
            return f"{value.service!r} with weight {value.weight:.10g}"
        case tuple():
            return ", ".join(format_value(name, item) for item in value) or "none"
        case str():
            return repr(value)
        case _ if dataclasses.is_dataclass(value):
            return ", ".join(
                f"{field_label(field.name)} "
                f"{format_value(field.name, getattr(value, field.name))}"
                for field in dataclasses.fields(value)
            )
    return str(value)
