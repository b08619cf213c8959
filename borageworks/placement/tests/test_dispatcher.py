"""Tests of single decisions of the dispatcher."""

from typing import Any
from unittest import mock

from testtools import TestCase

from borageworks.placement.cache_update import CachedPart, CacheUpdate
from borageworks.placement.decisions import Placed, RefusalReason, Refused
from borageworks.placement.endpoint_state import RECENT_START_S
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.tests.builders import (
    endpoint,
    engine_dispatcher,
    engines,
    plain_dispatcher,
    prompt,
    work,
)
from borageworks.routing.suspects import MAX_CRASHES


class DispatcherTest(TestCase):
    def placed(self, decisions):
        (decision,) = decisions
        self.assertIsInstance(decision, Placed)
        return decision.endpoint

    def test_requests_with_a_shared_part_go_to_one_engine(self):
        """Guards against prefilling a shared part on every engine."""
        dispatcher = engine_dispatcher()
        names = set()
        for step in range(6):
            request = work(prompt(shared=8000, own=100))
            names.add(self.placed(dispatcher.submit(step * 1.0, request)))
            dispatcher.start(step + 0.4, request.key)
        self.assertEqual(1, len(names))

    def test_messages_of_other_shards_look_at_no_waiting_request(self):
        """Guards against an owner whose work grows with messages times waiting."""
        dispatcher = plain_dispatcher(count=1, slots=1)
        for _ in range(4):
            dispatcher.submit(0.0, work(None))
        self.assertEqual(3, dispatcher.waiting)
        waiting: Any = dispatcher._waiting
        waiting.in_order = mock.Mock(wraps=waiting.in_order)
        unknown = work(None).key
        dispatcher.start(0.1, unknown)
        dispatcher.end(0.2, unknown, WorkOutcome.SERVED)
        dispatcher.withdraw(0.3, unknown)
        self.assertEqual(0, waiting.in_order.call_count)

    def test_requests_that_wait_select_their_engine_in_turn(self):
        """Guards against an owner that spends its time on selecting engines anew."""
        dispatcher = engine_dispatcher()
        for step in range(60):
            dispatcher.submit(step / 1000, work(prompt(own=4000), str(step % 3)))
        waiting = dispatcher.waiting
        self.assertTrue(waiting > 3, waiting)
        selector: Any = dispatcher._selector
        selector.select = mock.Mock(wraps=selector.select)
        for tick in range(5):
            dispatcher.tick(0.06 + tick * 0.02)
        self.assertTrue(waiting <= selector.select.call_count <= 2 * waiting)

    def test_update_of_an_engine_replaces_the_estimate(self):
        """Guards against placing by cached parts that the engine has evicted."""
        dispatcher = engine_dispatcher()
        first = work(prompt(shared=8000, own=100))
        first_engine = self.placed(dispatcher.submit(0.0, first))
        dispatcher.end(0.5, first.key, WorkOutcome.SERVED)
        other = next(name for name in dispatcher.endpoints if name != first_engine)
        dispatcher.apply_cache_update(
            first_engine, CacheUpdate("1", 5, False, True, ())
        )
        cached = (CachedPart("s", 8000, "m"),)
        dispatcher.apply_cache_update(other, CacheUpdate("1", 5, False, True, cached))
        second = work(prompt(shared=8000, own=100))
        self.assertEqual(other, self.placed(dispatcher.submit(1.0, second)))

    def test_leaving_and_excluded_engines_get_no_requests(self):
        """Guards against placing on endpoints that are leaving or are excluded."""
        dispatcher = engine_dispatcher()
        listed = [*engines(2), endpoint("e2", leaving=True)]
        dispatcher.set_endpoints(0.0, listed)
        for _ in range(8):
            request = work(prompt(own=10), excluded=frozenset(["e0"]))
            self.assertEqual("e1", self.placed(dispatcher.submit(0.0, request)))

    def test_without_engines_a_request_is_refused_at_once(self):
        """Guards against queueing requests that no endpoint can serve."""
        dispatcher = engine_dispatcher()
        dispatcher.set_endpoints(0.0, [])
        (decision,) = dispatcher.submit(0.0, work(prompt()))
        self.assertEqual(RefusalReason.NO_ENDPOINT, decision.reason)

    def test_unreachable_engine_is_suspended(self):
        """Guards against sending all requests to an engine that is down."""
        dispatcher = engine_dispatcher(count=2)
        first = work(prompt())
        unreachable = self.placed(dispatcher.submit(0.0, first))
        dispatcher.end(0.01, first.key, WorkOutcome.UNREACHABLE)
        selected = {
            self.placed(dispatcher.submit(0.02, work(prompt(own=1)))) for _ in range(4)
        }
        self.assertNotIn(unreachable, selected)

    def test_half_open_engine_gets_one_request(self):
        """Guards against sending all requests at once to an engine that may be down."""
        dispatcher = engine_dispatcher(count=1)
        first = work(prompt())
        dispatcher.submit(0.0, first)
        dispatcher.end(0.01, first.key, WorkOutcome.UNREACHABLE)
        (refused,) = dispatcher.submit(0.1, work(prompt()))
        self.assertIsInstance(refused, Refused)
        probe = work(prompt())
        self.placed(dispatcher.submit(5.0, probe))
        (refused,) = dispatcher.submit(5.0, work(prompt()))
        self.assertIsInstance(refused, Refused)
        dispatcher.end(5.1, probe.key, WorkOutcome.SERVED)
        self.placed(dispatcher.submit(5.2, work(prompt())))

    def test_restart_empties_the_cache(self):
        """Guards against cached parts that outlive a restart of the engine."""
        dispatcher = engine_dispatcher(count=1)
        request = work(prompt(shared=5000, own=10))
        dispatcher.submit(0.0, request)
        dispatcher.set_endpoints(1.0, [endpoint("e0", started_ms=7)])
        (state,) = dispatcher.endpoints.values()
        self.assertEqual((0, {}), (state.cache.tokens, state.running))
        (decision,) = dispatcher.submit(1.0, work(prompt(shared=5000, own=10)))
        self.assertEqual(5010, decision.uncached_tokens)

    def test_plain_requests_spread_and_wait_for_a_slot(self):
        """Guards against more requests at an endpoint than it has slots."""
        dispatcher = plain_dispatcher(count=2, slots=1)
        running = [work(remaining_target_s=0.2) for _ in range(2)]
        names = {self.placed(dispatcher.submit(0.0, item)) for item in running}
        self.assertEqual(2, len(names))
        waiting = work(remaining_target_s=0.2)
        self.assertEqual([], dispatcher.submit(0.0, waiting))
        (decision,) = dispatcher.end(0.03, running[0].key, WorkOutcome.SERVED)
        self.assertEqual(waiting.key, decision.key)

    def test_request_that_waits_too_long_is_refused(self):
        """Guards against queueing a request until its caller times out."""
        dispatcher = plain_dispatcher(count=1, slots=1)
        dispatcher.submit(0.0, work(remaining_target_s=0.2))
        waiting = work(remaining_target_s=0.2)
        dispatcher.submit(0.0, waiting)
        (decision,) = dispatcher.tick(0.25)
        self.assertEqual(RefusalReason.WAIT_TIMEOUT, decision.reason)
        self.assertEqual(0, dispatcher.waiting)

    def test_lost_instance_frees_its_slots(self):
        """Guards against slots that stay occupied by requests of a lost instance."""
        dispatcher = plain_dispatcher(count=1, slots=1)
        dispatcher.submit(0.0, work(instance="lost"))
        dispatcher.submit(0.0, work(instance="lost"))
        waiting = work(instance="other", remaining_target_s=2.0)
        dispatcher.submit(0.0, waiting)
        decisions = dispatcher.drop_instance(0.1, "lost")
        self.assertEqual([waiting.key], [decision.key for decision in decisions])

    def test_adopted_requests_occupy_slots(self):
        """Guards against a new owner that overloads busy endpoints."""
        dispatcher = plain_dispatcher(count=1, slots=1)
        dispatcher.adopt(0.0, work(), "d0", True)
        self.assertEqual([], dispatcher.submit(0.0, work()))

    def test_withdrawn_request_frees_its_slot(self):
        """Guards against slots that stay occupied after the caller disconnected."""
        dispatcher = plain_dispatcher(count=1, slots=1)
        placed, waiting = work(), work()
        dispatcher.submit(0.0, placed)
        dispatcher.submit(0.0, waiting)
        dispatcher.withdraw(0.0, waiting.key)
        dispatcher.withdraw(0.0, placed.key)
        self.assertEqual(0, dispatcher.waiting)
        self.placed(dispatcher.submit(0.0, work()))


class CrashTest(TestCase):
    def run_once(self, dispatcher, now, outcome, fingerprint=b"f", excluded=()):
        request = work(
            prompt(own=10), fingerprint=fingerprint, excluded=frozenset(excluded)
        )
        (decision,) = dispatcher.submit(now, request)
        if isinstance(decision, Placed):
            dispatcher.end(now, request.key, outcome)
        return decision

    def fail_at_three_endpoints(self, dispatcher, outcome=WorkOutcome.DISCONNECTED):
        names: list[str] = []
        for step in range(3):
            placed = self.run_once(dispatcher, step * 0.1, outcome, excluded=names)
            names.append(placed.endpoint)

    def test_request_that_crashes_three_endpoints_is_refused(self):
        """Guards against a request that crashes one endpoint after another."""
        dispatcher = engine_dispatcher(4)
        self.fail_at_three_endpoints(dispatcher)
        refused = self.run_once(dispatcher, 1.0, WorkOutcome.SERVED)
        self.assertEqual(RefusalReason.SUSPECTED, refused.reason)
        other = self.run_once(dispatcher, 1.0, WorkOutcome.SERVED, b"other")
        self.assertIsInstance(other, Placed)

    def test_error_responses_are_no_crashes(self):
        """Guards against taking error responses for crashes."""
        dispatcher = engine_dispatcher(4)
        self.fail_at_three_endpoints(dispatcher, WorkOutcome.FAILED)
        self.assertIsInstance(
            self.run_once(dispatcher, 1.0, WorkOutcome.SERVED), Placed
        )

    def test_success_clears_suspicion(self):
        """Guards against refusing a request for crashes that it did not cause."""
        dispatcher = engine_dispatcher(4)
        for step in range(6):
            outcome = WorkOutcome.SERVED if step % 2 else WorkOutcome.DISCONNECTED
            decision = self.run_once(dispatcher, step * 1.0, outcome)
            self.assertIsInstance(decision, Placed)


class DelayedReportTest(TestCase):
    def test_output_that_was_reported_late_is_no_sample_of_the_engines(self):
        """Guards against an overloaded instance that makes all engines look slow.

        Most requests of a flood start at the instance that it overloads. Their delays
        made placement refuse the requests of all others.
        """
        dispatcher = engine_dispatcher()
        expected_s = dispatcher.prefill_speed.first_token_s(1000)
        for number in range(200):
            request = work(prompt(own=1000))
            dispatcher.submit(float(number), request)
            dispatcher.start(number + 0.8, request.key, delayed=True)
            dispatcher.end(number + 0.9, request.key, WorkOutcome.SERVED)
        self.assertEqual(expected_s, dispatcher.prefill_speed.first_token_s(1000))
        for state in dispatcher.endpoints.values():
            self.assertEqual(1.0, state.slowdown(200.0))

    def test_adopted_request_is_no_sample_of_the_engines(self):
        """Guards against a new owner that takes its engines for faster than they are.

        A request that it takes over may start the moment after, although it was placed
        long before.
        """
        dispatcher = engine_dispatcher()
        expected_s = dispatcher.prefill_speed.first_token_s(1000)
        for number in range(100):
            request = work(prompt(own=1000))
            dispatcher.adopt(float(number), request, "e0", started=False)
            dispatcher.start(number + 0.001, request.key)
            dispatcher.end(number + 0.9, request.key, WorkOutcome.SERVED)
        self.assertEqual(expected_s, dispatcher.prefill_speed.first_token_s(1000))


class AdoptionTest(TestCase):
    def test_started_request_says_nothing_of_others_that_were_taken_over(self):
        """Guards against a new owner that believes its engines to be idle.

        Running requests are reported to it in any order, not in that in which they
        reached their engine.
        """
        dispatcher = engine_dispatcher(count=1)
        waiting, running = work(prompt(own=5000)), work(prompt(own=5000))
        dispatcher.adopt(0.0, waiting, "e0", started=False)
        dispatcher.adopt(0.0, running, "e0", started=True)
        (state,) = dispatcher.endpoints.values()
        self.assertEqual({waiting.key: 5000}, state.prefilling)
        later = work(prompt(own=500))
        dispatcher.adopt(0.0, later, "e0", started=False)
        dispatcher.start(0.1, later.key)
        self.assertEqual({waiting.key: 5000}, state.prefilling)


class CrashImplicationTest(TestCase):
    def end_at_each_engine(self, responding_s):
        """Break off a request with a shared part at each engine; try another one."""
        dispatcher = engine_dispatcher(count=MAX_CRASHES)
        now = 0.0
        for number in range(MAX_CRASHES):
            others = {f"e{n}" for n in range(MAX_CRASHES)} - {f"e{number}"}
            request = work(prompt(shared=100), excluded=frozenset(others))
            (placed,) = dispatcher.submit(now, request)
            self.assertEqual(f"e{number}", placed.endpoint)
            dispatcher.start(now + 0.1, request.key)
            now += 0.1 + responding_s
            dispatcher.end(now, request.key, WorkOutcome.DISCONNECTED)
            now += 1.0
        (decision,) = dispatcher.submit(now, work(prompt(shared=100)))
        return type(decision)

    def test_responses_that_break_off_midway_accuse_nobody(self):
        """Guards against refusing sound parts because several engines reset streams."""
        self.assertEqual(Placed, self.end_at_each_engine(2 * RECENT_START_S))

    def test_requests_that_break_off_as_they_start_are_implicated(self):
        """Guards against a part that crashes each engine which begins to respond."""
        self.assertEqual(Refused, self.end_at_each_engine(0.0))
