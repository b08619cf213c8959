"""Tests of placement's smaller parts, with naive twins where there is one."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.gateway.caller_request import Prompt, PromptPart
from borageworks.placement.memory_news import KeptPart, MemoryNews
from borageworks.placement.prompt_memory import PromptMemory
from borageworks.placement.reading_speed import ReadingSpeed
from borageworks.placement.retry_window import SAFETY, RetryWindow
from borageworks.placement.shards import (
    REMEMBERED_PARTS,
    HomeShards,
    shard_count,
    shard_of_endpoint,
)
from borageworks.placement.tests.builders import prompt

SETTINGS = settings(derandomize=True, deadline=None, max_examples=100)
PARTS = st.lists(
    st.tuples(st.sampled_from("abcdef"), st.integers(1, 50)), min_size=1, max_size=4
)


def described(parts):
    items = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Prompt("m", sum(tokens for _, tokens in parts), 1, items)


class PromptMemoryTest(TestCase):
    def test_matches_a_naive_list(self):
        """Guards against a wrong order of eviction or a wrong sum of tokens."""

        @SETTINGS
        @given(st.lists(PARTS, max_size=30))
        def check(prompts):
            memory = PromptMemory(120)
            kept: list[tuple[str, int]] = []
            for parts in prompts:
                memory.use(described(parts))
                for name, tokens in parts:
                    kept = [item for item in kept if item[0] != name]
                    kept.append((name, tokens))
                while sum(tokens for _, tokens in kept) > 120:
                    kept.pop(0)
                self.assertEqual(sum(tokens for _, tokens in kept), memory.tokens)
                for name, tokens in kept:
                    one = described([(name, tokens)])
                    self.assertEqual(tokens, memory.kept_tokens(one))

        check()

    def test_only_an_unbroken_beginning_counts(self):
        """Guards against counting parts behind one that has to be read."""
        memory = PromptMemory(1000)
        memory.use(described([("a", 10), ("c", 30)]))
        self.assertEqual(10, memory.kept_tokens(described([("a", 10), ("b", 5)])))
        found = memory.kept_tokens(described([("a", 10), ("b", 5), ("c", 30)]))
        self.assertEqual(10, found)

    def test_news_of_a_new_start_replace_everything(self):
        """Guards against memory of a former start of the engine."""
        memory = PromptMemory(1000)
        memory.apply(MemoryNews("1", 1, False, True, (KeptPart("a", 10, "m"),)))
        memory.apply(MemoryNews("2", 1, False, False, (KeptPart("b", 5, "m"),)))
        self.assertEqual(5, memory.tokens)
        memory.apply(MemoryNews("2", 2, False, False, (KeptPart("b", 0, "m"),)))
        self.assertEqual(0, memory.tokens)


class ReadingSpeedTest(TestCase):
    def test_learns_start_and_speed(self):
        """Guards against a fit that misses either coefficient."""
        speed = ReadingSpeed(10_000.0)
        for step in range(400):
            tokens = 500.0 * (step % 20)
            speed.record(tokens, 0.08 + tokens / 60_000)
        self.assertAlmostEqual(1 / 60_000, speed.seconds_per_token, delta=3e-6)
        self.assertAlmostEqual(0.08, speed.start_s, delta=0.02)

    def test_adopted_speed_is_the_start_of_further_learning(self):
        """Guards against a new owner that begins to learn from nothing."""
        speed = ReadingSpeed(10_000.0)
        self.assertFalse(speed.learned)
        speed.adopt(1 / 50_000, 0.1)
        self.assertTrue(speed.learned)
        self.assertAlmostEqual(1 / 50_000, speed.seconds_per_token, delta=1e-9)
        self.assertAlmostEqual(0.1, speed.start_s, delta=1e-9)

    def test_odd_samples_do_not_stop_traffic(self):
        """Guards against a fit that calls every engine useless."""
        speed = ReadingSpeed(10_000.0)
        for _ in range(50):
            speed.record(5000.0, 60.0)
        self.assertTrue(speed.seconds_per_token <= 8 / 10_000)


class RetryWindowTest(TestCase):
    def test_never_exceeds_the_budget_in_any_window(self):
        """Guards against a window that forgets retries too early."""

        @SETTINGS
        @given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=80))
        def check(steps):
            window = RetryWindow(10.0, 0.2, 20.0)
            now, requests, retries = 0.0, [], []
            for pause, is_request in steps:
                now += pause
                if is_request:
                    window.record_request(now)
                    requests.append(now)
                elif window.take(now, 4):
                    retries.append(now)
                recent = sum(1 for at in retries if at >= now - 10.0)
                asked = sum(1 for at in requests if at >= now - 10.0)
                # Requests that count for a retry may have left the window since.
                self.assertTrue(recent <= SAFETY * (0.2 * len(requests) + 5.0))
                if not is_request and retries and retries[-1] == now:
                    self.assertTrue(recent <= SAFETY * (0.2 * asked + 5.0) + 1e-9)

        check()

    def test_failures_of_one_organisation_leave_retries_to_others(self):
        """Guards against a budget that whoever fails first uses up for all."""
        window = RetryWindow(10.0, 0.2, 20.0)
        for number in range(100):
            window.record_request(0.01 * number, "failing" if number % 2 else "other")
        taken = sum(window.take(2.0, 4, "failing") for _ in range(100))
        allowed = SAFETY * (0.2 * 100 + 5.0)
        self.assertEqual(int(allowed / 2), taken)
        self.assertTrue(window.take(2.0, 4, "other"))

    def test_single_organisation_has_the_whole_budget(self):
        """Guards against retries that are kept for nobody."""
        window = RetryWindow(10.0, 0.2, 20.0)
        for number in range(100):
            window.record_request(0.01 * number, "only")
        taken = sum(window.take(2.0, 4, "only") for _ in range(100))
        self.assertEqual(int(SAFETY * (0.2 * 100 + 5.0)), taken)


class ShardsTest(TestCase):
    def test_every_endpoint_is_in_one_shard_and_shards_are_even(self):
        """Guards against endpoints that nobody places on, and lopsided shards."""
        names = [f"endpoint-{number}" for number in range(70)]
        shards = shard_count(len(names))
        self.assertEqual(5, shards)
        sizes = [0] * shards
        for name in names:
            sizes[shard_of_endpoint(name, shards)] += 1
        self.assertTrue(min(sizes) >= 5, sizes)

    def test_requests_with_one_first_part_have_one_home(self):
        """Guards against a shared part that is read in every shard."""
        homes = HomeShards(tuple(f"endpoint-{number}" for number in range(40)))
        self.assertEqual(3, homes.count)
        found = {homes.find(prompt(shared=10, about="x"), str(n)) for n in range(50)}
        self.assertEqual(1, len(found))
        spread = {
            homes.find(described([("opening", 5), (f"about-{n}", 9), ("own", 1)]), "")
            for n in range(50)
        }
        self.assertEqual({0, 1, 2}, spread)
        spread = {homes.find(prompt(), str(n)) for n in range(50)}
        self.assertEqual({0, 1, 2}, spread)

    def test_a_remembered_home_is_the_one_that_is_found(self):
        """Guards against homes that differ between instances."""
        names = tuple(f"endpoint-{number}" for number in range(40))
        homes = HomeShards(names)
        for n in range(REMEMBERED_PARTS + 50):
            homes.find(prompt(shared=10, about=f"x{n}"), "")
        for n in (0, 100, REMEMBERED_PARTS + 49):
            asked = prompt(shared=10, about=f"x{n}")
            self.assertEqual(HomeShards(names).find(asked, ""), homes.find(asked, ""))
