"""Tests of the fairness bound."""

import testtools

from borageworks.fair.gap_bound import gap_bound


class GapBoundTest(testtools.TestCase):
    """Guards against a bound that differs from the formula in docs/design.md."""

    def test_single_owner_has_only_the_queueing_term(self):
        self.assertEqual(5 * (10 / 2 + 20 / 4), gap_bound(4, (10, 20), (2, 4)))

    def test_exchange_adds_the_drift_and_its_steady_state_error(self):
        bound = gap_bound(0, (1, 1), (1, 1), interval_s=4, normalised_rate=10, gain=0.5)
        self.assertEqual(2 + 40 * 3, bound)
