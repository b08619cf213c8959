"""Tests of the cost estimator."""

import testtools

from borageworks.fair.cost import CostEstimator


class CostEstimatorTest(testtools.TestCase):
    def test_hint_affects_only_the_first_estimates(self):
        """Guards against hints that determine the estimate."""
        estimator = CostEstimator(initial_units=100.0)
        self.assertGreater(estimator.estimate("a", "s", 0.0), 75.0)
        self.assertLess(estimator.estimate("a", "s", 1e12), 200.0)
        for _ in range(200):
            estimator.observe("a", "s", 50.0)
        self.assertLess(abs(estimator.estimate("a", "s", 0.0) - 50.0), 2.0)

    def test_new_organisation_starts_at_the_pool_average(self):
        """Guards against using the initial estimate once the pool's costs are known."""
        estimator = CostEstimator(initial_units=100.0)
        for _ in range(200):
            estimator.observe("a", "s", 10.0)
        self.assertLess(estimator.estimate("new", "s", None), 10.1)

    def test_estimate_follows_a_workload_change(self):
        """Guards against a mean over the whole history."""
        estimator = CostEstimator()
        for units in [10.0] * 1000 + [1000.0] * 60:
            estimator.observe("a", "s", units)
        self.assertGreater(estimator.estimate("a", "s", None), 900.0)

    def test_least_recently_used_average_is_dropped(self):
        """Guards against memory that grows with the number of pairs observed."""
        estimator = CostEstimator(capacity=2)
        for name in "ab":
            estimator.observe(name, "s", 10.0)
        estimator.estimate("a", "s", None)
        estimator.observe("c", "s", 1000.0)
        self.assertEqual(2, len(estimator))
        pool = estimator.estimate("b", "s", None)
        self.assertLess(estimator.estimate("a", "s", None), pool)
