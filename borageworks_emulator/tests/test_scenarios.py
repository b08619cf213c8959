"""Tests of loads, faults and targets of scenarios, without router processes."""

import asyncio
import time
from collections import Counter
from types import SimpleNamespace
from typing import Any

import testtools

from borageworks_emulator import targets
from borageworks_emulator.analysis import CallRecord, Gap, Measures, Verdict
from borageworks_emulator.load import Balancer, LoadResult, Trace
from borageworks_emulator.report import Result
from borageworks_emulator.scenario import (
    RunOptions,
    ScenarioRun,
    common_checks,
    median_checks,
)
from borageworks_emulator.scenarios import SCENARIOS
from borageworks_emulator.topology import PATITSA, TOPOLOGIES

ROUTER_COUNT = 9


def _result(name, measures, central):
    result = Result(name, PATITSA.name, 1, ROUTER_COUNT, 10.0, measures, central)
    result.notes = {
        "idle_store_calls_per_second": 0.0,
        "work_before": 1,
        "last_new_work_s": 0.0,
    }
    return result


def _measures(gap, utilisation, **fields):
    measures = Measures(answers=10, **fields)
    for pool in (PATITSA.engine_pool, PATITSA.service_pool):
        measures.fairness_gap[pool] = gap
        measures.gap_detail[pool] = Gap(gap, pool, "org-0", "org-3", 9.0)
        measures.utilisation[pool] = utilisation
        measures.largest_units[pool] = 100.0
    measures.wait[PATITSA.smallest_organisation] = 0.1
    return measures


def _missed_targets(name, measures, central):
    checks = common_checks(
        SCENARIOS[name], RunOptions(PATITSA), _result(name, measures, central)
    )
    return [check.name for check in checks if not check.passed]


class CommonTargetTest(testtools.TestCase):
    def test_result_equal_to_the_baseline_meets_all_targets(self):
        """Guards against targets that not even the baseline meets."""
        self.assertEqual(
            [], _missed_targets("flood", _measures(100.0, 1.0), _measures(100.0, 1.0))
        )

    def test_gap_and_utilisation_are_compared_with_the_baseline(self):
        """Guards against an unfair or underused fleet that meets all targets."""
        missed = _missed_targets("flood", _measures(151.0, 0.97), _measures(100.0, 1.0))
        self.assertEqual(["fairness gap of models", "utilisation of models"], missed)

    def test_gap_above_the_bound_is_missed_even_if_the_baseline_is_worse(self):
        """Guards against a large gap that passes because the baseline's is large."""
        missed = _missed_targets("flood", _measures(1e6, 1.0), _measures(1e6, 1.0))
        self.assertEqual(["fairness gap of models, bound"], missed)

    def test_each_count_with_target_zero_is_checked(self):
        """Guards against broken guarantees that the exit code does not show."""
        for name in ("wrong", "lost", "incomplete", "doubled", "false_not_run", "cut"):
            measures = _measures(1.0, 1.0, **{name: 1})
            self.assertEqual(
                [name], _missed_targets("steady", measures, _measures(1.0, 1.0))
            )

    def test_failure_of_the_run_misses_a_target(self):
        """Guards against a run that passes because its fault was not applied."""
        result = _result("steady", _measures(1.0, 1.0), _measures(1.0, 1.0))
        result.failures.append("router-1 ended")
        checks = common_checks(SCENARIOS["steady"], RunOptions(PATITSA), result)
        self.assertEqual(
            ["failures of the run itself"], [c.name for c in checks if not c.passed]
        )

    def test_median_over_seeds_has_its_own_target(self):
        """Guards against a fleet that is always just within the limit of one run."""
        results = [
            _result("flood", _measures(gap, 1.0), _measures(100.0, 1.0))
            for gap in (100.0, 130.0, 140.0)
        ]
        [check] = median_checks(SCENARIOS["flood"], results)
        self.assertEqual((1.3, False), (check.measured, check.passed))
        self.assertEqual([], median_checks(SCENARIOS["steady"], results))

    def test_only_refusals_listed_by_the_scenario_are_allowed(self):
        """Guards against unexpected refusals under load that pass."""
        measures = _measures(1.0, 1.0, refusals={"claim_unavailable": 3})
        central = _measures(1.0, 1.0)
        self.assertEqual([], _missed_targets("store-outage", measures, central))
        self.assertEqual(1, len(_missed_targets("steady", measures, central)))


class ScenarioTargetTest(testtools.TestCase):
    def checks(self, name, result, calls=()):
        load = LoadResult(0.0, 10.0, list(calls))
        return [c.name for c in SCENARIOS[name].checks(result, load) if not c.passed]

    def test_wait_of_the_smallest_organisation_under_a_flood(self):
        """Guards against starvation of a small organisation."""
        measures, central = _measures(1.0, 1.0), _measures(1.0, 1.0)
        self.assertEqual([], self.checks("flood", _result("flood", measures, central)))
        measures.wait[PATITSA.smallest_organisation] = 0.151
        self.assertEqual(
            1, len(self.checks("flood", _result("flood", measures, central)))
        )

    def test_unreported_control_traffic_misses_its_target(self):
        """Guards against routers that meet a target by not reporting its counter."""
        result = _result("steady", _measures(1.0, 1.0), None)
        self.assertEqual(2, len(self.checks("steady", result)))
        result.control_bytes_per_second = targets.CONTROL_BYTES_PER_S
        result.idle_cpu_percent = targets.CONTROL_CPU_PERCENT
        self.assertEqual([], self.checks("steady", result))

    def test_store_outage_refuses_only_requests_with_keys_as_not_run(self):
        """Guards against outages that refuse too much or misreport whether work ran."""
        calls = [
            CallRecord("1", "a", "p", "k", 9.5, verdict=Verdict.ANSWERED),
            CallRecord("2", "a", "p", "k", 4.0, code="claim_unavailable"),
            CallRecord("3", "a", "p", "", 4.0, code="claim_unavailable"),
        ]
        for call in calls[1:]:
            call.ran = "not_run"
        result = _result("store-outage", _measures(1.0, 1.0), None)
        self.assertEqual([], self.checks("store-outage", result, calls[:2]))
        self.assertEqual(1, len(self.checks("store-outage", result, calls[:1])))
        self.assertEqual(1, len(self.checks("store-outage", result, calls)))
        calls[1].ran = "unknown"
        self.assertEqual(1, len(self.checks("store-outage", result, calls[:2])))
        calls[1].ran = "not_run"
        self.assertEqual(1, len(self.checks("store-outage", result, calls[1:2])))


class LoadTest(testtools.TestCase):
    def test_every_load_is_reproducible_and_fits_every_topology(self):
        """Guards against scenarios whose runs are not comparable."""
        for topology in TOPOLOGIES.values():
            for scenario in SCENARIOS.values():
                flows = scenario.flows(topology, ROUTER_COUNT)
                self.assertEqual(flows, scenario.flows(topology, ROUTER_COUNT))
                for flow in flows:
                    self.assertIn(flow.organisation, topology.shares)
                    self.assertEqual(topology.service_pools[flow.service], flow.pool)
                tags = [p.tag for p in Trace(flows, 1, 2.0).open_loop]
                self.assertEqual(len(tags), len(set(tags)))

    def test_steady_load_has_the_rate_of_the_target(self):
        """Guards against control traffic that is measured at a lower request rate."""
        flows = SCENARIOS["steady"].flows(PATITSA, ROUTER_COUNT)
        rate = sum(flow.rate for flow in flows)
        self.assertAlmostEqual(targets.REQUESTS_PER_S_PER_ROUTER * ROUTER_COUNT, rate)


class _FakeRouter:
    alive = True

    def __init__(self):
        self.signals = []

    def send_signal(self, number):
        self.signals.append(number.name)

    async def wait_exit(self):
        return 0

    async def start(self):
        self.signals.append("start")

    async def wait_ready(self, session):
        self.signals.append("ready")


class FaultTest(testtools.TestCase):
    def run_faults(self, name, duration=0.2):
        async def main():
            fleet: Any = SimpleNamespace(
                routers=[_FakeRouter() for _ in range(3)], session=None
            )
            store: Any = SimpleNamespace(
                unavailable=False, faults=SimpleNamespace(lost_replies=0)
            )
            scenario_run = ScenarioRun(
                RunOptions(PATITSA, duration_s=duration),
                PATITSA.endpoints(),
                fleet,
                Balancer(["a", "b", "c"]),
                store,
                load_started_at=time.monotonic(),
            )
            await SCENARIOS[name].faults(scenario_run)
            return scenario_run

        return asyncio.run(main())

    def test_killed_router_restarts_and_only_its_calls_are_excused(self):
        """Guards against a fault that leaves the fleet with fewer routers."""
        scenario_run = self.run_faults("restart")
        self.assertEqual(
            ["SIGKILL", "start", "ready"], scenario_run.fleet.routers[1].signals
        )
        self.assertEqual([1], [kill.router_index for kill in scenario_run.router_kills])
        self.assertEqual(Counter(router_killed=1), scenario_run.applied)

    def test_temporary_faults_are_off_at_the_end(self):
        """Guards against faults that last into the drain of the load."""
        self.assertFalse(self.run_faults("store-outage").store.unavailable)
        self.assertEqual(0, self.run_faults("lost-replies").store.faults.lost_replies)
        slow = self.run_faults("slow-engine")
        self.assertEqual([1.0] * 8, [e.faults.slowdown for e in slow.endpoints])
        crossed = self.run_faults("crossed-answers")
        self.assertEqual([0] * 8, [e.faults.crossed for e in crossed.endpoints])
