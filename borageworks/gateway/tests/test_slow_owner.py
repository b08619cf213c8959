"""Tests of owners that are slow, or that instances cannot reach."""

import asyncio
from functools import partial

from testtools import TestCase

from borageworks.catalog.tests.fleet import SimulatedLoop
from borageworks.gateway.tests.busy_fleet import BusyFleet
from borageworks.wire.messages import ShardOwner

INSTANCES = 16
ENGINES = 6
# What the engines prefill in a second, and what is sent in calm and in a burst.
CAPACITY_PER_S = 150.0
# An instance can decide a little more than the engines can do.
DECISION_S = 0.004
CALM = {"small": 15.0, "large": 45.0}
BURST = {"small": 30.0, "large": 240.0, "flood": 480.0}


def run(main):
    """Run a coroutine function on an event loop with simulated time."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main())


class SlowOwnerTest(TestCase):
    def test_owner_that_is_late_stays_the_owner(self):
        """Guards against an owner that works on a backlog and is taken for lost."""

        async def main():
            fleet = BusyFleet(INSTANCES, ENGINES)
            fleet.delays_s[fleet.owner] = 0.2
            await fleet.run(5.0, CALM)
            await fleet.drain()
            return fleet

        fleet = run(main)
        self.assertEqual((0, 0), (fleet.owner_changes, fleet.placed_alone))
        self.assertEqual({"in_time"}, set(fleet.results))

    def test_burst_beyond_what_the_owner_can_place(self):
        """Guards against a burst that overloads one owner after the other."""

        async def main():
            fleet = BusyFleet(INSTANCES, ENGINES)
            fleet.decision_s = DECISION_S
            await fleet.run(2.0, CALM)
            fleet.results.clear()
            await fleet.run(4.0, BURST)
            burst = dict(fleet.results)
            await fleet.run(1.0, CALM)
            await fleet.drain()
            changes = fleet.owner_changes, fleet.placed_alone
            fleet.results.clear()
            await fleet.run(4.0, CALM)
            await fleet.drain()
            return fleet, burst, changes

        fleet, burst, changes = run(main)
        self.assertEqual((0, 0), changes)
        self.assertTrue(burst["in_time"] > 0.7 * 4 * CAPACITY_PER_S, burst)
        self.assertEqual({"in_time"}, set(fleet.results))

    def test_engines_stay_busy_while_the_owner_is_late(self):
        """Guards against engines that idle until the owner knows what has begun."""

        async def main(delay_s, decision_s):
            fleet = BusyFleet(INSTANCES, ENGINES)
            fleet.delays_s[fleet.owner] = delay_s
            fleet.decision_s = decision_s
            await fleet.run(2.0, CALM)
            fleet.got.clear()
            fleet.results.clear()
            await fleet.run(4.0, BURST)
            return fleet

        for delay_s, decision_s in (0.1, 0.0), (0.2, 0.0), (0.0, DECISION_S):
            fleet = run(partial(main, delay_s, decision_s))
            served = fleet.got.total()
            self.assertTrue(served > 0.9 * 4 * CAPACITY_PER_S, (delay_s, served))
            in_time = fleet.results["in_time"]
            self.assertTrue(in_time > 0.9 * served, (delay_s, fleet.results))

    def test_refusals_in_a_burst_come_within_the_target_latency(self):
        """Guards against callers that are told too late to go elsewhere."""

        async def main():
            fleet = BusyFleet(INSTANCES, ENGINES)
            fleet.decision_s = DECISION_S
            await fleet.run(2.0, CALM)
            await fleet.run(4.0, BURST)
            await fleet.run(1.0, CALM)
            await fleet.drain()
            return fleet

        fleet = run(main)
        self.assertTrue(fleet.results["refused"] > 0, fleet.results)
        self.assertEqual(0, fleet.late_refusals)

    def test_organisations_beside_a_flood_at_an_overloaded_owner(self):
        """Guards against an owner's backlog that only the flood gets through."""

        async def main():
            fleet = BusyFleet(INSTANCES, ENGINES)
            fleet.decision_s = DECISION_S
            await fleet.run(2.0, CALM)
            fleet.got.clear()
            await fleet.run(6.0, BURST)
            return fleet.got

        got = run(main)
        asked = 6 * BURST["small"]
        self.assertTrue(got["small"] > 0.5 * asked, (got, asked))
        self.assertTrue(got["large"] > 0.5 * got["flood"], got)


class UnreachableOwnerTest(TestCase):
    def test_instances_that_place_alone_leave_room_at_the_engines(self):
        """Guards against instances that together place more than engines can do."""

        async def main():
            fleet = BusyFleet(INSTANCES, ENGINES)
            await fleet.run(2.0, CALM)
            fleet.engine_waits_s.clear()
            # No instance reaches another one.
            fleet.cut.update(fleet.names)
            await fleet.run(4.0, BURST)
            waits_s, fleet.engine_waits_s = fleet.engine_waits_s, []
            await fleet.drain()
            return waits_s

        waits_s = run(main)
        self.assertTrue(len(waits_s) > 0.5 * 4 * CAPACITY_PER_S, len(waits_s))
        late = sum(wait_s > 0.5 for wait_s in waits_s)
        self.assertTrue(late < 0.1 * len(waits_s), (late, len(waits_s)))

    def test_owner_that_is_cut_off_is_replaced(self):
        """Guards against requests that wait for an owner that cannot answer."""

        async def main():
            fleet = BusyFleet(INSTANCES, ENGINES)
            await fleet.run(1.0, CALM)
            fleet.cut.add(fleet.owner)
            await fleet.run(2.0, CALM)
            fleet.results.clear()
            await fleet.run(4.0, CALM)
            await fleet.drain()
            return fleet

        fleet = run(main)
        self.assertEqual(0, fleet.results["refused"] + fleet.results["left"])
        in_time, late = fleet.results["in_time"], fleet.results["late"]
        self.assertTrue(in_time > 9 * late, fleet.results)

    def test_owner_that_is_heard_but_receives_nothing(self):
        """Guards against a path that is cut one way, where no request is decided."""

        async def main():
            fleet = BusyFleet(INSTANCES, ENGINES)
            await fleet.run(1.0, CALM)
            fleet.deaf.add(fleet.owner)
            owner = fleet.placers[fleet.owner]
            for second in range(5):
                if second == 1:
                    fleet.results.clear()
                # The owner sends messages all the time.
                timers = [
                    asyncio.get_running_loop().call_later(
                        step / 50,
                        lambda: owner._fleet.broadcast(ShardOwner("none", 0, "none")),
                    )
                    for step in range(50)
                ]
                await fleet.run(1.0, CALM)
                for timer in timers:
                    timer.cancel()
            await fleet.drain()
            return fleet

        fleet = run(main)
        served = fleet.results["in_time"] + fleet.results["late"]
        self.assertTrue(served > 0.9 * fleet.results.total(), fleet.results)
