"""Tests of the service ledger and the fleet-wide virtual times."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.fair import ledger as ledger_module
from borageworks.fair.counter import ServiceCounter
from borageworks.fair.ledger import ServiceLedger
from borageworks.fair.tests.naive_ledger import NaiveLedger
from borageworks.fair.virtual_times import FleetVirtualTimes

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
OWNER_STEPS = st.lists(
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
    def test_any_order_and_repetition_gives_the_naive_totals(self, counters, generator):
        """Guards against merges that count twice or depend on their order."""
        naive, ledger, other = NaiveLedger(), ServiceLedger(), ServiceLedger()
        for counter in counters:
            naive.merge(
                counter.owner, counter.incarnation, counter.organisation, counter.units
            )
            ledger.merge(counter)
        shuffled = counters * 2
        generator.shuffle(shuffled)
        for counter in shuffled:
            other.merge(counter)
        self.assertEqual(naive.totals(), ledger.totals())
        self.assertEqual(naive.totals(), other.totals())
        for counter in ledger.counters():
            self.assertFalse(other.merge(counter))

    @given(OWNER_STEPS)
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_folding_keeps_totals_exact_and_monotonic(self, steps):
        """Guards against counting late counters of folded incarnations twice."""
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
                    # An owner that left returns with a new incarnation.
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
    def test_replicas_that_retire_owners_differently_agree_without_counting_twice(
        self, steps
    ):
        """Guards against service counted twice after folding or retiring."""
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
                served_units = naive.totals().get("a", 0.0)
                self.assertTrue(total <= ledger.totals().get("a", 0.0) <= served_units)
        for _ in range(2):
            ledgers[0].merge_snapshot(ledgers[1].snapshot())
            ledgers[1].merge_snapshot(ledgers[0].snapshot())
        self.assertEqual(ledgers[0].totals(), ledgers[1].totals())


class ServiceLedgerTest(testtools.TestCase):
    def test_negative_units_are_rejected(self):
        """Guards against adding an estimate and subtracting it later."""
        self.assertRaises(ValueError, ServiceLedger().add, "x", 0, "a", -1.0)

    def test_memory_of_retired_owners_is_bounded(self):
        """Guards against memory that grows with every instance replaced."""
        ledger = ServiceLedger()
        for number in range(ledger_module.MAX_RETIRED_OWNERS + 10):
            ledger.add(f"x{number}", 1, "a", 1.0)
            ledger.retire(f"x{number}")
        self.assertEqual(0, len(ledger))
        self.assertEqual(ledger_module.MAX_RETIRED_OWNERS + 10.0, ledger.totals()["a"])
        last = f"x{ledger_module.MAX_RETIRED_OWNERS + 9}"
        self.assertFalse(ledger.merge(ServiceCounter(last, 1, "a", 1.0)))
        self.assertIn(last, ledger.snapshot().retired)

    def test_owner_retired_elsewhere_is_dropped(self):
        """Guards against counters dropped only by the aggregator that retires them."""
        first, second = ServiceLedger(), ServiceLedger()
        for ledger in (first, second):
            ledger.add("x", 1, "a", 5.0)
        first.retire("x")
        second.merge_snapshot(first.snapshot())
        self.assertEqual(0, len(second))
        self.assertEqual({"a": 5.0}, second.totals())

    def test_old_incarnations_are_folded(self):
        """Guards against memory that grows with every restart."""
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


class FleetVirtualTimesTest(testtools.TestCase):
    def test_idle_time_gives_no_credit_and_debt_is_kept(self):
        """Guards against an error that grows while an organisation is idle."""
        virtual_times, totals = FleetVirtualTimes(), {"a": 0.0, "b": 0.0, "c": 0.0}
        virtual_times.update(totals, {}, {"a", "b", "c"})
        totals["c"] += 100.0
        virtual_times.update(totals, {}, {"a", "b"})
        totals["a"] += 40.0
        totals["b"] += 40.0
        virtual_times.update(totals, {}, {"a", "b", "c"})
        errors = virtual_times.errors(virtual_times.mean)
        self.assertEqual(60.0, errors["c"] - errors["a"])
        virtual_times.update(totals, {}, {"a", "b"})
        for _ in range(10):
            totals["a"] += 40.0
            totals["b"] += 40.0
            virtual_times.update(totals, {}, {"a", "b"})
        self.assertEqual(2, len(virtual_times))
        virtual_times.update(totals, {}, {"a", "b", "c"})
        self.assertEqual(0.0, virtual_times.errors(virtual_times.mean)["c"])

    def test_debt_that_the_mean_has_just_passed_is_not_credit(self):
        """Guards against entering below the mean at an old virtual time."""
        virtual_times, totals = FleetVirtualTimes(), {"a": 0.0, "c": 0.0}
        virtual_times.update(totals, {}, {"a", "c"})
        virtual_times.update({"a": 0.0, "c": 60.0}, {}, {"a"})
        virtual_times.update({"a": 500.0, "c": 60.0}, {}, {"a", "c"})
        self.assertEqual({"a": 0.0, "c": 0.0}, virtual_times.errors(virtual_times.mean))

    def test_aggregators_agree_when_one_missed_an_idle_period(self):
        """Guards against virtual times that stay different between domains."""
        first, second = FleetVirtualTimes(), FleetVirtualTimes()
        for virtual_times in (first, second):
            virtual_times.update({}, {}, {"a", "b"})
        totals = {"a": 100.0}
        second.update(totals, {}, {"a"})
        for virtual_times in (first, second):
            virtual_times.update(totals, {}, {"a", "b"})
        first.merge(list(second.records()), totals)
        first.update(totals, {}, {"a", "b"})
        self.assertEqual({"a": 0.0, "b": 0.0}, first.errors(first.mean))

    def test_new_aggregator_starts_without_errors(self):
        """Guards against a jump of all virtual times after a change of aggregator."""
        virtual_times, generator = FleetVirtualTimes(), random.Random(1)
        totals = {name: generator.uniform(0, 1e6) for name in "abc"}
        virtual_times.update(totals, {}, set("abc"))
        self.assertEqual(
            [0.0] * 3, list(virtual_times.errors(virtual_times.mean).values())
        )
        virtual_times.update({"a": 1.0}, {}, set("abc"))
        self.assertEqual(
            [0.0] * 3, list(virtual_times.errors(virtual_times.mean).values())
        )

    def test_partition_keeps_debt_and_gives_no_credit_for_idle_periods(self):
        """Guards against aggregators that mistake a partition for an idle period."""
        first, second = FleetVirtualTimes(), FleetVirtualTimes()
        totals = dict.fromkeys("abcd", 0.0)
        for virtual_times in (first, second):
            virtual_times.update(totals, {}, {"a", "b", "c"})
        # One side serves a, the other b and later also c, which was idle, and d.
        first.update(totals | {"a": 900.0}, {}, {"a"})
        second.update(totals | {"b": 100.0}, {}, {"b"})
        second.update(totals | {"b": 200.0}, {}, {"b", "c", "d"})
        totals |= {"a": 900.0, "b": 200.0}
        for virtual_times, other in ((first, second), (second, first)):
            virtual_times.merge(list(other.records()), totals)
        for virtual_times in (first, second):
            virtual_times.update(totals, {}, set("abcd"))
            errors = virtual_times.errors(0.0)
            self.assertEqual({"a": 900.0, "b": 200.0, "c": 200.0, "d": 200.0}, errors)
