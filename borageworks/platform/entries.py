"""Decodes the store entries in which endpoints register themselves."""

from __future__ import annotations

import ipaddress
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.exceptions import EndpointEntryMalformedError
from borageworks.gateway.endpoint import Endpoint
from borageworks.platform import protocol_names

MAX_PORT = 65_535


class _Entry(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    service: str
    address: str
    zone: str
    slots: int = Field(ge=1)
    state: Literal["ready", "draining"]
    seq: int
    born: int = 0


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
    host, _, port = entry.address.rpartition(":")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError as error:
        raise EndpointEntryMalformedError(
            f"{key}: invalid address {entry.address!r}"
        ) from error
    if not 0 < port_number <= MAX_PORT:
        raise EndpointEntryMalformedError(f"{key}: port {port_number} out of range")
    return Endpoint(
        id=key.removeprefix(protocol_names.ENDPOINT_PREFIX),
        service=entry.service,
        host=host,
        port=port_number,
        domain=entry.zone,
        slots=entry.slots,
        leaving=entry.state == "draining",
        started_ms=entry.born,
        sequence=entry.seq,
    )
