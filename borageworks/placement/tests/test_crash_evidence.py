"""Tests of the evidence against traits of requests that crash endpoints."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.placement.crash_evidence import (
    EXPIRY_S,
    MAX_TRAITS,
    CrashEvidence,
)
from borageworks.placement.trait_record import (
    FIRST_REFUSAL_S,
    MAX_TRIAL_S,
    REFUSAL_GROWTH,
)
from borageworks.routing.suspects import MAX_CRASHES, Verdict
from borageworks.wire.messages import CrashTrait

DEADLY = b"deadly"
SHARED = b"shared"
HYPOTHESIS_SETTINGS = settings(derandomize=True, deadline=None, max_examples=200)
INSTANCES = 3
# An instance does something, or tells another one what it knows.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("crash", "trial", "end", "clear", "tell")),
        st.integers(0, INSTANCES - 1),
        st.integers(0, INSTANCES - 1),
    ),
    max_size=25,
)


def play(steps, clears=True):
    """Return what instances know and have told, after some steps."""
    told = []
    fleet = [CrashEvidence() for _ in range(INSTANCES)]
    for number, (kind, actor, receiver) in enumerate(steps):
        evidence, now = fleet[actor], float(number)
        match kind:
            case "crash":
                traits = [DEADLY, SHARED][: 1 + receiver % 2]
                evidence.record_crash(now, traits, now, f"e-{number}")
            case "trial":
                evidence.begin(now, [DEADLY])
            case "end":
                evidence.end(now, [DEADLY])
            case "clear" if clears:
                evidence.clear(now, [DEADLY])
            case _:
                for report in reports(evidence, now):
                    fleet[receiver].learn(now, report)
                    told.append((now, report))
    return fleet, told


def reports(evidence, now):
    """Return what an instance tells of the deadly trait, if it knows of it."""
    report = evidence.report(now, DEADLY)
    return [report] if report.details or report.cleared else []


def state(evidence):
    """Return what an instance knows of the deadly trait, but for times."""
    report = evidence.report(1000.0, DEADLY)
    return (
        {(item.incarnation, item.rank, item.joint) for item in report.details},
        set(report.cleared),
        {(item.process, item.number, item.ended) for item in report.trials},
    )


class CrashEvidenceTest(TestCase):
    def crash(self, evidence, count, *traits, start=0.0):
        """Let requests with the traits crash endpoints, one after the other."""
        for number in range(count):
            now = start + number
            evidence.begin(now, traits)
            evidence.end(now, traits)
            evidence.record_crash(now + 0.5, traits, now, f"e{now}")

    def test_part_that_sound_requests_share_is_cleared(self):
        """Guards against refusing sound requests that share a part with deadly ones."""
        evidence = CrashEvidence()
        for number in range(MAX_CRASHES):
            self.crash(evidence, 1, SHARED, DEADLY, start=2.0 * number)
            evidence.clear(2.0 * number + 1.0, [SHARED])
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
        evidence.end(5.2, [DEADLY])
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(5.2, [DEADLY]))
        # The instance of the next trial is lost.
        evidence.begin(6.0, [DEADLY])
        now = 6.1 + MAX_TRIAL_S
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(now, [DEADLY]))

    def test_instances_share_a_verdict_and_its_end(self):
        """Guards against verdicts that end with the instance that came to them."""
        second = CrashEvidence()
        first = CrashEvidence(
            lambda now, trait: second.learn(9.0, first.report(now, trait))
        )
        self.crash(first, MAX_CRASHES - 1, DEADLY, SHARED)
        self.assertEqual(Verdict.ISOLATED, second.verdict(9.0, [SHARED]))
        first.clear(9.0, [SHARED])
        self.assertEqual(Verdict.CLEAR, second.verdict(9.0, [SHARED]))
        self.crash(second, 1, DEADLY, start=10.0)
        self.assertEqual(Verdict.REFUSED, second.verdict(11.0, [DEADLY]))
        self.assertEqual({DEADLY: MAX_CRASHES}, dict(second.shared))

    def test_refusal_goes_on_at_an_instance_that_takes_over(self):
        """Guards against one more crashed engine for each loss of an instance."""
        first = CrashEvidence()
        self.crash(first, MAX_CRASHES, DEADLY)
        self.crash(first, 1, DEADLY, start=20.0)
        now = 21.0
        successor = CrashEvidence()
        # Its clock shows another time.
        successor.learn(500.0, first.report(now, DEADLY))
        third = CrashEvidence()
        third.learn(900.0, successor.report(500.0 + FIRST_REFUSAL_S, DEADLY))
        rest_s = REFUSAL_GROWTH * FIRST_REFUSAL_S - (now - 20.5)
        self.assertEqual(
            Verdict.REFUSED, successor.verdict(500.0 + 0.99 * rest_s, [DEADLY])
        )
        self.assertEqual(Verdict.ISOLATED, successor.verdict(500.0 + rest_s, [DEADLY]))
        rest_s -= FIRST_REFUSAL_S
        self.assertEqual(
            Verdict.REFUSED, third.verdict(900.0 + 0.99 * rest_s, [DEADLY])
        )
        self.assertEqual(Verdict.ISOLATED, third.verdict(900.0 + rest_s, [DEADLY]))

    def test_trial_that_ends_with_its_instance(self):
        """Guards against a crash that nobody knows of, as its instance was lost."""
        successor = CrashEvidence()
        first = CrashEvidence(
            lambda now, trait: successor.learn(now, first.report(now, trait))
        )
        self.crash(first, MAX_CRASHES, DEADLY)
        first.begin(20.0, [DEADLY])
        next_trial_at = 20.0 + REFUSAL_GROWTH * FIRST_REFUSAL_S
        for evidence in (first, successor):
            self.assertEqual(
                Verdict.REFUSED, evidence.verdict(next_trial_at - 1.0, [DEADLY])
            )
            self.assertEqual(
                Verdict.ISOLATED, evidence.verdict(next_trial_at, [DEADLY])
            )
        # Its end is known after all.
        first.end(21.0, [DEADLY])
        self.assertEqual(Verdict.ISOLATED, successor.verdict(21.0, [DEADLY]))

    def test_clear_that_arrives_after_a_later_crash(self):
        """Guards against crashes that are forgotten by old news of a request served."""
        first, second = CrashEvidence(), CrashEvidence()
        self.crash(first, MAX_CRASHES, DEADLY)
        second.learn(4.0, first.report(4.0, DEADLY))
        first.clear(5.0, [DEADLY])
        clear = first.report(5.0, DEADLY)
        self.crash(second, 1, DEADLY, start=6.0)
        second.learn(7.0, clear)
        self.assertEqual(1, second.report(7.0, DEADLY).crashes)
        self.assertEqual(Verdict.CLEAR, second.verdict(7.0, [DEADLY]))

    def test_order_and_repetition_of_news_do_not_matter(self):
        """Guards against verdicts that depend on which message came last."""

        @HYPOTHESIS_SETTINGS
        @given(STEPS, st.randoms(use_true_random=False))
        def check(steps, rng):
            fleet, told = play(steps)
            now = float(len(steps))
            told += [(now, report) for item in fleet for report in reports(item, now)]
            states = []
            for _ in range(2):
                receiver = CrashEvidence()
                news = [*told, *rng.choices(told, k=len(told))]
                rng.shuffle(news)
                for sent_at, report in news:
                    receiver.learn(sent_at, report)
                states.append(state(receiver))
            self.assertEqual(states[0], states[1])

        check()

    def test_news_never_weaken_a_verdict(self):
        """Guards against an instance that forgets crashes as it learns of others."""

        @HYPOTHESIS_SETTINGS
        @given(STEPS, STEPS)
        def check(steps, others):
            (first, *_), _ = play(steps, clears=False)
            (second, *_), _ = play(others, clears=False)
            before = [item.report(50.0, DEADLY).crashes for item in (first, second)]
            for report in reports(second, 50.0):
                first.learn(50.0, report)
            self.assertTrue(first.report(50.0, DEADLY).crashes >= max(before))

        check()

    def test_instance_of_an_earlier_version(self):
        """Guards against verdicts that are lost while versions are mixed."""
        evidence = CrashEvidence()
        evidence.learn(1.0, CrashTrait(DEADLY, MAX_CRASHES))
        self.assertEqual(Verdict.REFUSED, evidence.verdict(2.0, [DEADLY]))
        self.assertEqual(MAX_CRASHES, evidence.report(2.0, DEADLY).crashes)
        evidence.learn(3.0, CrashTrait(DEADLY, 0))
        self.assertEqual(Verdict.CLEAR, evidence.verdict(3.0, [DEADLY]))

    def test_sound_part_that_came_with_each_deadly_one(self):
        """Guards against refusing a rare sound part that deadly requests shared."""
        evidence = CrashEvidence()
        self.crash(evidence, MAX_CRASHES, DEADLY, SHARED)
        self.assertEqual(Verdict.REFUSED, evidence.verdict(5.0, [DEADLY, SHARED]))
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(5.0, [SHARED]))
        self.assertEqual(Verdict.ISOLATED, evidence.verdict(5.0, [DEADLY, b"other"]))
        evidence.clear(5.0, [SHARED])
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
        evidence.clear(now, [DEADLY])
        self.assertEqual(Verdict.CLEAR, evidence.verdict(now, [DEADLY]))

    def test_number_of_records_is_bounded(self):
        """Guards against records that grow with the number of different prompts."""
        evidence = CrashEvidence()
        for number in range(MAX_TRAITS + 10):
            evidence.record_crash(1.0, [str(number).encode()], 0.0, "e")
        self.assertEqual(MAX_TRAITS, len(evidence))
        evidence.verdict(2.0 + EXPIRY_S, [])
        self.assertEqual(0, len(evidence))
