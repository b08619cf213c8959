"""Tests of the claim services of several instances with one emulated store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from unittest import mock

import testtools
from testtools import ExpectedException

from borageworks.claims.key import IdempotencyKey, body_hash
from borageworks.claims.service import ClaimService
from borageworks.claims.sharding import shard_of, shard_writer
from borageworks.config.settings import ClaimSettings, Settings
from borageworks.exceptions import MessageMalformedError
from borageworks.metrics import Metrics
from borageworks.store.etcd import EtcdStore
from borageworks.timers import Timers
from borageworks.wire.messages import (
    Claim,
    ClaimFinish,
    ClaimOutcome,
    ClaimReply,
    ClaimState,
    Message,
)
from borageworks_emulator.store import EmulatedStore

SHARDS = ClaimSettings().shards
STORE_TIMEOUT_S = 0.4
# For tests without store faults, so that a slow machine does not cause timeouts.
LONG_STORE_TIMEOUT_S = 20.0
BODY = body_hash(b"body")
CLAIMED = (ClaimOutcome.CLAIMED, ClaimState.CLAIMED)


def make_settings(instance: str, url: str) -> Settings:
    """Return settings of one instance of the fleet."""
    address = {"host": "127.0.0.1", "port": 0}
    return Settings.model_validate(
        {
            "instance": instance,
            "domain": "d",
            "listen": address,
            "gossip": address,
            "peer": address,
            "store": {"url": url, "timeout_s": STORE_TIMEOUT_S},
            "membership": {"keys": ["00" * 16]},
        }
    )


class Fleet:
    """Claim services connected by a message bus that can drop messages."""

    def __init__(self, store: EmulatedStore) -> None:
        self.store = store
        self.services: dict[str, ClaimService] = {}
        self.metrics = Metrics()
        self.live_members: list[str] = []
        self.member_views: dict[str, list[str]] = {}
        self.key_count = 0
        self.drop: Callable[[str, Message], bool] = lambda _to, _message: False
        self.stores: list[EtcdStore] = []

    def start(self, instance: str) -> ClaimService:
        settings = make_settings(instance, self.store.url)
        store = EtcdStore(settings.store, self.metrics)
        self.stores.append(store)

        def send(to: str, message: Message) -> None:
            assert isinstance(message, Claim | ClaimReply | ClaimFinish)
            if to in self.services and not self.drop(to, message):
                receive = self.services[to].receive
                asyncio.get_running_loop().call_soon(receive, instance, message)

        def members() -> list[str]:
            return self.member_views.get(instance, self.live_members)

        service = ClaimService(settings, store, Timers(), self.metrics, send, members)
        self.services[instance] = service
        self.live_members = sorted(self.services)
        return service

    async def claim(self, instance: str, key: IdempotencyKey):
        reply = await self.services[instance].claim("o", key, BODY)
        return reply.outcome, reply.state

    async def wait_for_state(
        self, instance: str, key: IdempotencyKey, state: ClaimState
    ):
        """Resend until `state` is reported; a resend is never claimed."""
        outcome, reported = await self.claim(instance, key)
        while (outcome, reported) != (ClaimOutcome.DUPLICATE, state):
            assert outcome is not ClaimOutcome.CLAIMED, "a resend was claimed"
            await asyncio.sleep(0.05)
            outcome, reported = await self.claim(instance, key)

    def new_key_written_by(self, instance: str) -> IdempotencyKey:
        """Return a new key whose shard is written by `instance`."""
        while True:
            self.key_count += 1
            key = IdempotencyKey.parse(f"{int(time.time())}-{self.key_count}")
            if (
                shard_writer(shard_of(key.hash("o"), SHARDS), self.live_members)
                == instance
            ):
                return key


@asynccontextmanager
async def fleet(*instances: str) -> AsyncIterator[Fleet]:
    """Start an emulated store and one service for each instance."""
    store = EmulatedStore()
    await store.start()
    running_fleet = Fleet(store)
    for instance in instances:
        running_fleet.start(instance)
    try:
        yield running_fleet
    finally:
        for service in running_fleet.services.values():
            await service.close()
        for client in running_fleet.stores:
            await client.close()
        await store.stop()


class ClaimServiceTest(testtools.TestCase):
    """Guards against requests that run twice and wrong states across instances."""

    def test_a_resend_to_any_instance_gets_holder_and_state(self):
        async def run():
            async with fleet("a", "b", "c") as f:
                key = f.new_key_written_by("b")
                self.assertEqual(CLAIMED, await f.claim("a", key))
                for instance in "abc":
                    reply = await f.services[instance].claim("o", key, BODY)
                    self.assertEqual(ClaimOutcome.DUPLICATE, reply.outcome)
                    self.assertEqual("a", f.services[instance].response_holder(reply))
                other = await f.services["c"].claim("o", key, body_hash(b"other"))
                self.assertEqual(ClaimOutcome.BODY_MISMATCH, other.outcome)
                f.services["a"].finish("o", key, ClaimState.DONE)
                await f.wait_for_state("c", key, ClaimState.DONE)

        asyncio.run(run())

    def test_a_claim_succeeds_on_resend_after_a_lost_reply(self):
        async def run():
            async with fleet("a", "b") as f:
                lost: list[Message] = []

                def drop(_to, message):
                    dropped = isinstance(message, ClaimReply) and not lost
                    lost.extend([message] * dropped)
                    return dropped

                f.drop = drop
                self.assertEqual(CLAIMED, await f.claim("a", f.new_key_written_by("b")))
                self.assertEqual(1, len(lost))

        asyncio.run(run())

    def test_a_recorded_claim_that_timed_out_is_released(self):
        async def run():
            async with fleet("a", "b") as f:
                f.drop = lambda _to, message: isinstance(message, ClaimReply)
                key = f.new_key_written_by("b")
                outcome, _ = await f.claim("a", key)
                self.assertEqual(ClaimOutcome.UNAVAILABLE, outcome)
                f.drop = lambda _to, _message: False
                outcome, state = await f.claim("b", key)
                self.assertEqual(
                    (ClaimOutcome.DUPLICATE, ClaimState.CLAIMED), (outcome, state)
                )
                await f.wait_for_state("a", key, ClaimState.RELEASED)
                await f.wait_for_state("b", key, ClaimState.RELEASED)

        asyncio.run(run())

    def test_a_late_reply_releases_a_claim_that_timed_out(self):
        async def run():
            async with fleet("a", "b") as f:
                late: list[ClaimReply] = []

                def drop(_to, message):
                    if isinstance(message, ClaimReply):
                        late.append(message)
                    return isinstance(message, ClaimReply)

                f.drop = drop
                key = f.new_key_written_by("b")
                await f.claim("a", key)
                f.drop = lambda _to, _message: False
                f.services["a"].receive("b", late[0])
                await f.wait_for_state("b", key, ClaimState.RELEASED)

        asyncio.run(run())

    def test_a_cancelled_claim_is_released(self):
        async def run():
            async with fleet("a", "b") as f:
                key = f.new_key_written_by("b")
                task = asyncio.create_task(f.claim("a", key))
                await asyncio.sleep(0)
                task.cancel()
                await asyncio.wait((task,))
                await f.wait_for_state("b", key, ClaimState.RELEASED)

        asyncio.run(run())

    def test_a_restarted_instance_is_not_the_holder_of_its_earlier_claims(self):
        async def run():
            async with fleet("a", "b") as f:
                key = f.new_key_written_by("b")
                await f.claim("a", key)
                await f.services["a"].close()
                f.start("a")
                reply = await f.services["a"].claim("o", key, BODY)
                self.assertEqual(ClaimOutcome.DUPLICATE, reply.outcome)
                self.assertIsNone(f.services["a"].response_holder(reply))
                f.live_members = ["b"]
                self.assertIsNone(f.services["b"].response_holder(reply))

        asyncio.run(run())

    def test_another_writer_takes_over_after_a_crash(self):
        async def run():
            async with fleet("a", "b", "c") as f:
                key = f.new_key_written_by("b")
                await f.claim("a", key)
                new_key = f.new_key_written_by("b")
                dead = f.services.pop("b")
                waiting = asyncio.create_task(f.claim("a", new_key))
                await asyncio.sleep(0)
                f.live_members = ["a", "c"]
                self.assertEqual(CLAIMED, await waiting)
                await f.wait_for_state("c", key, ClaimState.CLAIMED)
                await dead.close()

        asyncio.run(run())

    @mock.patch(f"{__name__}.STORE_TIMEOUT_S", LONG_STORE_TIMEOUT_S)
    def test_two_concurrent_writers_of_a_shard_claim_a_key_once(self):
        async def run():
            async with fleet("a", "b") as f:
                keys = [f.new_key_written_by("b")]
                keys += [IdempotencyKey.parse(keys[0].text + str(n)) for n in range(60)]
                f.member_views = {"a": ["a"], "b": ["b"]}
                replies = await asyncio.gather(
                    *(f.claim(instance, key) for key in keys for instance in "ab")
                )
                for first, second in zip(replies[::2], replies[1::2], strict=True):
                    outcomes = {first[0], second[0]}
                    self.assertEqual(
                        {ClaimOutcome.CLAIMED, ClaimOutcome.DUPLICATE}, outcomes
                    )
                self.assertGreater(f.metrics.value("claim_conflicts"), 0)

        asyncio.run(run())

    def test_each_store_fault_ends_in_claimed_or_unavailable(self):
        async def run():
            async with fleet("a") as f:
                faults = f.store.faults
                faults.lost_replies = 1
                self.assertEqual(CLAIMED, await f.claim("a", f.new_key_written_by("a")))
                faults.lost_requests = 1
                key = IdempotencyKey.parse(f"{int(time.time())}-lost")
                self.assertEqual(CLAIMED, await f.claim("a", key))
                f.store.unavailable = True
                key = IdempotencyKey.parse(f"{int(time.time())}-outage")
                self.assertEqual(ClaimOutcome.UNAVAILABLE, (await f.claim("a", key))[0])
                f.store.unavailable = False
                outcome, _ = await f.claim("a", key)
                while outcome is ClaimOutcome.UNAVAILABLE:
                    await asyncio.sleep(0.05)
                    outcome, _ = await f.claim("a", key)
                self.assertEqual(ClaimOutcome.CLAIMED, outcome)

        asyncio.run(run())

    def test_messages_with_invalid_fields_are_rejected(self):
        async def run():
            async with fleet("a", "b") as f:
                key_hash = b"\x07" + b"\0" * 15
                for message in (
                    Claim(1, 8, key_hash, BODY, time.time(), "b~1"),
                    Claim(1, 7, key_hash, b"", time.time(), "b~1"),
                    Claim(1, 7, key_hash, BODY, time.time(), "c~1"),
                    Claim(1, 7, b"", BODY, time.time(), "b~1"),
                    ClaimFinish(8, key_hash, ClaimState.DONE),
                ):
                    with ExpectedException(MessageMalformedError):
                        f.services["a"].receive("b", message)

        asyncio.run(run())
