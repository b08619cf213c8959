"""Tests of requests that come back after a refusal."""

from testtools import TestCase

from borageworks.placement.decisions import Refused
from borageworks.placement.refused_requests import MAX_REMEMBERED, RefusedRequests
from borageworks.placement.tests.builders import plain_dispatcher, work


class RefusedRequestsTest(TestCase):
    def test_each_refusal_counts_for_one_return(self):
        """Guards against a flood of equal requests that counts as one request."""
        refused = RefusedRequests(lifetime_s=2.0)
        refused.record(0.0, b"a")
        refused.record(1.0, b"a")
        self.assertFalse(refused.take(1.0, b"b"))
        self.assertTrue(refused.take(1.0, b"a"))
        # The first refusal is forgotten, and the second one has been taken.
        self.assertFalse(refused.take(2.5, b"a"))
        refused.record(3.0, b"a")
        self.assertTrue(refused.take(4.9, b"a"))

    def test_requests_without_a_fingerprint_are_not_recognised(self):
        """Guards against taking all unnamed requests for the same one."""
        refused = RefusedRequests(lifetime_s=2.0)
        refused.record(0.0, b"")
        self.assertFalse(refused.take(0.1, b""))

    def test_what_is_remembered_is_bounded(self):
        """Guards against a flood of refusals that fills the memory of the owner."""
        refused = RefusedRequests(lifetime_s=60.0)
        for number in range(MAX_REMEMBERED + 10):
            refused.record(0.0, number.to_bytes(4))
        self.assertFalse(refused.take(0.0, (5).to_bytes(4)))
        self.assertTrue(refused.take(0.0, (15).to_bytes(4)))

    def test_a_request_that_comes_back_is_requested_once(self):
        """Guards against an organisation that looks larger the more it is refused."""
        dispatcher = plain_dispatcher(count=1, slots=1)
        dispatcher.submit(0.0, work(None, "first"))
        for number in range(3):
            request = work(None, "small", 0.01, fingerprint=b"small")
            now = 0.1 * (number + 1)
            decisions = dispatcher.submit(now, request) + dispatcher.tick(now + 0.05)
            self.assertIsInstance(decisions[-1], Refused)
        (amounts,) = (
            amounts
            for name, amounts in dispatcher.report_shares().organisations.items()
            if name == "small"
        )
        self.assertEqual(1.0, amounts.requested)
        self.assertEqual(3.0, amounts.refused_on_arrival + amounts.refused_after_wait)
