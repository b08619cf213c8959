"""Draws series of faults that overlap."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from borageworks_emulator.platform.store import StoreFault
from borageworks_emulator.soak.conditions import CUT, Conditions
from borageworks_emulator.soak.disturbances import STORE
from borageworks_emulator.soak.endpoints import TROUBLES
from borageworks_emulator.soak.faults import (
    ChangeConfiguration,
    CrashEndpoint,
    DrainEndpoint,
    Fault,
    ForgetHistory,
    HarmPaths,
    HarmStore,
    KillGateways,
    PauseGateways,
    ReloadSettings,
    ResetPaths,
    RogueEntry,
    StepClock,
    StopGateways,
    TroubleEndpoint,
)

# One series begins in each such span on average, so that several overlap.
SERIES_INTERVAL_S = 1.2
SERIES_FAULTS = (1, 4)
SERIES_PAUSE_S = (0.1, 1.5)
LENGTH_S = (0.2, 4.0)
DELAY_S = (0.05, 0.6)
CLOCK_STEP_S = (-3600.0, -30.0, 30.0, 3600.0)
HERD_RATIO = 0.6


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault and the second at which it begins."""

    at_s: float
    fault: Fault


class Plan:
    """Draws series of faults that overlap.

    Parameters
    ----------
    rng
        Source of choices; the same seed gives the same plan.
    domains
        Failure domain by gateway.
    endpoints
        Name of each endpoint's path.
    """

    def __init__(
        self,
        rng: random.Random,
        domains: Mapping[str, str],
        endpoints: Sequence[str],
    ) -> None:
        self._rng = rng
        self._domains = domains
        self._gateways = tuple(domains)
        self._endpoints = tuple(endpoints)
        self._kinds: tuple[tuple[float, Callable[[], Fault]], ...] = (
            (2.0, lambda: KillGateways(self._some(), self._length())),
            (1.0, lambda: KillGateways(self._herd(), self._length())),
            (3.0, lambda: StopGateways(self._some())),
            (2.0, lambda: PauseGateways(self._some(), self._length())),
            (1.0, self._reload),
            (1.0, self._step_clock),
            (2.0, self._cut_domain),
            (2.0, self._cut_store),
            (2.0, self._cut_one_way),
            (1.0, self._cut_endpoint),
            (1.5, self._delay),
            (2.0, lambda: ResetPaths(self._gateways, self._targets())),
            (2.0, self._harm_store),
            (1.0, ForgetHistory),
            (2.0, lambda: CrashEndpoint(self._endpoint(), self._length())),
            (2.0, lambda: DrainEndpoint(self._endpoint())),
            (2.0, self._trouble),
            (3.0, ChangeConfiguration),
            (0.5, RogueEntry),
        )

    def draw(self, duration_s: float) -> list[PlannedFault]:
        """Return the faults of a soak of some seconds, in order."""
        rng = self._rng
        planned: list[PlannedFault] = []
        for _ in range(max(int(duration_s / SERIES_INTERVAL_S), 1)):
            at = rng.uniform(0.0, duration_s)
            weights = [weight for weight, _ in self._kinds]
            kind = rng.choices([draw for _, draw in self._kinds], weights)[0]
            for _ in range(rng.randint(*SERIES_FAULTS)):
                if at < duration_s:
                    planned.append(PlannedFault(at, kind()))
                at += rng.uniform(*SERIES_PAUSE_S)
        return sorted(planned, key=lambda item: item.at_s)

    def _length(self) -> float:
        return self._rng.uniform(*LENGTH_S)

    def _some(self) -> tuple[str, ...]:
        return tuple(self._rng.sample(self._gateways, self._rng.choice((1, 1, 2))))

    def _herd(self) -> tuple[str, ...]:
        count = max(int(len(self._gateways) * HERD_RATIO), 1)
        if self._rng.random() < 0.5:
            count = len(self._gateways)
        return tuple(self._rng.sample(self._gateways, count))

    def _endpoint(self) -> int:
        return self._rng.randrange(len(self._endpoints))

    def _targets(self) -> tuple[str, ...]:
        return self._rng.choice((self._gateways, self._endpoints, (STORE,)))

    def _reload(self) -> Fault:
        gateway = self._rng.choice(self._gateways)
        return ReloadSettings(gateway, self._rng.random() < 0.5)

    def _step_clock(self) -> Fault:
        return StepClock(
            self._rng.choice(self._gateways), self._rng.choice(CLOCK_STEP_S)
        )

    def _cut_domain(self) -> Fault:
        domain = self._rng.choice(sorted(set(self._domains.values())))
        inside = tuple(name for name, its in self._domains.items() if its == domain)
        outside = tuple(name for name in self._gateways if name not in inside)
        store = (STORE,) if self._rng.random() < 0.5 else ()
        return HarmPaths(inside, (*outside, *store), CUT, self._length())

    def _cut_store(self) -> Fault:
        return HarmPaths(self._some(), (STORE,), CUT, self._length())

    def _cut_one_way(self) -> Fault:
        sent = self._rng.random() < 0.5
        lost = Conditions(lose_sent=sent, lose_received=not sent)
        return HarmPaths(self._some(), self._targets(), lost, self._length())

    def _cut_endpoint(self) -> Fault:
        targets = (self._endpoints[self._endpoint()],)
        return HarmPaths(self._some(), targets, CUT, self._length())

    def _delay(self) -> Fault:
        delayed = Conditions(delay_s=self._rng.uniform(*DELAY_S))
        return HarmPaths(self._some(), self._targets(), delayed, self._length())

    def _harm_store(self) -> Fault:
        kinds = [kind for kind in StoreFault if kind is not StoreFault.NONE]
        return HarmStore(self._rng.choice(kinds), self._length())

    def _trouble(self) -> Fault:
        return TroubleEndpoint(
            self._endpoint(), self._rng.choice(sorted(TROUBLES)), self._length()
        )
