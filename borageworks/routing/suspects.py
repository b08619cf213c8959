"""Memory of requests that ran on endpoints that crashed."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

# A request that crashes endpoints costs at most this many in the whole fleet.
MAX_CRASHES = 3
# One crash puts every request that ran there under suspicion, two in common few.
CRASHES_BEFORE_ALONE = 2
EXPIRY_S = 3600.0
MAX_FINGERPRINTS = 10_000


class Verdict(Enum):
    """How a request with a fingerprint may run."""

    CLEAR = "clear"
    ALONE = "alone"
    REFUSED = "refused"


@dataclass(slots=True)
class _Record:
    crashes: set[tuple[str, str]] = field(default_factory=set)
    crashed_alone: bool = False
    updated: float = 0.0


class CrashSuspects:
    """Crashed endpoint incarnations by fingerprint of the requests that ran there.

    A fingerprint that ran on two crashed incarnations runs alone next, so that the
    requests beside it are not blamed with it. One that crashed an endpoint alone, or
    three endpoints, is refused until its record expires.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, _Record] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of fingerprints remembered."""
        return len(self._records)

    def record(
        self,
        now: float,
        fingerprint: bytes,
        endpoint: str,
        incarnation: str,
        alone: bool,
    ) -> None:
        """Note a crash of an endpoint incarnation that ran the fingerprint."""
        record = self._records.setdefault(fingerprint, _Record())
        record.crashes.add((endpoint, incarnation))
        record.crashed_alone = record.crashed_alone or alone
        record.updated = now
        self._records.move_to_end(fingerprint)
        self._forget(now)

    def clear(self, fingerprint: bytes) -> None:
        """Forget a fingerprint that ran to its end alone."""
        self._records.pop(fingerprint, None)

    def verdict(self, now: float, fingerprint: bytes) -> Verdict:
        """Return how a request may run now."""
        self._forget(now)
        record = self._records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        if record.crashed_alone or len(record.crashes) >= MAX_CRASHES:
            return Verdict.REFUSED
        if len(record.crashes) >= CRASHES_BEFORE_ALONE:
            return Verdict.ALONE
        return Verdict.CLEAR

    def _forget(self, now: float) -> None:
        while self._records:
            fingerprint, record = next(iter(self._records.items()))
            expired = now - record.updated > EXPIRY_S
            if not expired and len(self._records) <= MAX_FINGERPRINTS:
                return
            del self._records[fingerprint]
