"""Tests of the service ledger and its errors."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.fair import ledger as ledger_module
from borageworks.fair.counter import ServiceCounter
from borageworks.fair.ledger import ServiceLedger
from borageworks.fair.levels import ServiceLevels
from borageworks.fair.tests.naive_ledger import NaiveLedger

UNITS = st.integers(1, 9).map(float)
COUNTERS = st.lists(
    st.builds(
        ServiceCounter,
        st.sampled_from(["x", "y"]),
        st.integers(0, 1),
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 20).map(float),
    ),
    max_size=40,
)
RESTARTS = st.lists(
    st.one_of(
        st.tuples(st.just("serve"), st.sampled_from("ab"), st.integers(1, 9)),
        st.tuples(st.just("restart")),
        st.tuples(st.just("repeat"), st.integers(0, 99)),
        st.tuples(st.just("retire")),
    ),
    max_size=60,
)


class ServiceLedgerDifferentialTest(testtools.TestCase):
    @given(COUNTERS, st.randoms(use_true_random=False))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_order_and_repetition_gives_the_naive_totals(self, counters, order):
        """Guards against merges that count twice or depend on their order."""
        naive, ledger, other = NaiveLedger(), ServiceLedger(), ServiceLedger()
        for counter in counters:
            naive.merge(
                counter.owner, counter.incarnation, counter.organisation, counter.units
            )
            ledger.merge(counter)
        shuffled = counters * 2
        order.shuffle(shuffled)
        for counter in shuffled:
            other.merge(counter)
        self.assertEqual(naive.totals(), ledger.totals())
        self.assertEqual(naive.totals(), other.totals())
        for counter in ledger.counters():
            self.assertFalse(other.merge(counter))

    @given(RESTARTS)
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_folding_keeps_totals_exact_and_monotonic(self, steps):
        """Guards against late counters of folded incarnations that count again."""
        naive, ledger, sent, incarnation = NaiveLedger(), ServiceLedger(), [], 0
        for step in steps:
            before = ledger.totals()
            match step:
                case ("serve", organisation, units):
                    total = ledger.add("x", incarnation, organisation, float(units))
                    naive.merge("x", incarnation, organisation, total)
                    sent.append(ServiceCounter("x", incarnation, organisation, total))
                case ("restart",):
                    incarnation += 1
                case ("repeat", index) if sent:
                    ledger.merge(sent[index % len(sent)])
                case ("retire",):
                    # An owner that left comes back with a new incarnation.
                    ledger.retire("x")
                    incarnation += 1
            after = ledger.totals()
            self.assertTrue(all(after[name] >= before[name] for name in before))
            self.assertEqual(naive.totals(), after)
            self.assertLessEqual(len(ledger), 6)

    @given(
        st.lists(
            st.one_of(
                st.tuples(
                    st.just("serve"), st.sampled_from("xy"), st.integers(0, 1), UNITS
                ),
                st.tuples(st.just("restart"), st.sampled_from("xy")),
                st.tuples(st.just("retire"), st.sampled_from("xy"), st.integers(0, 1)),
                st.tuples(st.just("exchange"), st.integers(0, 1)),
            ),
            max_size=50,
        )
    )
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_replicas_that_forget_differently_agree_and_never_exceed_the_truth(
        self, steps
    ):
        """Guards against counters that count twice after folding or retiring."""
        ledgers, naive = (ServiceLedger(), ServiceLedger()), NaiveLedger()
        incarnations, served = {"x": 0, "y": 0}, dict.fromkeys("xy", 0.0)
        for step in steps:
            before = [ledger.totals().get("a", 0.0) for ledger in ledgers]
            match step:
                case ("serve", owner, replica, units):
                    served[owner] += units
                    counter = ServiceCounter(
                        owner, incarnations[owner], "a", served[owner]
                    )
                    ledgers[replica].merge(counter)
                    naive.merge(owner, counter.incarnation, "a", counter.units)
                case ("restart", owner):
                    incarnations[owner] += 1
                    served[owner] = 0.0
                case ("retire", owner, replica):
                    ledgers[replica].retire(owner)
                case ("exchange", replica):
                    ledgers[replica].merge_snapshot(ledgers[1 - replica].snapshot())
            for ledger, total in zip(ledgers, before, strict=True):
                truth = naive.totals().get("a", 0.0)
                self.assertTrue(total <= ledger.totals().get("a", 0.0) <= truth)
        for _ in range(2):
            ledgers[0].merge_snapshot(ledgers[1].snapshot())
            ledgers[1].merge_snapshot(ledgers[0].snapshot())
        self.assertEqual(ledgers[0].totals(), ledgers[1].totals())


class ServiceLedgerTest(testtools.TestCase):
    def test_negative_units_are_refused(self):
        """Guards against estimates that are counted and then taken back."""
        self.assertRaises(ValueError, ServiceLedger().add, "x", 0, "a", -1.0)

    def test_memory_of_retired_owners_is_bounded(self):
        """Guards against memory that grows with each replaced instance."""
        ledger = ServiceLedger()
        for number in range(ledger_module.RETIRED_OWNERS + 10):
            ledger.add(f"x{number}", 1, "a", 1.0)
            ledger.retire(f"x{number}")
        self.assertEqual(0, len(ledger))
        self.assertEqual(ledger_module.RETIRED_OWNERS + 10.0, ledger.totals()["a"])
        last = f"x{ledger_module.RETIRED_OWNERS + 9}"
        self.assertFalse(ledger.merge(ServiceCounter(last, 1, "a", 1.0)))
        self.assertIn(last, ledger.snapshot().retired)

    def test_owner_retired_elsewhere_is_dropped(self):
        """Guards against counters that only the aggregator that retires drops."""
        one, two = ServiceLedger(), ServiceLedger()
        for ledger in (one, two):
            ledger.add("x", 1, "a", 5.0)
        one.retire("x")
        two.merge_snapshot(one.snapshot())
        self.assertEqual(0, len(two))
        self.assertEqual({"a": 5.0}, two.totals())

    def test_old_incarnations_are_folded(self):
        """Guards against memory that grows with each restart."""
        ledger = ServiceLedger()
        for incarnation in range(50):
            ledger.add("x", incarnation, "a", 1.0)
        self.assertEqual(3, len(ledger))
        self.assertEqual(50.0, ledger.totals()["a"])

    def test_errors_are_normalised_and_sum_to_zero(self):
        """Guards against errors that inflate virtual times or ignore shares."""
        ledger, backlogged = ServiceLedger(), {"a", "b", "c"}
        shares = {"a": 2.0}
        self.assertEqual({"a": 0, "b": 0, "c": 0}, ledger.errors(shares, backlogged))
        for organisation, units in (("a", 12.0), ("b", 12.0), ("d", 500.0)):
            ledger.add("x", 1, organisation, units)
        errors = ledger.errors(shares, backlogged)
        self.assertEqual({"a": 0.0, "b": 6.0, "c": -6.0}, errors)


class ServiceLevelsTest(testtools.TestCase):
    def test_idle_time_gives_no_credit_and_debt_is_kept(self):
        """Guards against an error that grows while an organisation is idle."""
        levels, totals = ServiceLevels(), {"a": 0.0, "b": 0.0, "c": 0.0}
        levels.update(totals, {}, {"a", "b", "c"})
        totals["c"] += 100.0
        levels.update(totals, {}, {"a", "b"})
        totals["a"] += 40.0
        totals["b"] += 40.0
        levels.update(totals, {}, {"a", "b", "c"})
        errors = levels.errors(levels.mean)
        self.assertEqual(60.0, errors["c"] - errors["a"])
        levels.update(totals, {}, {"a", "b"})
        for _ in range(10):
            totals["a"] += 40.0
            totals["b"] += 40.0
            levels.update(totals, {}, {"a", "b"})
        self.assertEqual(2, len(levels))
        levels.update(totals, {}, {"a", "b", "c"})
        self.assertEqual(0.0, levels.errors(levels.mean)["c"])

    def test_debt_that_the_mean_has_just_passed_is_not_credit(self):
        """Guards against entering below the mean with a level that was still held."""
        levels, totals = ServiceLevels(), {"a": 0.0, "c": 0.0}
        levels.update(totals, {}, {"a", "c"})
        levels.update({"a": 0.0, "c": 60.0}, {}, {"a"})
        levels.update({"a": 500.0, "c": 60.0}, {}, {"a", "c"})
        self.assertEqual({"a": 0.0, "c": 0.0}, levels.errors(levels.mean))

    def test_aggregators_agree_when_one_missed_an_idle_time(self):
        """Guards against levels that differ between domains for good."""
        one, two = ServiceLevels(), ServiceLevels()
        for levels in (one, two):
            levels.update({}, {}, {"a", "b"})
        totals = {"a": 100.0}
        two.update(totals, {}, {"a"})
        for levels in (one, two):
            levels.update(totals, {}, {"a", "b"})
        one.merge(list(two.levels()), totals)
        one.update(totals, {}, {"a", "b"})
        self.assertEqual({"a": 0.0, "b": 0.0}, one.errors(one.mean))

    def test_new_aggregator_starts_without_errors(self):
        """Guards against a jump of all virtual times after a change of aggregator."""
        levels, generator = ServiceLevels(), random.Random(1)
        totals = {name: generator.uniform(0, 1e6) for name in "abc"}
        levels.update(totals, {}, set("abc"))
        self.assertEqual([0.0] * 3, list(levels.errors(levels.mean).values()))
        levels.update({"a": 1.0}, {}, set("abc"))
        self.assertEqual([0.0] * 3, list(levels.errors(levels.mean).values()))

    def test_partition_keeps_debt_and_gives_no_credit_for_idle_time(self):
        """Guards against aggregators that take a partition for idle time."""
        one, two = ServiceLevels(), ServiceLevels()
        totals = dict.fromkeys("abcd", 0.0)
        for levels in (one, two):
            levels.update(totals, {}, {"a", "b", "c"})
        # One side serves a; the other serves b and c, of which c pauses, and later d.
        one.update(totals | {"a": 900.0}, {}, {"a"})
        two.update(totals | {"b": 100.0}, {}, {"b"})
        two.update(totals | {"b": 200.0}, {}, {"b", "c", "d"})
        totals |= {"a": 900.0, "b": 200.0}
        for levels, other in ((one, two), (two, one)):
            levels.merge(list(other.levels()), totals)
        for levels in (one, two):
            levels.update(totals, {}, set("abcd"))
            errors = levels.errors(0.0)
            self.assertEqual({"a": 900.0, "b": 200.0, "c": 200.0, "d": 200.0}, errors)
