"""Draws overlapping series of random faults."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from borageworks_emulator.platform.store import StoreFault
from borageworks_emulator.soak.conditions import CUT, Conditions
from borageworks_emulator.soak.disturbances import STORE
from borageworks_emulator.soak.endpoints import MISBEHAVIOURS
from borageworks_emulator.soak.faults import (
    ChangeConfiguration,
    CrashEndpoint,
    DrainEndpoint,
    EvacuateDomain,
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

# Mean interval between starts of series, short enough that several overlap.
SERIES_INTERVAL_S = 1.2
FAULTS_PER_SERIES_RANGE = (1, 4)
FAULT_INTERVAL_RANGE_S = (0.1, 1.5)
FAULT_DURATION_RANGE_S = (0.2, 4.0)
PATH_DELAY_RANGE_S = (0.05, 0.6)
CLOCK_STEPS_S = (-3600.0, -30.0, 30.0, 3600.0)
LARGE_GROUP_RATIO = 0.6
# Longer than the time after which an evacuated domain must get no requests.
EVACUATION_RANGE_S = (5.5, 8.0)
EVACUATION_PROBABILITY = 0.5


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault and the second at which it starts."""

    at_s: float
    fault: Fault


class FaultPlanner:
    """Draws overlapping series of random faults.

    Parameters
    ----------
    rng
        Source of random draws; the same seed gives the same plan.
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
        self._factories: tuple[tuple[float, Callable[[], Fault]], ...] = (
            (2.0, lambda: KillGateways(self._few_gateways(), self._duration_s())),
            (1.0, lambda: KillGateways(self._many_gateways(), self._duration_s())),
            (3.0, lambda: StopGateways(self._few_gateways())),
            (2.0, lambda: PauseGateways(self._few_gateways(), self._duration_s())),
            (1.0, self._reload),
            (1.0, self._step_clock),
            (2.0, self._cut_domain),
            (2.0, self._cut_store),
            (2.0, self._cut_one_way),
            (1.0, self._cut_endpoint),
            (1.5, self._delay),
            (2.0, lambda: ResetPaths(self._gateways, self._any_targets())),
            (2.0, self._impair_store),
            (1.0, ForgetHistory),
            (2.0, lambda: CrashEndpoint(self._any_endpoint(), self._duration_s())),
            (2.0, lambda: DrainEndpoint(self._any_endpoint())),
            (2.0, self._misbehave),
            (3.0, ChangeConfiguration),
            (0.5, RogueEntry),
        )

    def draw(self, duration_s: float) -> list[PlannedFault]:
        """Return the faults of a soak of `duration_s` seconds, ordered by start."""
        rng = self._rng
        planned: list[PlannedFault] = []
        for _ in range(max(int(duration_s / SERIES_INTERVAL_S), 1)):
            at_s = rng.uniform(0.0, duration_s)
            weights = [weight for weight, _ in self._factories]
            factory = rng.choices([item for _, item in self._factories], weights)[0]
            for _ in range(rng.randint(*FAULTS_PER_SERIES_RANGE)):
                if at_s < duration_s:
                    planned.append(PlannedFault(at_s, factory()))
                at_s += rng.uniform(*FAULT_INTERVAL_RANGE_S)
        # Drawn last, so that the other faults of a seed stay as they were.
        if rng.random() < EVACUATION_PROBABILITY:
            domain = rng.choice(sorted(set(self._domains.values())))
            evacuation = EvacuateDomain(domain, rng.uniform(*EVACUATION_RANGE_S))
            planned.append(PlannedFault(rng.uniform(0.0, duration_s), evacuation))
        return sorted(planned, key=lambda fault: fault.at_s)

    def _duration_s(self) -> float:
        return self._rng.uniform(*FAULT_DURATION_RANGE_S)

    def _few_gateways(self) -> tuple[str, ...]:
        return tuple(self._rng.sample(self._gateways, self._rng.choice((1, 1, 2))))

    def _many_gateways(self) -> tuple[str, ...]:
        count = max(int(len(self._gateways) * LARGE_GROUP_RATIO), 1)
        if self._rng.random() < 0.5:
            count = len(self._gateways)
        return tuple(self._rng.sample(self._gateways, count))

    def _any_endpoint(self) -> int:
        return self._rng.randrange(len(self._endpoints))

    def _any_targets(self) -> tuple[str, ...]:
        return self._rng.choice((self._gateways, self._endpoints, (STORE,)))

    def _reload(self) -> Fault:
        gateway = self._rng.choice(self._gateways)
        return ReloadSettings(gateway, self._rng.random() < 0.5)

    def _step_clock(self) -> Fault:
        return StepClock(
            self._rng.choice(self._gateways), self._rng.choice(CLOCK_STEPS_S)
        )

    def _cut_domain(self) -> Fault:
        domain = self._rng.choice(sorted(set(self._domains.values())))
        domain_gateways = tuple(
            name
            for name, gateway_domain in self._domains.items()
            if gateway_domain == domain
        )
        other_gateways = tuple(
            name for name in self._gateways if name not in domain_gateways
        )
        store = (STORE,) if self._rng.random() < 0.5 else ()
        return HarmPaths(
            domain_gateways, (*other_gateways, *store), CUT, self._duration_s()
        )

    def _cut_store(self) -> Fault:
        return HarmPaths(self._few_gateways(), (STORE,), CUT, self._duration_s())

    def _cut_one_way(self) -> Fault:
        lose_sent = self._rng.random() < 0.5
        conditions = Conditions(lose_sent=lose_sent, lose_received=not lose_sent)
        return HarmPaths(
            self._few_gateways(), self._any_targets(), conditions, self._duration_s()
        )

    def _cut_endpoint(self) -> Fault:
        targets = (self._endpoints[self._any_endpoint()],)
        return HarmPaths(self._few_gateways(), targets, CUT, self._duration_s())

    def _delay(self) -> Fault:
        conditions = Conditions(delay_s=self._rng.uniform(*PATH_DELAY_RANGE_S))
        return HarmPaths(
            self._few_gateways(), self._any_targets(), conditions, self._duration_s()
        )

    def _impair_store(self) -> Fault:
        kinds = [kind for kind in StoreFault if kind is not StoreFault.NONE]
        return HarmStore(self._rng.choice(kinds), self._duration_s())

    def _misbehave(self) -> Fault:
        return TroubleEndpoint(
            self._any_endpoint(),
            self._rng.choice(sorted(MISBEHAVIOURS)),
            self._duration_s(),
        )
