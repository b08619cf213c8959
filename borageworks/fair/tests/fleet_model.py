"""In-memory model of several owners that see different demand.

Each entry of an organisation always has requests waiting and holds demand at a few
owners, drawn anew at random times. Costs are heavy-tailed and known only at the end.
With one owner the model is the central queue.
"""

import heapq
import random
from dataclasses import dataclass
from itertools import combinations
from typing import Any

from borageworks.config.settings import FairSettings
from borageworks.fair.bound import gap_bound
from borageworks.fair.cost import CostEstimator
from borageworks.fair.drift import DriftCorrection
from borageworks.fair.ledger import ServiceLedger
from borageworks.fair.queue import FairQueue
from borageworks.fair.tests.proportional import Correction

SLOT_RATE = 100.0  # units/s
LARGEST_COST_RATIO = 50
WAITING = 10**6


@dataclass(frozen=True)
class Scenario:
    """Size and demand of a run.

    Parameters
    ----------
    reach
        Owners at which one entry holds demand.
    redraw_s
        Mean time after which an entry's demand moves to other owners.
    lag_s
        Time from the counters of an exchange to the application of its errors.
    partition
        Start and end of a time in which the two halves of the owners do not exchange;
        a quarter of the organisations reaches only the first half, the others only the
        second.
    restart
        Time and number of an owner that restarts with an empty queue.
    skew
        Organisation i has 1 + i % skew entries.
    """

    owners: int = 8
    slots: int = 4
    organisations: int = 16
    reach: int = 3
    redraw_s: float = 10.0
    seconds: int = 300
    lag_s: float = 1.0
    partition: tuple[float, float] | None = None
    restart: tuple[float, int] | None = None
    skew: int = 8
    mean_cost: float = 200.0


@dataclass(frozen=True)
class Rule:
    """Correction rule and its settings.

    With `divided` each owner divides a share by the owners that hold the demand.
    """

    gain: float
    trend: float
    limit: float = 0.25
    kind: type[Correction] | type[DriftCorrection] = Correction
    divided: bool = False

    @property
    def settings(self):
        """Return the settings of the rule."""
        return FairSettings(
            correction_gain=self.gain,
            correction_trend_gain=self.trend,
            correction_limit=self.limit,
        )


@dataclass
class Result:
    """What one run measured, in normalised units."""

    gap: float
    bound: float
    utilisation: float
    largest_delta_ratio: float
    levels: list[dict[str, float]]


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
        self.correction = self.rule and self.rule.kind(self.rule.settings)


class FleetModel:
    """One run; `rule` None applies no correction."""

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
        # The costs of an organisation are the same in each run of a seed.
        self.costs = {name: random.Random(f"{seed} {name}") for name in self.names}
        self.shares = {
            name: [1.0, 1.0, 2.0, 4.0][i % 4] for i, name in enumerate(self.names)
        }
        self.scale = {name: [0.5, 1.0, 2.0][i % 3] for i, name in enumerate(self.names)}
        self.largest = dict.fromkeys(self.names, 0.0)
        self.received = dict.fromkeys(self.names, 0.0)
        self.ledgers = [ServiceLedger(), ServiceLedger()]
        self.events: list[tuple[Any, ...]] = []
        self.entries: dict[str, str] = {}
        self.sequence = 0
        self.busy = 0.0
        self.largest_delta_ratio = 0.0
        self.samples: list[dict[str, float]] = []

    def run(self):
        """Run the scenario and return its result."""
        for owner in self.owners:
            owner.shares = dict(self.shares)
            for name, share in self.shares.items():
                owner.queue.set_share(name, share)
        for i, name in enumerate(self.names):
            for number in range(1 + i % self.scenario.skew):
                self.entries[f"{name}-{number}"] = name
                self._redraw(0.0, f"{name}-{number}", name)
        for edge in self.scenario.partition or ():
            self._at(edge, self._place_all)
        for owner in self.owners:
            self._dispatch(0.0, owner)
        self._at(1.0, self._tick)
        if self.rule:
            self._at(self.rule.settings.exchange_interval_s, self._exchange)
        if self.scenario.restart:
            self._at(self.scenario.restart[0], self._restart)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > self.scenario.seconds:
                break
            action(now, *arguments)
        return self._result()

    def _at(self, when, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, action, arguments))

    def _redraw(self, now, entry, name):
        self._place(now, entry, name)
        delay = self.random.expovariate(1 / self.scenario.redraw_s)
        self._at(now + delay, self._redraw, entry, name)

    def _place_all(self, now):
        for entry, name in self.entries.items():
            self._place(now, entry, name)

    def _place(self, now, entry, name):
        reachable = range(len(self.owners))
        if self._cut(now):
            middle = -(-len(self.owners) // 2)
            first = self.names.index(name) < len(self.names) // 4
            reachable = reachable[:middle] if first else reachable[middle:]
        reach = min(self.scenario.reach, len(reachable))
        chosen = set(self.random.sample(reachable, reach))
        for number, owner in enumerate(self.owners):
            held = owner.demand.pop(entry, None)
            if number in chosen:
                owner.demand[entry] = name
                owner.queue.set_demand(now, entry, name, WAITING)
                self._dispatch(now, owner)
            elif held:
                owner.queue.set_demand(now, entry, name, 0)

    def _cut(self, now):
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
            # A Pareto distribution of shape 1.5 has its mean at three times its start.
            cost = self.scale[name] * mean / 3 * self.costs[name].paretovariate(1.5)
            cost = min(cost, LARGEST_COST_RATIO * mean)
            self.largest[name] = max(self.largest[name], cost)
            request = _Request(name, owner.name, owner.incarnation, now, cost, estimate)
            owner.running[id(request)] = request
            self._at(now + cost / SLOT_RATE, self._end, owner, request)

    def _count(self, owner, request, accrued):
        grown = accrued - request.counted
        request.counted = accrued
        self.received[request.organisation] += grown
        self.busy += grown
        half = self.owners.index(owner) * 2 // len(self.owners)
        self.ledgers[half].add(
            owner.name, owner.incarnation, request.organisation, grown
        )

    def _end(self, now, owner, request):
        del owner.running[id(request)]
        self._count(owner, request, request.cost)
        if request.incarnation == owner.incarnation:
            owner.queue.charge(request.organisation, request.cost - request.charged)
        owner.estimator.observe(request.organisation, "s", request.cost)
        self._dispatch(now, owner)

    def _tick(self, now):
        for owner in self.owners:
            for request in owner.running.values():
                accrued = (now - request.start) * SLOT_RATE
                self._count(owner, request, accrued)
                if (
                    accrued > request.charged
                    and request.incarnation == owner.incarnation
                ):
                    owner.queue.charge(request.organisation, accrued - request.charged)
                    request.charged = accrued
        self.samples.append(
            {name: units / self.shares[name] for name, units in self.received.items()}
        )
        self._at(now + 1.0, self._tick)

    def _exchange(self, now):
        cut = self._cut(now)
        if not cut:
            for source, target in (self.ledgers, self.ledgers[::-1]):
                target.merge_snapshot(source.snapshot())
                target.levels.merge(list(source.levels.levels()), target.totals())
        middle = -(-len(self.owners) // 2)
        halves = (self.owners[:middle], self.owners[middle:])
        for half, ledger in zip(halves, self.ledgers, strict=True):
            holders = dict.fromkeys(self.names, 0)
            for owner in half if cut else self.owners:
                for name in owner.queue.backlogged():
                    holders[name] += 1
            errors = ledger.errors(
                self.shares, {name for name, count in holders.items() if count}
            )
            self._at(now + self.scenario.lag_s, self._correct, half, errors, holders)
        self._at(now + self.rule.settings.exchange_interval_s, self._exchange)

    def _correct(self, now, half, errors, holders):
        interval = self.rule.settings.exchange_interval_s
        for owner in half:
            backlogged = sorted(owner.queue.backlogged())
            if self.rule.divided:
                for name, count in holders.items():
                    owner.shares[name] = self.shares[name] / max(1, count)
                    owner.queue.set_share(name, owner.shares[name])
            shares = sum(owner.shares[name] for name in backlogged)
            for name in backlogged:
                if name not in errors:
                    continue
                expected = self.slots * SLOT_RATE * interval / shares
                delta = owner.correction.update(
                    name,
                    errors[name],
                    1 if self.rule.divided else holders[name],
                    expected,
                )
                self.largest_delta_ratio = max(
                    self.largest_delta_ratio, abs(delta) / expected
                )
                owner.queue.correct(name, delta)
            owner.correction.end_exchange()

    def _restart(self, now):
        owner = self.owners[self.scenario.restart[1]]
        owner.restart()
        for name, share in owner.shares.items():
            owner.queue.set_share(name, share)
        for entry, name in owner.demand.items():
            owner.queue.set_demand(now, entry, name, WAITING)

    def _result(self):
        gap = 0.0
        for f, g in combinations(self.names, 2):
            differences = [sample[f] - sample[g] for sample in self.samples]
            gap = max(gap, max(differences) - min(differences))
        rate = self.slots * len(self.owners) * SLOT_RATE
        bound = max(
            gap_bound(
                self.slots * len(self.owners),
                (self.largest[f], self.largest[g]),
                (self.shares[f], self.shares[g]),
                interval_s=self.rule.settings.exchange_interval_s if self.rule else 0.0,
                rate=rate / min(self.shares.values()),
                gain=self.rule.gain if self.rule else 1.0,
            )
            for f, g in combinations(self.names, 2)
        )
        utilisation = self.busy / (rate * len(self.samples))
        return Result(gap, bound, utilisation, self.largest_delta_ratio, self.samples)


def compare(scenario, rule, seed):
    """Return the gap and utilisation as multiples of the central queue's."""
    central = FleetModel(scenario, None, seed, central=True).run()
    fleet = FleetModel(scenario, rule, seed).run()
    return fleet.gap / central.gap, fleet.utilisation / central.utilisation
