"""Tests of admission control on an overloaded instance."""

import math
import random
from collections import Counter
from collections.abc import Callable, Mapping

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.gateway.admission import Admission
from borageworks.gateway.fleet_shares import FleetShares
from borageworks.gateway.loop_lag import MEASURE_INTERVAL_S, LoopLag
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics

SETTINGS = settings(derandomize=True, deadline=None, max_examples=10)
RATES = st.lists(st.integers(2, 300), min_size=1, max_size=6)
# Admitted requests a second that the simulated instance can process, and the cost of a
# refusal relative to that of an admitted request.
CAPACITY_PER_S = 150.0
REFUSAL_COST_RATIO = 0.05
SETTLING_S = 5.0
# Connections that the simulated instance opens in an iteration of its loop, and those
# that the system keeps for it.
MAX_OPENED = 3
QUEUE_LENGTH = 100
MEASUREMENT_S = 10.0


class SimulatedInstance:
    """Event loop that processes all requests due in each iteration."""

    def __init__(
        self,
        rates: Mapping[str, float],
        seed: int = 1,
        shares: FleetShares | None = None,
        on_admitted: Callable[[float, str], None] = lambda _now, _name: None,
        on_iteration: Callable[[float], None] = lambda _now: None,
    ) -> None:
        self.lag = LoopLag(GATEWAY, Metrics())
        self.admission = Admission(self.lag, shares or FleetShares(4.0))
        self._on_admitted = on_admitted
        self._on_iteration = on_iteration
        self.admitted: Counter[str] = Counter()
        self.requested: Counter[str] = Counter()
        self.rates = rates
        self.queued = 0
        self.dropped = 0
        self._rng = random.Random(seed)
        self._now = 0.0
        self._timer_at = MEASURE_INTERVAL_S
        self.lag.measure(0.0)

    @property
    def now(self):
        """Simulated time in seconds."""
        return self._now

    @property
    def limited(self):
        """Whether a rate limit is in force."""
        return math.isfinite(self.admission.limit_per_s)

    def simulate_queue(self, rate_per_s, seconds):
        """Run with connections that wait in a queue until they are opened.

        An iteration opens few of them, so that it is never long.
        """
        end = self._now + seconds
        arrived = self._now
        while self._now < end:
            while arrived <= self._now:
                arrived += 1.0 / rate_per_s
                self.dropped += self.queued >= QUEUE_LENGTH
                self.queued = min(self.queued + 1, QUEUE_LENGTH)
            began, opened = self._now, 0
            if self._timer_at <= began:
                self.lag.measure(began)
                self.admission.measure(began)
                self._timer_at = began + MEASURE_INTERVAL_S
            while self.queued and opened < MAX_OPENED:
                self.queued -= 1
                admitted = self.admission.admit(self._now, "o")
                opened += admitted
                self._now += (1.0 if admitted else REFUSAL_COST_RATIO) / CAPACITY_PER_S
            self.admission.record_poll(self._now, kept_up=opened < MAX_OPENED)
            if self._now == began:
                self._now = min(arrived, self._timer_at)

    def pause(self, seconds):
        """Simulate a stopped process."""
        self._now += seconds

    def simulate(self, seconds):
        """Run with requests that arrive as Poisson processes."""
        begin, end = self._now, self._now + seconds
        arrivals = []
        for name, rate in self.rates.items():
            at = begin + self._rng.expovariate(rate)
            while at < end:
                arrivals.append((at, name))
                at += self._rng.expovariate(rate)
        arrivals.sort(reverse=True)
        while self._now < end:
            due = min(arrivals[-1][0] if arrivals else end, self._timer_at, end)
            self._now = max(self._now, due)
            self._run_iteration(arrivals)

    def _run_iteration(self, arrivals):
        now = self._now
        self._on_iteration(now)
        if self._timer_at <= now:
            self.lag.measure(now)
            self.admission.measure(now)
            self._timer_at = now + MEASURE_INTERVAL_S
        while arrivals and arrivals[-1][0] <= now:
            _, name = arrivals.pop()
            self.requested[name] += 1
            admitted = self.admission.admit(now, name)
            self.admitted[name] += admitted
            if admitted:
                self._on_admitted(now, name)
            self._now += (1.0 if admitted else REFUSAL_COST_RATIO) / CAPACITY_PER_S


def max_min_allocation(requested, capacity):
    """Return the max-min fair allocation, by progressive filling."""
    allocated = dict.fromkeys(requested, 0.0)
    remaining = capacity
    while remaining > 1e-6 and any(
        allocated[name] < requested[name] for name in requested
    ):
        unsatisfied = [name for name in requested if allocated[name] < requested[name]]
        step = min(
            remaining / len(unsatisfied),
            min(requested[n] - allocated[n] for n in unsatisfied),
        )
        for name in unsatisfied:
            allocated[name] += step
        remaining -= step * len(unsatisfied)
    return allocated


class AdmissionTest(TestCase):
    def test_matches_max_min_fairness(self):
        """Guards against an organisation below half of its max-min fair rate."""

        @SETTINGS
        @given(RATES)
        def check(rates):
            instance = SimulatedInstance(
                {f"o{i}": rate for i, rate in enumerate(rates)}
            )
            instance.simulate(SETTLING_S)
            instance.admitted.clear()
            instance.requested.clear()
            instance.simulate(MEASUREMENT_S)
            refused = instance.requested.total() - instance.admitted.total()
            capacity = CAPACITY_PER_S * MEASUREMENT_S - REFUSAL_COST_RATIO * refused
            allocations = max_min_allocation(instance.requested, capacity)
            for name, allocation in allocations.items():
                self.assertTrue(
                    instance.admitted[name] >= 0.5 * allocation,
                    (name, instance.admitted, allocations, instance.requested),
                )

        check()

    def test_admits_organisation_below_limit_during_flood(self):
        """Guards against refusals that affect organisations below the limit."""
        instance = SimulatedInstance({"flood": 600, "small": 10})
        instance.simulate(SETTLING_S)
        self.assertTrue(instance.admitted["flood"] < 0.5 * instance.requested["flood"])
        refused_count = instance.requested["small"] - instance.admitted["small"]
        self.assertTrue(refused_count <= 1, (instance.requested, instance.admitted))

    def test_full_queue_of_connections_beside_short_iterations(self):
        """Guards against connections that are dropped by a loop that does not lag."""
        instance = SimulatedInstance({})
        instance.simulate_queue(3 * CAPACITY_PER_S, SETTLING_S)
        instance.dropped = 0
        instance.simulate_queue(3 * CAPACITY_PER_S, MEASUREMENT_S)
        offered = 3 * CAPACITY_PER_S * MEASUREMENT_S
        self.assertTrue(instance.dropped <= 0.1 * offered, instance.dropped)

    def test_limit_does_not_leave_instance_idle(self):
        """Guards against a limit that stays low after the loop has recovered."""
        instance = SimulatedInstance({"flood": 600})
        instance.simulate(SETTLING_S)
        instance.admitted.clear()
        instance.simulate(MEASUREMENT_S)
        self.assertTrue(
            instance.admitted["flood"] > 0.5 * CAPACITY_PER_S * MEASUREMENT_S,
            instance.admitted,
        )

    def test_no_limit_before_or_after_lag(self):
        """Guards against refusals by an instance that is not overloaded."""
        instance = SimulatedInstance({"o": 50})
        instance.simulate(SETTLING_S)
        self.assertEqual(instance.requested, instance.admitted)
        instance.rates = {"o": 600}
        instance.simulate(2.0)
        self.assertTrue(instance.limited)
        instance.rates = {"o": 20}
        instance.simulate(SETTLING_S)
        self.assertFalse(instance.limited)

    def test_process_pause_causes_few_refusals(self):
        """Guards against refusals for seconds after the process was paused."""
        instance = SimulatedInstance({"o": 50})
        instance.simulate(SETTLING_S)
        instance.pause(3.0)
        instance.requested.clear()
        instance.admitted.clear()
        instance.simulate(2.0)
        refused_count = instance.requested["o"] - instance.admitted["o"]
        self.assertTrue(
            refused_count <= 0.2 * instance.requested["o"],
            (refused_count, instance.requested),
        )

    def test_only_sustained_overload_is_reported(self):
        """Guards against instances that stop being ready during each burst."""
        instance = SimulatedInstance({"o": 600})
        instance.simulate(0.6)
        self.assertEqual(
            (True, False), (instance.limited, instance.admission.overloaded)
        )
        instance.simulate(3.0)
        self.assertTrue(instance.admission.overloaded)
        instance.rates = {"o": 20}
        instance.simulate(4.0)
        self.assertFalse(instance.admission.overloaded)

    def test_refusals_do_not_end_sustained_overload(self):
        """Guards against an overload state that is reset by every refusal."""
        instance = SimulatedInstance({"o": 300})
        instance.simulate(SETTLING_S)
        overload_states = []
        for _ in range(50):
            instance.simulate(0.2)
            overload_states.append(instance.admission.overloaded)
        self.assertEqual({True}, set(overload_states))
