"""Tests of the retry budget, crash suspects and rendezvous hashing."""

import testtools

from borageworks.config.settings import RetrySettings
from borageworks.routing.budget import MAX_BUCKETS, RetryBudget
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
        """Guards against state that grows with every organisation."""
        budget = RetryBudget(RetrySettings())
        for number in range(MAX_BUCKETS + 10):
            budget.record_first_attempt(f"org-{number}", "s")
        self.assertEqual(MAX_BUCKETS, len(budget._tokens))


class CrashSuspectsTest(testtools.TestCase):
    def test_crashing_request_runs_in_isolation_then_is_refused(self):
        """Guards against one request that crashes more than three endpoints."""
        suspects = CrashSuspects()
        suspects.record(0.0, b"bad", "e1", "1", isolated=False)
        self.assertEqual(Verdict.CLEAR, suspects.verdict(0.0, b"bad"))
        suspects.record(1.0, b"bad", "e2", "1", isolated=False)
        self.assertEqual(Verdict.ISOLATED, suspects.verdict(1.0, b"bad"))
        suspects.record(2.0, b"bad", "e3", "1", isolated=True)
        self.assertEqual(Verdict.REFUSED, suspects.verdict(2.0, b"bad"))

    def test_repeated_reports_of_one_crash_count_once(self):
        """Guards against counting one crash of a request twice."""
        suspects = CrashSuspects()
        for _ in range(5):
            suspects.record(0.0, b"x", "e1", "1", isolated=False)
        self.assertEqual(Verdict.CLEAR, suspects.verdict(0.0, b"x"))

    def test_completed_request_is_cleared(self):
        """Guards against refusing a request that only ran beside a crashing one."""
        suspects = CrashSuspects()
        suspects.record(0.0, b"x", "e1", "1", isolated=False)
        suspects.record(0.0, b"x", "e2", "1", isolated=False)
        suspects.clear(b"x")
        self.assertEqual(Verdict.CLEAR, suspects.verdict(0.0, b"x"))

    def test_memory_expires_and_is_bounded(self):
        """Guards against records that are never removed."""
        suspects = CrashSuspects()
        for number in range(MAX_FINGERPRINTS + 5):
            suspects.record(0.0, str(number).encode(), "e", "1", isolated=True)
        self.assertEqual(MAX_FINGERPRINTS, len(suspects))
        self.assertEqual(Verdict.CLEAR, suspects.verdict(EXPIRY_S + 1, b"99"))
        self.assertEqual(0, len(suspects))


class RendezvousTest(testtools.TestCase):
    def test_only_keys_of_a_lost_member_move(self):
        """Guards against moving keys of remaining members after a loss."""
        members = [f"i{number}" for number in range(9)]
        keys = [f"e{number}" for number in range(200)]
        before = {key: rendezvous(key, members) for key in keys}
        after = {key: rendezvous(key, members[1:]) for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertEqual({"i0"}, {before[key] for key in moved})
        self.assertEqual(before["e1"], ranked("e1", members)[0])
        self.assertIsNone(rendezvous("e1", []))
