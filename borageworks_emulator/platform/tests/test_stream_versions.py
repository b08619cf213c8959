"""Tests that no stream is joined from engines of two software versions."""

import asyncio
import itertools
from contextlib import AsyncExitStack
from unittest import mock

from testtools import TestCase

from borageworks.exceptions import StoreUnavailableError
from borageworks.store.values import RangeResult
from borageworks_emulator.platform.endpoint import Behaviour, event_bytes
from borageworks_emulator.platform.harness import (
    API_KEY,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
    configuration,
    linked_fleet,
)
from borageworks_emulator.platform.resuming_caller import (
    allow_attempts,
    begin,
    bodies,
    breaking_engine,
    continuing_engine,
    engine,
    new_runs,
    receive,
    resumed_runs,
    stores,
    take_up,
    whole_stream,
)
from borageworks_emulator.platform.store import StoreFault

MAX_ATTEMPTS = 4
# A stream that cannot go on ends within this time, far below its deadline of 3 s.
AT_ONCE_S = 0.5
# Time in which the version of a stream is known to the store.
STORED_S = 1.5
# Time in which other instances know it.
SHARED_S = 0.3


def cut_off(stack, harness):
    """Let an instance reach neither the store nor other instances."""
    delay_news(stack, harness)
    unreachable = StoreUnavailableError("cut off")
    fleet, store = harness.gateway._fleet, harness.platform_store
    for patch in (
        mock.patch.object(store, "range", side_effect=unreachable),
        mock.patch.object(fleet, "send", return_value=False),
    ):
        stack.enter_context(patch)


def delay_news(stack, harness):
    """Let an instance get no news, but for what it asks the store for."""
    gateway = harness.gateway
    follower = gateway._follower
    apply = follower._apply_from_store

    def apply_ranges(update):
        if isinstance(update, RangeResult):
            apply(update)

    for part, name, replacement in (
        (follower, "_apply_from_store", apply_ranges),
        (follower, "apply_peer_update", mock.Mock()),
        (gateway._stream_store, "receive", mock.Mock()),
    ):
        stack.enter_context(mock.patch.object(part, name, replacement))


class StreamVersionTest(TestCase):
    def run_engines(self, engines, scenario, instances=1):
        async def main():
            services = {ENGINE_SERVICE: engines, PLAIN_SERVICE: []}
            async with linked_fleet(services, instances) as fleet:
                await allow_attempts(fleet[0], MAX_ATTEMPTS)
                async with asyncio.timeout(20.0):
                    return await scenario(fleet)

        return asyncio.run(main())

    def test_broken_stream_does_not_go_on_at_another_version(self):
        """Guards against an answer with events of two software versions."""
        new = [continuing_engine("e-2", "v2"), continuing_engine("e-3", "v2")]

        async def scenario(fleet):
            started_at = asyncio.get_running_loop().time()
            answers = [await receive(fleet[0]) for _ in range(4)]
            return answers, asyncio.get_running_loop().time() - started_at

        answers, taken_s = self.run_engines(
            [breaking_engine("e-1", "v1"), *new], scenario
        )
        self.assertEqual({event_bytes(0) + event_bytes(1)}, bodies(answers))
        self.assertEqual([], [run for emulated in new for run in emulated.runs])
        self.assertTrue(taken_s < 4 * AT_ONCE_S, taken_s)

    def test_broken_stream_goes_on_at_its_own_version(self):
        """Guards against streams that are cut beside an engine of their version."""
        old = [breaking_engine("e-1", "v1"), breaking_engine("e-2", "v1")]
        new = [continuing_engine("e-3", "v2"), continuing_engine("e-4", "v2")]

        async def scenario(fleet):
            return [await receive(fleet[0]) for _ in range(4)]

        answers = self.run_engines([*old, *new], scenario)
        self.assertEqual({whole_stream()}, bodies(answers))
        self.assertEqual([], [run for emulated in new for run in emulated.runs])

    def test_stream_without_an_event_begins_at_any_version(self):
        """Guards against retries that are bound before the caller has an event."""
        engines = [
            engine("e-1", "v1", lambda _request: Behaviour(reset_after_events=0)),
            engine("e-2", "v2"),
        ]

        async def scenario(fleet):
            return [await receive(fleet[0]) for _ in range(4)]

        answers = self.run_engines(engines, scenario)
        self.assertEqual({whole_stream()}, bodies(answers))


class ResumedStreamTest(TestCase):
    def setUp(self):
        super().setUp()
        self.old = [breaking_engine(f"old-{n}", "v1") for n in range(2)]
        self.new = [breaking_engine(f"new-{n}", "v2") for n in range(2)]
        for emulated in [*self.old, *self.new]:
            emulated.behaviour_of = lambda request: Behaviour(
                reset_after_events=None if "Resumes" in request.headers else 2
            )

    def run_scenario(self, scenario):
        async def main():
            async with AsyncExitStack() as stack:
                services = {ENGINE_SERVICE: [*self.old, *self.new], PLAIN_SERVICE: []}
                first = await stack.enter_async_context(Harness(services))
                async with asyncio.timeout(40.0):
                    return await scenario(first, stack)

        return asyncio.run(main())

    async def start(self, first, stack, name):
        return await stack.enter_async_context(
            Harness({}, name=name, store=first.store)
        )

    def check_versions(self, begun):
        """Check that each resumed run is at the version that began its stream."""
        attempts = {attempt for attempt, _ in begun}
        for same, other in ((self.old, self.new), (self.new, self.old)):
            self.assertEqual(
                set(), resumed_runs(same) & attempts & new_runs(other) - new_runs(same)
            )

    def test_streams_taken_up_at_another_instance(self):
        """Guards against a stream that a caller takes up at another version."""

        async def scenario(first, stack):
            second = await self.start(first, stack, "edge-2")
            for harness in (first, second):
                await harness.wait_until_linked(2)
            begun = await begin(first, 12)
            return begun, [await take_up(second, *stream) for stream in begun]

        begun, answers = self.run_scenario(scenario)
        self.check_versions(begun)
        self.assertEqual([(200, True)] * 12, answers)

    def test_streams_taken_up_after_all_instances_were_killed(self):
        """Guards against streams joined after all memory of them has been lost."""

        async def scenario(first, stack):
            begun = await begin(first, 12)
            await asyncio.sleep(STORED_S)
            begun += await begin(first, 6)
            await first.gateway.close()
            again = await self.start(first, stack, "edge-1")
            return begun, [await take_up(again, *stream) for stream in begun]

        begun, answers = self.run_scenario(scenario)
        self.check_versions(begun)
        self.assertEqual([(200, True)] * 12, answers[:12])
        self.assertEqual(set(), {*answers[12:]} - {(200, True), (503, False)})

    def test_streams_taken_up_after_their_instance_was_killed(self):
        """Guards against streams that only the instance which began them knows."""

        async def scenario(first, stack):
            others = [await self.start(first, stack, f"edge-{n}") for n in (2, 3)]
            for harness in (first, *others):
                await harness.wait_until_linked(3)
            begun = await begin(first, 8)
            first.store.fault = StoreFault.SILENT
            begun += await begin(first, 8)
            await asyncio.sleep(SHARED_S)
            await first.gateway.close()
            answers = []
            for number, stream in enumerate(begun):
                answers.append(await take_up(others[number % 2], *stream))
            return begun, answers

        begun, answers = self.run_scenario(scenario)
        self.check_versions(begun)
        self.assertEqual([(200, True)] * 16, answers)

    def run_release(self, fall_behind):
        """Take streams up at an instance that falls behind before a release.

        Return the streams and the answers.
        """
        new, self.new = self.new, []

        async def scenario(first, stack):
            await first.wait_until(lambda: stores(first, "software"))
            second = await self.start(first, stack, "edge-2")
            for harness in (first, second):
                await harness.wait_until_linked(2)
            await second.wait_until_current()
            shard = ENGINE_SERVICE, 0
            owner, behind = first, second
            if second.gateway._placer.owns(shard):
                owner, behind = second, first
            fall_behind(stack, behind)
            for emulated in new:
                await emulated.start()
                stack.push_async_callback(emulated.stop)
                await first.register(emulated, ENGINE_SERVICE)
            await owner.wait_until_current()
            self.new = new
            begun = await begin(owner, 12)
            return begun, [await take_up(behind, *stream) for stream in begun]

        return self.run_scenario(scenario)

    def test_streams_taken_up_where_a_release_is_not_known(self):
        """Guards against a guess of an instance that was just cut off or stood still.

        It does not know the version that has joined meanwhile, and has heard of the
        store a moment ago.
        """
        begun, answers = self.run_release(cut_off)
        self.assertTrue({attempt for attempt, _ in begun} & new_runs(self.new))
        self.check_versions(begun)
        self.assertEqual(set(), set(answers) - {(200, True), (503, False)})

    def test_streams_taken_up_where_a_release_is_known_late(self):
        """Guards against callers' requests that are read before the store's news."""
        begun, answers = self.run_release(delay_news)
        self.assertTrue({attempt for attempt, _ in begun} & new_runs(self.new))
        self.check_versions(begun)
        self.assertEqual(set(), set(answers) - {(200, True), (503, False)})

    def test_stream_taken_up_for_the_third_and_fourth_time(self):
        """Guards against a stream that is only known by its last attempt."""
        for emulated in [*self.old, *self.new]:
            emulated.behaviour_of = lambda request: Behaviour(reset_after_events=1)

        async def scenario(first, stack):
            second = await self.start(first, stack, "edge-2")
            for harness in (first, second):
                await harness.wait_until_linked(2)
                await allow_attempts(harness, 1)
            begun = await begin(first, 6)
            for attempt, events in begun:
                for taken in range(1, 4):
                    harness = (first, second)[taken % 2]
                    answer = await receive(
                        harness, Resumes=attempt, Last_Event_Id=str(events + taken - 2)
                    )
                    self.assertEqual(event_bytes(events + taken - 1), answer.body)
            return begun

        self.check_versions(self.run_scenario(scenario))

    def test_streams_that_cannot_be_told_are_refused_at_once(self):
        """Guards against guesses, and against others' streams that callers learn of."""

        async def scenario(first, stack):
            await first.configure(
                configuration(
                    2,
                    tenants=[
                        {"name": "workshop", "api_keys": [API_KEY]},
                        {"name": "other", "api_keys": ["key-2"]},
                    ],
                )
            )
            await first.wait_until_current()
            ((attempt, _),) = await begin(first, 1)
            started_at = asyncio.get_running_loop().time()
            odd = [
                await take_up(first, "unknown", 2),
                await take_up(first, "", 2),
                await take_up(first, "\u00e4" * 50, 2),
                await take_up(first, attempt, 2, Authorization="Token key-2"),
            ]
            unnamed = await receive(first, Last_Event_Id="1")
            taken_s = asyncio.get_running_loop().time() - started_at
            return odd, unnamed.status, taken_s, await take_up(first, attempt, 2)

        odd, unnamed, taken_s, sound = self.run_scenario(scenario)
        self.assertEqual([(503, False)] * 4, odd)
        self.assertEqual((503, (200, True)), (unnamed, sound))
        self.assertTrue(taken_s < 5 * AT_ONCE_S, taken_s)
        self.assertEqual(1, len(resumed_runs([*self.old, *self.new])))

    def test_request_that_names_a_stream_of_which_it_has_nothing(self):
        """Guards against new streams and other routes that `Resumes` holds up."""
        for emulated in [*self.old, *self.new]:
            emulated.behaviour_of = lambda _request: Behaviour()

        async def scenario(first, stack):
            begun = await receive(first, Resumes="unknown")
            other = await receive(first, "/once/", Resumes="unknown", Last_Event_Id="1")
            return begun.body, other.status

        self.assertEqual((whole_stream(), 200), self.run_scenario(scenario))

    def test_streams_of_a_service_with_one_version_are_always_taken_up(self):
        """Guards against streams refused after a kill of all without need."""
        self.new = []

        async def scenario(first, stack):
            await first.wait_until(lambda: stores(first, "software"))
            begun = await begin(first, 6)
            await first.gateway.close()
            again = await self.start(first, stack, "edge-1")
            stored = stores(first, "streams")
            return stored, [await take_up(again, *stream) for stream in begun]

        stored, answers = self.run_scenario(scenario)
        self.assertEqual((False, [(200, True)] * 6), (stored, answers))

    def test_stream_whose_version_has_gone_is_refused_at_once(self):
        """Guards against a caller that waits for engines which have been replaced."""

        async def scenario(first, stack):
            begun = await begin(first, 6)
            for emulated in self.old:
                await first.register(emulated, ENGINE_SERVICE, state="draining")
            await first.wait_until_current()
            started_at = asyncio.get_running_loop().time()
            answers = [await take_up(first, *stream) for stream in begun]
            return begun, answers, asyncio.get_running_loop().time() - started_at

        begun, answers, taken_s = self.run_scenario(scenario)
        self.check_versions(begun)
        new = new_runs(self.new)
        expected = [(200, True) if a in new else (503, False) for a, _ in begun]
        self.assertEqual(expected, answers)
        self.assertTrue(taken_s < 6 * AT_ONCE_S, taken_s)

    def test_stream_of_a_route_to_two_services(self):
        """Guards against a stream that is looked for at another service."""

        async def scenario(first, stack):
            for emulated in self.new:
                await first.register(emulated, PLAIN_SERVICE)
            changed = configuration(2)
            for route in changed["routes"]:
                if route["name"] == "resume":
                    del route["service"]
                    route["traffic_split"] = [
                        {"service": name, "weight": 1}
                        for name in (ENGINE_SERVICE, PLAIN_SERVICE)
                    ]
            await first.configure(changed)
            await first.wait_until_current()
            # Eight streams broken at one service would suspend both of its engines.
            turns = itertools.cycle((ENGINE_SERVICE, PLAIN_SERVICE))
            rng = first.gateway._frontend._rng
            with mock.patch.object(rng, "choices", lambda *_: [next(turns)]):
                begun = await begin(first, 10)
            self.assertEqual([5, 5], [len(new_runs(e)) for e in (self.old, self.new)])
            return begun, [await take_up(first, *stream) for stream in begun]

        begun, answers = self.run_scenario(scenario)
        self.check_versions(begun)
        self.assertEqual([(200, True)] * 10, answers)

    def test_engine_that_starts_again_with_other_software(self):
        """Guards against a stream that goes on where it was, at another version."""

        async def scenario(first, stack):
            begun = await begin(first, 8)
            for emulated in self.old:
                emulated.software_version = "v3"
                entry = emulated.entry(ENGINE_SERVICE)
                entry = entry.replace(b'"seq":1', b'"seq":1,"born":7')
                await first.store.put(f"servers/{emulated.name}", entry)
            await first.wait_until_current()
            return begun, [await take_up(first, *stream) for stream in begun]

        begun, _ = self.run_scenario(scenario)
        began_at_old = {attempt for attempt, _ in begun} & new_runs(self.old)
        self.assertEqual(set(), began_at_old & resumed_runs([*self.old, *self.new]))
