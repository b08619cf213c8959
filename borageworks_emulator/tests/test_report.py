"""Tests of the result and the excused calls of a scenario."""

import orjson
import testtools

from borageworks_emulator.analysis import (
    CallRecord,
    Measures,
    RouterKill,
    Verdict,
    analyse,
)
from borageworks_emulator.report import Check, Result

EXPECTED_KEYS = (
    "answers",
    "incomplete",
    "doubled",
    "fairness_gap",
    "utilisation",
    "control_bytes_per_second",
    "store_calls_per_second",
    "wait",
    "refusals",
    "false_not_run",
    "cut",
    "faults",
    "central",
)


class ResultTest(testtools.TestCase):
    def result(self, *checks):
        measures = Measures(answers=3, wait={"a": 0.25}, service={"p": {"a": 7.0}})
        measures.fairness_gap["p"] = 1.5
        result = Result("s", "t", 1, 3, 2.0, measures, central=Measures(answers=4))
        result.checks = list(checks)
        return result

    def test_json_has_all_keys_for_fleet_and_baseline(self):
        """Guards against measures that are missing from the JSON."""
        document = orjson.loads(self.result().json())
        self.assertEqual(set(), set(EXPECTED_KEYS) - set(document))
        self.assertEqual(4, document["central"]["answers"])
        self.assertEqual({"p": 1.5}, document["fairness_gap"])

    def test_a_missed_target_fails_the_result_and_is_named(self):
        """Guards against a missed target that exit code and table do not show."""
        met, missed = Check("x", 1, 2, True), Check("doubled", 1, 0, False)
        self.assertTrue(self.result(met).passed)
        result = self.result(met, missed)
        self.assertFalse(result.passed)
        self.assertIn("MISSED  doubled", result.table({"a": 1.0}))

    def test_unreported_values_are_unknown(self):
        """Guards against unreported control traffic that is shown as zero."""
        self.assertIn("unknown", self.result().table({"a": 1.0}))


class ExcusedCallsTest(testtools.TestCase):
    def test_only_calls_that_the_killed_router_broke_are_excused(self):
        """Guards against a router kill that hides failures of other routers."""
        calls = [
            CallRecord("1", "a", "p", "", 0.0, end=5.0, router_index=1),
            CallRecord("2", "a", "p", "", 0.0, end=5.0, router_index=2),
            CallRecord("3", "a", "p", "", 0.0, end=9.0, router_index=1),
            CallRecord(
                "4", "a", "p", "", 0.0, end=5.0, router_index=1, verdict=Verdict.WRONG
            ),
        ]
        measures = analyse([], calls, {"a": 1.0}, 10.0, [RouterKill(1, 4.0, 6.0)])
        self.assertEqual((1, 2, 1), (measures.excused, measures.lost, measures.wrong))
