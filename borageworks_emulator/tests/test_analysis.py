"""Tests of the measures, partly against naive computations."""

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from borageworks_emulator.analysis import (
    CallRecord,
    Verdict,
    analyse,
    backlogged_bins,
    fairness_gap,
    value_range,
)
from borageworks_emulator.recording import BIN_WIDTH_S, Recording, RunOutcome


def naive_gap(units, shares, backlogged, first, second):
    """Compute the gap over every sub-interval with both backlogged, in O(n^2)."""
    largest = 0.0
    for start in range(200):
        total = 0.0
        for index in range(start, 200):
            if not (index in backlogged[first] and index in backlogged[second]):
                break
            total += units[first].get(index, 0) / shares[first]
            total -= units[second].get(index, 0) / shares[second]
            largest = max(largest, abs(total))
    return largest


class FairnessGapTest(testtools.TestCase):
    @given(st.integers(0, 10_000))
    def test_gap_equals_naive_gap(self, seed):
        """Guards against a gap that omits sub-intervals or joins separate ones."""
        rng = random.Random(seed)
        shares = {"a": 1.0, "b": 2.5}
        units = {
            name: {i: rng.uniform(0, 5) for i in range(40) if rng.random() < 0.6}
            for name in shares
        }
        backlogged = {
            name: {i for i in range(40) if rng.random() < 0.85} for name in shares
        }
        gap = fairness_gap("p", units, shares, backlogged)
        self.assertAlmostEqual(
            naive_gap(units, shares, backlogged, "a", "b"), gap.units, places=9
        )

    def test_value_range_of_a_flat_curve_is_zero(self):
        """Guards against a gap reported where nothing was served."""
        self.assertEqual(0.0, value_range([0.0, 0.0]))

    def test_backlog_joins_overlapping_waits(self):
        """Guards against gaps over intervals in which nothing waited."""
        calls = [
            CallRecord("1", "a", "p", "", sent=0.0),
            CallRecord("2", "a", "p", "", sent=0.2),
            CallRecord("3", "a", "p", "", sent=0.9),
        ]
        started = {"1": 0.25, "2": 0.4, "3": 0.9}
        bins = backlogged_bins(calls, started, until=2.0)
        self.assertEqual({"a": set(range(8))}, bins)


class VerdictTest(testtools.TestCase):
    def recording(self, *runs):
        recording = Recording("e", "p", 10.0)
        for tag, key in runs:
            run = recording.record_arrival("a", f"r{tag}", key, tag)
            run.started = run.arrived
            recording.record_units(run, run.arrived, 1.0)
            recording.record_end(run, RunOutcome.COMPLETE)
        return recording

    def test_not_run_that_ran_is_counted(self):
        """Guards against a false `not_run` that only the endpoint recorded."""
        recording = self.recording(("1", ""), ("2", ""))
        calls = [
            CallRecord("1", "a", "p", "", 0.0, verdict=Verdict.REFUSED, ran="not_run"),
            CallRecord("2", "a", "p", "", 0.0, verdict=Verdict.REFUSED, ran="unknown"),
            CallRecord("3", "a", "p", "", 0.0, verdict=Verdict.REFUSED, ran="not_run"),
        ]
        self.assertEqual(1, analyse([recording], calls, {"a": 1.0}, 0).false_not_run)

    def test_key_that_ran_twice_is_counted_over_endpoints(self):
        """Guards against missed duplicates that ran on two different endpoints."""
        recordings = [
            self.recording(("1", "k"), ("2", "m")),
            self.recording(("1", "k")),
        ]
        self.assertEqual(1, analyse(recordings, [], {"a": 1.0}, 0).doubled)

    def test_utilisation_counts_only_useful_work(self):
        """Guards against wasted runs that count as used capacity."""
        recording = Recording("e", "p", 10.0)
        for tag in ("1", "2"):
            run = recording.record_arrival("a", "r", "", tag)
            run.started = 4 * BIN_WIDTH_S
            recording.record_span(run, 0.0, 4 * BIN_WIDTH_S, 5.0)
            recording.record_end(run, RunOutcome.COMPLETE)
        calls = [
            CallRecord("1", "a", "p", "", 0.0, end=1.0, verdict=Verdict.ANSWERED),
            CallRecord("2", "a", "p", "", 0.0, end=1.0, verdict=Verdict.WRONG),
        ]
        measures = analyse([recording], calls, {"a": 1.0}, until=4 * BIN_WIDTH_S)
        self.assertAlmostEqual(0.5, measures.utilisation["p"])
