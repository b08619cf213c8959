"""Finds out what the requests have in common that crash endpoints."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from borageworks.routing.suspects import MAX_CRASHES, Verdict

# A trait implicated in so many crashes is tried by one request at a time, and other
# instances are told of it.
MIN_CRASHES_FOR_ISOLATION = 2
# A request to run in isolation waits no longer for the end of another one, which may
# not be reported if its instance is lost.
MAX_TRIAL_S = 5.0
# A refused trait is tried again after this time, which grows by the factor with each
# further crash: the verdict may rest on failures that had another cause.
FIRST_REFUSAL_S = 10.0
REFUSAL_GROWTH = 8.0
EXPIRY_S = 3600.0
MAX_TRAITS = 10_000


@dataclass(slots=True)
class _Record:
    crashes: int
    crashed_at: float
    trial_at: float | None = None
    # Traits that the same crash brought to a verdict, itself included.
    joint: frozenset[bytes] = frozenset()
    incarnations: set[str] = field(default_factory=set)
    refusal_s: float = FIRST_REFUSAL_S


class CrashEvidence:
    """Counts crashes of endpoints by the traits of the requests that ran there.

    The traits of a request are what it may share with others that crash endpoints: its
    fingerprint, and the shared parts of its prompt. A crash implicates the traits of
    all requests that ran there; a request that is served clears its own. So a trait of
    sound requests is cleared by the next of them, and one that crashes endpoints by
    none. Crashes at the same time count once: a trait is implicated again only by a
    request that was placed after the last crash, and once by each incarnation: one that
    goes on after it broke off has not crashed. Of traits that the same requests bring
    to a verdict, any may be sound: a request with one of them only is tried once more.

    Parameters
    ----------
    on_change
        Called with a trait and its crashes when other instances need to know: it is to
        be isolated or refused, or cleared again.
    """

    def __init__(
        self, on_change: Callable[[bytes, int], None] = lambda _trait, _crashes: None
    ) -> None:
        self._on_change = on_change
        self._records: OrderedDict[bytes, _Record] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of implicated traits."""
        return len(self._records)

    @property
    def shared(self) -> Mapping[bytes, int]:
        """Crashes by trait, as far as other instances need to know."""
        return {
            trait: record.crashes
            for trait, record in self._records.items()
            if record.crashes >= MIN_CRASHES_FOR_ISOLATION
        }

    def record_crash(
        self,
        now: float,
        traits: Iterable[bytes],
        placed_at: float,
        incarnation: str,
    ) -> None:
        """Record that an endpoint crashed while running a request with these traits."""
        traits = tuple(traits)
        decided = []
        for trait in traits:
            record = self._records.get(trait)
            if record is None:
                self._records[trait] = _Record(1, now, incarnations={incarnation})
            elif placed_at >= record.crashed_at and (
                incarnation not in record.incarnations
            ):
                if record.crashes >= MAX_CRASHES:
                    record.refusal_s = min(record.refusal_s * REFUSAL_GROWTH, EXPIRY_S)
                record.incarnations.add(incarnation)
                record.crashes = min(record.crashes + 1, MAX_CRASHES)
                record.crashed_at = now
                self._records.move_to_end(trait)
                if record.crashes == MAX_CRASHES:
                    decided.append(trait)
                self._on_change(trait, record.crashes)
        for trait in decided:
            self._records[trait].joint = frozenset(decided)
        self._expire(now)

    def clear(self, traits: Iterable[bytes]) -> None:
        """Clear the traits of a request that was served."""
        for trait in traits:
            record = self._records.pop(trait, None)
            if record is not None and record.crashes >= MIN_CRASHES_FOR_ISOLATION:
                self._on_change(trait, 0)

    def learn(self, now: float, trait: bytes, crashes: int) -> None:
        """Take over what another instance knows of a trait; 0 crashes clear it."""
        if crashes <= 0:
            self._records.pop(trait, None)
            return
        record = self._records.get(trait)
        if record is None:
            self._records[trait] = _Record(crashes, now)
        elif crashes >= record.crashes:
            record.crashes = crashes
            record.joint = frozenset()
            record.crashed_at = now
        self._records.move_to_end(trait)
        self._expire(now)

    def verdict(self, now: float, traits: Iterable[bytes]) -> Verdict:
        """Return how a request with these traits may run now.

        A request to run in isolation is refused while another one with the same trait
        runs.
        """
        self._expire(now)
        traits = tuple(traits)
        verdict = Verdict.CLEAR
        for trait in traits:
            record = self._records.get(trait)
            if record is None or record.crashes < MIN_CRASHES_FOR_ISOLATION:
                continue
            if _is_decided(record, traits, now) or _in_trial(record, now):
                return Verdict.REFUSED
            verdict = Verdict.ISOLATED
        return verdict

    def begin(self, now: float, traits: Iterable[bytes]) -> None:
        """Record that a request with these traits was placed."""
        for trait in traits:
            record = self._records.get(trait)
            if record is not None:
                record.trial_at = now

    def end(self, traits: Iterable[bytes]) -> None:
        """Record that a placed request with these traits has ended."""
        for trait in traits:
            record = self._records.get(trait)
            if record is not None:
                record.trial_at = None

    def _expire(self, now: float) -> None:
        while self._records:
            trait, record = next(iter(self._records.items()))
            expired = now - record.crashed_at > EXPIRY_S
            if not expired and len(self._records) <= MAX_TRAITS:
                return
            del self._records[trait]


def _in_trial(record: _Record, now: float) -> bool:
    return record.trial_at is not None and now - record.trial_at < MAX_TRIAL_S


def _is_decided(record: _Record, traits: tuple[bytes, ...], now: float) -> bool:
    """Return whether the verdict on a trait holds for a request with these traits."""
    return (
        record.crashes >= MAX_CRASHES
        and record.joint.issubset(traits)
        and now - record.crashed_at < record.refusal_s
    )
