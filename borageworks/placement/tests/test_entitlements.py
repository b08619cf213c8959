"""Tests of what organisations are owed."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.fair.max_min import max_min_level
from borageworks.placement.entitlements import MIN_FLOOD_RATIO, Entitlements

STEP_S = 0.05
WINDOW_S = 1.0
UNITS = 10.0


def allocate(rates, capacity, seed, seconds):
    """Return what each organisation got if those below their share come first.

    Their requests wait for capacity, those of others are refused without it.
    """
    rng = random.Random(seed)
    entitlements = Entitlements(WINDOW_S)
    got = [0.0] * len(rates)
    credit = 0.0
    requests: list[int] = []
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        credit = min(credit + capacity * STEP_S, capacity * STEP_S + UNITS)
        arrivals = [
            index
            for index, rate in enumerate(rates)
            for _ in range(int(rate * STEP_S / UNITS + rng.random()))
        ]
        rng.shuffle(arrivals)
        for index in arrivals:
            entitlements.record_requested(now, str(index), UNITS)
        requests += arrivals
        requests.sort(
            key=lambda index: not entitlements.is_below_share(now, str(index))
        )
        while requests and credit >= UNITS:
            index = requests.pop(0)
            credit -= UNITS
            entitlements.record_placed(now, str(index), UNITS)
            if now > seconds / 2:
                got[index] += UNITS / (seconds / 2)
        requests = [
            index for index in requests if entitlements.is_below_share(now, str(index))
        ]
    return got


class EntitlementsTest(TestCase):
    @given(
        st.lists(st.sampled_from([50, 200, 1000, 5000]), min_size=2, max_size=8),
        st.sampled_from([500.0, 2000.0, 8000.0]),
        st.integers(0, 100),
    )
    @settings(derandomize=True, deadline=None, max_examples=40)
    def test_no_organisation_is_left_below_its_share(self, rates, capacity, seed):
        """Guards against refusing an organisation below its share beside a flood."""
        got = allocate(rates, capacity, seed, seconds := 20.0)
        level = max_min_level(rates, capacity)
        for rate, amount in zip(rates, got, strict=True):
            owed = min(rate, level)
            # Arrivals of a small organisation vary by a few requests.
            ratio = 1.0 if rate < level else MIN_FLOOD_RATIO
            least = ratio * owed - 4 * (owed * UNITS / seconds) ** 0.5
            self.assertTrue(amount >= least, (rates, capacity, got, level))

    def test_a_new_owner_knows_what_runs(self):
        """Guards against a new owner that owes a flood as much as all others."""
        entitlements = Entitlements(WINDOW_S)
        entitlements.record_running(0.0, "flood", 100.0)
        for name in ("flood", "small"):
            entitlements.record_requested(0.0, name, 100.0)
        self.assertFalse(entitlements.is_below_share(0.0, "flood"))
        self.assertTrue(entitlements.is_below_share(0.0, "small"))

    def test_share_is_reached_only_while_requests_are_refused(self):
        """Guards against organisations that give way where there is enough for all."""
        entitlements = Entitlements(WINDOW_S)
        for name in ("flood", "small"):
            entitlements.record_requested(0.0, name, 100.0)
        entitlements.record_requested(0.0, "flood", 900.0)
        entitlements.record_placed(0.0, "flood", 200.0)
        entitlements.record_placed(0.0, "small", 10.0)
        self.assertFalse(entitlements.has_reached_share(0.0, "flood"))
        entitlements.is_below_share(0.1, "flood")
        self.assertTrue(entitlements.has_reached_share(0.1, "flood"))
        self.assertFalse(entitlements.has_reached_share(0.1, "small"))
        self.assertFalse(entitlements.has_reached_share(0.1 + WINDOW_S, "flood"))

    def test_excess_is_forgotten(self):
        """Guards against an organisation that pays for a flood of long ago."""
        entitlements = Entitlements(WINDOW_S)
        entitlements.record_requested(0.0, "former flood", 1e6)
        entitlements.record_placed(0.0, "former flood", 1e6)
        for step in range(400):
            now = 1.0 + step * STEP_S
            entitlements.record_requested(now, "flood", 100.0)
            entitlements.record_placed(now, "flood", 50.0)
            entitlements.record_requested(now, "former flood", 100.0)
        self.assertTrue(entitlements.is_below_share(21.0, "former flood"))
