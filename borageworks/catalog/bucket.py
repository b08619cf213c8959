"""One bucket of the configuration as it stands in the platform store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.catalog.versioned import Record, Versioned, first_reason
from borageworks.exceptions import StoreReplyMalformedError

Lookup = Callable[[str, str], Versioned | None]


class _Document(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")

    tickets: int = Field(ge=0, lt=1 << 63)
    objects: tuple[Record, ...]


class _Outline(BaseModel):
    """A bucket whose objects are not validated yet."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    tickets: int = Field(ge=0, lt=1 << 63)
    objects: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Bucket:
    """Objects and tombstones of one bucket.

    Parameters
    ----------
    tickets
        Number of tickets accepted in the whole store when the bucket last changed.
    objects
        State of each object.
    mod_revision
        Store revision that wrote the bucket, 0 if it does not exist.
    """

    tickets: int = 0
    objects: tuple[Versioned, ...] = ()
    mod_revision: int = 0

    def encode(self) -> bytes:
        """Return the JSON text, without the store revision."""
        return orjson.dumps(
            {
                "tickets": self.tickets,
                "objects": [item.record() for item in self.objects],
            }
        )

    @classmethod
    def decode(
        cls, data: bytes, mod_revision: int, known: Lookup | None = None
    ) -> Bucket:
        """Return the bucket in JSON text.

        Parameters
        ----------
        data
            JSON text.
        mod_revision
            Store revision that wrote it.
        known
            Finds the state that the caller already holds of an object. An object with
            the same ticket number is taken from there and not validated again, which
            takes most of the time of a bucket in which one object changed.

        Raises
        ------
        StoreReplyMalformedError
            If the text is not a bucket.
        """
        try:
            if known is None:
                document = _Document.model_validate_json(data, strict=True)
                objects = tuple(record.state() for record in document.objects)
                return cls(document.tickets, objects, mod_revision)
            outline = _Outline.model_validate_json(data, strict=True)
            objects = tuple(_state(item, known) for item in outline.objects)
            return cls(outline.tickets, objects, mod_revision)
        except ValidationError as error:
            raise StoreReplyMalformedError(
                f"configuration bucket of {len(data)} bytes: {first_reason(error)}"
            ) from error


def _state(item: dict[str, Any], known: Lookup) -> Versioned:
    identity = item.get("put") or item.get("delete")
    if isinstance(identity, dict):
        kind, object_id = identity.get("kind"), identity.get("id")
        if isinstance(kind, str) and isinstance(object_id, str):
            held = known(kind, object_id)
            if held is not None and held.ticket == item.get("ticket"):
                return held
    return Record.model_validate_json(orjson.dumps(item), strict=True).state()
