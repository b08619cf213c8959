"""Tests of requests that crash engines by a part that their prompts share."""

import asyncio
import itertools
from unittest import mock

from testtools import TestCase

from borageworks.gateway.crash_store import CRASHES_PREFIX
from borageworks.placement.work import PART_TRAIT_PREFIX
from borageworks.platform.codec import PlatformCodec
from borageworks.routing.rendezvous import rendezvous
from borageworks.routing.suspects import MAX_CRASHES
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import ENGINE_SERVICE, Harness

REFUSAL_MODULE = "borageworks.placement.trait_record"
ENGINES = 6
REQUESTS = 8
DEADLY_PART = "dead"
PART_TRAIT = PART_TRAIT_PREFIX + DEADLY_PART.encode()
# Time in which a restarted instance and another one open a link.
LINK_OPENING_S = 0.5
PROMPT_HEADER = "X-Borageworks-Prompt-Prefix"


def crashes(run):
    """Return whether a request contains the part that crashes engines."""
    return DEADLY_PART in run.headers[PROMPT_HEADER]


# Refusal after the verdict, shortened; the next one is eight times as long.
FIRST_REFUSAL_S = 0.5
RESTARTS = 2


class CrashingEngine(EmulatedEndpoint):
    """Engine that stops when it begins to respond to the deadly part."""

    def __init__(self, name):
        super().__init__(name, lambda request: Behaviour(hang=crashes(request)))
        self.on_run_started = self._crash
        self._crashing = None

    def _crash(self, run):
        if crashes(run):
            self._crashing = asyncio.get_running_loop().create_task(self.stop())


def engines():
    """Return running engines."""
    return [CrashingEngine(f"e-{number}") for number in range(ENGINES)]


def owners(count):
    """Return names of instances that place for the engines beside a gateway."""
    names = (f"edge-{number}" for number in itertools.count(2))
    key = f"{ENGINE_SERVICE}/0"
    owning = (n for n in names if rendezvous(key, ("edge-1", n)) == n)
    return list(itertools.islice(owning, count))


def verdict_keys(harness):
    """Return the keys of verdicts that the store holds."""
    prefix = f"{PlatformCodec.own_prefix}{CRASHES_PREFIX}"
    return [key for key in harness.store.keys if key.startswith(prefix)]


class CrashingPartTest(TestCase):
    numbers = itertools.count(1)

    async def send(self, harness, part):
        """Send a request unlike all others with a part, return the status."""
        number = next(self.numbers)
        status, *_ = await harness.send_request(
            "/resume/",
            body=f"{number}".encode(),
            X_Borageworks_Prompt_Prefix=f"aa:200,{part}:50,{number:x}:50",
        )
        return status

    def test_requests_that_share_only_a_part(self):
        """Guards against back ends that one kind of request crashes one by one."""

        async def main():
            listed = engines()
            async with Harness({ENGINE_SERVICE: listed}) as harness:
                sound = []
                for _ in range(REQUESTS):
                    await self.send(harness, DEADLY_PART)
                    sound.append(await self.send(harness, "bb"))
            return sound, [run for engine in listed for run in engine.runs]

        sound, runs = asyncio.run(main())
        self.assertEqual(MAX_CRASHES, sum(crashes(run) for run in runs))
        self.assertEqual([200] * REQUESTS, sound)

    def test_instance_that_did_not_place_the_crashing_requests(self):
        """Guards against crashes that each instance has to find out for itself."""

        async def main():
            listed = engines()
            async with Harness({ENGINE_SERVICE: listed}) as first:
                async with Harness({}, name="edge-2", store=first.store) as second:
                    await first.wait_until_linked(2)
                    await second.wait_until_linked(2)
                    for _ in range(REQUESTS):
                        await self.send(first, DEADLY_PART)
                    before = sum(crashes(run) for e in listed for run in e.runs)
                    known = [
                        PART_TRAIT in harness.gateway._placer._evidence.shared
                        for harness in (first, second)
                    ]
                # Started anew, it has to be told by the link that opens.
                async with Harness({}, name="edge-2", store=first.store) as second:
                    await second.wait_until_linked(2)
                    await self.send(second, "bb")
                    await asyncio.sleep(LINK_OPENING_S)
                    for _ in range(REQUESTS):
                        await self.send(second, DEADLY_PART)
                after = sum(crashes(run) for e in listed for run in e.runs)
            return before, known, after

        before, known, after = asyncio.run(main())
        self.assertEqual(
            (MAX_CRASHES, [True, True], MAX_CRASHES), (before, known, after)
        )

    def test_restarts_of_the_instances_that_place(self):
        """Guards against one more crashed engine after each restart of an instance."""

        async def main():
            listed = engines()
            async with Harness({ENGINE_SERVICE: listed}) as first:
                others = {
                    name: Harness({}, name=name, store=first.store)
                    for name in owners(2)
                }
                for harness in others.values():
                    await harness.__aenter__()
                try:
                    return await crashes_by_restart(first, others, listed)
                finally:
                    for harness in others.values():
                        await harness.__aexit__()

        async def crashes_after_requests(harness, listed):
            for _ in range(REQUESTS):
                await self.send(harness, DEADLY_PART)
            return sum(crashes(run) for engine in listed for run in engine.runs)

        async def crashes_by_restart(first, others, listed):
            await first.wait_until_linked(1 + len(others))
            counts = [await crashes_after_requests(first, listed)]
            await asyncio.sleep(FIRST_REFUSAL_S)
            counts.append(await crashes_after_requests(first, listed))
            for name in [*others] * RESTARTS:
                await others[name].__aexit__()
                others[name] = Harness({}, name=name, store=first.store)
                await others[name].__aenter__()
                await first.wait_until_linked(1 + len(others))
                await asyncio.sleep(FIRST_REFUSAL_S)
                counts.append(await crashes_after_requests(first, listed))
            return counts

        with mock.patch(f"{REFUSAL_MODULE}.FIRST_REFUSAL_S", FIRST_REFUSAL_S):
            counts = asyncio.run(main())
        self.assertEqual([MAX_CRASHES] + [MAX_CRASHES + 1] * (len(counts) - 1), counts)

    def test_loss_of_all_instances(self):
        """Guards against a verdict that ends as all instances restart at once."""

        async def main():
            listed = engines()
            async with Harness({ENGINE_SERVICE: listed}) as first:
                for _ in range(REQUESTS):
                    await self.send(first, DEADLY_PART)
                await first.wait_until(lambda: verdict_keys(first))
                await first.gateway.close()
                counts = [sum(crashes(run) for e in listed for run in e.runs)]
                async with Harness({}, name="edge-2", store=first.store) as second:
                    for _ in range(REQUESTS):
                        await self.send(second, DEADLY_PART)
                    counts.append(sum(crashes(run) for e in listed for run in e.runs))
                    evidence = second.gateway._placer.evidence
                    now = asyncio.get_running_loop().time()
                    evidence.clear(now, list(evidence.shared))
                    await second.wait_until(lambda: not verdict_keys(first))
                return counts

        self.assertEqual([MAX_CRASHES, MAX_CRASHES], asyncio.run(main()))

    def test_unreadable_items_of_the_store(self):
        """Guards against items of others that end the process or hide a verdict."""

        async def main():
            async with Harness({ENGINE_SERVICE: engines()}) as harness:
                key = f"{PlatformCodec.own_prefix}{CRASHES_PREFIX}"
                items = (b"", b"{}", b'{"trait":"x","crashes":[]}', b"[1]", b"\xff")
                for number, item in enumerate(items):
                    await harness.store.put(f"{key}{number}", item)
                await harness.wait_until_current()
                ready = await harness.ready()
                rejected = sum(
                    count
                    for (name, _), count in harness.metrics.counters.items()
                    if name == "crash_items_rejected"
                )
                return ready, rejected - len(items)

        self.assertEqual((True, 0), asyncio.run(main()))
