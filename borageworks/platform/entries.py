"""Decodes the store entries in which endpoints register themselves."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.exceptions import EndpointEntryMalformedError
from borageworks.gateway.endpoint import Endpoint
from borageworks.platform import protocol_names

MAX_PORT = 65_535
# More requests than ports cannot be open at one address.
MAX_SLOTS = 65_535
# Versions are sent in messages between instances.
MAX_VERSION_LENGTH = 200
# Longer periods do not fit into timers.
MAX_COLD_MS = 1e9
MILLISECONDS_PER_SECOND = 1000.0
# Ids are sent in headers; keys of the store may hold any text.
_ID = re.compile(r"[!-~]{1,200}", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)

# Number that fits into messages between instances.
Count = Annotated[int, Field(ge=0, lt=2**63)]


class _Entry(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    service: str
    address: str
    zone: str
    version: str = Field(max_length=MAX_VERSION_LENGTH)
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    seq: Count
    born: Count = 0
    cold_ms: Annotated[float, Field(ge=0, le=MAX_COLD_MS)] = 0.0


def decode_entry(key: str, data: bytes) -> Endpoint:
    """Return the endpoint that an entry describes.

    Raises
    ------
    EndpointEntryMalformedError
        If the entry is invalid.
    """
    try:
        entry = _Entry.model_validate_json(data)
    except ValidationError as error:
        raise EndpointEntryMalformedError(
            f"{key}: {error.error_count()} validation errors"
        ) from error
    name = key.removeprefix(protocol_names.ENDPOINT_PREFIX)
    if not _ID.fullmatch(name):
        raise EndpointEntryMalformedError(f"{key!r:.200}: not an id for a header")
    host, _, port = entry.address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise EndpointEntryMalformedError(
            f"{key}: invalid address {entry.address!r:.200}"
        ) from error
    port_number = int(port) if _PORT.fullmatch(port) else 0
    if not 0 < port_number <= MAX_PORT:
        raise EndpointEntryMalformedError(f"{key}: invalid port {port!r:.200}")
    return Endpoint(
        id=name,
        service=entry.service,
        host=host,
        port=port_number,
        domain=entry.zone,
        slots=entry.slots,
        leaving=entry.state == "draining",
        started_ms=entry.born,
        sequence=entry.seq,
        software_version=entry.version,
        cold_s=entry.cold_ms / MILLISECONDS_PER_SECOND,
    )
