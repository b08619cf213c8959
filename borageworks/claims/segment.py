"""Journal segment, stored as the value of one store key, and its codec."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from borageworks.claims.record import ClaimRecord
from borageworks.exceptions import ClaimSegmentMalformedError
from borageworks.wire.messages import ClaimState

FORMAT_VERSION = 1
# Format version, sealed, created_at, latest_at, number of holders and of records.
_HEADER = struct.Struct("<BBddHI")
# Key hash, body hash, low bits of the request id, holder index (14 bits) and state
# (2 bits).
_RECORD = struct.Struct("<16s8sIH")
HEADER_BYTES = _HEADER.size
RECORD_BYTES = _RECORD.size
MAX_HOLDERS = 1 << 14
MAX_HOLDER_BYTES = 255
REQUEST_ID_MASK = 0xFFFF_FFFF


@dataclass(frozen=True, slots=True)
class Segment:
    """A group of claims of one shard that are stored together.

    Parameters
    ----------
    created_at
        Unix time in seconds at which the segment was created.
    latest_at
        Latest Unix time in seconds at which a record was written or a key of a record
        was issued.
    records
        Claims by key hash, in order of arrival.
    sealed
        Whether a newer segment exists; a sealed segment is never modified.
    """

    created_at: float
    latest_at: float
    records: Mapping[bytes, ClaimRecord] = field(default_factory=dict)
    sealed: bool = False

    def with_records(
        self, records: Mapping[bytes, ClaimRecord], latest_at: float
    ) -> Segment:
        """Return a copy with records added or replaced."""
        return replace(
            self,
            records={**self.records, **records},
            latest_at=max(self.latest_at, latest_at),
        )

    def encode(self) -> bytes:
        """Return the encoded segment."""
        holders: dict[str, int] = {}
        body = bytearray()
        for record in self.records.values():
            index = holders.setdefault(record.holder, len(holders))
            body += _RECORD.pack(
                record.key_hash,
                record.body_hash,
                record.request_id_low & REQUEST_ID_MASK,
                index << 2 | record.state,
            )
        header = bytearray(
            _HEADER.pack(
                FORMAT_VERSION,
                self.sealed,
                self.created_at,
                self.latest_at,
                len(holders),
                len(self.records),
            )
        )
        for holder in holders:
            name = holder.encode()
            header.append(len(name))
            header += name
        return bytes(header + body)

    @classmethod
    def decode(cls, data: bytes) -> Segment:
        """Decode a segment.

        Raises
        ------
        ClaimSegmentMalformedError
            The data is truncated, has surplus bytes or an unsupported version.
        """
        try:
            version, sealed, created_at, latest_at, holder_count, record_count = (
                _HEADER.unpack_from(data)
            )
            if version != FORMAT_VERSION:
                raise ClaimSegmentMalformedError(
                    f"claim segment has version {version}, expected {FORMAT_VERSION}"
                )
            offset = HEADER_BYTES
            holders: list[str] = []
            for _ in range(holder_count):
                end = offset + 1 + data[offset]
                holders.append(data[offset + 1 : end].decode())
                offset = end
            if len(data) - offset != record_count * RECORD_BYTES:
                raise ClaimSegmentMalformedError(
                    "length of claim segment does not match its record count"
                )
            records = {}
            for (
                key_hash,
                body_hash,
                request_id_low,
                holder_and_state,
            ) in _RECORD.iter_unpack(data[offset:]):
                records[key_hash] = ClaimRecord(
                    key_hash,
                    body_hash,
                    holders[holder_and_state >> 2],
                    request_id_low,
                    ClaimState(holder_and_state & 3),
                )
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            raise ClaimSegmentMalformedError(
                "claim segment is truncated or malformed"
            ) from error
        return cls(created_at, latest_at, records, bool(sealed))

    def encoded_size_with(self, records: Mapping[bytes, ClaimRecord]) -> int:
        """Return an upper bound of the encoded size in bytes with `records` added."""
        holders = {record.holder for record in self.records.values()}
        holders.update(record.holder for record in records.values())
        holder_bytes = sum(1 + len(holder.encode()) for holder in holders)
        count = len(self.records) + len(records)
        return HEADER_BYTES + holder_bytes + count * RECORD_BYTES
