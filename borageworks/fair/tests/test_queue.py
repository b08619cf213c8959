"""Tests of the fair queue."""

from itertools import pairwise

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.fair.cost import CostEstimator
from borageworks.fair.heap import IndexedHeap
from borageworks.fair.queue import IDLE_RETENTION_S, FairQueue
from borageworks.fair.tests.naive_queue import NaiveQueue

ENTRIES = st.sampled_from(["e1", "e2", "e3"])
ORGANISATIONS = st.sampled_from(["a", "b", "c", "d"])
# Multiples of 1/4 and shares that are powers of two keep float sums exact.
UNITS = st.integers(-40, 120).map(lambda number: number / 4)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("demand"), ENTRIES, ORGANISATIONS, st.integers(0, 6)),
        st.tuples(st.just("take"), st.integers(0, 40)),
        st.tuples(st.just("charge"), ORGANISATIONS, UNITS),
        st.tuples(st.just("correct"), ORGANISATIONS, UNITS),
        st.tuples(st.just("drop"), ENTRIES),
        st.tuples(st.just("share"), ORGANISATIONS, st.sampled_from([0.5, 1.0, 4.0])),
        st.tuples(st.just("wait"), st.integers(1, 20)),
    ),
    max_size=120,
)


def take(queue):
    """Take a request from a queue that is not empty."""
    pick = queue.take(0.0)
    assert pick is not None
    return pick


class FairQueueDifferentialTest(testtools.TestCase):
    """Guards against a lazily updated heap that orders differently from a full scan."""

    @given(STEPS, st.sampled_from([2.0, 16.0, 1e9]))
    @settings(derandomize=True, deadline=None, max_examples=400)
    def test_same_picks_and_virtual_times_as_the_naive_queue(self, steps, limit):
        fair, naive, now = FairQueue(correction_range=limit), NaiveQueue(limit), 0.0
        for step in steps:
            match step:
                case ("demand", entry, organisation, waiting):
                    fair.set_demand(now, entry, organisation, waiting)
                    naive.set_demand(now, entry, organisation, waiting)
                case ("take", cost):
                    pick = fair.take(now)
                    self.assertEqual(naive.take(), pick)
                    if pick:
                        fair.charge(pick.organisation, cost / 4)
                        naive.charge(pick.organisation, cost / 4)
                case ("charge", organisation, units):
                    fair.charge(organisation, units)
                    naive.charge(organisation, units)
                case ("correct", organisation, delta):
                    fair.correct(organisation, delta)
                    naive.correct(organisation, delta)
                case ("drop", entry):
                    fair.remove_entry(entry)
                    naive.remove_entry(entry)
                case ("share", organisation, share):
                    fair.set_share(organisation, share)
                    naive.share[organisation] = share
                case ("wait", seconds):
                    # Stays below the retention; evicted state may differ afterwards.
                    now += seconds / 1000
            self.assertEqual(naive.backlogged(), fair.backlogged())
            for name in "abcd":
                self.assertEqual(naive.virtual_time(name), fair.virtual_time(name))

    @given(STEPS)
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_state_is_dropped_when_all_are_idle_without_debt(self, steps):
        fair = FairQueue()
        for step in steps:
            match step:
                case ("demand", entry, organisation, waiting):
                    fair.set_demand(0.0, entry, organisation, waiting)
                case ("take", cost) if pick := fair.take(0.0):
                    fair.charge(pick.organisation, cost / 4)
        while pick := fair.take(0.0):
            fair.charge(pick.organisation, 1.0)
        indebted = {
            name for name in "abcd" if fair.virtual_time(name) > fair.pool_virtual_time
        }
        fair.take(IDLE_RETENTION_S + 1)
        self.assertEqual(len(indebted), fair.account_count)


class FairQueueTest(testtools.TestCase):
    """Single cases of a queue of one owner."""

    def serve_all(self, queue, count, cost=lambda organisation: 1.0):
        """Take and charge `count` requests; return their organisations in order."""
        order = []
        for _ in range(count):
            pick = take(queue)
            queue.charge(pick.organisation, cost(pick.organisation))
            order.append(pick.organisation)
        return order

    def test_flood_starves_no_organisation(self):
        """Guards against an organisation that waits for another's whole backlog."""
        queue = FairQueue()
        queue.set_demand(0.0, "e", "flood", 100_000)
        self.serve_all(queue, 1000)
        for number in range(20):
            queue.set_demand(1.0, "e", f"small{number}", 5)
        order = self.serve_all(queue, 105)
        for number in range(20):
            turns = [i for i, name in enumerate(order) if name == f"small{number}"]
            self.assertEqual(5, len(turns))
            self.assertLessEqual(turns[0], 21)
            self.assertLessEqual(max(b - a for a, b in pairwise(turns)), 21)

    def test_service_follows_shares(self):
        """Guards against charges that are not divided by the share."""
        queue = FairQueue()
        queue.set_share("a", 3.0)
        for name in "ab":
            queue.set_demand(0.0, "e", name, 1000)
        self.serve_all(queue, 400)
        self.assertEqual(300, queue.service("a"))

    def test_idle_period_gives_no_credit(self):
        """Guards against a burst served exclusively after a long idle period."""
        queue = FairQueue()
        for name in "ab":
            queue.set_demand(0.0, "e", name, 1)
        self.serve_all(queue, 2)
        queue.set_demand(0.0, "e", "b", 5000)
        self.serve_all(queue, 1000)
        queue.set_demand(0.0, "e", "a", 5000)
        self.assertLessEqual(self.serve_all(queue, 100).count("a"), 51)

    def test_debt_outlasts_a_short_idle_period(self):
        """Guards against evading debt by withdrawing and renewing the demand."""
        queue = FairQueue()
        for name in "ab":
            queue.set_demand(0.0, "e", name, 1000)
        self.serve_all(queue, 2)
        queue.charge("a", 50.0)
        queue.set_demand(0.0, "e", "a", 0)
        queue.set_demand(0.0, "e", "a", 1000)
        self.assertEqual(["b"] * 50, self.serve_all(queue, 50))

    def test_late_refund_is_not_credit(self):
        """Guards against credit from a refund that arrives after an idle period."""
        queue = FairQueue()
        queue.set_demand(0.0, "e", "a", 1)
        self.serve_all(queue, 1, lambda _: 100.0)
        queue.set_demand(0.0, "e", "b", 1000)
        self.serve_all(queue, 200)
        queue.set_demand(0.0, "e", "a", 1000)
        queue.charge("a", -99.0)
        self.assertLessEqual(self.serve_all(queue, 20).count("a"), 11)

    def test_understated_hints_gain_no_service(self):
        """Guards against service gained by understating the cost of requests."""
        queue, estimator, slots = FairQueue(), CostEstimator(), []
        for name in ("honest", "cheap"):
            queue.set_demand(0.0, "e", name, 10_000)
        received = {"honest": 0.0, "cheap": 0.0}
        for _ in range(4000):
            pick = take(queue)
            hint = 1.0 if pick.organisation == "cheap" else 100.0
            estimate = estimator.estimate(pick.organisation, "s", hint)
            queue.charge(pick.organisation, estimate)
            slots.append((pick.organisation, estimate))
            if len(slots) == 8:
                ended, charged = slots.pop(0)
                queue.charge(ended, 100.0 - charged)
                estimator.observe(ended, "s", 100.0)
                received[ended] += 100.0
        self.assertLessEqual(received["cheap"] - received["honest"], 9 * 200.0)
        last = estimator.estimate("cheap", "s", 1.0)
        self.assertLess(abs(last - 100.0), 1.0)

    def test_entries_are_served_in_proportion_to_waiting_count(self):
        """Guards against an entry starved by another with more requests."""
        queue = FairQueue()
        queue.set_demand(0.0, "many", "a", 30)
        queue.set_demand(1.0, "few", "a", 10)
        entries = [take(queue).entry for _ in range(20)]
        self.assertTrue(4 <= entries.count("few") <= 6, entries)

    def test_equal_tags_are_served_by_waiting_time(self):
        """Guards against an entry that overtakes an equal one waiting for longer."""
        queue = FairQueue()
        queue.set_demand(2.0, "late", "a", 2)
        queue.set_demand(1.0, "early", "a", 2)
        self.assertEqual("early", take(queue).entry)

    def test_priority_changes_do_not_grow_the_heap(self):
        """Guards against outdated priorities that accumulate under frequent charges."""
        heap = IndexedHeap()
        for number in range(10_000):
            heap.set(f"o{number % 10}", (float(number),))
        self.assertLess(len(heap._heap), 200)
        self.assertEqual("o0", heap.peek())

    def test_share_must_be_positive(self):
        """Guards against a division by zero on the next charge."""
        self.assertRaises(ValueError, FairQueue().set_share, "a", 0.0)


class ServedOutOfOrderTest(testtools.TestCase):
    def test_service_out_of_order_does_not_delay_new_organisations(self):
        """Guards against a pool virtual time beyond that of waiting organisations."""
        queue = FairQueue()
        queue.charge("large", 1000.0)
        queue.set_demand(0.0, "e1", "waiting", 1)
        queue.record_service("large")
        queue.charge("waiting", 10.0)
        self.assertTrue(
            queue.virtual_time("new") < queue.virtual_time("waiting"),
            (queue.virtual_time("new"), queue.virtual_time("waiting")),
        )
