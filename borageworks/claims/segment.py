"""Journal segment: the value of one store key, and its codec."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from borageworks.claims.record import ClaimRecord
from borageworks.exceptions import ClaimSegmentMalformedError
from borageworks.wire.messages import ClaimState

VERSION = 1
# Version, sealed, creation time, time of the latest record, holders, records.
_HEADER = struct.Struct("<BBddHI")
# Key hash, body hash, request, holder index (14 bits) and state (2 bits).
_RECORD = struct.Struct("<16s8sIH")
HEADER_BYTES = _HEADER.size
RECORD_BYTES = _RECORD.size
HOLDERS_MAX = 1 << 14
HOLDER_BYTES_MAX = 255
REQUEST_MASK = 0xFFFF_FFFF


@dataclass(frozen=True, slots=True)
class Segment:
    """Some claims of one shard.

    Parameters
    ----------
    created
        Unix time in seconds of its creation.
    latest
        Largest of the Unix times at which its records were written or their keys
        issued.
    records
        Claims by key hash, in the order of their arrival.
    sealed
        Whether a later segment follows; a sealed segment is never written again.
    """

    created: float
    latest: float
    records: Mapping[bytes, ClaimRecord] = field(default_factory=dict)
    sealed: bool = False

    def with_records(
        self, records: Mapping[bytes, ClaimRecord], latest: float
    ) -> Segment:
        """Return the segment with records added or replaced."""
        return replace(
            self,
            records={**self.records, **records},
            latest=max(self.latest, latest),
        )

    def encode(self) -> bytes:
        """Return the stored form."""
        holders: dict[str, int] = {}
        body = bytearray()
        for record in self.records.values():
            index = holders.setdefault(record.holder, len(holders))
            body += _RECORD.pack(
                record.key_hash,
                record.body_hash,
                record.request & REQUEST_MASK,
                index << 2 | record.state,
            )
        head = bytearray(
            _HEADER.pack(
                VERSION,
                self.sealed,
                self.created,
                self.latest,
                len(holders),
                len(self.records),
            )
        )
        for holder in holders:
            name = holder.encode()
            head.append(len(name))
            head += name
        return bytes(head + body)

    @classmethod
    def decode(cls, data: bytes) -> Segment:
        """Read the stored form.

        Raises
        ------
        ClaimSegmentMalformedError
            The data is cut, has surplus bytes or another version.
        """
        try:
            version, sealed, created, latest, holder_count, count = _HEADER.unpack_from(
                data
            )
            if version != VERSION:
                raise ClaimSegmentMalformedError(
                    f"claim segment has version {version}, expected {VERSION}"
                )
            offset = HEADER_BYTES
            holders: list[str] = []
            for _ in range(holder_count):
                end = offset + 1 + data[offset]
                holders.append(data[offset + 1 : end].decode())
                offset = end
            if len(data) - offset != count * RECORD_BYTES:
                raise ClaimSegmentMalformedError("claim segment has a wrong length")
            records = {}
            for key, body, request, tail in _RECORD.iter_unpack(data[offset:]):
                records[key] = ClaimRecord(
                    key, body, holders[tail >> 2], request, ClaimState(tail & 3)
                )
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            raise ClaimSegmentMalformedError("claim segment is cut") from error
        return cls(created, latest, records, bool(sealed))

    def size_with(self, records: Mapping[bytes, ClaimRecord]) -> int:
        """Return an upper bound of the encoded bytes with `records` added."""
        holders = {record.holder for record in self.records.values()}
        holders.update(record.holder for record in records.values())
        names = sum(1 + len(holder.encode()) for holder in holders)
        count = len(self.records) + len(records)
        return HEADER_BYTES + names + count * RECORD_BYTES
