"""Tests of placement on endpoints that limit the requests a second that they take."""

from testtools import TestCase

from borageworks.placement.decisions import Placed, Refused
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.rate_limit import RateLimit
from borageworks.placement.tests.builders import (
    EngineSimulation,
    engine_dispatcher,
    plain_dispatcher,
    prompt,
    work,
)
from borageworks.placement.tests.test_load_patterns import run_load

WINDOW_S = 4.0
TICK_S = 0.02


def allowed(limit_per_s):
    """Return the most requests in a window, as the users state it."""
    return 1.5 * WINDOW_S * limit_per_s + 5


def most_in_window(times):
    """Return the most of some times that lie within a window."""
    return max(sum(at - WINDOW_S < t <= at for t in times) for at in times)


def run_flood(dispatchers, seconds, limits, *, every_s=0.02):
    """Submit plain requests to dispatchers in turn; return times by endpoint."""
    times: dict[str, list[float]] = {}
    step = 0
    while step * every_s < seconds:
        now = step * every_s
        dispatcher = dispatchers[step % len(dispatchers)]
        decisions = dispatcher.submit(now, work()) + dispatcher.tick(now)
        for decision in decisions:
            if isinstance(decision, Placed):
                times.setdefault(decision.endpoint, []).append(now)
                dispatcher.end(now, decision.key, WorkOutcome.SERVED)
        step += 1
    return {name: times.get(name, []) for name in limits}


class RateLimitTest(TestCase):
    def test_flood_of_requests_to_limited_endpoints(self):
        """Guards against more requests than an endpoint takes, for any limit."""
        limits = {"d0": 0.1, "d1": 2.0, "d2": 7.5}
        dispatcher = plain_dispatcher(3, slots=50)
        for name, limit_per_s in limits.items():
            dispatcher.set_limit(0.0, f"{name}/0", limit_per_s)
        times = run_flood([dispatcher], 20.0, limits)
        for name, limit_per_s in limits.items():
            most = most_in_window(times[name])
            self.assertTrue(most <= WINDOW_S * limit_per_s + 4, (name, most))
            self.assertTrue(len(times[name]) >= 0.9 * 20.0 * limit_per_s - 1, name)

    def test_instances_that_place_alone_keep_a_limit_together(self):
        """Guards against instances that each use the whole limit without an owner."""
        limits = {"d0": 3.0}
        dispatchers = [plain_dispatcher(1, slots=50) for _ in range(8)]
        for dispatcher in dispatchers:
            dispatcher.set_limit_ratio(0.0, 1 / 8)
            dispatcher.set_limit(0.0, "d0/0", 3.0)
        times = run_flood(dispatchers, 20.0, limits)["d0"]
        self.assertTrue(most_in_window(times) <= allowed(3.0), most_in_window(times))

    def test_new_owner_begins_without_unused_requests(self):
        """Guards against two owners that each place a burst during a handover."""
        dispatcher = plain_dispatcher(1, slots=50)
        dispatcher.set_limit(0.0, "d0/0", 4.0)
        dispatcher.restart_limits(10.0)
        placed = sum(
            isinstance(decision, Placed)
            for _ in range(10)
            for decision in dispatcher.submit(10.0, work(remaining_target_s=0.1))
        )
        self.assertEqual(0, placed)

    def test_refusal_tells_when_limits_allow_the_request(self):
        """Guards against callers that wait, or come back, before they can be served."""
        dispatcher = plain_dispatcher(2)
        for name in ("d0", "d1"):
            dispatcher.set_limit(0.0, f"{name}/0", 0.25)
        (refused,) = dispatcher.submit(0.0, work(remaining_target_s=0.6))
        self.assertIsInstance(refused, Refused)
        self.assertEqual(2.0, refused.retry_after_s)

    def test_limit_that_ends_or_changes(self):
        """Guards against requests held back by a limit that no longer holds."""
        dispatcher = plain_dispatcher(1, slots=50)
        dispatcher.set_limit(0.0, "d0/0", 0.1)
        self.assertIsInstance(dispatcher.submit(0.0, work())[0], Refused)
        dispatcher.set_limit(0.0, "d0/0", None)
        self.assertIsInstance(dispatcher.submit(0.0, work())[0], Placed)

    def test_limit_without_a_listed_incarnation(self):
        """Guards against a limit that a restarted endpoint has not stated."""
        dispatcher = plain_dispatcher(1)
        dispatcher.set_limit(0.0, "d0/77", 0.1)
        dispatcher.set_limit(0.0, "unknown/0", 0.1)
        self.assertIsInstance(dispatcher.submit(0.0, work())[0], Placed)

    def test_tokens_after_a_change_of_the_fraction(self):
        """Guards against tokens that were earned with a larger fraction."""
        limit = RateLimit(0.0, 100.0, 1.0)
        self.assertEqual(50.0, limit.tokens(10.0))
        limit.configure(10.0, 100.0, 0.1)
        self.assertEqual(5.0, limit.tokens(10.0))
        self.assertEqual(0.0, limit.wait_s(10.0, 3))
        self.assertAlmostEqual(0.5, limit.wait_s(10.0, 9))


class RateLimitLoadTest(TestCase):
    def test_four_of_five_engines_in_need_under_mixed_prompts(self):
        """Load: most engines limit their rate while long and short prompts arrive.

        Guards against long prompts at the engine without a limit, which it prefills
        instead of many short ones.
        """
        simulation = EngineSimulation(
            engine_dispatcher(5, memory_tokens=444_000, slots=48)
        )
        for number in range(1, 5):
            simulation.dispatcher.set_limit(0.0, f"e{number}/0", 4.0)

        def arrivals(step):
            long = [work(prompt(own=4000, shared=12_000), "long")]
            short = [work(prompt(own=1000), "short")]
            return long * (step % 2) + short

        run_load(simulation, 15, arrivals)
        submitted = {"long": 150, "short": 300}
        for name, count in submitted.items():
            self.assertTrue(
                simulation.on_time.get(name, 0) >= 0.9 * count,
                (simulation.on_time, submitted),
            )

    def test_flood_beside_a_small_organisation_while_all_engines_are_in_need(self):
        """Load: all engines limit their rate while one organisation floods.

        Guards against refusing an organisation for requests of another one that come
        after its own in fair order.
        """
        simulation = EngineSimulation(engine_dispatcher(3, slots=48))
        for number in range(3):
            simulation.dispatcher.set_limit(0.0, f"e{number}/0", 2.0)

        def arrivals(step):
            flood = [work(prompt(own=500), "flood") for _ in range(2)]
            small = [work(prompt(own=500), "small")] if step % 20 == 0 else []
            return flood + small

        run_load(simulation, 20, arrivals)
        served = simulation.on_time.get("small", 0) + simulation.late.get("small", 0)
        self.assertTrue(served >= 0.9 * 20, (simulation.on_time, simulation.refused))

    def test_request_at_a_new_owner_while_all_engines_are_in_need(self):
        """Guards against parts of tokens at several limits counted as a whole one."""
        dispatcher = engine_dispatcher(2)
        for number in range(2):
            dispatcher.set_limit(0.0, f"e{number}/0", 1.0)
        now = 0.55
        decisions = dispatcher.submit(now, work(prompt(), remaining_target_s=0.3))
        while not decisions and now < 2.0:
            now += TICK_S
            decisions = dispatcher.tick(now)
        (decision,) = decisions
        self.assertIsInstance(decision, Placed)
