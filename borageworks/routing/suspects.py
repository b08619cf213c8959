"""Records of requests that ran on endpoints when they crashed."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

# A request may crash at most this many endpoints in the whole fleet.
MAX_CRASHES = 3
# One crash implicates every request that ran there; few have two crashes in common.
MIN_CRASHES_FOR_ISOLATION = 2
EXPIRY_S = 3600.0
MAX_FINGERPRINTS = 10_000


class Verdict(Enum):
    """How a request with a fingerprint may run."""

    CLEAR = "clear"
    ISOLATED = "alone"
    REFUSED = "refused"


@dataclass(slots=True)
class _Record:
    crashes: set[tuple[str, str]] = field(default_factory=set)
    crashed_in_isolation: bool = False
    updated_at: float = 0.0


class CrashSuspects:
    """Crashed endpoint incarnations by fingerprint of the requests that ran there.

    A fingerprint that ran on two crashed incarnations runs in isolation next, so that
    concurrent requests are not implicated with it. One that crashed an endpoint in
    isolation, or three endpoints, is refused until its record expires.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, _Record] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of recorded fingerprints."""
        return len(self._records)

    def record(
        self,
        now: float,
        fingerprint: bytes,
        endpoint: str,
        incarnation: str,
        isolated: bool,
    ) -> None:
        """Record a crash of an endpoint incarnation that ran the fingerprint."""
        record = self._records.setdefault(fingerprint, _Record())
        record.crashes.add((endpoint, incarnation))
        record.crashed_in_isolation = record.crashed_in_isolation or isolated
        record.updated_at = now
        self._records.move_to_end(fingerprint)
        self._expire(now)

    def clear(self, fingerprint: bytes) -> None:
        """Discard the record of a fingerprint whose request completed."""
        self._records.pop(fingerprint, None)

    def verdict(self, now: float, fingerprint: bytes) -> Verdict:
        """Return how a request may run now."""
        self._expire(now)
        record = self._records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        if record.crashed_in_isolation or len(record.crashes) >= MAX_CRASHES:
            return Verdict.REFUSED
        if len(record.crashes) >= MIN_CRASHES_FOR_ISOLATION:
            return Verdict.ISOLATED
        return Verdict.CLEAR

    def _expire(self, now: float) -> None:
        while self._records:
            fingerprint, record = next(iter(self._records.items()))
            expired = now - record.updated_at > EXPIRY_S
            if not expired and len(self._records) <= MAX_FINGERPRINTS:
                return
            del self._records[fingerprint]
