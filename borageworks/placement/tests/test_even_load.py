"""Tests of placement by reported loads and learned lasting speeds."""

from testtools import TestCase

from borageworks.placement.engine_load import EngineLoad, LoadRecord
from borageworks.placement.engine_speed import EngineSpeed, normalise
from borageworks.placement.tests.builders import (
    engine_dispatcher,
    engines,
    plain_dispatcher,
    prompt,
    work,
)
from borageworks.placement.tests.uneven_engines import SPEEDS, UnevenEngines, measure


class EvenLoadTest(TestCase):
    def check(self, placers, load):
        without = measure(load, placers, reports=False, seconds=6.0)
        reported = measure(load, placers, seconds=6.0)
        self.assertTrue(reported.late <= 0.5 * without.late, (reported, without))
        self.assertTrue(
            reported.prefilled_again <= 1.05 * without.prefilled_again,
            (reported, without),
        )
        self.assertTrue(reported.min_share >= without.min_share - 0.05)

    def test_one_owner_at_full_load(self):
        """Guards against a choice that overloads slow engines beside fast ones."""
        self.check(1, 1.0)

    def test_three_instances_that_place_without_an_owner(self):
        """Guards against instances that choose the same engines at the same time."""
        self.check(3, 0.95)

    def test_reports_without_a_pace_change_nothing(self):
        """Guards against other decisions where endpoints state no pace."""
        dispatchers = [engine_dispatcher(20), engine_dispatcher(20)]
        placed = []
        for number in range(60):
            request = work(prompt(own=900, shared=3000, shared_id=f"p{number % 7}"))
            dispatchers[1].record_load(0.0, f"e{number % 20}/0", EngineLoad(9, 9, 9), 0)
            placed = [item.submit(number / 50, request) for item in dispatchers]
            self.assertEqual(placed[0], placed[1])
        self.assertFalse(dispatchers[1].uses_loads)

    def test_plain_endpoint_on_a_slow_machine(self):
        """Guards against plain requests on the slowest of several idle endpoints."""
        dispatcher = plain_dispatcher(slots=6)
        for name, pace in (("d0", 2.5), ("d1", 1.0), ("d2", 2.5)):
            dispatcher.record_load(1.0, f"{name}/0", EngineLoad(0, 0, 6, pace), 0.1)
        (decision,) = dispatcher.submit(1.0, work())
        self.assertEqual("d1", decision.endpoint)

    def test_report_that_counts_far_too_many_requests(self):
        """Guards against a faulty report that excludes an endpoint."""
        dispatcher = plain_dispatcher(slots=6)
        load = EngineLoad(10**9, 0, 6, 1.0)
        dispatcher.record_load(1.0, "d0/0", load, 0.0)
        self.assertEqual(6.0, dispatcher.endpoints["d0"].load.unknown)

    def test_new_incarnation_starts_anew(self):
        """Guards against the speed and the report of a replaced engine."""
        dispatcher = engine_dispatcher(1)
        dispatcher.adopt_speed("e0/0", 2.0)
        dispatcher.record_load(1.0, "e0/0", EngineLoad(9, 0, 64, 2.5), 0.0)
        dispatcher.set_endpoints(1.0, engines(1, started_ms=7))
        dispatcher.record_load(1.0, "e0/0", EngineLoad(9, 0, 64, 2.5), 0.0)
        self.assertEqual(1.0, dispatcher.endpoints["e0"].slowdown(1.0))


class EngineSpeedTest(TestCase):
    def test_lasting_speeds_of_uneven_engines(self):
        """Guards against queues and slow phases that count as a slow engine."""
        simulation = UnevenEngines(0.95)
        simulation.run(20.0)
        mean = sum(SPEEDS) / len(SPEEDS)
        states = simulation.dispatchers[0].endpoints.values()
        for number, state in enumerate(states):
            expected = mean / SPEEDS[number % len(SPEEDS)]
            self.assertTrue(0.8 < state.speed.ratio / expected < 1.25, number)

    def test_cold_caches_and_queues_in_a_third_of_the_samples(self):
        """Guards against an engine that counts as slow since some prompts take long."""
        speeds = [EngineSpeed() for _ in range(3)]
        for number in range(300):
            for speed in speeds:
                late = speed is speeds[0] and number % 3 == 0
                speed.record(0.5 if late else 0.1, 0.1 + number % 5 * 0.002)
        normalise(speeds)
        self.assertTrue(speeds[0].ratio < 1.15, speeds)

    def test_overload_of_all_engines(self):
        """Guards against speeds that become equal while all engines are overloaded."""
        speeds = [EngineSpeed() for _ in range(3)]
        for _ in range(400):
            for speed, ratio in zip(speeds, (0.7, 0.7, 1.7), strict=True):
                speed.record(0.1 * ratio, 1.0)
        normalise(speeds)
        self.assertTrue(speeds[2].ratio > 2.0 * speeds[0].ratio, speeds)

    def test_new_owner_that_knows_few_speeds(self):
        """Guards against speeds that are related to those of a few engines only."""
        speeds = [EngineSpeed() for _ in range(6)]
        for speed in speeds[:2]:
            speed.adopt(0.6)
        normalise(speeds)
        self.assertEqual(0.6, speeds[0].ratio)


class LoadRecordTest(TestCase):
    def test_weight_of_an_old_report(self):
        """Guards against a pace that holds for good once reports stop."""
        record = LoadRecord()
        record.record(EngineLoad(5, 0, 8, 2.5), 10.0, 2)
        self.assertEqual((2.5, 3.0), (record.pace(10.0), record.unknown_requests(10.0)))
        self.assertTrue(1.0 < record.pace(10.4) < 2.5)
        self.assertEqual((1.0, 0.0), (record.pace(13.0), record.unknown_requests(13.0)))

    def test_report_that_is_overtaken(self):
        """Guards against an older report that arrives after a later one."""
        record = LoadRecord()
        record.record(EngineLoad(1, 0, 8, 1.0), 10.0, 1)
        record.record(EngineLoad(8, 4, 8, 2.5), 9.0, 0)
        self.assertEqual(1.0, record.pace(10.0))

    def test_requests_that_ended_since_the_report_are_known(self):
        """Guards against own requests that count again as those of others."""
        record = LoadRecord()
        record.record_end(10.2)
        record.record(EngineLoad(3, 0, 8, 1.0), 10.0, 2)
        self.assertEqual(0.0, record.unknown)
