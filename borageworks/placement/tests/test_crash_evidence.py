"""Tests of the evidence against traits of requests that crash endpoints."""

from testtools import TestCase

from borageworks.placement.crash_evidence import (
    EXPIRY_S,
    FIRST_REFUSAL_S,
    MAX_TRAITS,
    MAX_TRIAL_S,
    REFUSAL_GROWTH,
    CrashEvidence,
)
from borageworks.routing.suspects import MAX_CRASHES, Verdict

DEADLY = b"deadly"
SHARED = b"shared"


class CrashEvidenceTest(TestCase):
    def crash(self, evidence, count, *traits, start=0.0):
        """Let requests with the traits crash endpoints, one after the other."""
        for number in range(count):
            now = start + number
            evidence.begin(now, traits)
            evidence.end(traits)
            evidence.record_crash(now + 0.5, traits, now, f"e{now}")

    def test_part_that_sound_requests_share_is_cleared(self):
        """Guards against refusing sound requests that share a part with deadly ones."""
        evidence = CrashEvidence()
        for number in range(MAX_CRASHES):
            self.crash(evidence, 1, SHARED, DEADLY, start=2.0 * number)
            evidence.clear([SHARED])
        now = 2.0 * MAX_CRASHES
        self.assertEqual(Verdict.CLEAR, evidence.verdict(now, [SHARED]))
        self.assertEqual(Verdict.REFUSED, evidence.verdict(now, [SHARED, DEADLY]))

    def test_engines_that_crash_at_the_same_time_count_once(self):
        """Guards against refusing what ran when a failure took several engines."""
        evidence = CrashEvidence()
        for number in range(2 * MAX_CRASHES):
            evidence.record_crash(1.0, [SHARED], 0.5, f"e{number}")
        self.assertEqual(Verdict.CLEAR, evidence.verdict(1.0, [SHARED]))

    def test_suspect_runs_alone_until_its_trial_has_ended(self):
        """Guards against several engines that crash before the verdict."""
        evidence = CrashEvidence()
        self.crash(evidence, MAX_CRASHES - 1, DEADLY)
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(5.0, [DEADLY]))
        evidence.begin(5.0, [DEADLY])
        self.assertEqual(Verdict.REFUSED, evidence.verdict(5.1, [DEADLY]))
        evidence.end([DEADLY])
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(5.2, [DEADLY]))
        # The instance of the next trial is lost.
        evidence.begin(6.0, [DEADLY])
        now = 6.1 + MAX_TRIAL_S
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(now, [DEADLY]))

    def test_instances_share_a_verdict_and_its_end(self):
        """Guards against verdicts that end with the instance that came to them."""
        second = CrashEvidence()
        first = CrashEvidence(lambda trait, crashes: second.learn(9.0, trait, crashes))
        self.crash(first, MAX_CRASHES - 1, DEADLY, SHARED)
        self.assertEqual(Verdict.ISOLATED, second.verdict(9.0, [SHARED]))
        first.clear([SHARED])
        self.assertEqual(Verdict.CLEAR, second.verdict(9.0, [SHARED]))
        self.crash(second, 1, DEADLY, start=10.0)
        self.assertEqual(Verdict.REFUSED, second.verdict(11.0, [DEADLY]))
        self.assertEqual({DEADLY: MAX_CRASHES}, dict(second.shared))

    def test_sound_part_that_came_with_each_deadly_one(self):
        """Guards against refusing a rare sound part that deadly requests shared."""
        evidence = CrashEvidence()
        self.crash(evidence, MAX_CRASHES, DEADLY, SHARED)
        self.assertEqual(Verdict.REFUSED, evidence.verdict(5.0, [DEADLY, SHARED]))
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(5.0, [SHARED]))
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(5.0, [DEADLY, b"other"]))
        evidence.clear([SHARED])
        self.assertEqual(Verdict.CLEAR, evidence.verdict(5.0, [SHARED]))
        self.crash(evidence, 1, DEADLY, b"other", start=6.0)
        self.assertEqual(Verdict.REFUSED, evidence.verdict(7.0, [DEADLY]))
        self.assertEqual(Verdict.REFUSED, evidence.verdict(7.0, [DEADLY, b"third"]))

    def test_endpoint_that_breaks_off_and_goes_on_counts_once(self):
        """Guards against refusing sound parts because one endpoint resets streams."""
        evidence = CrashEvidence()
        for number in range(3 * MAX_CRASHES):
            now = float(number)
            evidence.record_crash(now + 0.5, [SHARED], now, "grey")
        self.assertEqual(Verdict.CLEAR, evidence.verdict(99.0, [SHARED]))

    def test_verdict_is_reviewed_with_growing_intervals(self):
        """Guards against an hour without a part that crashed nothing."""
        evidence = CrashEvidence()
        self.crash(evidence, MAX_CRASHES, DEADLY)
        now = MAX_CRASHES - 0.5
        refusal_s = FIRST_REFUSAL_S
        for _ in range(3):
            self.assertEqual(
                Verdict.REFUSED, evidence.verdict(now + 0.9 * refusal_s, [DEADLY])
            )
            now += refusal_s
            self.assertEqual(Verdict.ISOLATED, evidence.verdict(now, [DEADLY]))
            self.crash(evidence, 1, DEADLY, start=now)
            now += 0.5
            refusal_s = min(refusal_s * REFUSAL_GROWTH, EXPIRY_S)
        evidence.clear([DEADLY])
        self.assertEqual(Verdict.CLEAR, evidence.verdict(now, [DEADLY]))

    def test_number_of_records_is_bounded(self):
        """Guards against records that grow with the number of different prompts."""
        evidence = CrashEvidence()
        for number in range(MAX_TRAITS + 10):
            evidence.record_crash(1.0, [str(number).encode()], 0.0, "e")
        self.assertEqual(MAX_TRAITS, len(evidence))
        evidence.verdict(2.0 + EXPIRY_S, [])
        self.assertEqual(0, len(evidence))
