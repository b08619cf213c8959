"""Compares the dispatcher's running totals with recomputed ones over random events."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.placement.decisions import Placed, Refused
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.tests.builders import (
    endpoint,
    engine_dispatcher,
    engines,
    plain_dispatcher,
    prompt,
    work,
)

SETTINGS = settings(derandomize=True, deadline=None, max_examples=60)
STEP = st.tuples(
    st.sampled_from(("submit", "submit", "start", "end", "withdraw", "tick", "list")),
    st.integers(0, 1000),
    st.sampled_from((0.0, 0.001, 0.02, 0.3)),
)
OUTCOMES = tuple(WorkOutcome)


class RequestModel:
    """State of each request, from which totals are recomputed."""

    def __init__(self, dispatcher, names):
        self.dispatcher = dispatcher
        self.names = names
        self.now = 0.0
        self.submitted = {}
        self.waiting = []
        self.placed = {}
        self.started = set()
        self.refused = set()

    def apply(self, decisions):
        for decision in decisions:
            key = decision.key
            assert key in self.waiting, f"decision for {key}, which is not waiting"
            self.waiting.remove(key)
            match decision:
                case Placed(endpoint=name):
                    self.placed[key] = name
                case Refused():
                    self.refused.add(key)

    def step(self, kind, number, delay):
        self.now += delay
        match kind:
            case "submit":
                request_prompt = None
                if self.dispatcher.has_engines:
                    request_prompt = prompt(
                        own=number * 5,
                        shared=(number % 3) * 3000,
                        shared_id=f"s{number % 4}",
                    )
                request = work(
                    request_prompt,
                    f"o{number % 3}",
                    remaining_target_s=0.2 + number / 1000,
                )
                self.submitted[request.key] = request
                self.waiting.append(request.key)
                self.apply(self.dispatcher.submit(self.now, request))
            case "start" if self.placed:
                key = self.select(number)
                self.started.add(key)
                self.apply(self.dispatcher.start(self.now, key))
            case "end" if self.placed:
                key = self.select(number)
                del self.placed[key]
                outcome = OUTCOMES[number % len(OUTCOMES)]
                self.apply(self.dispatcher.end(self.now, key, outcome))
            case "withdraw" if self.waiting:
                key = self.waiting.pop(number % len(self.waiting))
                self.apply(self.dispatcher.withdraw(self.now, key))
            case "list":
                listed = self.names[number % 2 :]
                unlisted = {name for name in self.names if name not in listed}
                self.placed = {
                    k: n for k, n in self.placed.items() if n not in unlisted
                }
                service = "engines" if self.dispatcher.has_engines else "desk"
                entries = [endpoint(name, service, slots=3) for name in listed]
                self.apply(self.dispatcher.set_endpoints(self.now, entries))
            case _:
                self.apply(self.dispatcher.tick(self.now))

    def select(self, number):
        return sorted(self.placed)[number % len(self.placed)]


class DispatcherTotalsTest(TestCase):
    def check(self, model):
        dispatcher = model.dispatcher
        running = {
            key: name
            for name, state in dispatcher.endpoints.items()
            for key in state.running
        }
        self.assertEqual(model.placed, running)
        self.assertEqual(len(model.waiting), dispatcher.waiting)
        for state in dispatcher.endpoints.values():
            placed = list(state.running.values())
            uncached = [item.uncached_tokens for item in placed if not item.prefilled]
            # Engines prefill in order, so what precedes a started request is prefilled.
            started = [
                n for n, item in enumerate(placed) if item.started_at is not None
            ]
            for item in placed[: max(started, default=-1) + 1]:
                self.assertTrue(item.prefilled)
            self.assertEqual(sum(uncached), state.uncached_tokens)
            self.assertEqual(uncached, list(state.prefilling.values()))
            memory = sum(item.memory_tokens for item in state.running.values())
            self.assertEqual(memory, state.memory_tokens)
        tokens: Counter[str] = Counter()
        organisations: Counter[str] = Counter()
        for item in dispatcher._waiting:
            organisations[item.work.organisation] += 1
            if item.preferred is not None:
                tokens[item.preferred] += item.tokens
        self.assertEqual(dict(organisations), dispatcher._waiting.counts)
        waiting_tokens = {
            name: n for name, n in dispatcher._waiting.endpoint_tokens.items() if n
        }
        self.assertEqual({name: n for name, n in tokens.items() if n}, waiting_tokens)

    def run_steps(self, dispatcher, names, steps):
        model = RequestModel(dispatcher, names)
        for step in steps:
            model.step(*step)
            self.check(model)
        # All waiting requests are decided once their maximum wait has passed.
        for _ in range(4):
            model.step("tick", 0, 2.0)
        self.assertEqual([], model.waiting)

    @SETTINGS
    @given(st.lists(STEP, min_size=5, max_size=60))
    def test_totals_of_engines_match_their_requests(self, steps):
        """Guards against totals that diverge from the running and waiting requests."""
        names = [item.id for item in engines(3)]
        self.run_steps(engine_dispatcher(3, slots=3), names, steps)

    @SETTINGS
    @given(st.lists(STEP, min_size=5, max_size=60))
    def test_totals_of_plain_services_match_their_requests(self, steps):
        """Guards against slots that are never released."""
        self.run_steps(plain_dispatcher(3, slots=3), ["d0", "d1", "d2"], steps)
