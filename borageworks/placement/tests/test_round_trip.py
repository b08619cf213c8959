"""Tests of the time between the owner of a shard and other instances."""

from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from borageworks.placement.decisions import Placed
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.round_trip import RoundTrip
from borageworks.placement.tests.builders import engine_dispatcher, prompt, work

PREFILL_S = 0.05
TOKENS = 2000
REPORTED_AFTER_S = 0.25


def report_first_outputs(dispatcher, count):
    """Run requests one by one whose first outputs become known late."""
    now = 0.0
    for _ in range(count):
        request = work(prompt(own=TOKENS))
        dispatcher.submit(now, request)
        now += PREFILL_S + REPORTED_AFTER_S
        dispatcher.start(now, request.key, first_output_s=PREFILL_S)
        dispatcher.end(now, request.key, WorkOutcome.SERVED)
    return now


class RoundTripTest(TestCase):
    def test_limit_covers_what_varies(self):
        """Guards against decisions that arrive too late half of the time."""
        round_trip = RoundTrip()
        for step in range(100):
            round_trip.record(step * 0.01, 0.1 if step % 2 else 0.2)
        self.assertThat(round_trip.mean_s(0.99), LessThan(0.17))
        self.assertThat(round_trip.limit_s(0.99), GreaterThan(0.2))

    def test_estimate_without_samples_decays(self):
        """Guards against a former delay that has all requests refused for good."""
        round_trip = RoundTrip()
        for step in range(100):
            round_trip.record(step * 0.01, 1.0)
        self.assertThat(round_trip.mean_s(1.0), GreaterThan(0.9))
        self.assertThat(round_trip.limit_s(10.0), LessThan(0.01))

    def test_late_reports_do_not_make_engines_look_slow(self):
        """Guards against an owner that is late and blames the engines."""
        dispatcher = engine_dispatcher(1)
        now = report_first_outputs(dispatcher, 200)
        self.assertThat(dispatcher.prefill_speed.start_s, LessThan(PREFILL_S))
        first_token_s = dispatcher.prefill_speed.first_token_s(TOKENS)
        self.assertThat(first_token_s, LessThan(1.1 * PREFILL_S))
        self.assertThat(
            dispatcher.round_trip.mean_s(now), GreaterThan(0.9 * REPORTED_AFTER_S)
        )

    def test_prompts_queued_at_engines_cover_the_round_trip(self):
        """Guards against engines that idle until what has begun is known."""
        placed = []
        for count in 0, 20:
            dispatcher = engine_dispatcher(1)
            now = report_first_outputs(dispatcher, count)
            requests = [work(prompt(own=TOKENS)) for _ in range(20)]
            decisions = [dispatcher.submit(now, request) for request in requests]
            placed.append(
                sum(type(item) is Placed for [item] in filter(None, decisions))
            )
        self.assertThat(placed[1], GreaterThan(placed[0] + 2))
