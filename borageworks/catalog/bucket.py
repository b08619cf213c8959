"""One bucket of the configuration as stored in the platform store."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.catalog.versioned_object import (
    VersionedDocument,
    VersionedObject,
    first_error,
)
from borageworks.exceptions import StoreReplyMalformedError

# At level 6 the result consists mostly of API key hashes, which are incompressible.
COMPRESSION_LEVEL = 6

# Limits the memory that a corrupt or foreign value can take when it is decompressed.
DOCUMENT_LIMIT_BYTES = 64 * 1_048_576

VersionedLookup = Callable[[str, str], VersionedObject | None]


class _BucketDocument(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")

    tickets: int = Field(ge=0, lt=1 << 63)
    objects: tuple[VersionedDocument, ...]


class _UnvalidatedBucketDocument(BaseModel):
    """A bucket whose objects have not been validated."""

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
    objects: tuple[VersionedObject, ...] = ()
    mod_revision: int = 0

    def encode(self) -> bytes:
        """Return the stored form: JSON text compressed by zlib.

        Uncompressed, a ticket that changes all 64 buckets of 28,000 organisations would
        write 5.4 MB at once, more than stores accept in one request.
        """
        document = {
            "tickets": self.tickets,
            "objects": [item.to_document() for item in self.objects],
        }
        return zlib.compress(orjson.dumps(document), COMPRESSION_LEVEL)

    @classmethod
    def decode(
        cls, data: bytes, mod_revision: int, lookup: VersionedLookup | None = None
    ) -> Bucket:
        """Decode the stored form of a bucket.

        Parameters
        ----------
        data
            Stored form, as returned by `encode`.
        mod_revision
            Store revision that wrote the bucket.
        lookup
            Returns the state of an object that the caller already has. An object with
            the same ticket number is taken from there and not validated again, since
            validation dominates the decoding time of a bucket with one changed object.

        Raises
        ------
        StoreReplyMalformedError
            If the data is not a bucket.
        """
        text = _decompress(data)
        try:
            if lookup is None:
                document = _BucketDocument.model_validate_json(text, strict=True)
                objects = tuple(item.to_versioned() for item in document.objects)
                return cls(document.tickets, objects, mod_revision)
            unvalidated = _UnvalidatedBucketDocument.model_validate_json(
                text, strict=True
            )
            objects = tuple(
                _decode_object(item, lookup) for item in unvalidated.objects
            )
            return cls(unvalidated.tickets, objects, mod_revision)
        except ValidationError as error:
            raise StoreReplyMalformedError(
                f"configuration bucket of {len(data)} bytes: {first_error(error)}"
            ) from error


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, DOCUMENT_LIMIT_BYTES)
    except zlib.error as error:
        raise StoreReplyMalformedError(
            f"configuration bucket of {len(data)} bytes: {error}"
        ) from error
    if not decompressor.eof:
        raise StoreReplyMalformedError(
            f"configuration bucket of {len(data)} bytes: truncated, or over "
            f"{DOCUMENT_LIMIT_BYTES} bytes when decompressed"
        )
    return text


def _decode_object(item: dict[str, Any], lookup: VersionedLookup) -> VersionedObject:
    identity = item.get("put") or item.get("delete")
    if isinstance(identity, dict):
        kind, object_id = identity.get("kind"), identity.get("id")
        if isinstance(kind, str) and isinstance(object_id, str):
            existing = lookup(kind, object_id)
            if existing is not None and existing.ticket == item.get("ticket"):
                return existing
    return VersionedDocument.model_validate_json(
        orjson.dumps(item), strict=True
    ).to_versioned()
