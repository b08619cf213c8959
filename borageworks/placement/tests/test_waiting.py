"""Tests of the requests that wait for an endpoint."""

from testtools import TestCase

from borageworks.placement.tests.builders import prompt, work
from borageworks.placement.waiting import WaitingQueue, WaitingWork


def waiting(organisation, own=1000):
    """Return a waiting request."""
    request = work(prompt(own=own), organisation)
    return WaitingWork(request, 0.0, 1.0, "e0", 0.0, own)


class WaitingQueueTest(TestCase):
    def test_a_new_request_waits_for_its_turn_only(self):
        """Guards against a wait for the whole queue of an organisation in front."""
        queue = WaitingQueue(1.0)
        for _ in range(30):
            queue.add(waiting("flood"))
        # The organisation has got one and a half requests more.
        queue.charge(0.0, "small", 1.5 * waiting("small").work.units)
        ahead = queue.ahead_of(0.0, waiting("small").work)
        self.assertEqual(["flood"] * 2, [item.work.organisation for item in ahead])

    def test_requests_of_an_organisation_follow_each_other(self):
        """Guards against several requests of one organisation in one turn."""
        queue = WaitingQueue(1.0)
        for _ in range(3):
            queue.add(waiting("first"))
        for _ in range(3):
            queue.add(waiting("second"))
        order = queue.in_order(0.0, queue)
        self.assertEqual(
            ["first", "second"] * 3, [item.work.organisation for item in order]
        )
