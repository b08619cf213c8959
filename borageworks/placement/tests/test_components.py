"""Tests of components of placement, some against naive implementations."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.gateway.caller_request import Prompt, PromptPart
from borageworks.gateway.deployment import ServiceProfile
from borageworks.placement.cache_update import CachedPart, CacheUpdate
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.part_index import PartIndex
from borageworks.placement.prefill_speed import PrefillSpeed
from borageworks.placement.prompt_cache import PromptCache
from borageworks.placement.retry_window import SAFETY_RATIO, RetryWindow
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.shards import (
    MAX_CACHED_PARTS,
    ServiceShards,
    shard_count,
    shard_of_endpoint,
)
from borageworks.placement.tests.builders import endpoint, prompt, work

SETTINGS = settings(derandomize=True, deadline=None, max_examples=100)
PARTS = st.lists(
    st.tuples(st.sampled_from("abcdef"), st.integers(1, 50)), min_size=1, max_size=4
)


def build_prompt(parts):
    items = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Prompt("m", sum(tokens for _, tokens in parts), 1, items)


class PromptCacheTest(TestCase):
    def test_matches_a_naive_list(self):
        """Guards against a wrong order of eviction or a wrong sum of tokens."""

        @SETTINGS
        @given(st.lists(PARTS, max_size=30))
        def check(prompts):
            cache = PromptCache(120, "e", PartIndex())
            expected: list[tuple[str, int]] = []
            for parts in prompts:
                cache.record_use(build_prompt(parts))
                for name, tokens in parts:
                    expected = [item for item in expected if item[0] != name]
                    expected.append((name, tokens))
                while sum(tokens for _, tokens in expected) > 120:
                    expected.pop(0)
                self.assertEqual(sum(tokens for _, tokens in expected), cache.tokens)
                for name, tokens in expected:
                    single_part = build_prompt([(name, tokens)])
                    self.assertEqual(tokens, cache.cached_tokens(single_part))

        check()

    def test_only_the_longest_prefix_counts(self):
        """Guards against counting cached parts behind an uncached one."""
        cache = PromptCache(1000, "e", PartIndex())
        cache.record_use(build_prompt([("a", 10), ("c", 30)]))
        self.assertEqual(10, cache.cached_tokens(build_prompt([("a", 10), ("b", 5)])))
        cached = cache.cached_tokens(build_prompt([("a", 10), ("b", 5), ("c", 30)]))
        self.assertEqual(10, cached)

    def test_update_after_a_restart_replaces_all_parts(self):
        """Guards against cached parts that outlive a restart of the engine."""
        cache = PromptCache(1000, "e", PartIndex())
        cache.apply(CacheUpdate("1", 1, False, True, (CachedPart("a", 10, "m"),)))
        cache.apply(CacheUpdate("2", 1, False, False, (CachedPart("b", 5, "m"),)))
        self.assertEqual(5, cache.tokens)
        cache.apply(CacheUpdate("2", 2, False, False, (CachedPart("b", 0, "m"),)))
        self.assertEqual(0, cache.tokens)


class PrefillSpeedTest(TestCase):
    def test_learns_start_and_speed(self):
        """Guards against a fit that is wrong in either coefficient."""
        speed = PrefillSpeed(10_000.0)
        for step in range(400):
            tokens = 500.0 * (step % 20)
            speed.record(tokens, 0.08 + tokens / 60_000)
        self.assertAlmostEqual(1 / 60_000, speed.seconds_per_token, delta=3e-6)
        self.assertAlmostEqual(0.08, speed.start_s, delta=0.02)

    def test_adopted_speed_replaces_the_prior(self):
        """Guards against a new owner that starts from the prior."""
        speed = PrefillSpeed(10_000.0)
        self.assertFalse(speed.learned)
        speed.adopt(1 / 50_000, 0.1)
        self.assertTrue(speed.learned)
        self.assertAlmostEqual(1 / 50_000, speed.seconds_per_token, delta=1e-9)
        self.assertAlmostEqual(0.1, speed.start_s, delta=1e-9)

    def test_outliers_do_not_stop_traffic(self):
        """Guards against outliers that make every engine look too slow."""
        speed = PrefillSpeed(10_000.0)
        for _ in range(50):
            speed.record(5000.0, 60.0)
        self.assertTrue(speed.seconds_per_token <= 8 / 10_000)

    def test_delays_that_known_prompts_do_not_explain(self):
        """Guards against placement that goes on overloading engines.

        With a queue that it does not know of, each response is late, whatever the
        length of its prompt. Taken for the start, this made prompts look free.
        """
        speed = PrefillSpeed(40_000.0)
        for step in range(400):
            tokens = 500.0 * (step % 20)
            speed.record(tokens, 0.08 + tokens / 60_000)
        calm_s = speed.seconds_per_token
        for step in range(200):
            speed.record(500.0 * (step % 20), 0.9 + 0.01 * (step % 7))
        self.assertTrue(speed.seconds_per_token > 2 * calm_s, speed.seconds_per_token)
        self.assertTrue(speed.start_s < 0.3, speed.start_s)
        for step in range(400):
            tokens = 500.0 * (step % 20)
            speed.record(tokens, 0.08 + tokens / 60_000)
        self.assertAlmostEqual(calm_s, speed.seconds_per_token, delta=0.2 * calm_s)


class RetryWindowTest(TestCase):
    def test_never_exceeds_the_budget_in_any_window(self):
        """Guards against a window that drops retries too early."""

        @SETTINGS
        @given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=80))
        def check(steps):
            window = RetryWindow(10.0, 0.2, 20.0)
            now, requests, retries = 0.0, [], []
            for delay_s, is_request in steps:
                now += delay_s
                if is_request:
                    window.record_request(now)
                    requests.append(now)
                elif window.take(now, 4):
                    retries.append(now)
                recent = sum(1 for at in retries if at >= now - 10.0)
                recent_requests = sum(1 for at in requests if at >= now - 10.0)
                # Requests that a retry was based on may have left the window since.
                self.assertTrue(recent <= SAFETY_RATIO * (0.2 * len(requests) + 5.0))
                if not is_request and retries and retries[-1] == now:
                    self.assertTrue(
                        recent <= SAFETY_RATIO * (0.2 * recent_requests + 5.0) + 1e-9
                    )

        check()

    def test_failures_of_one_organisation_leave_retries_to_others(self):
        """Guards against one failing organisation that uses up the whole budget."""
        window = RetryWindow(10.0, 0.2, 20.0)
        for number in range(100):
            window.record_request(0.01 * number, "failing" if number % 2 else "other")
        taken = sum(window.take(2.0, 4, "failing") for _ in range(100))
        allowed = SAFETY_RATIO * (0.2 * 100 + 5.0)
        self.assertEqual(int(allowed / 2), taken)
        self.assertTrue(window.take(2.0, 4, "other"))

    def test_single_organisation_has_the_whole_budget(self):
        """Guards against retries reserved for organisations that do not exist."""
        window = RetryWindow(10.0, 0.2, 20.0)
        for number in range(100):
            window.record_request(0.01 * number, "only")
        taken = sum(window.take(2.0, 4, "only") for _ in range(100))
        self.assertEqual(int(SAFETY_RATIO * (0.2 * 100 + 5.0)), taken)


class ShardsTest(TestCase):
    def test_every_endpoint_is_in_one_shard_and_shards_are_even(self):
        """Guards against endpoints without a shard, and uneven shards."""
        names = [f"endpoint-{number}" for number in range(560)]
        shards = shard_count(len(names))
        self.assertEqual(5, shards)
        sizes = [0] * shards
        for name in names:
            sizes[shard_of_endpoint(name, shards)] += 1
        self.assertTrue(min(sizes) >= 40, sizes)

    def test_requests_with_one_shared_part_have_one_shard(self):
        """Guards against a shared part that is prefilled in every shard."""
        shards = ServiceShards(tuple(f"endpoint-{number}" for number in range(320)))
        self.assertEqual(3, shards.count)
        found = {
            shards.find(prompt(shared=10, shared_id="x"), str(n)) for n in range(50)
        }
        self.assertEqual(1, len(found))
        spread = {
            shards.find(
                build_prompt([("opening", 5), (f"about-{n}", 9), ("own", 1)]), ""
            )
            for n in range(50)
        }
        self.assertEqual({0, 1, 2}, spread)
        spread = {shards.find(prompt(), str(n)) for n in range(50)}
        self.assertEqual({0, 1, 2}, spread)

    def test_cached_shard_matches_a_new_lookup(self):
        """Guards against shards of a request that differ between instances."""
        names = tuple(f"endpoint-{number}" for number in range(320))
        shards = ServiceShards(names)
        for n in range(MAX_CACHED_PARTS + 50):
            shards.find(prompt(shared=10, shared_id=f"x{n}"), "")
        for n in (0, 100, MAX_CACHED_PARTS + 49):
            lookup = prompt(shared=10, shared_id=f"x{n}")
            self.assertEqual(
                ServiceShards(names).find(lookup, ""), shards.find(lookup, "")
            )


class SlotsTest(TestCase):
    def test_entry_with_more_slots_than_connections(self):
        """Guards against an odd entry that draws the requests of a whole service."""
        profile = ServiceProfile("desk", None, max_connections=6)
        dispatcher = Dispatcher(profile, PlacementSettings(), "a")
        members = [endpoint("odd", "desk", 60_000), endpoint("d", "desk", 6)]
        dispatcher.set_endpoints(0.0, members)
        for _ in range(8):
            dispatcher.submit(0.0, work())
        running = [len(state.running) for state in dispatcher.endpoints.values()]
        self.assertEqual([4, 4], running)
