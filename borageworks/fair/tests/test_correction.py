"""Tests of the corrections, individually and in a simulated fleet of owners."""

from itertools import pairwise

import testtools

from borageworks.config.settings import FairSettings
from borageworks.fair.drift_correction import (
    RETENTION_EXCHANGES as DRIFT_RETENTION_EXCHANGES,
)
from borageworks.fair.drift_correction import DriftCorrection
from borageworks.fair.tests.fleet_model import CorrectionRule, FleetModel, Scenario
from borageworks.fair.tests.measure_correction import recovery
from borageworks.fair.tests.proportional import (
    RETENTION_EXCHANGES,
    ProportionalCorrection,
)

DRIFT_RULE = CorrectionRule(0.3, 0.8, 0.25, DriftCorrection)


def simulate_errors(correction, effective_ratio, drift=10.0, exchanges=300):
    """Return the errors under constant drift if corrections apply only in part."""
    errors = [100.0]
    for _ in range(exchanges):
        delta = correction.update("a", errors[-1], 1, 1e9)
        correction.end_exchange()
        errors.append(errors[-1] + drift - effective_ratio * delta)
    return errors


class CorrectionTest(testtools.TestCase):
    settings = FairSettings(correction_gain=0.3, correction_trend_gain=0.5)

    def test_owners_divide_the_correction_equally(self):
        """Guards against owners that each repay the whole debt."""
        correction = ProportionalCorrection(self.settings)
        self.assertEqual(0.3 * 100 / 4, correction.update("a", 100.0, 4, 1e9))
        correction.end_exchange()
        expected = (0.3 * 120 + 0.5 * 20) / 4
        self.assertEqual(expected, correction.update("a", 120.0, 4, 1e9))

    def test_correction_is_limited(self):
        """Guards against repaying the debt of a long partition all at once."""
        for correction_class in (ProportionalCorrection, DriftCorrection):
            for error in (1e9, -1e9):
                delta = correction_class(self.settings).update("a", error, 1, 40.0)
                self.assertEqual(10.0, abs(delta))

    def test_state_of_absent_organisations_is_evicted(self):
        """Guards against unbounded memory and outdated trends."""
        for correction_class, exchanges in (
            (ProportionalCorrection, RETENTION_EXCHANGES),
            (DriftCorrection, DRIFT_RETENTION_EXCHANGES),
        ):
            correction = correction_class(self.settings)
            correction.update("a", 100.0, 1, 40.0)
            for _ in range(exchanges):
                correction.end_exchange()
            self.assertEqual(1, len(correction))
            correction.end_exchange()
            self.assertEqual(0, len(correction))

    def test_change_is_counted_per_exchange(self):
        """Guards against taking a change over several exchanges for that of one."""
        for correction_class, expected in (
            (ProportionalCorrection, 0.5 * 10),
            (DriftCorrection, 0.5 * 10),
        ):
            correction = correction_class(self.settings)
            correction.update("a", 0.0, 1, 1e9)
            for _ in range(2):
                correction.end_exchange()
            self.assertEqual(0.3 * 20 + expected, correction.update("a", 20.0, 1, 1e9))

    def test_sudden_debt_is_not_taken_for_drift(self):
        """Guards against an organisation that is not served after a partition ends."""
        correction = DriftCorrection(self.settings)
        deltas = []
        for error in (0.0, 1e6, 2e6, 3e6, 4e6, 5e6):
            deltas.append(correction.update("a", error, 1, 40.0))
            correction.end_exchange()
        self.assertEqual([0.0, 30.0], deltas[:2])
        self.assertEqual(40.0, max(deltas))

    def test_stability_limits_match_the_design_page(self):
        """Guards against gains for which the error grows from exchange to exchange."""
        for correction_class, trend_gain, stable, unstable in (
            (ProportionalCorrection, 0.5, 1.50, 1.57),
            (ProportionalCorrection, 1.0, 0.85, 0.90),
            (DriftCorrection, 0.5, 2.70, 2.82),
            (DriftCorrection, 0.8, 2.00, 2.08),
        ):
            settings = FairSettings(
                correction_gain=0.3, correction_trend_gain=trend_gain
            )
            last = simulate_errors(correction_class(settings), stable)[-1]
            self.assertLess(abs(last), 40.0)
            self.assertGreater(
                abs(simulate_errors(correction_class(settings), unstable)[-1]), 1000.0
            )

    def test_constant_drift_leaves_no_error_only_with_drift_estimate(self):
        """Guards against a drift estimate that leaves a steady-state error."""
        settings = FairSettings(correction_gain=0.3, correction_trend_gain=0.5)
        self.assertLess(abs(simulate_errors(DriftCorrection(settings), 0.8)[-1]), 1e-6)
        last = simulate_errors(ProportionalCorrection(settings), 0.8)[-1]
        self.assertLess(abs(last - 10.0 / 0.3 / 0.8), 1e-6)


class FleetTest(testtools.TestCase):
    """Simulated owners that see different demand, with heavy-tailed costs."""

    scenario = Scenario(owners_per_entry=6, duration_s=200)

    def test_correction_lowers_the_gap_below_the_bound(self):
        """Guards against unbounded drift between owners."""
        uncorrected = FleetModel(self.scenario, None, seed=1).run()
        for rule in (CorrectionRule(0.3, 0.5), DRIFT_RULE):
            fleet = FleetModel(self.scenario, rule, seed=1).run()
            self.assertLess(fleet.gap, 0.8 * uncorrected.gap)
            self.assertLess(fleet.gap, fleet.bound)
            self.assertGreater(fleet.utilisation, 0.98)

    def test_central_queue_stays_below_the_bound(self):
        """Guards against an unfair central queue, the reference of the comparisons."""
        for seed in range(3):
            central = FleetModel(self.scenario, None, seed, central=True).run()
            self.assertLess(central.gap, central.bound)

    def test_owner_restart_with_an_empty_queue_keeps_fairness(self):
        """Guards against an owner restart that resets an organisation's service."""
        scenario = Scenario(owners_per_entry=6, duration_s=200, restart=(60.0, 2))
        for rule in (CorrectionRule(0.3, 0.5), DRIFT_RULE):
            before = FleetModel(self.scenario, rule, seed=1).run()
            result = FleetModel(scenario, rule, seed=1).run()
            self.assertLess(result.gap, 1.3 * before.gap)
            self.assertGreater(result.utilisation, 0.98)

    def test_debt_of_a_partition_is_repaid_at_a_bounded_rate(self):
        """Guards against starvation after a partition, and against lost debt."""
        for rule in (CorrectionRule(0.3, 0.5), DRIFT_RULE):
            half_repaid_s, service_ratio = recovery(rule, seed=1)
            self.assertIsNotNone(half_repaid_s)
            self.assertTrue(0.4 < service_ratio < 0.9, service_ratio)

    def test_every_organisation_is_served_in_each_minute(self):
        """Guards against corrections that starve an organisation."""
        result = FleetModel(self.scenario, DRIFT_RULE, seed=1).run()
        for before, after in pairwise(result.samples[::60]):
            growth = sum(after.values()) - sum(before.values())
            for name in after:
                service_ratio = (after[name] - before[name]) / growth * len(after)
                self.assertGreater(service_ratio, 0.25)
