"""Tests of the correction rules and of several owners together."""

from itertools import pairwise

import testtools

from borageworks.config.settings import FairSettings
from borageworks.fair.drift import FORGET_EXCHANGES as DRIFT_FORGET_EXCHANGES
from borageworks.fair.drift import DriftCorrection
from borageworks.fair.tests.fleet_model import FleetModel, Rule, Scenario
from borageworks.fair.tests.measure_correction import recovery
from borageworks.fair.tests.proportional import FORGET_EXCHANGES, Correction

DRIFT = Rule(0.3, 0.8, 0.25, DriftCorrection)


def settle(correction, realised, drift=10.0, exchanges=300):
    """Return the errors when a part of each correction takes effect."""
    errors = [100.0]
    for _ in range(exchanges):
        delta = correction.update("a", errors[-1], 1, 1e9)
        correction.end_exchange()
        errors.append(errors[-1] + drift - realised * delta)
    return errors


class CorrectionTest(testtools.TestCase):
    settings = FairSettings(correction_gain=0.3, correction_trend_gain=0.5)

    def test_each_owner_applies_its_part(self):
        """Guards against a fleet that repays the debt once per owner."""
        correction = Correction(self.settings)
        self.assertEqual(0.3 * 100 / 4, correction.update("a", 100.0, 4, 1e9))
        correction.end_exchange()
        expected = (0.3 * 120 + 0.5 * 20) / 4
        self.assertEqual(expected, correction.update("a", 120.0, 4, 1e9))

    def test_correction_is_limited(self):
        """Guards against debt from a long partition that is repaid at once."""
        for kind in (Correction, DriftCorrection):
            for error in (1e9, -1e9):
                delta = kind(self.settings).update("a", error, 1, 40.0)
                self.assertEqual(10.0, abs(delta))

    def test_absent_organisations_are_forgotten(self):
        """Guards against memory and trends from long ago."""
        for kind, exchanges in (
            (Correction, FORGET_EXCHANGES),
            (DriftCorrection, DRIFT_FORGET_EXCHANGES),
        ):
            correction = kind(self.settings)
            correction.update("a", 100.0, 1, 40.0)
            for _ in range(exchanges):
                correction.end_exchange()
            self.assertEqual(1, len(correction))
            correction.end_exchange()
            self.assertEqual(0, len(correction))

    def test_change_is_counted_per_exchange(self):
        """Guards against a trend of several intervals that is taken for one."""
        for kind, expected in ((Correction, 0.5 * 10), (DriftCorrection, 0.5 * 10)):
            correction = kind(self.settings)
            correction.update("a", 0.0, 1, 1e9)
            for _ in range(2):
                correction.end_exchange()
            self.assertEqual(0.3 * 20 + expected, correction.update("a", 20.0, 1, 1e9))

    def test_sudden_debt_is_not_taken_for_drift(self):
        """Guards against an organisation that is cut off when a partition ends."""
        correction = DriftCorrection(self.settings)
        deltas = []
        for error in (0.0, 1e6, 2e6, 3e6, 4e6, 5e6):
            deltas.append(correction.update("a", error, 1, 40.0))
            correction.end_exchange()
        self.assertEqual([0.0, 30.0], deltas[:2])
        self.assertEqual(40.0, max(deltas))

    def test_stability_limits_of_the_design_page(self):
        """Guards against gains for which the error grows from exchange to exchange."""
        for kind, trend, stable, unstable in (
            (Correction, 0.5, 1.50, 1.57),
            (Correction, 1.0, 0.85, 0.90),
            (DriftCorrection, 0.5, 2.70, 2.82),
            (DriftCorrection, 0.8, 2.00, 2.08),
        ):
            settings = FairSettings(correction_gain=0.3, correction_trend_gain=trend)
            last = settle(kind(settings), stable)[-1]
            self.assertLess(abs(last), 40.0)
            self.assertGreater(abs(settle(kind(settings), unstable)[-1]), 1000.0)

    def test_constant_drift_leaves_no_error_only_with_drift_estimate(self):
        """Guards against an estimate that does not cancel what it has seen."""
        settings = FairSettings(correction_gain=0.3, correction_trend_gain=0.5)
        self.assertLess(abs(settle(DriftCorrection(settings), 0.8)[-1]), 1e-6)
        last = settle(Correction(settings), 0.8)[-1]
        self.assertLess(abs(last - 10.0 / 0.3 / 0.8), 1e-6)


class FleetTest(testtools.TestCase):
    """Owners that see different demand, with heavy-tailed costs."""

    scenario = Scenario(reach=6, seconds=200)

    def test_correction_lowers_the_gap_below_the_bound(self):
        """Guards against owners that drift apart without limit."""
        alone = FleetModel(self.scenario, None, seed=1).run()
        for rule in (Rule(0.3, 0.5), DRIFT):
            fleet = FleetModel(self.scenario, rule, seed=1).run()
            self.assertLess(fleet.gap, 0.8 * alone.gap)
            self.assertLess(fleet.gap, fleet.bound)
            self.assertGreater(fleet.utilisation, 0.98)

    def test_central_queue_stays_below_the_bound(self):
        """Guards against a reference that is itself unfair."""
        for seed in range(3):
            central = FleetModel(self.scenario, None, seed, central=True).run()
            self.assertLess(central.gap, central.bound)

    def test_owner_that_restarts_empty_serves_on_fairly(self):
        """Guards against an owner that resets what an organisation has received."""
        scenario = Scenario(reach=6, seconds=200, restart=(60.0, 2))
        for rule in (Rule(0.3, 0.5), DRIFT):
            before = FleetModel(self.scenario, rule, seed=1).run()
            result = FleetModel(scenario, rule, seed=1).run()
            self.assertLess(result.gap, 1.3 * before.gap)
            self.assertGreater(result.utilisation, 0.98)

    def test_debt_of_a_partition_is_repaid_at_a_bounded_rate(self):
        """Guards against starvation after a partition, and against forgotten debt."""
        for rule in (Rule(0.3, 0.5), DRIFT):
            half, service = recovery(rule, seed=1)
            self.assertIsNotNone(half)
            self.assertTrue(0.4 < service < 0.9, service)

    def test_everyone_is_served_in_each_minute(self):
        """Guards against corrections that starve an organisation."""
        result = FleetModel(self.scenario, DRIFT, seed=1).run()
        for before, after in pairwise(result.levels[::60]):
            growth = sum(after.values()) - sum(before.values())
            for name in after:
                part = (after[name] - before[name]) / growth * len(after)
                self.assertGreater(part, 0.25)
