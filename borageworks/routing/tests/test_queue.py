"""Tests of the entry queue and its Retry-After."""

import testtools

from borageworks.config.settings import QueueSettings
from borageworks.exceptions import InstanceQueueFullError, OrganisationQueueFullError
from borageworks.routing.queue import EntryQueue
from borageworks.routing.waiting import WaitingRequest


def waiting(request_id, organisation="a", pool="p"):
    return WaitingRequest(request_id, pool, organisation, 0.0, 60.0)


class EntryQueueTest(testtools.TestCase):
    def test_serves_one_organisation_in_arrival_order(self):
        """Guards against a retried request losing its place to later ones."""
        queue = EntryQueue(QueueSettings())
        for number in (1, 2, 3):
            queue.add(0.0, waiting(number))
        first = queue.pop(0.0, "p", "a")
        assert first is not None
        queue.add_first(first)
        popped = [queue.pop(0.0, "p", "a") for _ in range(3)]
        self.assertEqual(
            [1, 2, 3], [request.request_id for request in popped if request]
        )
        self.assertIsNone(queue.pop(0.0, "p", "a"))

    def test_bounds_hold_per_organisation_and_in_total(self):
        """Guards against a flood of one organisation that fills the queue."""
        queue = EntryQueue(QueueSettings(per_organisation=2, total=3))
        queue.add(0.0, waiting(1))
        queue.add(0.0, waiting(2))
        self.assertRaises(OrganisationQueueFullError, queue.add, 0.0, waiting(3))
        queue.add(0.0, waiting(4, "b"))
        self.assertRaises(InstanceQueueFullError, queue.add, 0.0, waiting(5, "c"))
        queue.remove(2)
        queue.add(0.0, waiting(6))
        self.assertEqual(3, len(queue))

    def test_removed_requests_leave_no_state(self):
        """Guards against state that grows with every organisation."""
        queue = EntryQueue(QueueSettings(per_organisation=1))
        for number in range(100):
            queue.add(0.0, waiting(number, f"org-{number}"))
            queue.remove(number)
        self.assertEqual([], queue.keys())
        self.assertEqual(0, len(queue))

    def test_retry_after_follows_the_drain_rate(self):
        """Guards against a Retry-After that ignores the drain rate."""
        queue = EntryQueue(QueueSettings(per_organisation=40))
        now = 0.0
        number = 0
        for _ in range(400):
            while queue.waiting("p", "a") < 40:
                number += 1
                queue.add(now, waiting(number))
            queue.pop(now, "p", "a")
            now += 0.5
        number += 1
        queue.add(now, waiting(number))
        refusal = self.assertRaises(
            OrganisationQueueFullError, queue.add, now, waiting(number + 1)
        )
        # Half of the queue, 20 requests at 2 a second, drains in 10 s.
        self.assertTrue(8 <= (refusal.retry_after or 0) <= 12, refusal.retry_after)
