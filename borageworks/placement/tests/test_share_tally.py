"""Tests of what organisations are reported to have got and to be owed."""

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.fair.max_min import max_min_level
from borageworks.placement.decisions import RefusalReason
from borageworks.placement.share_tally import MAX_NAMED_ORGANISATIONS, ShareTally
from borageworks.placement.tests.flood_load import ReturningCallers
from borageworks.placement.tests.test_share_rule import SPREAD


class ShareTallyTest(TestCase):
    @given(st.lists(st.floats(0.0, 1e9), max_size=30), st.floats(0.0, 1e9))
    def test_even_share_uses_up_the_capacity(self, demands, capacity):
        """Guards against a share that is owed beyond capacity, or left unused."""
        level = max_min_level(demands, capacity)
        given_out = sum(min(demand, level) for demand in demands)
        expected = min(capacity, sum(demands))
        self.assertTrue(
            math.isclose(given_out, expected, rel_tol=1e-6, abs_tol=1e-6),
            (given_out, expected),
        )

    def test_organisations_that_miss_most_of_their_share_are_named(self):
        """Guards against reports that name floods and hide whom they displace."""
        tally = ShareTally()
        for number in range(MAX_NAMED_ORGANISATIONS + 4):
            name = f"flood-{number:02}"
            tally.record_requested(name, 1000.0)
            tally.record_placed(name, 100.0)
        tally.record_requested("small", 50.0)
        tally.record_refused("small", 50.0, RefusalReason.NO_CAPACITY, below_share=True)
        report = tally.report()
        self.assertEqual("small", next(iter(report.organisations)))
        small = report.organisations["small"]
        self.assertEqual(50.0, report.owed(small))
        self.assertEqual(50.0, small.refused_below_share)
        self.assertEqual(5, report.others_count)
        self.assertEqual(5000.0, report.others.requested)
        self.assertEqual({}, tally.report().organisations)

    def test_the_largest_organisations_are_named_with_the_best_served(self):
        """Guards against reports without whom an organisation is compared with."""
        tally = ShareTally()
        for number in range(2 * MAX_NAMED_ORGANISATIONS):
            name = f"small-{number:02}"
            tally.record_requested(name, 100.0)
            tally.record_placed(name, 40.0)
        for name, placed in (("flood", 200.0), ("best", 500.0)):
            tally.record_requested(name, 10_000.0)
            tally.record_placed(name, placed)
        report = tally.report()
        self.assertEqual(MAX_NAMED_ORGANISATIONS, len(report.organisations))
        self.assertTrue({"flood", "best"} <= report.organisations.keys())
        self.assertEqual(500.0, report.best_served)

    def test_amounts_of_a_report_add_up(self):
        """Guards against requests that no column of a report explains."""
        callers = ReturningCallers(SPREAD, seed=1)
        dispatcher = callers.simulation.dispatcher
        names = set()
        for second in range(8):
            callers.run(1)
            if second == 3:
                callers.crash(SPREAD.engine_count // 4)
            for key in list(dispatcher.waiting_keys)[::3]:
                dispatcher.withdraw(callers.simulation.now, key)
            report = dispatcher.report_shares()
            for name, item in (*report.organisations.items(), ("", report.others)):
                names.add(name)
                got = item.placed + item.refused_on_arrival + item.refused_after_wait
                got += item.withdrawn + item.waiting
                asked = item.requested + item.returned
                self.assertAlmostEqual(asked, got, delta=1.0, msg=(second, name))
        self.assertTrue(names > {"hot", "own"}, names)
