"""Configuration objects that tickets create and change.

All object kinds are defined in this file, since readers match exhaustively on them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, IPvAnyAddress, StringConstraints

ObjectId = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]
KeyHash = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class PoolKind(StrEnum):
    """Type of the endpoints of a pool."""

    ENGINE = "engine"
    PLAIN = "plain"


class EndpointState(StrEnum):
    """Whether an endpoint takes new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


class CatalogObject(BaseModel):
    """Base of configuration objects; instances are immutable."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    id: ObjectId


class Organisation(CatalogObject):
    """A customer that uses each pool in proportion to its `share`.

    `keys` are SHA-256 hashes of API keys in lower-case hexadecimal.
    """

    kind: Literal["organisation"] = "organisation"
    share: float = Field(gt=0, le=1_000_000)
    keys: tuple[KeyHash, ...] = Field(default=(), max_length=8)


class Pool(CatalogObject):
    """A group of endpoints that run the same services."""

    kind: Literal["pool"] = "pool"
    endpoints: PoolKind


class Service(CatalogObject):
    """What callers request: a model by name, or a plain service by path.

    If `organisations` is None, every organisation may use the service.
    """

    kind: Literal["service"] = "service"
    pool: ObjectId
    idempotent: bool = True
    queue_timeout_s: float = Field(default=60.0, gt=0, le=3600)
    run_timeout_s: float = Field(default=300.0, gt=0, le=3600)
    max_body_bytes: int = Field(default=1_048_576, gt=0, le=64 * 1_048_576)
    organisations: tuple[ObjectId, ...] | None = None


class Endpoint(CatalogObject):
    """A model engine or an instance of a plain service."""

    kind: Literal["endpoint"] = "endpoint"
    pool: ObjectId
    domain: ObjectId
    host: IPvAnyAddress
    port: int = Field(gt=0, le=65535)
    state: EndpointState = EndpointState.ACTIVE
    checks_fencing: bool = False
    window_initial: int = Field(default=4, ge=1, le=4096)
    window_max: int = Field(default=64, ge=1, le=4096)


AnyObject = Annotated[
    Organisation | Pool | Service | Endpoint, Field(discriminator="kind")
]


class ObjectRef(BaseModel):
    """Reference to one object."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    kind: Literal["organisation", "pool", "service", "endpoint"]
    id: ObjectId


class Ticket(BaseModel):
    """A numbered change with the complete new state of each object that it changes."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    number: int = Field(gt=0, lt=1 << 63)
    put: tuple[AnyObject, ...] = ()
    delete: tuple[ObjectRef, ...] = ()
