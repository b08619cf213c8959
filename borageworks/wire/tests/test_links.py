"""Tests of the links between instances, over loopback connections."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable
from typing import Any

from testtools import TestCase

from borageworks.config.settings import Settings
from borageworks.metrics import Metrics
from borageworks.timers import Timers
from borageworks.wire.authenticator import Authenticator
from borageworks.wire.codec import encode
from borageworks.wire.link import HELLO_CONTEXT, MAX_FRAME_BYTES
from borageworks.wire.links import PeerLinks
from borageworks.wire.messages import Demand, HeldAnswer, HeldAnswerReply, Hello

OLD_KEY = "11" * 32
NEW_KEY = "22" * 32
NONCE = b"n" * 16


def make_settings(instance: str, keys: tuple[str, ...] = (OLD_KEY,)) -> Settings:
    """Return settings of an instance on free loopback ports."""
    loopback = {"host": "127.0.0.1", "port": 0}
    return Settings.model_validate(
        {
            "instance": instance,
            "domain": "domain-1",
            "listen": loopback,
            "gossip": loopback,
            "peer": loopback,
            "store": {"url": "http://127.0.0.1:1"},
            "membership": {"keys": keys},
        }
    )


class Peer:
    """PeerLinks that records its events."""

    def __init__(
        self, instance: str, keys: tuple[str, ...] = (OLD_KEY,), incarnation=1
    ):
        self.instance = instance
        self.metrics = Metrics()
        self.messages: list[object] = []
        self.events: list[str] = []
        self.links = PeerLinks(
            make_settings(instance, keys).link,
            incarnation,
            Timers(),
            self.metrics,
            lambda _instance, message: self.messages.append(message),
            lambda instance: self.events.append(f"+{instance}"),
            lambda instance: self.events.append(f"-{instance}"),
            random.Random(7),
        )

    def set_address_of(self, other: "Peer") -> None:
        self.links.set_address(other.instance, *other.links.address)


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait for a condition; the timeout only ends a test that would hang."""
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110 - counters have no event to await
            await asyncio.sleep(0.005)


def frame(body: bytes, context: bytes, keys: tuple[str, ...] = (OLD_KEY,)) -> bytes:
    """Return a frame in the format of `Link`."""
    code = Authenticator(keys).sign(context, body)
    return len(body).to_bytes(4, "big") + body + code


class PeerLinksTests(TestCase):
    def run_scenario(
        self, scenario: Callable[..., Awaitable[None]], *peers: tuple[Any, ...]
    ) -> None:
        async def run() -> None:
            started = [Peer(*arguments) for arguments in peers]
            for peer in started:
                await peer.links.start()
            try:
                await scenario(*started)
            finally:
                for peer in started:
                    await peer.links.stop()

        asyncio.run(run())

    def test_order_and_batches(self):
        """Guards against lost, repeated or reordered messages and unbatched writes."""

        async def scenario(a, b):
            a.set_address_of(b)
            sent = [Demand("p", "o", number) for number in range(3000)]
            for message in sent:
                a.links.send("b", message)
            await wait_until(lambda: len(b.messages) >= 3000)
            self.assertEqual(sent, b.messages)
            # Three frames: the Hello, the empty frame and the batch.
            self.assertTrue(a.links.bytes_sent < 3000 * 52)
            b.links.send("a", sent[0])
            await wait_until(lambda: a.messages == sent[:1])
            self.assertEqual((["+b"], ["+a"]), (a.events, b.events))

        self.run_scenario(scenario, ("a",), ("b",))

    def test_restarted_instance_whose_clock_went_back(self):
        """Guards against rejecting a new process until the old one's link times out."""

        async def scenario(old, new, b):
            old.set_address_of(b)
            old.links.send("b", Demand("p", "o", 1))
            await wait_until(lambda: len(b.messages) == 1)
            # The old process lost power: its link is neither closed nor answering.
            new.set_address_of(b)
            new.links.send("b", Demand("p", "o", 2))
            await wait_until(lambda: len(b.messages) == 2)
            self.assertEqual(["+a", "-a", "+a"], b.events)
            self.assertEqual(0, b.metrics.value("peer_links_rejected"))

        self.run_scenario(
            scenario, ("a", (OLD_KEY,), 2000), ("a", (OLD_KEY,), 1000), ("b",)
        )

    def test_deferrable_messages_arrive_with_others_or_after_a_delay(self):
        """Guards against deferrable messages that are never sent."""

        async def scenario(a, b):
            a.set_address_of(b)
            sent = [Demand("p", "o", number) for number in range(4)]
            a.links.send("b", sent[0])
            await wait_until(lambda: len(b.messages) == 1)
            a.links.send("b", sent[1], deferrable=True)
            a.links.send("b", sent[2])
            await wait_until(lambda: len(b.messages) == 3)
            a.links.send("b", sent[3], deferrable=True)
            await wait_until(lambda: len(b.messages) == 4)
            self.assertEqual(sent, b.messages)

        self.run_scenario(scenario, ("a",), ("b",))

    def test_simultaneous_connects(self):
        """Guards against two links per pair of instances, and against closing both."""

        async def scenario(*peers):
            for peer in peers:
                for other in peers:
                    if other is not peer:
                        peer.set_address_of(other)
                        peer.links.send(other.instance, Demand("p", peer.instance, 1))
            await wait_until(lambda: all(len(peer.messages) == 5 for peer in peers))
            for peer in peers:
                self.assertEqual(5, len(set(peer.messages)))
                self.assertEqual(5, len(peer.events))
                self.assertEqual(5, len(peer.links.connected))

        self.run_scenario(scenario, *[(name,) for name in "abcdef"])

    def test_unreachable_peer_returns(self):
        """Guards against unbounded queues and a peer that is never reconnected."""

        async def scenario(a, b):
            a.set_address_of(b)
            await b.links.stop()
            a.links.send("b", Demand("p", "o", 1))
            await wait_until(
                lambda: a.metrics.value("peer_messages_dropped", "unreachable")
            )
            self.assertFalse(a.links.send("b", Demand("p", "o", 2)))
            restarted = Peer("b", (OLD_KEY,), 2)
            await restarted.links.start()
            a.set_address_of(restarted)
            a.links.send("b", Demand("p", "o", 3))
            await wait_until(lambda: restarted.messages == [Demand("p", "o", 3)])
            await restarted.links.stop()
            await wait_until(lambda: a.events == ["+b", "-b"])

        self.run_scenario(scenario, ("a",), ("b",))

    def test_queue_is_bounded(self):
        """Guards against memory that grows while a peer is not connected."""

        async def scenario(a, b):
            a.set_address_of(b)
            large = HeldAnswerReply(1, HeldAnswer.HELD, body=b"x" * 1_000_000)
            accepted = [a.links.send("b", large) for _ in range(20)]
            self.assertEqual(8, sum(accepted))
            self.assertEqual(12, a.metrics.value("peer_messages_dropped", "queue_full"))
            await wait_until(lambda: len(b.messages) == 8)

        self.run_scenario(scenario, ("a",), ("b",))

    def test_oversized_message_is_dropped(self):
        """Guards against an oversized message that closes the link."""

        async def scenario(a, b):
            a.set_address_of(b)
            body = random.Random(1).randbytes(MAX_FRAME_BYTES)
            a.links.send("b", Demand("p", "o", 1))
            a.links.send("b", HeldAnswerReply(1, HeldAnswer.HELD, body=body))
            a.links.send("b", Demand("p", "o", 2))
            await wait_until(lambda: len(b.messages) == 2)
            self.assertEqual(1, a.metrics.value("peer_messages_dropped", "too_large"))

        self.run_scenario(scenario, ("a",), ("b",))

    def test_key_rotation(self):
        """Guards against links that fail during key rotation."""

        async def scenario(first, second, third, last):
            for peer, other in ((first, second), (second, third), (third, last)):
                peer.set_address_of(other)
                peer.links.send(other.instance, Demand("p", "o", 1))
                await wait_until(functools.partial(len, other.messages))
            first.set_address_of(last)
            first.links.send("last", Demand("p", "o", 2))
            rejected = ("peer_links_rejected", "message_unauthentic")
            await wait_until(lambda: last.metrics.value(*rejected) > 0)
            self.assertEqual(1, len(last.messages))

        self.run_scenario(
            scenario,
            ("first", (OLD_KEY,)),
            ("second", (OLD_KEY, NEW_KEY)),
            ("third", (NEW_KEY, OLD_KEY)),
            ("last", (NEW_KEY,)),
        )

    def test_hostile_connections(self):
        """Guards against forged, replayed, reflected, oversized and invalid frames."""
        hello = frame(encode([Hello("a", 9, "d", NONCE)]), HELLO_CONTEXT)
        demand = encode([Demand("p", "o", 1)])
        attacks = {
            "message_unauthentic": [
                frame(encode([Hello("a", 9, "d", NONCE)]), HELLO_CONTEXT, (NEW_KEY,)),
                hello + frame(demand, HELLO_CONTEXT),
                hello + hello,
                hello + frame(demand, NONCE + NONCE + bytes(8)),
            ],
            "message_malformed": [
                frame(demand, HELLO_CONTEXT),
                frame(encode([Hello("a", 9, "d", b"")]), HELLO_CONTEXT),
                frame(b"\xff" * 30, HELLO_CONTEXT),
            ],
            "message_too_large": [
                b"\xff" * 8,
                frame(bytes(1025), HELLO_CONTEXT),
                hello + frame(bytes(1025), NONCE + NONCE + bytes(8)),
            ],
        }

        async def scenario(b):
            for code, frames in attacks.items():
                for number, data in enumerate(frames, 1):
                    reader, writer = await asyncio.open_connection(*b.links.address)
                    writer.write(data)
                    async with asyncio.timeout(20):
                        try:
                            while await reader.read(4096):
                                pass
                        except ConnectionError:
                            pass
                    writer.close()
                    self.assertEqual(
                        number, b.metrics.value("peer_links_rejected", code)
                    )
            self.assertEqual(([], []), (b.messages, b.events))

        self.run_scenario(scenario, ("b",))

    def test_address_of_another_instance(self):
        """Guards against messages to an instance that took over an address."""

        async def scenario(a, b):
            a.links.set_address("c", *b.links.address)
            a.links.send("c", Demand("p", "o", 1))
            rejected = ("peer_links_rejected", "other_instance")
            await wait_until(lambda: a.metrics.value(*rejected) > 0)
            self.assertEqual([], b.messages)

        self.run_scenario(scenario, ("a",), ("b",))

    def test_remove(self):
        """Guards against links to removed instances."""

        async def scenario(a, b):
            a.set_address_of(b)
            a.links.send("b", Demand("p", "o", 1))
            await wait_until(lambda: b.events == ["+a"])
            a.links.remove("b")
            await wait_until(lambda: b.events == ["+a", "-a"])
            self.assertEqual(["+b", "-b"], a.events)
            self.assertFalse(a.links.send("b", Demand("p", "o", 2)))

        self.run_scenario(scenario, ("a",), ("b",))
