"""Finds out what the requests have in common that crash endpoints."""

from __future__ import annotations

import secrets
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from borageworks.placement.trait_record import (
    MAX_REFUSAL_S,
    TraitRecord,
    record_of,
    refusal_s,
)
from borageworks.routing.suspects import Verdict
from borageworks.wire.messages import CrashTrait

# A trait implicated in so many crashes is tried by one request at a time, and other
# instances are told of it.
MIN_CRASHES_FOR_ISOLATION = 2
EXPIRY_S = MAX_REFUSAL_S
MAX_TRAITS = 10_000
PROCESS_ID_BYTES = 8


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

    What is told to other instances is a state that they merge: crashes, their order and
    the requests that may be the next. So a verdict, its length and what was tried since
    outlive the instance that came to it.

    Parameters
    ----------
    on_change
        Called with the current time and a trait when other instances need to know: it
        is to be isolated or refused, is tried, or is cleared again.
    """

    def __init__(
        self, on_change: Callable[[float, bytes], None] = lambda _now, _trait: None
    ) -> None:
        self._on_change = on_change
        self._process = secrets.token_hex(PROCESS_ID_BYTES)
        # In the order of their last crash or clearing.
        self._records: OrderedDict[bytes, TraitRecord] = OrderedDict()
        self._changed_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of traits of which something is known."""
        return len(self._records)

    @property
    def shared(self) -> Mapping[bytes, int]:
        """Crashes by trait, as far as other instances need to know."""
        return {
            trait: record.count
            for trait, record in self._records.items()
            if record.count >= MIN_CRASHES_FOR_ISOLATION
        }

    def report(self, now: float, trait: bytes) -> CrashTrait:
        """Return what is known of a trait."""
        return self._records.get(trait, TraitRecord()).report(now, trait)

    def refused_s(self, now: float, trait: bytes) -> float:
        """Return the seconds for which a trait is still refused, 0 if it is not."""
        record = self._records.get(trait)
        if record is None or not record.decided:
            return 0.0
        return max(record.crashed_at + refusal_s(record.count) - now, 0.0)

    def reports(self, now: float) -> list[CrashTrait]:
        """Return all that other instances need to know, also what was cleared."""
        return [
            record.report(now, trait)
            for trait, record in self._records.items()
            if record.count >= MIN_CRASHES_FOR_ISOLATION or record.cleared
        ]

    def record_crash(
        self,
        now: float,
        traits: Iterable[bytes],
        placed_at: float,
        incarnation: str,
    ) -> None:
        """Record that an endpoint crashed while running a request with these traits."""
        records = {trait: self._record(now, trait) for trait in traits}
        counted = [
            trait
            for trait, record in records.items()
            if record.add_crash(now, placed_at, incarnation)
        ]
        decided = [trait for trait in counted if records[trait].decided]
        for trait in decided:
            records[trait].set_joint(incarnation, decided)
        for trait in counted:
            self._touch(now, trait)
            if records[trait].count >= MIN_CRASHES_FOR_ISOLATION:
                self._on_change(now, trait)
        self._expire(now)

    def clear(self, now: float, traits: Iterable[bytes]) -> None:
        """Clear the traits of a request that was served."""
        for trait in traits:
            record = self._records.get(trait)
            if record is None or not record.crashes:
                continue
            shared = record.count >= MIN_CRASHES_FOR_ISOLATION
            record.clear()
            if shared:
                self._touch(now, trait)
                self._on_change(now, trait)
            elif not record.trials:
                self._forget(trait)

    def learn(self, now: float, report: CrashTrait) -> None:
        """Take over what another instance knows of a trait."""
        if report.crashes <= 0 and not report.cleared:
            # An instance of an earlier version has cleared the trait.
            if report.trait in self._records:
                self._records[report.trait].clear()
            return
        record = self._record(now, report.trait)
        before = record.count
        record.merge(record_of(now, report))
        if record.count != before:
            self._touch(now, report.trait)
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
            if record is None or record.count < MIN_CRASHES_FOR_ISOLATION:
                continue
            refused = record.is_decided_for(traits) and record.is_refused(now)
            if refused or record.is_in_trial(now, traits):
                return Verdict.REFUSED
            verdict = Verdict.ISOLATED
        return verdict

    def begin(self, now: float, traits: Iterable[bytes]) -> None:
        """Record that a request with these traits was placed."""
        for trait in traits:
            record = self._records.get(trait)
            if record is not None and record.crashes:
                record.begin_trial(now, self._process)
                if record.count >= MIN_CRASHES_FOR_ISOLATION:
                    self._on_change(now, trait)

    def end(self, now: float, traits: Iterable[bytes]) -> None:
        """Record that a placed request with these traits has ended."""
        for trait in traits:
            record = self._records.get(trait)
            if (
                record is not None
                and record.end_trial(self._process)
                and record.count >= MIN_CRASHES_FOR_ISOLATION
            ):
                self._on_change(now, trait)

    def _record(self, now: float, trait: bytes) -> TraitRecord:
        record = self._records.get(trait)
        if record is None:
            record = self._records[trait] = TraitRecord()
            self._changed_at[trait] = now
        return record

    def _touch(self, now: float, trait: bytes) -> None:
        self._changed_at[trait] = now
        self._records.move_to_end(trait)

    def _forget(self, trait: bytes) -> None:
        del self._records[trait]
        del self._changed_at[trait]

    def _expire(self, now: float) -> None:
        while self._records:
            trait = next(iter(self._records))
            expired = now - self._changed_at[trait] > EXPIRY_S
            if not expired and len(self._records) <= MAX_TRAITS:
                return
            self._forget(trait)
