"""Tests of admission by what organisations get of the whole fleet."""

import heapq
import random
from collections import Counter

from testtools import TestCase

from borageworks.gateway.admission import Admission
from borageworks.gateway.fleet_shares import FleetShares
from borageworks.gateway.tests.test_admission import SETTLING_S, SimulatedInstance
from borageworks.placement.entitlements import Entitlements
from borageworks.placement.settings import PlacementSettings

SHARD = ("engines", 0)
WINDOW_S = 4.0
MEASUREMENT_S = 6.0
FLOODS = ("flood-1", "flood-2", "flood-3")
# Requests a second at the overloaded instance, and through all others.
GATHERED_PER_S = 80
HOT_RATES = dict.fromkeys(FLOODS, 300) | {"gathered": GATHERED_PER_S}
OTHER_RATES = dict.fromkeys(FLOODS, 300) | {f"small-{n}": 10 for n in range(5)}
ENGINES_PER_S = 400.0
# Requests that engines take at once; the last ones are for those below their share.
ENGINE_BURST = 20.0
RESERVED = 10.0
# An organisation that is refused something must get this part of what it asks for, or
# of what the best served one gets.
MIN_RATIO = 0.5


class SimulatedFleet:
    """An overloaded instance among others, and the owner that places for all."""

    def __init__(self, *, tells_shares):
        self.shares = FleetShares(WINDOW_S)
        self.instance = SimulatedInstance(
            HOT_RATES,
            shares=self.shares,
            on_admitted=self._submit_told,
            on_iteration=self._submit_others,
        )
        self._due = [(0.0, name) for name in OTHER_RATES]
        self.placed: Counter[str] = Counter()
        self._tells_shares = tells_shares
        self._entitlements = Entitlements(PlacementSettings(share_window_s=WINDOW_S))
        self._rng = random.Random(2)
        self._free = ENGINE_BURST
        self._freed_at = 0.0

    def simulate(self, seconds):
        """Run the overloaded instance, and the requests of all others."""
        self.instance.simulate(seconds)

    def _submit_others(self, now):
        while self._due[0][0] <= now:
            due, name = self._due[0]
            self._submit(due, name)
            next_due = due + self._rng.expovariate(OTHER_RATES[name])
            heapq.heapreplace(self._due, (next_due, name))

    def _submit_told(self, now, name):
        below_share = self._submit(now, name)
        if self._tells_shares:
            self.shares.record(now, name, SHARD, share_reached=not below_share)

    def _submit(self, now, name):
        freed = ENGINES_PER_S * max(now - self._freed_at, 0.0)
        self._free = min(self._free + freed, ENGINE_BURST)
        self._freed_at = max(now, self._freed_at)
        self._entitlements.record_requested(now, name, 1.0)
        below_share = self._entitlements.is_below_share(now, name)
        if self._free >= (1.0 if below_share else 1.0 + RESERVED):
            self._free -= 1.0
            self._entitlements.record_placed(now, name, 1.0)
            self.placed[name] += 1
        return below_share


class FleetSharesTest(TestCase):
    def run_fleet(self, **options):
        fleet = SimulatedFleet(**options)
        fleet.simulate(SETTLING_S)
        fleet.placed.clear()
        fleet.simulate(MEASUREMENT_S)
        return fleet.placed

    def test_organisation_that_gathers_at_an_overloaded_instance(self):
        """Guards against floods, served everywhere, that take an even part of its door.

        All organisations get their share of the fleet, not of one instance.
        """
        placed = self.run_fleet(tells_shares=True)
        best = max(placed.values())
        asked = {**OTHER_RATES, "gathered": GATHERED_PER_S}
        for flood in FLOODS:
            asked[flood] += HOT_RATES[flood]
        for name, rate in asked.items():
            owed = min(rate * MEASUREMENT_S, best)
            self.assertTrue(placed[name] >= MIN_RATIO * owed, (name, owed, placed))

    def test_organisations_are_equal_while_no_owner_tells_shares(self):
        """Guards against organisations that get nothing when the owner is gone."""
        placed = self.run_fleet(tells_shares=False)
        even = placed["gathered"]
        for name in FLOODS:
            self.assertTrue(placed[name] >= MIN_RATIO * even, placed)

    def test_statements_that_are_too_old_or_of_one_shard_only(self):
        """Guards against organisations held back by what no longer holds."""
        shares = FleetShares(WINDOW_S)
        self.assertFalse(shares.has_reached(0.0, "o"))
        shares.record(0.0, "o", SHARD, share_reached=True)
        self.assertTrue(shares.has_reached(1.0, "o"))
        shares.record(1.0, "o", ("desk", 0), share_reached=False)
        self.assertFalse(shares.has_reached(1.0, "o"))
        shares.record(2.0, "o", ("desk", 0), share_reached=True)
        shares.record(5.0, "o", SHARD, share_reached=True)
        self.assertTrue(shares.has_reached(7.0, "o"))
        self.assertFalse(shares.has_reached(9.5, "o"))

    def test_organisation_that_reached_its_share_is_not_starved(self):
        """Guards against an admission that refuses an organisation everything."""
        shares = FleetShares(WINDOW_S)
        instance = SimulatedInstance({"reached": 100, "other": 600}, shares=shares)
        instance.simulate(SETTLING_S)
        instance.admitted.clear()
        for _ in range(round(MEASUREMENT_S)):
            shares.record(instance.now, "reached", SHARD, share_reached=True)
            instance.simulate(1.0)
        self.assertTrue(instance.admitted["reached"] >= MEASUREMENT_S)
        self.assertTrue(instance.admitted["other"] > instance.admitted["reached"])

    def test_idle_instance_admits_all(self):
        """Guards against refusals by share where there is room for everybody."""
        shares = FleetShares(WINDOW_S)
        instance = SimulatedInstance({"reached": 100}, shares=shares)
        for _ in range(round(MEASUREMENT_S)):
            shares.record(instance.now, "reached", SHARD, share_reached=True)
            instance.simulate(1.0)
        self.assertEqual(instance.requested, instance.admitted)
        self.assertIsInstance(instance.admission, Admission)
