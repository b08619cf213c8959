"""Tests of overload detection by event loop lag."""

from testtools import TestCase

from borageworks.gateway.loop_lag import MEASURE_INTERVAL_S, LoopLag
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics

LIMIT_S = GATEWAY.lag_limit_s


class LoopLagTest(TestCase):
    def measure_repeatedly(self, lag, now, lateness_s, count):
        for _ in range(count):
            now += MEASURE_INTERVAL_S + lateness_s
            lag.measure(now)
        return now

    def test_detects_heavy_overload_at_first_measurement(self):
        """Guards against a mean that needs many measurements on a slow loop."""
        lag = LoopLag(GATEWAY, Metrics())
        lag.measure(0.0)
        self.measure_repeatedly(lag, 0.0, 0.5, 1)
        self.assertTrue(lag.overloaded)

    def test_detects_sustained_lag_but_not_single_pause(self):
        """Guards against detecting overload after a single delay, or never."""
        lag = LoopLag(GATEWAY, Metrics())
        lag.measure(0.0)
        now = self.measure_repeatedly(lag, 0.0, 2 * LIMIT_S, 1)
        self.assertFalse(lag.overloaded)
        now = self.measure_repeatedly(lag, now, 2 * LIMIT_S, 20)
        self.assertTrue(lag.overloaded)
        now = self.measure_repeatedly(lag, now, 0.8 * LIMIT_S, 30)
        self.assertTrue(lag.overloaded)
        self.measure_repeatedly(lag, now, 0.001, 30)
        self.assertFalse(lag.overloaded)
