"""Tests of requests that wait for memory and of those that end for them."""

import asyncio
import math
from unittest import mock

from testtools import TestCase

from borageworks.metrics import Metrics
from borageworks.receiving import body_budget
from borageworks.receiving.body_budget import BodyBudget
from borageworks.receiving.rejections import Rejections

MIB = 1_048_576


class Connection:
    """Connection of a caller that records whether it was reset."""

    peer = "192.0.2.1"
    unsent_bytes = 0

    def __init__(self):
        self.aborted = False

    def abort(self):
        """Record the reset."""
        self.aborted = True


def new_budget(memory_bytes=math.inf):
    """Return a budget of a process that holds nothing at rest."""
    metrics = Metrics()
    return BodyBudget(memory_bytes, 0.0, lambda: 0, Rejections(metrics), metrics)


class BodyBudgetTest(TestCase):
    def test_pause_is_noticed_before_the_timer(self):
        """Guards against closing callers for a pause that is not noticed yet."""
        pauses: list[float] = []

        async def main():
            metrics = Metrics()
            budget = BodyBudget(
                math.inf, 0.0, lambda: 0, Rejections(metrics), metrics, pauses.append
            )
            for now in (100.0, 100.1, 102.0):
                budget.detect_pause(now)

        asyncio.run(main())
        self.assertEqual([100.0, 102.0], pauses)

    def test_memory_at_rest_is_measured_under_load(self):
        """Guards against a limit that follows the start alone under constant load."""

        async def main():
            metrics = Metrics()
            rejections = Rejections(metrics)
            budget = BodyBudget(100 * MIB, None, lambda: 0, rejections, metrics)
            resident = 50 * MIB
            with mock.patch.object(body_budget, "resident_bytes", lambda: resident):
                budget._measure_rest()
                before = budget._account.limit_bytes
                with budget.open(Connection()) as allowance:
                    await allowance.take_request(MIB, announced=True)
                    resident = 61 * MIB
                    budget._observe(0.25)
                return before - budget._account.limit_bytes

        self.assertEqual(10 * MIB, asyncio.run(main()))

    def test_response_that_is_complete_before_it_is_ended(self):
        """Guards against resetting complete responses that are being delivered."""

        async def main():
            budget = new_budget(10 * MIB)
            first, second = Connection(), Connection()
            with budget.open(first) as large, budget.open(second) as small:
                large.begin_running()
                small.begin_running()
                assert await large.take_response(5 * MIB)
                waiting = asyncio.create_task(small.take_response(4 * MIB))
                await asyncio.sleep(0)
                was_ended = large.ended
                large.begin_sending()
                await waiting
                # The call that was scheduled when the response was chosen.
                await asyncio.sleep(0.01)
                return was_ended, large.ended, first.aborted

        with mock.patch.object(body_budget, "GIVE_WAY_S", 0.0):
            self.assertEqual((True, False, False), asyncio.run(main()))
