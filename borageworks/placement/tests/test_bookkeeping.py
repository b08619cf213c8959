"""Compares the dispatcher's running totals with naive ones, over random events."""

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


class Book:
    """What became of each request, kept without totals."""

    def __init__(self, dispatcher, names):
        self.dispatcher = dispatcher
        self.names = names
        self.now = 0.0
        self.works = {}
        self.waiting = []
        self.placed = {}
        self.started = set()
        self.refused = set()

    def take(self, decisions):
        for decision in decisions:
            key = decision.key
            assert key in self.waiting, f"{key} was decided twice"
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
                described = None
                if self.dispatcher.has_engines:
                    described = prompt(
                        own=number * 5,
                        shared=(number % 3) * 3000,
                        about=f"s{number % 4}",
                    )
                request = work(described, f"o{number % 3}", aim_s=0.2 + number / 1000)
                self.works[request.key] = request
                self.waiting.append(request.key)
                self.take(self.dispatcher.submit(self.now, request))
            case "start" if self.placed:
                key = self.pick(number)
                self.started.add(key)
                self.take(self.dispatcher.start(self.now, key))
            case "end" if self.placed:
                key = self.pick(number)
                del self.placed[key]
                outcome = OUTCOMES[number % len(OUTCOMES)]
                self.take(self.dispatcher.end(self.now, key, outcome))
            case "withdraw" if self.waiting:
                key = self.waiting.pop(number % len(self.waiting))
                self.take(self.dispatcher.withdraw(self.now, key))
            case "list":
                listed = self.names[number % 2 :]
                gone = {name for name in self.names if name not in listed}
                self.placed = {k: n for k, n in self.placed.items() if n not in gone}
                service = "engines" if self.dispatcher.has_engines else "desk"
                entries = [endpoint(name, service, slots=3) for name in listed]
                self.take(self.dispatcher.set_endpoints(self.now, entries))
            case _:
                self.take(self.dispatcher.tick(self.now))

    def pick(self, number):
        return sorted(self.placed)[number % len(self.placed)]


class BookkeepingTest(TestCase):
    def check(self, book):
        dispatcher = book.dispatcher
        running = {
            key: name
            for name, state in dispatcher.endpoints.items()
            for key in state.running
        }
        self.assertEqual(book.placed, running)
        self.assertEqual(len(book.waiting), dispatcher.waiting)
        for state in dispatcher.endpoints.values():
            unread = [
                item.unread_tokens
                for item in state.running.values()
                if item.started_at is None
            ]
            self.assertEqual(sum(unread), state.unread_tokens)
            self.assertEqual(unread, list(state.reading.values()))
            memory = sum(item.memory_tokens for item in state.running.values())
            self.assertEqual(memory, state.memory_tokens)
        tokens: Counter[str] = Counter()
        organisations: Counter[str] = Counter()
        for item in dispatcher._waiting.values():
            organisations[item.work.organisation] += 1
            if item.preferred is not None:
                tokens[item.preferred] += item.tokens
        self.assertEqual(dict(organisations), dispatcher._per_organisation)
        counted = {name: n for name, n in dispatcher._waiting_tokens.items() if n}
        self.assertEqual({name: n for name, n in tokens.items() if n}, counted)

    def play(self, dispatcher, names, steps):
        book = Book(dispatcher, names)
        for step in steps:
            book.step(*step)
            self.check(book)
        # Whoever still waits is decided once the time to wait has passed.
        for _ in range(4):
            book.step("tick", 0, 2.0)
        self.assertEqual([], book.waiting)

    @SETTINGS
    @given(st.lists(STEP, min_size=5, max_size=60))
    def test_totals_of_engines_are_those_of_their_requests(self, steps):
        """Guards against totals that drift from what runs and waits."""
        names = [item.id for item in engines(3)]
        self.play(engine_dispatcher(3, slots=3), names, steps)

    @SETTINGS
    @given(st.lists(STEP, min_size=5, max_size=60))
    def test_totals_of_plain_services_are_those_of_their_requests(self, steps):
        """Guards against slots that stay taken."""
        self.play(plain_dispatcher(3, slots=3), ["d0", "d1", "d2"], steps)
