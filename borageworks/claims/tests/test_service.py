"""Tests of claim services of several instances over one emulated store."""

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
from borageworks.claims.writer import shard_of, shard_writer
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
# For tests in which the store answers: a slow machine is no store fault.
PATIENT_TIMEOUT_S = 20.0
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
    """Claim services joined by a bus that can drop messages."""

    def __init__(self, store: EmulatedStore) -> None:
        self.store = store
        self.services: dict[str, ClaimService] = {}
        self.metrics = Metrics()
        self.live: list[str] = []
        self.views: dict[str, list[str]] = {}
        self.keys = 0
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
            return self.views.get(instance, self.live)

        service = ClaimService(settings, store, Timers(), self.metrics, send, members)
        self.services[instance] = service
        self.live = sorted(self.services)
        return service

    async def claim(self, instance: str, key: IdempotencyKey):
        reply = await self.services[instance].claim("o", key, BODY)
        return reply.outcome, reply.state

    async def until(self, instance: str, key: IdempotencyKey, state: ClaimState):
        """Resend until `state` is told; a resend is never claimed."""
        outcome, told = await self.claim(instance, key)
        while (outcome, told) != (ClaimOutcome.DUPLICATE, state):
            assert outcome is not ClaimOutcome.CLAIMED, "a resend was claimed"
            await asyncio.sleep(0.05)
            outcome, told = await self.claim(instance, key)

    def key_written_by(self, instance: str) -> IdempotencyKey:
        """Return a new key whose shard another instance does not write."""
        while True:
            self.keys += 1
            key = IdempotencyKey.parse(f"{int(time.time())}-{self.keys}")
            if shard_writer(shard_of(key.hash("o"), SHARDS), self.live) == instance:
                return key


@asynccontextmanager
async def fleet(*instances: str) -> AsyncIterator[Fleet]:
    """Start an emulated store and one service for each instance."""
    store = EmulatedStore()
    await store.start()
    found = Fleet(store)
    for instance in instances:
        found.start(instance)
    try:
        yield found
    finally:
        for service in found.services.values():
            await service.close()
        for client in found.stores:
            await client.close()
        await store.stop()


class ClaimServiceTest(testtools.TestCase):
    """Guards against second runs and wrong states across instances."""

    def test_a_resend_to_any_instance_is_told_holder_and_state(self):
        async def run():
            async with fleet("a", "b", "c") as f:
                key = f.key_written_by("b")
                self.assertEqual(CLAIMED, await f.claim("a", key))
                for instance in "abc":
                    reply = await f.services[instance].claim("o", key, BODY)
                    self.assertEqual(ClaimOutcome.DUPLICATE, reply.outcome)
                    self.assertEqual("a", f.services[instance].instance_of(reply))
                other = await f.services["c"].claim("o", key, body_hash(b"other"))
                self.assertEqual(ClaimOutcome.BODY_MISMATCH, other.outcome)
                f.services["a"].finish("o", key, ClaimState.DONE)
                await f.until("c", key, ClaimState.DONE)

        asyncio.run(run())

    def test_a_claim_whose_reply_was_lost_is_claimed_by_its_repetition(self):
        async def run():
            async with fleet("a", "b") as f:
                lost: list[Message] = []

                def drop(_to, message):
                    first = isinstance(message, ClaimReply) and not lost
                    lost.extend([message] * first)
                    return first

                f.drop = drop
                self.assertEqual(CLAIMED, await f.claim("a", f.key_written_by("b")))
                self.assertEqual(1, len(lost))

        asyncio.run(run())

    def test_a_refused_claim_that_was_recorded_is_never_run_and_released(self):
        async def run():
            async with fleet("a", "b") as f:
                f.drop = lambda _to, message: isinstance(message, ClaimReply)
                key = f.key_written_by("b")
                outcome, _ = await f.claim("a", key)
                self.assertEqual(ClaimOutcome.UNAVAILABLE, outcome)
                f.drop = lambda _to, _message: False
                outcome, state = await f.claim("b", key)
                self.assertEqual(
                    (ClaimOutcome.DUPLICATE, ClaimState.CLAIMED), (outcome, state)
                )
                await f.until("a", key, ClaimState.RELEASED)
                await f.until("b", key, ClaimState.RELEASED)

        asyncio.run(run())

    def test_a_late_reply_to_a_refused_claim_releases_it(self):
        async def run():
            async with fleet("a", "b") as f:
                late: list[ClaimReply] = []

                def drop(_to, message):
                    if isinstance(message, ClaimReply):
                        late.append(message)
                    return isinstance(message, ClaimReply)

                f.drop = drop
                key = f.key_written_by("b")
                await f.claim("a", key)
                f.drop = lambda _to, _message: False
                f.services["a"].receive("b", late[0])
                await f.until("b", key, ClaimState.RELEASED)

        asyncio.run(run())

    def test_a_cancelled_claim_is_released(self):
        async def run():
            async with fleet("a", "b") as f:
                key = f.key_written_by("b")
                task = asyncio.create_task(f.claim("a", key))
                await asyncio.sleep(0)
                task.cancel()
                await asyncio.wait((task,))
                await f.until("b", key, ClaimState.RELEASED)

        asyncio.run(run())

    def test_a_restarted_holder_knows_nothing_of_its_former_claims(self):
        async def run():
            async with fleet("a", "b") as f:
                key = f.key_written_by("b")
                await f.claim("a", key)
                await f.services["a"].close()
                f.start("a")
                reply = await f.services["a"].claim("o", key, BODY)
                self.assertEqual(ClaimOutcome.DUPLICATE, reply.outcome)
                self.assertIsNone(f.services["a"].instance_of(reply))
                f.live = ["b"]
                self.assertIsNone(f.services["b"].instance_of(reply))

        asyncio.run(run())

    def test_the_next_writer_takes_over_when_a_writer_dies(self):
        async def run():
            async with fleet("a", "b", "c") as f:
                key = f.key_written_by("b")
                await f.claim("a", key)
                fresh = f.key_written_by("b")
                dead = f.services.pop("b")
                waiting = asyncio.create_task(f.claim("a", fresh))
                await asyncio.sleep(0)
                f.live = ["a", "c"]
                self.assertEqual(CLAIMED, await waiting)
                await f.until("c", key, ClaimState.CLAIMED)
                await dead.close()

        asyncio.run(run())

    @mock.patch(f"{__name__}.STORE_TIMEOUT_S", PATIENT_TIMEOUT_S)
    def test_two_instances_that_both_write_a_shard_claim_a_key_once(self):
        async def run():
            async with fleet("a", "b") as f:
                keys = [f.key_written_by("b")]
                keys += [IdempotencyKey.parse(keys[0].text + str(n)) for n in range(60)]
                f.views = {"a": ["a"], "b": ["b"]}
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

    def test_each_store_fault_ends_in_a_claim_or_a_refusal(self):
        async def run():
            async with fleet("a") as f:
                faults = f.store.faults
                faults.lost_replies = 1
                self.assertEqual(CLAIMED, await f.claim("a", f.key_written_by("a")))
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

    def test_messages_with_foreign_fields_are_refused(self):
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
