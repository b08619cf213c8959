"""Tests of the retry budget and of crash suspects."""

import testtools

from borageworks.config.settings import RetrySettings
from borageworks.routing.budget import MAX_ENTRIES, RetryBudget
from borageworks.routing.rendezvous import ranked, rendezvous
from borageworks.routing.suspects import (
    EXPIRY_S,
    MAX_FINGERPRINTS,
    CrashSuspects,
    Verdict,
)


class RetryBudgetTest(testtools.TestCase):
    def test_retries_stay_a_fraction_of_requests(self):
        """Guards against a retry storm that multiplies load."""
        budget = RetryBudget(RetrySettings(ratio=0.1, burst=10))
        retries = 0
        for _ in range(1000):
            budget.record_first_attempt("a", "s")
            retries += sum(budget.take_retry("a", "s") for _ in range(3))
        self.assertTrue(retries <= 110, retries)

    def test_one_organisation_does_not_use_anothers_budget(self):
        """Guards against one organisation's failures stopping others' retries."""
        budget = RetryBudget(RetrySettings(burst=1))
        self.assertTrue(budget.take_retry("a", "s"))
        self.assertFalse(budget.take_retry("a", "s"))
        self.assertTrue(budget.take_retry("b", "s"))

    def test_memory_is_bounded(self):
        """Guards against state that grows with every organisation ever seen."""
        budget = RetryBudget(RetrySettings())
        for number in range(MAX_ENTRIES + 10):
            budget.record_first_attempt(f"org-{number}", "s")
        self.assertEqual(MAX_ENTRIES, len(budget._tokens))


class CrashSuspectsTest(testtools.TestCase):
    def test_culprit_runs_alone_then_is_refused(self):
        """Guards against more than three endpoints lost to one request."""
        suspects = CrashSuspects()
        suspects.record(0.0, b"bad", "e1", "1", alone=False)
        self.assertEqual(Verdict.CLEAR, suspects.verdict(0.0, b"bad"))
        suspects.record(1.0, b"bad", "e2", "1", alone=False)
        self.assertEqual(Verdict.ALONE, suspects.verdict(1.0, b"bad"))
        suspects.record(2.0, b"bad", "e3", "1", alone=True)
        self.assertEqual(Verdict.REFUSED, suspects.verdict(2.0, b"bad"))

    def test_repeated_reports_of_one_crash_count_once(self):
        """Guards against blaming a request twice for one crash."""
        suspects = CrashSuspects()
        for _ in range(5):
            suspects.record(0.0, b"x", "e1", "1", alone=False)
        self.assertEqual(Verdict.CLEAR, suspects.verdict(0.0, b"x"))

    def test_innocent_is_cleared_by_a_run_alone(self):
        """Guards against refusing a request that only ran beside a culprit."""
        suspects = CrashSuspects()
        suspects.record(0.0, b"x", "e1", "1", alone=False)
        suspects.record(0.0, b"x", "e2", "1", alone=False)
        suspects.clear(b"x")
        self.assertEqual(Verdict.CLEAR, suspects.verdict(0.0, b"x"))

    def test_memory_expires_and_is_bounded(self):
        """Guards against records kept for ever."""
        suspects = CrashSuspects()
        for number in range(MAX_FINGERPRINTS + 5):
            suspects.record(0.0, str(number).encode(), "e", "1", alone=True)
        self.assertEqual(MAX_FINGERPRINTS, len(suspects))
        self.assertEqual(Verdict.CLEAR, suspects.verdict(EXPIRY_S + 1, b"99"))
        self.assertEqual(0, len(suspects))


class RendezvousTest(testtools.TestCase):
    def test_only_keys_of_a_lost_member_move(self):
        """Guards against a member's loss moving ownership everywhere."""
        members = [f"i{number}" for number in range(9)]
        keys = [f"e{number}" for number in range(200)]
        before = {key: rendezvous(key, members) for key in keys}
        after = {key: rendezvous(key, members[1:]) for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertEqual({"i0"}, {before[key] for key in moved})
        self.assertEqual(before["e1"], ranked("e1", members)[0])
        self.assertIsNone(rendezvous("e1", []))
