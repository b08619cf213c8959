"""Discrete-event simulation of several owners that see different demand.

Each entry instance of an organisation always has waiting requests, announced to a few
owners that change at random times. Costs are heavy-tailed and known only when a request
ends. With a single owner the model is a central queue.
"""

import heapq
import random
from dataclasses import dataclass
from itertools import combinations
from typing import Any

from borageworks.config.settings import FairSettings
from borageworks.fair.cost import CostEstimator
from borageworks.fair.drift_correction import DriftCorrection
from borageworks.fair.gap_bound import gap_bound
from borageworks.fair.ledger import ServiceLedger
from borageworks.fair.queue import FairQueue
from borageworks.fair.tests.proportional import ProportionalCorrection

SLOT_UNITS_PER_S = 100.0
MAX_COST_RATIO = 50
WAITING_REQUESTS = 10**6


@dataclass(frozen=True)
class Scenario:
    """Size and demand of a simulation run.

    Parameters
    ----------
    owners_per_entry
        Number of owners to which each entry announces its demand.
    mean_move_interval_s
        Mean time between moves of an entry's demand to other owners.
    exchange_lag_s
        Time between reading the counters for an exchange and applying its errors.
    partition
        Start and end of a partition between the two halves of the owners. A quarter of
        the organisations reaches only the first half, the others only the second.
    restart
        Time at which an owner restarts with an empty queue, and its index.
    max_entries
        Organisation i has 1 + i % max_entries entries.
    """

    owners: int = 8
    slots: int = 4
    organisations: int = 16
    owners_per_entry: int = 3
    mean_move_interval_s: float = 10.0
    duration_s: int = 300
    exchange_lag_s: float = 1.0
    partition: tuple[float, float] | None = None
    restart: tuple[float, int] | None = None
    max_entries: int = 8
    mean_cost: float = 200.0


@dataclass(frozen=True)
class CorrectionRule:
    """Correction class and its settings.

    With `divide_shares`, each owner divides an organisation's share by the number of
    owners with its demand.
    """

    gain: float
    trend_gain: float
    limit_ratio: float = 0.25
    correction_class: type[ProportionalCorrection] | type[DriftCorrection] = (
        ProportionalCorrection
    )
    divide_shares: bool = False

    @property
    def settings(self):
        """Return the settings for the correction class."""
        return FairSettings(
            correction_gain=self.gain,
            correction_trend_gain=self.trend_gain,
            correction_limit=self.limit_ratio,
        )


@dataclass
class Result:
    """Measurements of one run, in normalised units."""

    gap: float
    bound: float
    utilisation: float
    max_delta_ratio: float
    samples: list[dict[str, float]]


@dataclass
class _Request:
    organisation: str
    owner: int
    incarnation: int
    start: float
    cost: float
    charged: float
    counted: float = 0.0


class _Owner:
    def __init__(self, name, rule, mean_cost):
        self.name = name
        self.mean_cost = mean_cost
        self.incarnation = 0
        self.rule = rule
        self.running = {}
        self.demand = {}
        self.shares = {}
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.queue = FairQueue()
        self.estimator = CostEstimator(self.mean_cost)
        self.correction = self.rule and self.rule.correction_class(self.rule.settings)


class FleetModel:
    """One simulation run; `rule` None applies no correction."""

    def __init__(self, scenario, rule, seed, central=False):
        self.scenario = scenario
        self.rule = rule
        self.slots = scenario.slots * (scenario.owners if central else 1)
        self.owners = [
            _Owner(f"owner{i}", rule, scenario.mean_cost)
            for i in range(1 if central else scenario.owners)
        ]
        self.random = random.Random(f"{seed} demand")
        self.names = [f"o{i}" for i in range(scenario.organisations)]
        # All runs with the same seed draw the same costs for an organisation.
        self.costs = {name: random.Random(f"{seed} {name}") for name in self.names}
        self.shares = {
            name: [1.0, 1.0, 2.0, 4.0][i % 4] for i, name in enumerate(self.names)
        }
        self.cost_scales = {
            name: [0.5, 1.0, 2.0][i % 3] for i, name in enumerate(self.names)
        }
        self.max_costs = dict.fromkeys(self.names, 0.0)
        self.received = dict.fromkeys(self.names, 0.0)
        self.ledgers = [ServiceLedger(), ServiceLedger()]
        self.events: list[tuple[Any, ...]] = []
        self.entries: dict[str, str] = {}
        self.sequence = 0
        self.served_units = 0.0
        self.max_delta_ratio = 0.0
        self.samples: list[dict[str, float]] = []

    def run(self):
        """Run the scenario and return its result."""
        for owner in self.owners:
            owner.shares = dict(self.shares)
            for name, share in self.shares.items():
                owner.queue.set_share(name, share)
        for i, name in enumerate(self.names):
            for index in range(1 + i % self.scenario.max_entries):
                self.entries[f"{name}-{index}"] = name
                self._move_demand(0.0, f"{name}-{index}", name)
        for boundary in self.scenario.partition or ():
            self._schedule(boundary, self._place_all)
        for owner in self.owners:
            self._dispatch(0.0, owner)
        self._schedule(1.0, self._charge_running)
        if self.rule:
            self._schedule(self.rule.settings.exchange_interval_s, self._exchange)
        if self.scenario.restart:
            self._schedule(self.scenario.restart[0], self._restart)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > self.scenario.duration_s:
                break
            action(now, *arguments)
        return self._result()

    def _schedule(self, when, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, action, arguments))

    def _move_demand(self, now, entry, name):
        self._place(now, entry, name)
        delay = self.random.expovariate(1 / self.scenario.mean_move_interval_s)
        self._schedule(now + delay, self._move_demand, entry, name)

    def _place_all(self, now):
        for entry, name in self.entries.items():
            self._place(now, entry, name)

    def _place(self, now, entry, name):
        reachable = range(len(self.owners))
        if self._is_partitioned(now):
            half_count = -(-len(self.owners) // 2)
            in_first_half = self.names.index(name) < len(self.names) // 4
            reachable = (
                reachable[:half_count] if in_first_half else reachable[half_count:]
            )
        owners_per_entry = min(self.scenario.owners_per_entry, len(reachable))
        chosen = set(self.random.sample(reachable, owners_per_entry))
        for index, owner in enumerate(self.owners):
            had_demand = owner.demand.pop(entry, None)
            if index in chosen:
                owner.demand[entry] = name
                owner.queue.set_demand(now, entry, name, WAITING_REQUESTS)
                self._dispatch(now, owner)
            elif had_demand:
                owner.queue.set_demand(now, entry, name, 0)

    def _is_partitioned(self, now):
        partition = self.scenario.partition
        return partition is not None and partition[0] <= now < partition[1]

    def _dispatch(self, now, owner):
        while len(owner.running) < self.slots:
            pick = owner.queue.take(now)
            if pick is None:
                return
            name = pick.organisation
            estimate = owner.estimator.estimate(name, "s", None)
            owner.queue.charge(name, estimate)
            mean = self.scenario.mean_cost
            # The mean of a Pareto distribution of shape 1.5 is three times its minimum.
            cost = (
                self.cost_scales[name] * mean / 3 * self.costs[name].paretovariate(1.5)
            )
            cost = min(cost, MAX_COST_RATIO * mean)
            self.max_costs[name] = max(self.max_costs[name], cost)
            request = _Request(name, owner.name, owner.incarnation, now, cost, estimate)
            owner.running[id(request)] = request
            self._schedule(now + cost / SLOT_UNITS_PER_S, self._end, owner, request)

    def _record_service(self, owner, request, accrued):
        increase = accrued - request.counted
        request.counted = accrued
        self.received[request.organisation] += increase
        self.served_units += increase
        half = self.owners.index(owner) * 2 // len(self.owners)
        self.ledgers[half].add(
            owner.name, owner.incarnation, request.organisation, increase
        )

    def _end(self, now, owner, request):
        del owner.running[id(request)]
        self._record_service(owner, request, request.cost)
        if request.incarnation == owner.incarnation:
            owner.queue.charge(request.organisation, request.cost - request.charged)
        owner.estimator.observe(request.organisation, "s", request.cost)
        self._dispatch(now, owner)

    def _charge_running(self, now):
        for owner in self.owners:
            for request in owner.running.values():
                accrued = (now - request.start) * SLOT_UNITS_PER_S
                self._record_service(owner, request, accrued)
                if (
                    accrued > request.charged
                    and request.incarnation == owner.incarnation
                ):
                    owner.queue.charge(request.organisation, accrued - request.charged)
                    request.charged = accrued
        self.samples.append(
            {name: units / self.shares[name] for name, units in self.received.items()}
        )
        self._schedule(now + 1.0, self._charge_running)

    def _exchange(self, now):
        partitioned = self._is_partitioned(now)
        if not partitioned:
            for source, target in (self.ledgers, self.ledgers[::-1]):
                target.merge_snapshot(source.snapshot())
                target.virtual_times.merge(
                    list(source.virtual_times.records()), target.totals()
                )
        half_count = -(-len(self.owners) // 2)
        halves = (self.owners[:half_count], self.owners[half_count:])
        for half, ledger in zip(halves, self.ledgers, strict=True):
            owner_counts = dict.fromkeys(self.names, 0)
            for owner in half if partitioned else self.owners:
                for name in owner.queue.backlogged():
                    owner_counts[name] += 1
            errors = ledger.errors(
                self.shares, {name for name, count in owner_counts.items() if count}
            )
            self._schedule(
                now + self.scenario.exchange_lag_s,
                self._apply_corrections,
                half,
                errors,
                owner_counts,
            )
        self._schedule(now + self.rule.settings.exchange_interval_s, self._exchange)

    def _apply_corrections(self, now, half, errors, owner_counts):
        interval = self.rule.settings.exchange_interval_s
        for owner in half:
            backlogged = sorted(owner.queue.backlogged())
            if self.rule.divide_shares:
                for name, count in owner_counts.items():
                    owner.shares[name] = self.shares[name] / max(1, count)
                    owner.queue.set_share(name, owner.shares[name])
            shares = sum(owner.shares[name] for name in backlogged)
            for name in backlogged:
                if name not in errors:
                    continue
                expected = self.slots * SLOT_UNITS_PER_S * interval / shares
                delta = owner.correction.update(
                    name,
                    errors[name],
                    1 if self.rule.divide_shares else owner_counts[name],
                    expected,
                )
                self.max_delta_ratio = max(self.max_delta_ratio, abs(delta) / expected)
                owner.queue.correct(name, delta)
            owner.correction.end_exchange()

    def _restart(self, now):
        owner = self.owners[self.scenario.restart[1]]
        owner.restart()
        for name, share in owner.shares.items():
            owner.queue.set_share(name, share)
        for entry, name in owner.demand.items():
            owner.queue.set_demand(now, entry, name, WAITING_REQUESTS)

    def _result(self):
        gap = 0.0
        for first, second in combinations(self.names, 2):
            differences = [sample[first] - sample[second] for sample in self.samples]
            gap = max(gap, max(differences) - min(differences))
        rate = self.slots * len(self.owners) * SLOT_UNITS_PER_S
        bound = max(
            gap_bound(
                self.slots * len(self.owners),
                (self.max_costs[first], self.max_costs[second]),
                (self.shares[first], self.shares[second]),
                interval_s=self.rule.settings.exchange_interval_s if self.rule else 0.0,
                normalised_rate=rate / min(self.shares.values()),
                gain=self.rule.gain if self.rule else 1.0,
            )
            for first, second in combinations(self.names, 2)
        )
        utilisation = self.served_units / (rate * len(self.samples))
        return Result(gap, bound, utilisation, self.max_delta_ratio, self.samples)


def compare(scenario, rule, seed):
    """Return the ratios of gap and utilisation to those of the central queue."""
    central = FleetModel(scenario, None, seed, central=True).run()
    fleet = FleetModel(scenario, rule, seed).run()
    return fleet.gap / central.gap, fleet.utilisation / central.utilisation
