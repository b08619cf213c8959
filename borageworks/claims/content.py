"""Stored content of a claim shard."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from borageworks.claims.record import ClaimRecord
from borageworks.claims.segment import Segment
from borageworks.exceptions import ClaimSegmentMalformedError
from borageworks.store.values import StoredValue
from borageworks.wire.messages import ClaimState


def merge_record(index: dict[bytes, ClaimRecord], record: ClaimRecord) -> None:
    """Insert or update a record in `index`; a final state is never overwritten."""
    known = index.get(record.key_hash)
    if known is None or known.state is ClaimState.CLAIMED:
        index[record.key_hash] = record


class ShardContent:
    """Decoded content of one shard, read at a single store revision.

    Attributes
    ----------
    active_number, head_revision
        Number of the active segment, and revision of the `head` key, which contains
        that number; both 0 if the shard has no segment.
    active, active_revision
        Active segment and its revision.
    sealed
        `latest_at` and key hashes of each sealed segment, by segment number.
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

        Decoding a shard of 24,000 records takes over 0.1 s, which would block the
        event loop for too long.

        Raises
        ------
        ClaimSegmentMalformedError
            A key or segment cannot be decoded, or the active segment is missing.
        """
        head_key = prefix + "head"
        if head_key in values:
            self.head_revision = values[head_key].mod_revision
            self.active_number = _parse_segment_number(values[head_key].value)
        for key in sorted(values.keys() - {head_key}):
            number = _parse_segment_number(key.removeprefix(prefix).encode())
            segment = Segment.decode(values[key].value)
            for record in segment.records.values():
                merge_record(self.index, record)
            if number == self.active_number:
                self.active = segment
                self.active_revision = values[key].mod_revision
            else:
                self.sealed[number] = (segment.latest_at, tuple(segment.records))
            yield
        if self.active_number and not self.active_revision:
            raise ClaimSegmentMalformedError(
                f"active segment {self.active_number} of {prefix} is missing"
            )

    @classmethod
    def decode_all(cls, prefix: str, values: Mapping[str, StoredValue]) -> ShardContent:
        """Decode all keys under `prefix` in one call."""
        content = cls()
        for _ in content.decode(prefix, values):
            pass
        return content


def _parse_segment_number(text: bytes) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise ClaimSegmentMalformedError(
            f"segment number {text!r} is not an integer"
        ) from error
