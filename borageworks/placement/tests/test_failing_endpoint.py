"""Tests of endpoints that fail all or some of what they get."""

import heapq
import random
from collections import Counter

from testtools import TestCase

from borageworks.placement.decisions import Placed, Refused
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.tests.builders import plain_dispatcher, work
from borageworks.placement.work import WorkKey

STEP_S = 0.005
MEAN_SERVICE_S = 0.055
FAILURE_S = 0.005
REQUESTS_PER_S = 185.0
SECONDS = 6.0


def serve(failing, failure_ratio, seed):
    """Return outcomes at each of three endpoints, and the refusals.

    Some of them close the connection of a part of the requests at once.
    """
    dispatcher = plain_dispatcher(count=3, slots=6)
    rng = random.Random(seed)
    ends: list[tuple[float, int, WorkKey, str, WorkOutcome]] = []
    outcomes: Counter[tuple[str, WorkOutcome]] = Counter()
    refused = 0
    for step in range(round(SECONDS / STEP_S)):
        now = step * STEP_S
        decisions = []
        while ends and ends[0][0] <= now:
            _, _, key, name, outcome = heapq.heappop(ends)
            outcomes[name, outcome] += 1
            decisions += dispatcher.end(now, key, outcome)
        if step % 4 == 0:
            decisions += dispatcher.tick(now)
        if rng.random() < REQUESTS_PER_S * STEP_S:
            decisions += dispatcher.submit(now, work(None, remaining_target_s=0.2))
        for decision in decisions:
            match decision:
                case Placed(key=key, endpoint=name) if (
                    name in failing and rng.random() < failure_ratio
                ):
                    end = now + FAILURE_S, WorkOutcome.DISCONNECTED
                case Placed(key=key, endpoint=name):
                    end = (
                        now + rng.expovariate(1.0 / MEAN_SERVICE_S),
                        WorkOutcome.SERVED,
                    )
                case Refused():
                    refused += 1
                    continue
            heapq.heappush(ends, (end[0], key[1], key, name, end[1]))
    return outcomes, refused


class FailingEndpointTest(TestCase):
    def test_endpoint_that_closes_every_connection_gets_few_requests(self):
        """Guards against an endpoint that looks idle as it fails all that it gets."""
        for seed in (1, 2, 3):
            outcomes, refused = serve({"d0"}, 1.0, seed)
            sent = sum(outcomes.values())
            failed = outcomes["d0", WorkOutcome.DISCONNECTED]
            self.assertTrue(failed <= 0.03 * sent, (failed, sent))
            self.assertTrue(refused <= 0.03 * sent, (refused, sent))

    def test_endpoints_that_lose_many_responses_stay_in_use(self):
        """Guards against a service that is left without endpoints by lost responses."""
        names = {"d0", "d1", "d2"}
        for seed in (1, 2, 3):
            outcomes, refused = serve(names, 0.4, seed)
            sent = sum(outcomes.values())
            self.assertTrue(refused <= 0.02 * sent, (refused, sent))
            for name in sorted(names):
                served = outcomes[name, WorkOutcome.SERVED]
                self.assertTrue(served >= 0.15 * sent, (name, outcomes))
