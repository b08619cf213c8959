"""Stored content of a claim shard."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from borageworks.claims.record import ClaimRecord
from borageworks.claims.segment import Segment
from borageworks.exceptions import ClaimSegmentMalformedError
from borageworks.store.values import StoredValue
from borageworks.wire.messages import ClaimState


def remember(index: dict[bytes, ClaimRecord], record: ClaimRecord) -> None:
    """Add a record or its later state to `index`; a final state stays."""
    known = index.get(record.key_hash)
    if known is None or known.state is ClaimState.CLAIMED:
        index[record.key_hash] = record


class ShardContent:
    """Decoded keys of one shard, all read at one store revision.

    Attributes
    ----------
    active_number, head_revision
        Number of the active segment and revision of the key that names it; 0 in a
        shard that has none.
    active, active_revision
        Active segment and its revision.
    sealed
        Latest time and key hashes of the sealed segments, by number.
    index
        Records by key hash.
    """

    def __init__(self) -> None:
        self.active_number = 0
        self.head_revision = 0
        self.active = Segment(0.0, 0.0)
        self.active_revision = 0
        self.sealed: dict[int, tuple[float, tuple[bytes, ...]]] = {}
        self.index: dict[bytes, ClaimRecord] = {}

    def decode(self, prefix: str, values: Mapping[str, StoredValue]) -> Iterator[None]:
        """Decode the keys under `prefix`, yielding after each segment.

        A shard of 24,000 records takes over 0.1 s, which is too long for one step of
        the event loop.

        Raises
        ------
        ClaimSegmentMalformedError
            A key or segment cannot be decoded, or the active segment is absent.
        """
        head = prefix + "head"
        if head in values:
            self.head_revision = values[head].mod_revision
            self.active_number = _number(values[head].value)
        for key in sorted(values.keys() - {head}):
            number = _number(key.removeprefix(prefix).encode())
            segment = Segment.decode(values[key].value)
            for record in segment.records.values():
                remember(self.index, record)
            if number == self.active_number:
                self.active = segment
                self.active_revision = values[key].mod_revision
            else:
                self.sealed[number] = (segment.latest, tuple(segment.records))
            yield
        if self.active_number and not self.active_revision:
            raise ClaimSegmentMalformedError(
                f"active segment {self.active_number} of {prefix} is absent"
            )

    @classmethod
    def read(cls, prefix: str, values: Mapping[str, StoredValue]) -> ShardContent:
        """Decode the keys under `prefix` at once."""
        content = cls()
        for _ in content.decode(prefix, values):
            pass
        return content


def _number(text: bytes) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise ClaimSegmentMalformedError(
            f"segment number {text!r} is no number"
        ) from error
