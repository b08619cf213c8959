"""What is known of one trait of requests that crash endpoints."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from borageworks.routing.suspects import MAX_CRASHES
from borageworks.wire.messages import CrashTrait, TraitCrash, TraitTrial

# A refused trait is tried again after this time, which grows by the factor with each
# further crash: the verdict may rest on failures that had another cause.
FIRST_REFUSAL_S = 10.0
REFUSAL_GROWTH = 8.0
MAX_REFUSAL_S = 3600.0
# A request to run in isolation waits no longer for the end of another one, which may
# not be reported if its instance is lost.
MAX_TRIAL_S = 5.0
# Crashes, cleared incarnations and trials that are kept; refusals grow no longer after
# fewer crashes.
MAX_ITEMS = 16
# Limit of the message's field.
MAX_TOLD_CRASHES = 255


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash, as `TraitCrash` describes it, with its loop time."""

    rank: int
    crashed_at: float
    joint: frozenset[bytes] = frozenset()

    def merge(self, other: Crash) -> Crash:
        """Return what is known of a crash from two sources.

        News that took a detour make it look later than it was.
        """
        return Crash(
            max(self.rank, other.rank),
            min(self.crashed_at, other.crashed_at),
            _common(self.joint, other.joint),
        )


@dataclass(frozen=True, slots=True)
class Trial:
    """A request that a process placed, with the loop time of its placement."""

    number: int
    placed_at: float
    ended: bool = False

    def merge(self, other: Trial) -> Trial:
        """Return the later of two requests, or what is known of the same one."""
        if self.number != other.number:
            return max(self, other, key=lambda trial: trial.number)
        placed_at = min(self.placed_at, other.placed_at)
        return Trial(self.number, placed_at, self.ended or other.ended)


@dataclass(slots=True)
class TraitRecord:
    """What is known of one trait, as a state that instances can merge.

    Merging is commutative, associative and idempotent: instances that have heard the
    same come to the same verdict, whatever the order, the repetitions and the detours.
    Without a request that was served, a merged record is never weaker than one that it
    was merged from.

    Attributes
    ----------
    crashes
        Crashes by the incarnation of the endpoint, each of which crashes once.
    cleared
        Incarnations whose crashes do not count, since a request was served.
    trials
        Last request of each process.
    """

    crashes: dict[str, Crash] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    trials: dict[str, Trial] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Crashes that came one after the other."""
        return len({crash.rank for crash in self.crashes.values()})

    @property
    def decided(self) -> bool:
        """Whether so many endpoints have crashed that the trait is refused."""
        return self.count >= MAX_CRASHES

    @property
    def crashed_at(self) -> float:
        """Time of the last crash, minus infinity without one."""
        times = (crash.crashed_at for crash in self.crashes.values())
        return max(times, default=-math.inf)

    @property
    def joint(self) -> frozenset[bytes]:
        """Traits of all crashes that brought this one to a verdict."""
        joint: frozenset[bytes] = frozenset()
        for crash in self.crashes.values():
            joint = _common(joint, crash.joint)
        return joint

    def is_refused(self, now: float) -> bool:
        """Return whether a trait with a verdict is not to be tried yet."""
        return now - self.crashed_at < refusal_s(self.count)

    def is_decided_for(self, traits: tuple[bytes, ...]) -> bool:
        """Return whether a verdict holds for a request with these traits."""
        return self.decided and self.joint.issubset(traits)

    def is_in_trial(self, now: float, traits: tuple[bytes, ...]) -> bool:
        """Return whether a request has to await the outcome of an earlier one.

        Under a verdict, a request whose end nobody reports counts as a crash: the
        instances that could tell may have ended with it.
        """
        decided = self.is_decided_for(traits)
        wait_s = refusal_s(self.count + 1) if decided else MAX_TRIAL_S
        return any(
            not trial.ended and now - trial.placed_at < wait_s
            for trial in self.trials.values()
        )

    def add_crash(self, now: float, placed_at: float, incarnation: str) -> bool:
        """Add a crash; return whether it came after all others.

        Endpoints that crash at the same time may have a cause in common, so a request
        counts only if it was placed after the crash before.
        """
        if incarnation in self.crashes or incarnation in self.cleared:
            return False
        rank = max((crash.rank for crash in self.crashes.values()), default=0)
        in_turn = placed_at >= self.crashed_at
        self.crashes[incarnation] = Crash(rank + in_turn, now)
        self._trim()
        return in_turn

    def set_joint(self, incarnation: str, joint: Iterable[bytes]) -> None:
        """Set the traits that a crash brought to a verdict together."""
        crash = self.crashes[incarnation]
        self.crashes[incarnation] = replace(crash, joint=frozenset(joint))

    def begin_trial(self, now: float, process: str) -> None:
        """Record that a process placed a request."""
        last = self.trials.get(process)
        self.trials[process] = Trial(last.number + 1 if last else 1, now)

    def end_trial(self, process: str) -> bool:
        """Record the end of a process's request; return whether there was one."""
        trial = self.trials.get(process)
        if trial is None or trial.ended:
            return False
        self.trials[process] = replace(trial, ended=True)
        return True

    def clear(self) -> None:
        """Record that a request with the trait was served."""
        self.cleared |= dict.fromkeys(self.crashes)
        self.crashes.clear()
        for process in self.trials:
            self.end_trial(process)
        self._trim()

    def merge(self, other: TraitRecord) -> None:
        """Take over what another record knows."""
        self.cleared |= other.cleared
        for incarnation, crash in other.crashes.items():
            known = self.crashes.get(incarnation, crash)
            self.crashes[incarnation] = known.merge(crash)
        for incarnation in self.cleared:
            self.crashes.pop(incarnation, None)
        for process, trial in other.trials.items():
            self.trials[process] = self.trials.get(process, trial).merge(trial)
        self._trim()

    def report(self, now: float, trait: bytes) -> CrashTrait:
        """Return the record as it is told to other instances."""
        return CrashTrait(
            trait,
            min(self.count, MAX_TOLD_CRASHES),
            tuple(
                TraitCrash(
                    incarnation,
                    crash.rank,
                    max(now - crash.crashed_at, 0.0),
                    tuple(sorted(crash.joint)),
                )
                for incarnation, crash in self.crashes.items()
            ),
            tuple(self.cleared),
            tuple(
                TraitTrial(
                    process,
                    trial.number,
                    max(now - trial.placed_at, 0.0),
                    trial.ended,
                )
                for process, trial in self.trials.items()
            ),
        )

    def _trim(self) -> None:
        while len(self.cleared) > MAX_ITEMS:
            del self.cleared[next(iter(self.cleared))]
        while len(self.crashes) > MAX_ITEMS:
            del self.crashes[min(self.crashes, key=lambda key: self.crashes[key].rank)]
        while len(self.trials) > MAX_ITEMS:
            del self.trials[
                min(self.trials, key=lambda key: self.trials[key].placed_at)
            ]


def refusal_s(crashes: int) -> float:
    """Return the seconds for which a trait is refused after so many crashes."""
    growth: float = REFUSAL_GROWTH ** max(crashes - MAX_CRASHES, 0)
    return min(FIRST_REFUSAL_S * growth, MAX_REFUSAL_S)


def record_of(now: float, report: CrashTrait) -> TraitRecord:
    """Return the record that a report describes, in loop time."""
    crashes = report.details
    if report.crashes > 0 and not crashes:
        # An instance of an earlier version tells only their number.
        ranks = range(1, min(report.crashes, MAX_CRASHES) + 1)
        crashes = tuple(TraitCrash(f"crash {rank}", rank) for rank in ranks)
    return TraitRecord(
        {
            crash.incarnation: Crash(
                crash.rank, _time(now, crash.age_s), frozenset(crash.joint)
            )
            for crash in crashes
        },
        dict.fromkeys(report.cleared),
        {
            trial.process: Trial(trial.number, _time(now, trial.age_s), trial.ended)
            for trial in report.trials
        },
    )


def _time(now: float, age_s: float) -> float:
    """Return the time of something with an age, which cannot lie ahead."""
    return now - age_s if age_s >= 0.0 else now


def _common(first: frozenset[bytes], second: frozenset[bytes]) -> frozenset[bytes]:
    """Return the traits of both verdicts; an empty set is no verdict."""
    if not first or not second:
        return first or second
    return first & second
