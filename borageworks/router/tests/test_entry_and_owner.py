"""Tests of the entry and owner sides under failures."""

import asyncio
from typing import Any

import testtools

from borageworks.exceptions import (
    OutcomeUnknownError,
    QueueTimeoutError,
    Ran,
    RequestSuspectedError,
)
from borageworks.router.tests.fake_network import FakeNetwork, replica_with


async def gather(*requests):
    return await asyncio.gather(*requests, return_exceptions=True)


class EntryAndOwnerTest(testtools.TestCase):
    def test_requests_complete_within_window_limits(self):
        """Guards against lost grants and against exceeding the concurrency window."""

        async def scenario():
            network = FakeNetwork(replica_with(3, window=2), "xyz")
            results = await gather(
                *(
                    network.run(instance, organisation, number)
                    for number in range(10)
                    for instance in "xyz"
                    for organisation in "abc"
                )
            )
            await asyncio.sleep(0.1)
            network.stop()
            self.assertEqual([None] * 90, results)
            self.assertEqual(90, len(set(network.endpoints.runs)))
            self.assertTrue(max(network.endpoints.peak_running.values()) <= 2)
            self.assertEqual(3, len(network.endpoints.peak_running))
            for instance in network.instances.values():
                self.assertEqual(0, instance.owner.grants_in_use)

        asyncio.run(scenario())

    def test_standing_slots_are_charged_and_returned(self):
        """Guards against uncharged use of standing slots, and slots never returned."""

        async def scenario():
            network = FakeNetwork(replica_with(1, window=8), "xy")
            owner = next(n for n in "xy" if network.instances[n].owner.owned)
            entry = "y" if owner == "x" else "x"
            await asyncio.sleep(0.4)
            for number in range(20):
                await network.run(entry, "ab"[number % 2], number)
            instance = network.instances[entry]
            self.assertTrue(instance.metrics.value("slots_reused") >= 15)
            served = network.instances[owner].owner.pools["p"].served
            # Usage is reported every second, and an idle slot is retained for 1 s.
            await asyncio.sleep(2.5)
            self.assertEqual(0, network.instances[owner].owner.grants_in_use)
            self.assertEqual({"a": 10.0, "b": 10.0}, served)
            self.assertEqual(0, instance.entry.standing)
            network.stop()

        asyncio.run(scenario())

    def test_standing_slots_are_recalled_for_waiting_requests(self):
        """Guards against idle slots at one entry while requests wait at another."""

        async def scenario():
            network = FakeNetwork(replica_with(1, window=4), "xy")
            await asyncio.sleep(0.4)
            await gather(*(network.run("x", "a", n) for n in range(4)))
            await gather(*(network.run("y", "b", n) for n in range(12)))
            self.assertEqual(4, network.endpoints.peak_running["e0"])
            network.stop()

        asyncio.run(scenario())

    def test_flood_does_not_starve_small_organisation(self):
        """Guards against first come first served between organisations."""

        async def scenario():
            network = FakeNetwork(replica_with(1, window=1), "x")
            flood = [asyncio.create_task(network.run("x", "a", n)) for n in range(60)]
            await asyncio.sleep(0.4)
            await network.run("x", "b", 0)
            order = [request for _, request in network.endpoints.runs]
            waited = len(order) - order.index("x-b-0")
            self.assertTrue(len(order) < 59, "flood requests were served first")
            self.assertTrue(waited <= 3, order)
            for task in flood:
                task.cancel()
            await gather(*flood)
            network.stop()

        asyncio.run(scenario())

    def test_lost_owner_demand_moves_to_other_owners(self):
        """Guards against requests that wait indefinitely for a dead owner."""

        async def scenario():
            network = FakeNetwork(replica_with(4, window=1), "xyz")
            tasks = [asyncio.create_task(network.run("x", "a", n)) for n in range(40)]
            await asyncio.sleep(0.35)
            lost = next(name for name in "yz" if network.instances[name].owner.owned)
            network.kill(lost)
            network.update_ownership("xyz".replace(lost, ""))
            self.assertEqual([None] * 40, await gather(*tasks))
            network.stop()

        asyncio.run(scenario())

    def test_ownership_moves_leak_no_slots(self):
        """Guards against slots counted twice or never freed after ownership moved."""

        async def scenario():
            network = FakeNetwork(replica_with(4, window=3), "xyz")

            async def run_slowly(endpoint, call):
                await asyncio.sleep(0.25)

            network.endpoints.behaviour = run_slowly
            tasks = [
                asyncio.create_task(network.run(name, "a", n))
                for n in range(30)
                for name in "xyz"
            ]
            await asyncio.sleep(0.33)
            for live in ("yz", "xyz", "xz", "xyz"):
                network.update_ownership(live)
                await asyncio.sleep(0.05)
            self.assertEqual([None] * 90, await gather(*tasks))
            await asyncio.sleep(2.5)
            network.stop()
            for instance in network.instances.values():
                self.assertEqual(0, instance.owner.grants_in_use)
                in_use = [o.window.in_use for o in instance.owner.owned.values()]
                self.assertEqual([0] * len(in_use), in_use)

        asyncio.run(scenario())

    def test_lost_entry_frees_its_slots(self):
        """Guards against slots that a dead entry instance never frees."""

        async def scenario():
            network = FakeNetwork(replica_with(1, window=2), "xy")
            owner = next(n for n in "xy" if network.instances[n].owner.owned)
            entry = "y" if owner == "x" else "x"

            async def hang(endpoint, call):
                if call.organisation == "a":
                    await asyncio.sleep(3600)

            network.endpoints.behaviour = hang
            hanging = [
                asyncio.create_task(network.run(entry, "a", n)) for n in range(2)
            ]
            await asyncio.sleep(0.5)
            self.assertEqual(2, network.instances[owner].owner.grants_in_use)
            network.kill(entry)
            await network.run(owner, "b", 0)
            for task in hanging:
                task.cancel()
            await gather(*hanging)
            network.stop()

        asyncio.run(scenario())

    def test_cancelled_requests_leave_no_state(self):
        """Guards against slots granted to cancelled requests."""

        async def scenario():
            network = FakeNetwork(replica_with(1, window=1), "xy")
            tasks = [asyncio.create_task(network.run("x", "a", n)) for n in range(20)]
            await asyncio.sleep(0.4)
            for task in tasks:
                task.cancel()
            await gather(*tasks)
            await network.run("y", "b", 0)
            await asyncio.sleep(0.1)
            for instance in network.instances.values():
                self.assertEqual(0, instance.owner.grants_in_use)
                self.assertEqual(0, instance.entry.waiting)
                self.assertEqual(0, instance.entry.calls)
            network.stop()

        asyncio.run(scenario())

    def test_queue_timeout_reports_not_run(self):
        """Guards against a refusal that does not state that the request did not run."""

        async def scenario():
            network = FakeNetwork(replica_with(0, queue_timeout_s=0.05), "x")
            (refusal,) = await gather(network.run("x", "a", 0))
            network.stop()
            self.assertIsInstance(refusal, QueueTimeoutError)
            self.assertEqual(Ran.NOT_RUN, refusal.ran)
            self.assertEqual([], network.endpoints.runs)

        asyncio.run(scenario())

    def test_requests_move_from_unreachable_endpoint(self):
        """Guards against failed requests while another endpoint has free slots."""

        async def scenario():
            network = FakeNetwork(replica_with(3), "x")
            network.endpoints.down.add("e0")
            results = await gather(*(network.run("x", "a", n) for n in range(20)))
            network.stop()
            failed = [r for r in results if r is not None]
            self.assertEqual([], failed)

        asyncio.run(scenario())

    def test_non_idempotent_request_is_not_retried_once_sent(self):
        """Guards against a second run after a lost response."""

        async def scenario():
            network = FakeNetwork(replica_with(2, idempotent=False), "x")
            network.endpoints.poison_body = b"poison"
            (refusal,) = await gather(network.run("x", "a", 0, b"poison"))
            network.stop()
            self.assertIsInstance(refusal, OutcomeUnknownError)
            self.assertEqual(Ran.UNKNOWN, refusal.ran)
            self.assertEqual(1, len(network.endpoints.runs))

        asyncio.run(scenario())

    def test_unsent_non_idempotent_request_is_retried(self):
        """Guards against refusing or repeating a request that was not sent."""

        async def scenario():
            network = FakeNetwork(replica_with(1, idempotent=False), "x")
            network.endpoints.down.add("e0")
            task = asyncio.create_task(network.run("x", "a", 0))
            await asyncio.sleep(0.5)
            self.assertFalse(task.done())
            network.endpoints.down.clear()
            await task
            network.stop()
            self.assertEqual([("e0", "x-a-0")], network.endpoints.runs)

        asyncio.run(scenario())

    def test_silent_endpoint_restart_ends_attempts(self):
        """Guards against waiting for an endpoint that restarted after a power loss."""

        async def scenario():
            network = FakeNetwork(replica_with(1, window=2), "xy")

            async def hang_in_first_incarnation(endpoint, call):
                if network.endpoints.incarnations[endpoint] == 0:
                    await asyncio.sleep(3600)

            network.endpoints.behaviour = hang_in_first_incarnation
            tasks = [asyncio.create_task(network.run(n, "a", 0)) for n in "xy"]
            await asyncio.sleep(0.5)
            self.assertEqual(2, len(network.endpoints.runs))
            network.endpoints.incarnations["e0"] += 1
            async with asyncio.timeout(10):
                await asyncio.gather(*tasks)
            network.stop()
            self.assertEqual(4, len(network.endpoints.runs))

        asyncio.run(scenario())

    def test_concurrent_copies_of_poison_request_crash_three_endpoints_at_most(self):
        """Guards against copies running in isolation on different endpoints."""

        async def scenario():
            network = FakeNetwork(replica_with(8, window=4), "xyz")
            network.endpoints.poison_body = b"poison"
            copies = []
            for number in range(6):
                name = "xyz"[number % 3]
                copies.append(
                    asyncio.create_task(network.run(name, "a", number, b"poison"))
                )
                await asyncio.sleep(0.2)
            results = await gather(*copies)
            network.stop()
            self.assertTrue(sum(network.endpoints.incarnations.values()) <= 3)
            self.assertNotIn(None, results)

        asyncio.run(scenario())

    def test_poison_request_crashes_three_endpoints_at_most(self):
        """Guards against one request crashing all endpoints or implicating others."""

        async def scenario():
            network = FakeNetwork(replica_with(6, window=4), "xyz")
            network.endpoints.poison_body = b"poison"
            poison_results: list[Any] = []
            for instance in "xyzxyz":
                other_requests = [
                    network.run(instance, "b", len(poison_results) * 100 + n)
                    for n in range(6)
                ]
                results = await gather(
                    network.run(instance, "a", len(poison_results), b"poison"),
                    *other_requests,
                )
                poison_results.append(results[0])
                self.assertEqual([None] * 6, results[1:])
            network.stop()
            self.assertTrue(sum(network.endpoints.incarnations.values()) <= 3)
            self.assertIsInstance(poison_results[-1], RequestSuspectedError)
            self.assertEqual(Ran.NOT_RUN, poison_results[-1].ran)

        asyncio.run(scenario())
