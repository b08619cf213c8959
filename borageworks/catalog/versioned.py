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


class _Record(BaseModel):
    """JSON form: exactly one of `put` and `delete`."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    ticket: int = Field(gt=0, lt=1 << 63)
    put: AnyObject | None = None
    delete: ObjectRef | None = None

    @model_validator(mode="after")
    def _one_change(self) -> _Record:
        if (self.put is None) == (self.delete is None):
            raise ValueError("exactly one of put and delete is needed")
        return self


@dataclass(frozen=True, slots=True)
class Versioned:
    """State of one object.

    Parameters
    ----------
    kind, id
        Identity of the object.
    ticket
        Number of the ticket that set this state; it only grows for one object.
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

    def record(self) -> dict[str, Any]:
        """Return the JSON form, with every field written out.

        Defaults are written too, so a release with another default does not change an
        accepted object.
        """
        if self.value is None:
            return {
                "ticket": self.ticket,
                "delete": {"kind": self.kind, "id": self.id},
            }
        return {"ticket": self.ticket, "put": self.value.model_dump(mode="json")}

    def encode(self) -> bytes:
        """Return the JSON text of `record`."""
        return orjson.dumps(self.record())

    @classmethod
    def decode(cls, data: bytes) -> Versioned:
        """Return the state that JSON text describes.

        Raises
        ------
        MessageMalformedError
            If the text is not the JSON form of an object's state.
        """
        try:
            record = _Record.model_validate_json(data, strict=True)
        except ValidationError as error:
            raise MessageMalformedError(
                f"configuration object of {len(data)} bytes: {_first_reason(error)}"
            ) from error
        return _from_record(record)


class _Records(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")

    objects: tuple[_Record, ...]


def encode_all(objects: list[Versioned]) -> bytes:
    """Return the JSON text of a bucket: `{"objects": [...]}`."""
    return orjson.dumps({"objects": [item.record() for item in objects]})


def decode_all(data: bytes) -> list[Versioned]:
    """Return the objects in the JSON text of a bucket.

    Raises
    ------
    MessageMalformedError
        If the text is not the JSON form of a bucket.
    """
    try:
        records = _Records.model_validate_json(data, strict=True)
    except ValidationError as error:
        raise MessageMalformedError(
            f"configuration bucket of {len(data)} bytes: {_first_reason(error)}"
        ) from error
    return [_from_record(record) for record in records.objects]


def _from_record(record: _Record) -> Versioned:
    if record.put is not None:
        return Versioned(record.put.kind, record.put.id, record.ticket, record.put)
    assert record.delete is not None
    return Versioned(record.delete.kind, record.delete.id, record.ticket, None)


def _first_reason(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    return f"{'.'.join(map(str, first['loc']))}: {first['msg']}"
