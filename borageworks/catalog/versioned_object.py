"""A configuration object, or its deletion, with the version that set it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from borageworks.catalog.objects import (
    AnyObject,
    Endpoint,
    ObjectRef,
    Organisation,
    Pool,
    Service,
)
from borageworks.exceptions import MessageMalformedError


class VersionedDocument(BaseModel):
    """JSON form of `VersionedObject`: exactly one of `put` and `delete`."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    ticket: int = Field(gt=0, lt=1 << 63)
    put: AnyObject | None = None
    delete: ObjectRef | None = None

    @model_validator(mode="after")
    def _check_one_change(self) -> VersionedDocument:
        if (self.put is None) == (self.delete is None):
            raise ValueError("exactly one of put and delete is required")
        return self

    def to_versioned(self) -> VersionedObject:
        """Return the state that this document describes."""
        if self.put is not None:
            return VersionedObject(self.put.kind, self.put.id, self.ticket, self.put)
        assert self.delete is not None
        return VersionedObject(self.delete.kind, self.delete.id, self.ticket, None)


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """State of one object.

    Parameters
    ----------
    kind, id
        Identity of the object.
    ticket
        Number of the ticket that set this state; it only increases for an object.
    value
        The object, or None after its deletion.
    """

    kind: str
    id: str
    ticket: int
    value: Organisation | Pool | Service | Endpoint | None

    @property
    def key(self) -> tuple[str, str]:
        """Kind and id."""
        return self.kind, self.id

    def to_document(self) -> dict[str, Any]:
        """Return the JSON form, with every field included.

        Defaults are included, so a release with another default does not change an
        accepted object.
        """
        if self.value is None:
            return {
                "ticket": self.ticket,
                "delete": {"kind": self.kind, "id": self.id},
            }
        return {"ticket": self.ticket, "put": self.value.model_dump(mode="json")}

    def encode(self) -> bytes:
        """Return the JSON text of `to_document`."""
        return orjson.dumps(self.to_document())

    @classmethod
    def decode(cls, data: bytes) -> VersionedObject:
        """Return the state that JSON text describes.

        Raises
        ------
        MessageMalformedError
            If the text is not the JSON form of an object's state.
        """
        try:
            document = VersionedDocument.model_validate_json(data, strict=True)
        except ValidationError as error:
            raise MessageMalformedError(
                f"configuration object of {len(data)} bytes: {first_error(error)}"
            ) from error
        return document.to_versioned()


def first_error(error: ValidationError) -> str:
    """Return the first message of a validation error, without the input."""
    first = error.errors(include_url=False, include_input=False)[0]
    return f"{'.'.join(map(str, first['loc']))}: {first['msg']}"
