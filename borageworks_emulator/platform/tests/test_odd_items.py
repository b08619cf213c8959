"""Tests of store items and reports that another writer left in an odd form."""

import asyncio
import json

import orjson
from testtools import TestCase

from borageworks_emulator.platform.endpoint import (
    Behaviour,
    EmulatedEndpoint,
    endpoint_entry,
)
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
)
from borageworks_emulator.platform.tests.test_faults import (
    configuration_without_route,
    wait_until,
)

REQUESTS = 12
DEPTH = 100_000
HUGE = 10**400


def odd_entries():
    """Return values of odd entries in the list of endpoints by the end of their key."""
    address = "127.0.0.1", 9
    entries = {
        "empty": b"",
        "no-text": b"\xff\xfe",
        "nested": b'{"service":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
        "nested-extra": b'{"service":"desk","x":' + b'{"a":' * DEPTH + b"1}",
        "list": b"[]",
        "nothing": b"null",
        "line\r\nX-Forged: 1": endpoint_entry(address, PLAIN_SERVICE),
        "sch\u00f6n \u2603": endpoint_entry(address, PLAIN_SERVICE),
        "": endpoint_entry(address, PLAIN_SERVICE),
    }
    changes: dict[str, dict[str, object]] = {
        "slots-huge": {"slots": HUGE},
        "slots-large": {"slots": 10**30},
        "slots-none": {"slots": 0},
        "slots-text": {"slots": "8"},
        "seq-huge": {"seq": HUGE},
        "seq-negative": {"seq": -1},
        "born-huge": {"born": HUGE},
        "born-large": {"born": 2**64},
        "port-large": {"address": "127.0.0.1:65536"},
        "port-none": {"address": "127.0.0.1:0"},
        "port-sign": {"address": "127.0.0.1:+80"},
        "port-score": {"address": "127.0.0.1:8_0"},
        "port-script": {"address": "127.0.0.1:\u0668\u0660"},
        "port-digits": {"address": "127.0.0.1:" + "9" * 5000},
        "host-name": {"address": "localhost:80"},
        "host-v6": {"address": "::1:80"},
        "state": {"state": "asleep"},
    }
    for name, change in changes.items():
        entry = orjson.loads(endpoint_entry(address, PLAIN_SERVICE))
        entries[name] = json.dumps({**entry, **change}).encode()
    return entries


class OddItemsTest(TestCase):
    def run_scenario(self, scenario):
        endpoints = {
            PLAIN_SERVICE: [
                EmulatedEndpoint("d-1", lambda _request: Behaviour(plain_body=True))
            ],
            ENGINE_SERVICE: [EmulatedEndpoint("e-1")],
        }

        async def main():
            async with Harness(endpoints) as harness:
                return await scenario(harness)

        return asyncio.run(main())

    async def statuses(self, harness):
        return [(await harness.send_request("/look/"))[0] for _ in range(REQUESTS)]

    def test_odd_entries_among_those_of_the_endpoints(self):
        """Guards against one entry that ends the process or what follows the store."""

        async def scenario(harness):
            for name, value in odd_entries().items():
                await harness.store.put(f"servers/{name}", value)
            await harness.wait_until_current()
            listed = set(harness.gateway._directory.endpoints)
            statuses = await self.statuses(harness)
            await harness.configure(configuration_without_route(2, "book"))

            async def applied():
                return (await harness.send_request("/book/"))[0] == 404

            await wait_until(applied)
            return listed, statuses

        listed, statuses = self.run_scenario(scenario)
        self.assertEqual({"d-1", "e-1"}, listed)
        self.assertEqual([200] * REQUESTS, statuses)

    def test_odd_items_of_the_gateway_itself(self):
        """Guards against a record or a secret that ends all instances."""
        record = {
            "instance": "edge-9",
            "domain": "d",
            "host": "127.0.0.1",
            "peer_port": 9,
            "relay_port": 9,
            "incarnation": 1,
        }
        odd_records = (
            b"",
            b"[" * DEPTH,
            orjson.dumps({**record, "peer_port": 70_000}),
            orjson.dumps({**record, "peer_port": -1}),
            orjson.dumps({**record, "host": "no address"}),
            orjson.dumps({**record, "instance": "edge-8"}),
            orjson.dumps({**record, "capacity": -1.0}),
            orjson.dumps(record)[:-1] + b',"capacity":1e999}',
            orjson.dumps(record)[:-1] + b',"capacity":NaN}',
            orjson.dumps(record)[:-1] + b',"incarnation":%d}' % HUGE,
        )

        async def scenario(harness):
            for number, value in enumerate(odd_records):
                key = f"borageworks/instances/edge-{9 if number else 7}"
                await harness.store.put(key, value)
                await harness.wait_until_current()
                known = dict(harness.gateway._instances.others)
                if known:
                    return value, known
            for secret in (b"", b"no hexadecimal digits", b"ab" * 65, b"\xff"):
                await harness.store.put("borageworks/link-key", secret)
                await harness.wait_until_current()
            return await self.statuses(harness)

        self.assertEqual([200] * REQUESTS, self.run_scenario(scenario))

    def test_secret_that_is_none_when_the_fleet_starts(self):
        """Guards against instances that never link since the secret is malformed."""

        async def scenario(harness):
            async with Harness({}, name="edge-2", store=harness.store) as second:
                await second.wait_until_linked(2)
                return second.gateway._fleet.linked

        async def main():
            harness = Harness({PLAIN_SERVICE: [], ENGINE_SERVICE: []})
            await harness.store.start()
            harness._owns_store = False
            await harness.store.put("borageworks/link-key", b"none")
            await harness.configure(configuration_without_route(1, "book"))
            try:
                async with harness:
                    return await scenario(harness)
            finally:
                await harness.store.stop()

        self.assertTrue(asyncio.run(main()))
