"""Load pattern: callers whose refused requests leave idle connections behind."""

from testtools import TestCase

from borageworks.gateway.connection_limit import (
    MIN_IDLE_S,
    ConnectionLimit,
    max_caller_connections,
)


class ConnectionLimitTest(TestCase):
    def test_refused_callers_that_return_on_new_connections(self):
        """Guards against running out of descriptors through idle connections."""
        limit = ConnectionLimit[int](100)
        open_connections = set()
        for number in range(1000):
            now = number * 0.05
            closed = limit.open(now, number)
            open_connections.add(number)
            for connection in closed:
                open_connections.remove(connection)
            limit.begin_request(number)
            limit.end_request(now + 0.01, number)
            self.assertTrue(len(open_connections) <= 100)
        # The connections used last are the ones that callers use again.
        self.assertEqual(set(range(900, 1000)), open_connections)

    def test_connections_fit_into_descriptors_and_memory(self):
        """Guards against connections that fit into the descriptors only."""
        self.assertEqual(1_948, max_caller_connections(4_100, 0))
        self.assertEqual(1_948, max_caller_connections(4_100, 0, 10_000.0))
        self.assertEqual(100, max_caller_connections(4_100, 0, 180.0))
        self.assertEqual(1, max_caller_connections(0, 0, 0.0))

    def test_connections_with_requests_are_not_closed(self):
        """Guards against cutting accepted requests to make room for new ones."""
        limit = ConnectionLimit[int](10)
        for number in range(10):
            limit.open(0.0, number)
            limit.begin_request(number)
        self.assertEqual([], limit.open(2.0, 10))
        self.assertTrue(limit.full)
        limit.end_request(2.5, 3)
        self.assertEqual([10], limit.open(3.4, 11))
        self.assertEqual([3], limit.open(3.6, 12))

    def test_connections_whose_request_may_be_on_its_way_are_not_closed(self):
        """Guards against closing a new connection before its request arrives."""
        limit = ConnectionLimit[int](10)
        for number in range(30):
            self.assertEqual([], limit.open(number * 0.01, number))

    def test_bodies_that_waited_for_the_process(self):
        """Guards against closing all uploads after a pause of the process."""
        limit = ConnectionLimit[int](3)
        for number in range(3):
            limit.open(0.0, number)
            limit.begin_request(number)
            limit.begin_body(0.0, number)
        limit.record_pause(5.0)
        self.assertEqual([], limit.take_stalled(5.0))
        limit.record_progress(5.5, 0)
        self.assertEqual([1], limit.take_stalled(5.0 + MIN_IDLE_S))

    def test_callers_are_warned_before_the_limit(self):
        """Guards against closing connections that callers are about to use."""
        limit = ConnectionLimit[int](100)
        for number in range(75):
            limit.open(0.0, number)
        self.assertFalse(limit.closing)
        limit.open(0.0, 75)
        self.assertTrue(limit.closing)
        limit.close(75)
        self.assertFalse(limit.closing)

    def test_descriptors_of_endpoints_and_instances_are_reserved(self):
        """Guards against callers that use up the descriptors of other connections."""
        callers = max_caller_connections(4100, instances=195)
        self.assertTrue(2 * callers + 195 + 200 < 4100, callers)
        self.assertEqual(1, max_caller_connections(100, instances=195))

    def test_requests_that_stop_arriving_are_closed_first(self):
        """Guards against unfinished requests that use up the descriptors."""
        limit = ConnectionLimit[int](10)
        for number in range(18):
            limit.open(0.0, number)
            limit.begin_request(number)
            limit.begin_body(0.0, number)
        self.assertFalse(limit.accepts(0))
        self.assertEqual([], limit.take_stalled(0.5))
        for number in range(1, 18):
            limit.record_progress(0.9, number)
        self.assertEqual([0], limit.take_stalled(1.2))
        self.assertTrue(limit.accepts(0))
        self.assertFalse(limit.accepts(1))
        # Complete requests are running, so they are not closed.
        limit.end_body(17)
        self.assertEqual(list(range(1, 9)), limit.take_stalled(3.0))
        self.assertEqual(9, limit.count)

    def test_idle_connections_when_nothing_more_is_accepted(self):
        """Guards against connections without a request that keep all others out."""
        limit = ConnectionLimit[int](10)
        for number in range(18):
            limit.open(0.0, number)
        self.assertFalse(limit.accepts(0))
        self.assertEqual([], limit.take_idle(0.5))
        self.assertEqual(list(range(8)), limit.take_idle(1.0))
        self.assertTrue(limit.accepts(0))
