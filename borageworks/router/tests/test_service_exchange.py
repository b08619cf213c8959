"""Tests of the service exchange between owners."""

from typing import Any

import testtools

from borageworks.catalog.replica import Replica
from borageworks.metrics import Metrics
from borageworks.router.service_exchange import ServiceExchange
from borageworks.router.tests.fake_network import settings_for


class FakeTimers:
    """Records scheduled calls; `fire` advances the clock and runs the next one."""

    def __init__(self, wall_time):
        self.wall_time = wall_time
        self.scheduled: list[tuple[float, Any]] = []

    def clock(self):
        return self.wall_time

    def after(self, delay, callback):
        self.scheduled.append((self.wall_time + delay, callback))

    def fire(self):
        self.scheduled.sort(key=lambda item: item[0])
        self.wall_time, callback = self.scheduled.pop(0)
        callback(0.0)
        return self.wall_time


class IdleOwner:
    """Owner side without pools."""

    def __init__(self):
        self.pools: dict[str, Any] = {}


class ExchangePhaseTest(testtools.TestCase):
    def test_instances_started_at_different_times_share_phases(self):
        """Guards against aggregators comparing sums taken at different times."""
        fire_times = []
        for started_at in (1003.0, 1000.0, 1001.9, 1003.97):
            timers: Any = FakeTimers(started_at)
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
            fired_at = [round(timers.fire(), 3) for _ in range(12)]
            self.assertTrue(
                all(fire_time % 4 in (0, 1, 2) for fire_time in fired_at), fired_at
            )
            self.assertEqual(len(set(fired_at)), len(fired_at))
            fire_times.append({fire_time for fire_time in fired_at if fire_time > 1008})
        common_times = set.intersection(*fire_times)
        self.assertTrue(len(common_times) >= 4, fire_times)
