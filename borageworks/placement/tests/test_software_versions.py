"""Tests of placement beside engines of several software versions."""

from testtools import TestCase

from borageworks.placement.decisions import Placed, Refused
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.selection import MAX_COMPARED_ENDPOINTS
from borageworks.placement.tests.builders import (
    endpoint,
    engine_dispatcher,
    prompt,
    work,
)


def bound(version, **changes):
    """Return a request that goes on with a stream of a version."""
    return work(prompt(), software_version=version, **changes)


class SoftwareVersionTest(TestCase):
    def dispatcher(self, **versions):
        """Return a dispatcher over so many engines of each version."""
        dispatcher = engine_dispatcher(0)
        dispatcher.set_endpoints(
            0.0,
            [
                endpoint(f"{version}-{number}", software_version=version, slots=2)
                for version, count in versions.items()
                for number in range(count)
            ],
        )
        return dispatcher

    def test_resumed_stream_among_many_engines_of_another_version(self):
        """Guards against a version that is missing among the engines compared."""
        dispatcher = self.dispatcher(new=2 * MAX_COMPARED_ENDPOINTS, old=1)
        # The only engine of the version is not among the least loaded ones.
        running = bound("old")
        dispatcher.submit(0.0, running)
        dispatcher.start(0.1, running.key)
        for _ in range(4):
            resumed = bound("old")
            (decision,) = dispatcher.submit(0.2, resumed)
            self.assertEqual("old-0", decision.endpoint)
            dispatcher.end(0.3, resumed.key, WorkOutcome.SERVED)

    def test_resumed_stream_whose_version_has_gone_is_refused_at_once(self):
        """Guards against a stream that waits for engines that no longer exist."""
        dispatcher = self.dispatcher(old=1, new=1)
        (refused,) = dispatcher.submit(0.0, bound("older"))
        self.assertIsInstance(refused, Refused)
        (refused,) = dispatcher.submit(0.0, bound(""))
        self.assertIsInstance(refused, Refused)
        for _ in range(2):
            dispatcher.submit(0.0, bound("old"))
        self.assertEqual([], dispatcher.submit(0.0, bound("old")))
        dispatcher.set_leaving("old-0/0")
        (refused,) = dispatcher.tick(0.02)
        self.assertIsInstance(refused, Refused)

    def test_resumed_streams_of_a_small_version_delay_no_new_ones(self):
        """Guards against a small version as a queue that new streams wait in."""
        dispatcher = self.dispatcher(old=1, new=2)
        for _ in range(4):
            dispatcher.submit(0.0, bound("old", organisation="resuming"))
        self.assertTrue(dispatcher.waiting)
        new = work(prompt(), organisation="beginning")
        (decision,) = dispatcher.submit(0.0, new)
        self.assertIsInstance(decision, Placed)

    def test_resumed_streams_of_one_version_are_served_in_fair_order(self):
        """Guards against one organisation that takes all of a version's engines."""
        dispatcher = self.dispatcher(old=1, new=2)
        flood = [bound("old", organisation="large") for _ in range(4)]
        for item in flood:
            dispatcher.submit(0.0, item)
        small = bound("old", organisation="small")
        self.assertEqual([], dispatcher.submit(0.0, small))
        (decision,) = dispatcher.end(0.05, flood[0].key, WorkOutcome.SERVED)
        self.assertEqual(small.key, decision.key)
