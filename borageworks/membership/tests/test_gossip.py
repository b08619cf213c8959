"""Tests of the membership transport, over loopback."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from testtools import TestCase

from borageworks.membership.gossip import AUTHENTICATION_CONTEXT, Gossip
from borageworks.membership.member import Member
from borageworks.membership.tests.network import make_settings, make_update
from borageworks.metrics import Metrics
from borageworks.timers import Timers
from borageworks.wire.authenticator import Authenticator
from borageworks.wire.codec import encode
from borageworks.wire.messages import Demand, MemberState, Message, Ping

OLD_KEY = "11" * 32
NEW_KEY = "22" * 32
EPHEMERAL_ADDRESS = ("127.0.0.1", 0)


class AdjustableTimers(Timers):
    """Timers whose clock can be advanced to simulate a paused process."""

    def __init__(self) -> None:
        super().__init__()
        self.offset_s = 0.0

    def now(self) -> float:
        return super().now() + self.offset_s


class Node:
    """Gossip that records its callbacks."""

    def __init__(self, name: str, seeds: list["Node"], *keys: str, domain: str = "d0"):
        self.name = name
        self.metrics = Metrics()
        self.timers = AdjustableTimers()
        self.members: list[Member] = []
        self.domains: list[tuple[str, bool]] = []
        self.catalog_versions: set[tuple[str, int, int]] = set()
        self.confirmed_when_paused: list[bool] = []
        settings = make_settings(
            name,
            domain,
            EPHEMERAL_ADDRESS,
            keys=keys or (OLD_KEY,),
            probe_interval_s=0.05,
            probe_timeout_s=0.03,
            suspicion_s=0.1,
            seeds=[
                {"host": host, "port": port}
                for host, port in (seed.gossip.address for seed in seeds)
            ],
        )
        self.gossip: Gossip = Gossip(
            settings,
            1000,
            self.timers,
            self.metrics,
            random.Random(name),
            ("127.0.0.1", 4242),
            lambda: (5, 6),
            self.members.append,
            lambda domain, reachable: self.domains.append((domain, reachable)),
            lambda *version: self.catalog_versions.add(version),
            lambda: self.confirmed_when_paused.append(self.gossip.confirmed),
        )

    def alive(self) -> set[str]:
        """Return the members that this one knows as alive."""
        return {
            member.id
            for member in self.gossip.members.values()
            if member.state is MemberState.ALIVE
        }


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait for a condition; the timeout only ends a test that would hang."""
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110 - counters have no event to await
            await asyncio.sleep(0.005)


def run_scenario(scenario: Callable[[list[Node]], Awaitable[None]]) -> None:
    """Run a scenario, then stop the nodes that it started."""

    async def run_and_stop() -> None:
        nodes: list[Node] = []
        try:
            await scenario(nodes)
        finally:
            for node in nodes:
                await node.gossip.stop()

    asyncio.run(run_and_stop())


async def start_node(
    nodes: list[Node], name: str, *keys: str, domain: str = "d0"
) -> Node:
    """Start a node with the first one as its seed."""
    node = Node(name, nodes[:1], *keys, domain=domain)
    await node.gossip.start()
    nodes.append(node)
    return node


class GossipTests(TestCase):
    def test_join_leave_and_stop(self):
        """Guards against missing callbacks and members that stay after they stopped."""

        async def scenario(nodes):
            a, b, c = [await start_node(nodes, name) for name in "abc"]
            await wait_until(lambda: all(len(node.alive()) == 3 for node in nodes))
            await wait_until(lambda: all(node.gossip.confirmed for node in nodes))
            self.assertEqual(4242, a.gossip.members["b"].peer_port)
            await wait_until(lambda: ("b", 5, 6) in a.catalog_versions)
            c.gossip.leave()
            await wait_until(lambda: a.gossip.members["c"].state is MemberState.LEAVING)
            await c.gossip.stop()
            await wait_until(lambda: a.gossip.members["c"].state is MemberState.DEAD)
            await b.gossip.stop()
            await wait_until(lambda: a.gossip.members["b"].state is MemberState.DEAD)
            self.assertTrue(a.gossip.bytes_sent > 0 < a.gossip.bytes_received)

        run_scenario(scenario)

    def test_unreachable_domain(self):
        """Guards against an unreachable domain that is not reported."""

        async def scenario(nodes):
            a = await start_node(nodes, "a")
            b = await start_node(nodes, "b", domain="d1")
            await wait_until(lambda: len(a.alive()) == len(b.alive()) == 2)
            await b.gossip.stop()
            await wait_until(lambda: a.domains[-1:] == [("d1", False)])
            self.assertEqual({"d1"}, a.gossip.unreachable_domains)
            self.assertEqual({"a", "b"}, a.alive())

        run_scenario(scenario)

    def test_key_rotation(self):
        """Guards against a fleet that splits while keys are rotated."""

        async def scenario(nodes):
            for name, keys in (
                ("both", (OLD_KEY, NEW_KEY)),
                ("old", (OLD_KEY,)),
                ("turned", (NEW_KEY, OLD_KEY)),
            ):
                await start_node(nodes, name, *keys)
            both, old, turned = nodes
            await wait_until(lambda: {"old", "turned"} <= both.alive())
            rejected = ("gossip_rejected", "message_unauthentic")
            await wait_until(lambda: old.metrics.value(*rejected) > 0)
            self.assertEqual(0, both.metrics.value(*rejected))
            self.assertEqual(0, turned.metrics.value(*rejected))

        run_scenario(scenario)

    def test_forged_datagrams(self):
        """Guards against datagrams that are forged, replayed, malformed or too long."""

        def sign(
            body: bytes, key: str = OLD_KEY, context: bytes = AUTHENTICATION_CONTEXT
        ) -> bytes:
            return body + Authenticator((key,)).sign(context, body)

        def body(*messages: Message) -> bytes:
            return encode(messages)

        ping = Ping(1, make_update("x", host="127.0.0.1", port=9))
        datagrams_by_code = {
            "message_unauthentic": [
                b"",
                b"x" * 15,
                sign(body(ping), NEW_KEY),
                sign(body(ping), context=b"hello"),
                sign(body(ping))[:-1] + b"?",
            ],
            "message_malformed": [
                sign(b"\xff" * 40),
                sign(body()),
                sign(body(ping, ping)),
                sign(body(Demand("p", "o", 1))),
                sign(body(ping) + bytes(1300)),
            ],
            "source_mismatch": [sign(body(ping))],
        }

        async def scenario(nodes):
            a = await start_node(nodes, "a")
            for code, datagrams in datagrams_by_code.items():
                for datagram in datagrams:
                    a.gossip.datagram_received(datagram, ("127.0.0.1", 7))
                self.assertEqual(
                    len(datagrams), a.metrics.value("gossip_rejected", code)
                )
            self.assertEqual({"a"}, a.alive())

        run_scenario(scenario)

    def test_paused_instance(self):
        """Guards against an instance that still acts as owner after a long pause."""

        async def scenario(nodes):
            a, _b = [await start_node(nodes, name) for name in "ab"]
            await wait_until(lambda: a.gossip.confirmed)
            old_incarnation = a.gossip.incarnation
            a.timers.offset_s = 1.0
            await asyncio.sleep(0)
            self.assertEqual(0, a.metrics.value("pauses"))
            a.timers.offset_s += 3.1
            self.assertFalse(a.gossip.confirmed)
            await wait_until(lambda: a.metrics.value("pauses") == 1)
            self.assertEqual([False], a.confirmed_when_paused)
            self.assertTrue(a.gossip.incarnation > old_incarnation)
            await wait_until(lambda: a.gossip.confirmed)
            await wait_until(
                lambda: all(
                    node.gossip.members["a"].incarnation == a.gossip.incarnation
                    for node in nodes
                )
            )

        run_scenario(scenario)
