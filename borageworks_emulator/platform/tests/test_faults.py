"""Tests of the gateway while the store or other instances fail."""

import asyncio
from unittest import mock

import orjson
from testtools import TestCase

from borageworks.exceptions import StoreUnavailableError
from borageworks.platform.codec import PlatformCodec
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
    configuration,
    linked_fleet,
)
from borageworks_emulator.platform.store import StoreFault


def plain_endpoint(name):
    return EmulatedEndpoint(name, lambda _request: Behaviour(plain_body=True))


# `bounds.contact_ms` in the settings of the harness.
RECOVERY_GRACE_S = 3.0


async def wait_until(condition, timeout_s=6.0):
    """Wait until an async condition holds; return the seconds until then."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.timeout(timeout_s):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    return loop.time() - started


def configuration_without_route(version, name):
    body = configuration(version)
    body["routes"] = [route for route in body["routes"] if route["name"] != name]
    return body


class StoreFaultTest(TestCase):
    def run_scenario(self, scenario, **options):
        async def main():
            endpoints = {
                PLAIN_SERVICE: [plain_endpoint("i-1")],
                ENGINE_SERVICE: [EmulatedEndpoint("i-e")],
            }
            async with Harness(endpoints, **options) as harness:
                return await scenario(harness)

        return asyncio.run(main())

    def test_watch_that_began_in_a_disturbance_and_hears_nothing(self):
        """Guards against a change that waits for a watch call without a reply."""

        async def scenario(harness):
            harness.store.watches_hang = True
            calls = harness.store.calls["kv-watch"]
            # The watch call that waits is answered, the next one hangs.
            await harness.store.put("servers/other", b"")
            async with asyncio.timeout(5.0):
                while harness.store.calls["kv-watch"] == calls:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            harness.store.watches_hang = False
            await harness.configure(configuration_without_route(2, "book"))

            async def applied():
                return (await harness.send_request("/book/"))[0] == 404

            return await wait_until(applied)

        self.assertTrue(self.run_scenario(scenario) < RECOVERY_GRACE_S)

    def test_change_is_applied_after_each_kind_of_outage(self):
        """Guards against a watch that does not recover from a store fault."""

        async def scenario(harness):
            version = 1
            for fault in (StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT):
                harness.store.fault = fault
                await asyncio.sleep(0.5)
                self.assertEqual(200, (await harness.send_request("/look/"))[0])
                harness.store.fault = StoreFault.NONE
                version += 1
                await harness.configure(configuration_without_route(version, "book"))

                async def route_removed():
                    return (await harness.send_request("/book/"))[0] == 404

                await wait_until(route_removed)
                version += 1
                await harness.configure(configuration(version))

                async def route_restored():
                    return (await harness.send_request("/book/"))[0] == 200

                await wait_until(route_restored)

        self.run_scenario(scenario)

    def test_change_is_applied_after_compaction(self):
        """Guards against missing a change that compaction removed from the history."""

        async def scenario(harness):
            harness.store.fault = StoreFault.BUSY
            await asyncio.sleep(0.1)
            await harness.configure(configuration_without_route(2, "book"))
            await harness.store.compact()
            harness.store.fault = StoreFault.NONE

            async def route_removed():
                return (await harness.send_request("/book/"))[0] == 404

            return await wait_until(route_removed)

        self.assertTrue(self.run_scenario(scenario) < 4.0)

    def test_malformed_entries_do_not_affect_others(self):
        """Guards against malformed store entries that stop the gateway."""

        async def scenario(harness):
            for key in ("servers/i-9", "op/config", "borageworks/instances/x", "odd"):
                await harness.store.put(key, b"\xff{")
            await harness.store.put("servers/i-8", orjson.dumps({"state": 3}))
            await harness.wait_until_current()
            return (await harness.send_request("/look/"))[0]

        self.assertEqual(200, self.run_scenario(scenario))

    def test_unknown_and_revoked_keys_and_unknown_routes(self):
        """Guards against a wrong status for an unknown key, route or revoked key."""

        async def scenario(harness):
            statuses = [
                (await harness.send_request("/look/", Authorization="Token none"))[0],
                (await harness.send_request("/none/"))[0],
                (await harness.send_request("/open/", Authorization=""))[0],
            ]
            await harness.configure(
                configuration(2, tenants=[{"name": "workshop", "api_keys": ["new"]}])
            )

            async def revoked():
                return (await harness.send_request("/look/"))[0] == 401

            await wait_until(revoked)
            return statuses

        self.assertEqual([401, 404, 200], self.run_scenario(scenario))

    def test_expired_entries_are_used_for_a_while_after_an_outage(self):
        """Guards against refusing all requests after an outage of the store."""

        async def scenario(harness):
            # Entries expire after three missed heartbeats, so an outage in which they
            # expire is much longer than the pause between two watch calls.
            harness.store.fault = StoreFault.BUSY
            await asyncio.sleep(1.0)
            await harness.store.delete("servers/i-1")
            await asyncio.sleep(0.1)
            harness.store.fault = StoreFault.NONE
            await asyncio.sleep(1.2)
            status = (await harness.send_request("/look/"))[0]

            async def endpoint_removed():
                return (await harness.send_request("/look/"))[0] == 503

            await wait_until(endpoint_removed)
            return status

        self.assertEqual(200, self.run_scenario(scenario))

    def test_instance_without_the_store_gets_changes_from_another(self):
        """Guards against stale routes at an instance that cannot reach the store."""

        async def scenario(harness):
            async with Harness({}, name="edge-2", store=harness.store) as second:
                await harness.wait_until_linked(2)
                await second.wait_until_linked(2)

                # Only the second instance loses its connection to the store.
                async def fail(*_arguments):
                    raise StoreUnavailableError("store unreachable")

                patcher = mock.patch.object(second.platform_store, "_send", fail)
                patcher.start()
                self.addCleanup(patcher.stop)
                await asyncio.sleep(0.2)
                await harness.configure(configuration_without_route(2, "book"))

                async def route_removed():
                    return (await second.send_request("/book/"))[0] == 404

                return await wait_until(route_removed)

        self.assertTrue(self.run_scenario(scenario) < 4.0)

    def test_shutdown_finishes_streams_and_refuses_late_requests(self):
        """Guards against a shutdown that cuts running responses."""
        slow = EmulatedEndpoint(
            "i-e", lambda _request: Behaviour(events=50, event_interval_s=0.05)
        )

        async def main():
            endpoints = {PLAIN_SERVICE: [plain_endpoint("i-1")], ENGINE_SERVICE: [slow]}
            async with Harness(endpoints, grace_s=5) as harness:
                stopping = asyncio.create_task(harness.gateway.stop())
                await asyncio.sleep(0.1)
                early = await harness.send_request("/look/")
                ready = await harness.ready()
                await asyncio.sleep(0.9)
                running = asyncio.create_task(harness.send_request("/once/"))
                await asyncio.sleep(2.0)
                late = await harness.send_request("/once/")
                response = await running
                stopping.cancel()
                return early, ready, late, response

        early, ready, late, response = asyncio.run(main())
        self.assertEqual((200, "close"), (early[0], early[1]["Connection"]))
        self.assertFalse(ready)
        self.assertEqual(503, late[0])
        self.assertEqual((200, 50), (response[0], response[2].count(b"id:")))


class PlacementOwnerTest(TestCase):
    def test_instance_that_shuts_down_still_has_its_requests_placed(self):
        """Guards against a stopping instance that places without the owners."""

        async def main():
            endpoints = {
                PLAIN_SERVICE: [plain_endpoint("i-1")],
                ENGINE_SERVICE: [EmulatedEndpoint("i-e")],
            }
            async with (
                Harness(endpoints) as first,
                Harness({}, name="edge-2", store=first.store, grace_s=4) as second,
            ):
                await first.wait_until_linked(2)
                await second.wait_until_linked(2)
                for harness in (first, second):
                    # A link is opened by the first message that needs it.
                    for path in ("/look/", "/resume/"):
                        await harness.send_request(path)
                stopping = asyncio.create_task(second.gateway.stop())
                await asyncio.sleep(1.2)
                statuses = [(await second.send_request("/look/"))[0] for _ in range(5)]
                closed_links = second.metrics.value("peer_disconnections")
                stopping.cancel()
                return statuses, closed_links

        self.assertEqual(([200] * 5, 0), asyncio.run(main()))

    def test_two_instances_together_respect_the_slots(self):
        """Guards against instances that each fill all slots of an endpoint."""
        busy = EmulatedEndpoint("i-1", lambda _request: Behaviour(hang=True))

        async def main():
            endpoints = {
                PLAIN_SERVICE: [busy],
                ENGINE_SERVICE: [EmulatedEndpoint("i-e")],
            }
            async with (
                Harness(endpoints) as first,
                Harness({}, name="edge-2", store=first.store) as second,
            ):
                await first.wait_until_linked(2)
                await second.wait_until_linked(2)
                tasks = [
                    asyncio.create_task(harness.send_request("/book/"))
                    for harness in (first, second)
                    for _ in range(8)
                ]
                await asyncio.sleep(0.6)
                statuses = [task.result()[0] for task in tasks if task.done()]
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                return statuses

        statuses = asyncio.run(main())
        self.assertEqual((8, [503] * 8), (len(busy.runs), statuses))

    def test_lost_owner_does_not_stall_requests(self):
        """Guards against requests that wait for an owner that has stopped."""

        async def main():
            endpoints = {
                PLAIN_SERVICE: [plain_endpoint("i-1"), plain_endpoint("i-2")],
                ENGINE_SERVICE: [EmulatedEndpoint("i-e")],
            }
            async with (
                Harness(endpoints) as first,
                Harness({}, name="edge-2", store=first.store) as second,
            ):
                await first.wait_until_linked(2)
                await second.wait_until_linked(2)
                await first.send_request("/look/")
                await second.gateway.close()
                loop = asyncio.get_running_loop()
                started = loop.time()
                statuses = [(await first.send_request("/look/"))[0] for _ in range(4)]
                return statuses, loop.time() - started

        statuses, elapsed_s = asyncio.run(main())
        self.assertEqual([200] * 4, statuses)
        self.assertTrue(elapsed_s < 0.4, elapsed_s)


class LateRegistrationTest(TestCase):
    def test_record_that_ends_under_an_earlier_lease(self):
        """Guards against an instance that no other one sees until it restarts."""

        async def main():
            async with linked_fleet({}, 2) as (first, second):
                key = f"{PlatformCodec.own_prefix}instances/edge-2"
                # A late write had put the record under a lease that ends now.
                await first.store.delete(key)
                await first.wait_until(lambda: key in first.store.keys)
                await first.wait_until_linked(2)
                return second.metrics.value("registrations_lost")

        self.assertEqual(1, asyncio.run(main()))
