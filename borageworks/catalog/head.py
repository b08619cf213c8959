"""Head of the stored configuration, which every ticket rewrites."""

from __future__ import annotations

from typing import Annotated

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.catalog.bucket_hash import BUCKET_COUNT
from borageworks.exceptions import StoreReplyMalformedError

Count = Annotated[int, Field(ge=0, lt=1 << 63)]


class Head(BaseModel):
    """Counts of accepted tickets.

    Parameters
    ----------
    tickets
        Number of accepted tickets.
    previous
        Store revision of the head before this one, 0 for the first.
    buckets
        Value of `tickets` when each bucket last changed, shape (BUCKET_COUNT,); shows a
        watcher which buckets to read.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    tickets: Count = 0
    previous: Count = 0
    buckets: tuple[Count, ...] = Field(
        default=(0,) * BUCKET_COUNT, min_length=BUCKET_COUNT, max_length=BUCKET_COUNT
    )

    def encode(self) -> bytes:
        """Return the head as JSON text."""
        return orjson.dumps(self.model_dump())

    @classmethod
    def decode(cls, data: bytes) -> Head:
        """Decode a head from JSON text.

        Raises
        ------
        StoreReplyMalformedError
            If the text is not a head.
        """
        try:
            return cls.model_validate_json(data, strict=True)
        except ValidationError as error:
            raise StoreReplyMalformedError(
                f"configuration head of {len(data)} bytes: {error.error_count()} "
                "validation errors"
            ) from error

    def advance(self, revision: int, changed_buckets: tuple[int, ...]) -> Head:
        """Return the head after one more ticket.

        `revision` is the store revision of this head.
        """
        count = self.tickets + 1
        return Head(
            tickets=count,
            previous=revision,
            buckets=tuple(
                count if index in changed_buckets else last
                for index, last in enumerate(self.buckets)
            ),
        )
