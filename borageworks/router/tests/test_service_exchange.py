"""Tests of the exchange of service between owners."""

from typing import Any

import testtools

from borageworks.catalog.replica import Replica
from borageworks.metrics import Metrics
from borageworks.router.service_exchange import ServiceExchange
from borageworks.router.tests.harness import settings_for


class FakeTimers:
    """Records planned calls; `fire` makes the next one at its time."""

    def __init__(self, wall):
        self.wall = wall
        self.planned: list[tuple[float, Any]] = []

    def clock(self):
        return self.wall

    def after(self, delay, callback):
        self.planned.append((self.wall + delay, callback))

    def fire(self):
        self.planned.sort(key=lambda item: item[0])
        self.wall, callback = self.planned.pop(0)
        callback(0.0)
        return self.wall


class IdleOwner:
    """Owner side without a pool."""

    def __init__(self):
        self.pools: dict[str, Any] = {}


class ExchangePhaseTest(testtools.TestCase):
    def test_instances_that_started_at_any_time_share_the_phases(self):
        """Guards against aggregators that compare different moments."""
        moments = []
        for started in (1003.0, 1000.0, 1001.9, 1003.97):
            timers: Any = FakeTimers(started)
            owner: Any = IdleOwner()
            exchange = ServiceExchange(
                settings_for("x"),
                1,
                Replica(),
                owner,
                timers,
                Metrics(),
                lambda _to, _message: None,
                list,
                timers.clock,
            )
            exchange.start()
            fired = [round(timers.fire(), 3) for _ in range(12)]
            self.assertTrue(all(moment % 4 in (0, 1, 2) for moment in fired), fired)
            self.assertEqual(len(set(fired)), len(fired))
            moments.append({moment for moment in fired if moment > 1008})
        common = set.intersection(*moments)
        self.assertTrue(len(common) >= 4, moments)
