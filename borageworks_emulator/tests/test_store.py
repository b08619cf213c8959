"""Tests of the protocol of the emulated store."""

from __future__ import annotations

import asyncio
from base64 import b64encode

import aiohttp
import testtools

from borageworks_emulator.store import EmulatedStore


def base64_text(value: str) -> str:
    """Return a string in the base64 form of the gateway."""
    return b64encode(value.encode()).decode()


def put(key: str, **fields: str) -> dict[str, object]:
    """Return a put operation of a transaction."""
    return {"request_put": {"key": base64_text(key), **fields}}


class EmulatedStoreTest(testtools.TestCase):
    """Guards against tests that pass only because the emulator deviates from etcd."""

    def test_replies_match_the_gateway_format(self):
        async def run():
            store = EmulatedStore(history_events=4)
            await store.start()
            async with aiohttp.ClientSession(store.url) as session:

                async def call(path, body):
                    async with session.post(path, json=body) as response:
                        return response.status, await response.json()

                for value in ("one", "two"):
                    operation = put("k", value=base64_text(value))
                    _, reply = await call("/v3/kv/txn", {"success": [operation]})
                    self.assertTrue(reply["succeeded"])
                _, reply = await call("/v3/kv/range", {"key": base64_text("k")})
                expected = {
                    "key": base64_text("k"),
                    "value": base64_text("two"),
                    "create_revision": "2",
                    "mod_revision": "3",
                    "version": "2",
                }
                self.assertEqual([expected], reply["kvs"])
                failing = {
                    "key": base64_text("k"),
                    "target": "CREATE",
                    "result": "LESS",
                }
                _, reply = await call("/v3/kv/txn", {"compare": [failing]})
                self.assertEqual({"header", "responses"}, set(reply))
                for operations in (
                    [put("k"), put("k")],
                    [put("k", value=base64_text("x" * 1_000_001))],
                    [put(str(n)) for n in range(129)],
                ):
                    status, reply = await call("/v3/kv/txn", {"success": operations})
                    self.assertEqual((400, 3), (status, reply["code"]))
                status, reply = await call(
                    "/v3/kv/txn", {"success": [put("k", lease="77")]}
                )
                self.assertEqual((404, 5), (status, reply["code"]))
                for _ in range(9):
                    await call("/v3/kv/txn", {"success": [put("k")]})
                status, reply = await call(
                    "/v3/kv/range", {"key": base64_text("k"), "revision": "2"}
                )
                self.assertEqual((400, 11), (status, reply["code"]))
                self.assertEqual(16, store.calls["txn"])
            await store.stop()

        asyncio.run(run())
