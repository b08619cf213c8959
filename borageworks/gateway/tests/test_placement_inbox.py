"""Tests of requests that an instance has no time to decide at once."""

import asyncio
import math

from testtools import TestCase

from borageworks.catalog.tests.fleet import SimulatedLoop
from borageworks.gateway.placement_inbox import (
    DECISIONS_PER_TURN,
    PlacementInbox,
    UndecidedRequest,
)
from borageworks.placement.tests.builders import work
from borageworks.timers import Timers

SHARD = "desk", 0


class PlacementInboxTest(TestCase):
    def run_inbox(self, main):
        """Run a function on an inbox; return the decided and the refused requests."""
        decided: list[str] = []
        refused: list[str] = []
        services = {"flood": 10.0, "small": 1.0}

        async def run():
            inbox = PlacementInbox(
                Timers(),
                lambda item: decided.append(item.work.organisation),
                lambda item: refused.append(item.work.organisation),
                lambda _now, _shard, name: (False, services.get(name, math.inf)),
            )
            main(inbox)
            await asyncio.sleep(1.0)
            return len(inbox)

        with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
            self.assertEqual(0, runner.run(run()))
        return decided, refused

    @staticmethod
    def add(inbox, organisation, count, arrived_at=1000.0):
        """Receive some requests of an organisation; return their keys."""
        requests = [work(None, organisation) for _ in range(count)]
        for request in requests:
            inbox.add(UndecidedRequest(SHARD, request, arrived_at))
        return [request.key for request in requests]

    def test_requests_of_an_iteration_that_exceed_a_turn(self):
        """Guards against a flood that is decided before all that came after it."""

        def main(inbox):
            self.add(inbox, "flood", 3 * DECISIONS_PER_TURN)
            self.add(inbox, "small", 2)

        decided, refused = self.run_inbox(main)
        flood = ["flood"] * DECISIONS_PER_TURN
        self.assertEqual([*flood, "small", "small", *flood, *flood], decided)
        self.assertEqual([], refused)

    def test_requests_that_waited_too_long(self):
        """Guards against decisions for callers that are about to give up."""

        def main(inbox):
            self.add(inbox, "flood", DECISIONS_PER_TURN)
            self.add(inbox, "flood", 2, arrived_at=990.0)
            self.add(inbox, "small", 1)

        decided, refused = self.run_inbox(main)
        self.assertEqual(["flood"] * DECISIONS_PER_TURN + ["small"], decided)
        self.assertEqual(["flood", "flood"], refused)

    def test_burst_of_requests_with_little_patience(self):
        """Guards against refusals of a burst that is decided within a moment."""

        def main(inbox):
            for _ in range(4 * DECISIONS_PER_TURN):
                request = work(None, "small", remaining_target_s=0.2)
                inbox.add(UndecidedRequest(SHARD, request, 999.95))

        decided, refused = self.run_inbox(main)
        self.assertEqual(4 * DECISIONS_PER_TURN, len(decided))
        self.assertEqual([], refused)

    def test_withdrawn_requests_and_those_of_a_lost_link(self):
        """Guards against decisions that nobody waits for any more."""

        def main(inbox):
            self.add(inbox, "flood", DECISIONS_PER_TURN)
            (key,) = self.add(inbox, "small", 1)
            self.assertTrue(inbox.withdraw(key))
            self.assertFalse(inbox.withdraw(key))
            self.add(inbox, "flood", 2)
            inbox.drop_instance("i")

        decided, _ = self.run_inbox(main)
        self.assertEqual(["flood"] * DECISIONS_PER_TURN, decided)
