"""Fleet on simulated time whose network loses, duplicates and delays messages."""

from __future__ import annotations

import asyncio
import functools
import random
import selectors
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import orjson

from borageworks.catalog.replica import Replica
from borageworks.catalog.sync import CatalogSync
from borageworks.catalog.tests.fake_store import FakeStore
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.config.loader import parse_settings
from borageworks.config.tests.examples import VALID
from borageworks.metrics import Metrics
from borageworks.store.store import Store
from borageworks.timers import Timers
from borageworks.wire.codec import decode, encode
from borageworks.wire.messages import Message

FRAME_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class FakeMember:
    """A live member."""

    id: str
    domain: str


class Instance:
    """A synchroniser, its replica and the changes that took effect, in order."""

    def __init__(self, fleet: Fleet, member: FakeMember, store: Store) -> None:
        self.member = member
        self.store = store
        self.replica = Replica()
        self.changes: list[VersionedObject] = []
        self.metrics = Metrics()
        self.sync = CatalogSync(
            parse_settings(
                orjson.dumps({**VALID, "instance": member.id, "domain": member.domain})
            ),
            self.replica,
            store,
            fleet.timers,
            self.metrics,
            lambda peer, message: fleet.send(member.id, peer, message),
            fleet.members,
            self.changes.extend,
            fleet.rng,
        )


class Fleet:
    """Instances, their network and their heartbeats.

    Parameters
    ----------
    seed
        Seed of every random choice.
    loss, duplication
        Probability that a message is lost or delivered twice.
    delay_s
        Maximum delay of a message in seconds; messages can arrive out of order.
    """

    def __init__(
        self,
        seed: int = 1,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay_s: float = 0.002,
    ) -> None:
        self.rng = random.Random(seed)
        self.timers = Timers()
        self.loss = loss
        self.duplication = duplication
        self.delay_s = delay_s
        self.instances: dict[str, Instance] = {}
        self.max_frame_bytes = 0
        self.sent: list[tuple[str, str, Message]] = []

    def members(self) -> list[FakeMember]:
        """Return the live members."""
        return [instance.member for instance in self.instances.values()]

    async def add(self, name: str, domain: str, store: Store) -> Instance:
        """Start an instance."""
        instance = Instance(self, FakeMember(name, domain), store)
        self.instances[name] = instance
        await instance.sync.start()
        self.timers.every(1.0, lambda _now: self._heartbeat(instance))
        return instance

    async def remove(self, name: str) -> None:
        """Stop an instance."""
        await self.instances.pop(name).sync.stop()

    async def stop(self) -> None:
        """Stop every instance."""
        for name in list(self.instances):
            await self.remove(name)

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Deliver a message later, once, twice or never."""
        self.sent.append((sender, receiver, message))
        frame = encode([message])
        self.max_frame_bytes = max(self.max_frame_bytes, len(frame))
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() >= self.loss:
                self.timers.after(
                    self.rng.uniform(0, self.delay_s),
                    lambda _now: self._deliver(sender, receiver, frame),
                )

    def _deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        if receiver in self.instances:
            for message in decode(frame):
                self.instances[receiver].sync.receive(sender, message)

    def _heartbeat(self, instance: Instance) -> None:
        name = instance.member.id
        others = [peer for peer in self.instances if peer != name]
        if name in self.instances and others:
            peer = self.instances[self.rng.choice(others)]
            peer.sync.on_catalog_version(name, *instance.replica.version())

    async def wait_until_equal(self, revision: int = 1, limit_s: float = 120.0) -> None:
        """Wait until all replicas are equal and complete up to a store revision.

        Raises
        ------
        TimeoutError
            If they are not within `limit_s` simulated seconds.
        """
        async with asyncio.timeout(limit_s):
            while True:
                versions = {i.replica.version() for i in self.instances.values()}
                if len(versions) == 1 and min(versions)[0] >= revision:
                    return
                await asyncio.sleep(0.1)


class _SimulatedSelector(selectors.DefaultSelector):
    """Advances the simulated clock instead of waiting."""

    elapsed = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("all tasks are waiting and no timer is set")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop with simulated time, starting at 1,000 s."""

    def __init__(self) -> None:
        self._simulated_selector = _SimulatedSelector()
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        return 1000.0 + self._simulated_selector.elapsed


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on an event loop with simulated time."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(main)


def simulated(test):
    """Run a test coroutine on simulated time, with an empty store and fleet."""

    @functools.wraps(test)
    def run_test(case):
        async def main() -> None:
            fleet = Fleet()
            await test(case, FakeStore(), fleet)
            await fleet.stop()

        run(main())

    return run_test
