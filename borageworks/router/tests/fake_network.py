"""Entry and owner sides of several instances on an in-memory network."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from typing import Any

from borageworks.catalog.objects import (
    Endpoint,
    Organisation,
    Pool,
    PoolKind,
    Service,
)
from borageworks.catalog.replica import Replica
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.config.settings import Settings
from borageworks.endpoints.call import Call
from borageworks.endpoints.exchange import Exchange
from borageworks.exceptions import EndpointDisconnectedError, EndpointUnreachableError
from borageworks.metrics import Metrics
from borageworks.router.entry import Entry
from borageworks.router.grants import GrantTable
from borageworks.router.owner import Owner
from borageworks.router.ownership import derive_ownership
from borageworks.timers import Timers
from borageworks.wire.messages import (
    AloneDemand,
    AloneGrant,
    Charge,
    Demand,
    EndpointLost,
    Grant,
    Recall,
    Release,
    Running,
    Suspect,
    Used,
)

OWNER_MESSAGES = (Demand, AloneDemand, Release, Charge, Used, Running)


def settings_for(instance: str, **sections: Any) -> Settings:
    """Return settings for an instance that opens no sockets."""
    address = {"host": "127.0.0.1", "port": 0}
    return Settings.model_validate(
        {
            "instance": instance,
            "domain": "d1",
            "listen": address,
            "gossip": address,
            "peer": address,
            "store": {"url": "http://127.0.0.1:1"},
            "membership": {"keys": ["00" * 16]},
            "window": {"report_interval_s": 0.05},
            **sections,
        }
    )


def replica_with(
    endpoints: int,
    window: int = 4,
    idempotent: bool = True,
    queue_timeout_s: float = 20,
) -> Replica:
    """Return a replica with one pool, one service and organisations a to d."""
    replica = Replica()
    objects: list[Any] = [
        Pool(id="p", endpoints=PoolKind.PLAIN),
        Service(
            id="s", pool="p", idempotent=idempotent, queue_timeout_s=queue_timeout_s
        ),
        *(Organisation(id=name, share=1.0) for name in "abcd"),
    ]
    objects += [
        Endpoint.model_validate(
            {
                "id": f"e{number}",
                "pool": "p",
                "domain": "d1",
                "host": "127.0.0.1",
                "port": 1000 + number,
                "window_initial": window,
                "window_max": window,
            }
        )
        for number in range(endpoints)
    ]
    replica.merge(VersionedObject(item.kind, item.id, 1, item) for item in objects)
    return replica


class FakeEndpoints:
    """Endpoint client and load reports of simulated endpoints."""

    def __init__(self) -> None:
        self.runs: list[tuple[str, str]] = []
        self.peak_running: Counter[str] = Counter()
        self.running: dict[str, set[str]] = defaultdict(set)
        self.incarnations: Counter[str] = Counter()
        self.poison_body: bytes | None = None
        self.down: set[str] = set()
        self.behaviour: Callable[[str, Call], Awaitable[None]] | None = None

    async def get_json(self, endpoint: Endpoint, path: str, timeout_s: float) -> Any:
        """Return a load report."""
        if endpoint.id in self.down:
            raise EndpointUnreachableError(endpoint.id)
        return {
            "running": len(self.running[endpoint.id]),
            "waiting": 0,
            "token_interval_ms": 0,
            "incarnation": str(self.incarnations[endpoint.id]),
        }

    async def exchange(
        self, endpoint: Endpoint, call: Call, sink: Any, progress: Any
    ) -> Exchange:
        """Run a request; the poison body crashes the endpoint and all its requests."""
        if endpoint.id in self.down:
            raise EndpointUnreachableError(endpoint.id)
        progress.sent = True
        incarnation = self.incarnations[endpoint.id]
        running = self.running[endpoint.id]
        running.add(call.request_id)
        self.peak_running[endpoint.id] = max(
            self.peak_running[endpoint.id], len(running)
        )
        self.runs.append((endpoint.id, call.request_id))
        try:
            if self.behaviour is not None:
                await self.behaviour(endpoint.id, call)
            else:
                await asyncio.sleep(0.01)
            crashes = self.poison_body is not None and call.body == self.poison_body
            if crashes and self.incarnations[endpoint.id] == incarnation:
                self.incarnations[endpoint.id] += 1
            if self.incarnations[endpoint.id] != incarnation:
                raise EndpointDisconnectedError(endpoint.id)
        finally:
            running.discard(call.request_id)
        return Exchange(units=1.0)


class FakeSink:
    """Sink that never starts, as for a buffered response."""

    started = False


class FakeInstance:
    """Entry and owner sides of one instance."""

    def __init__(
        self, network: FakeNetwork, name: str, replica: Replica, **sections: Any
    ) -> None:
        settings = settings_for(name, **sections)
        timers = Timers()
        self.name = name
        self.metrics = Metrics()
        client: Any = network.endpoints

        def send(target: str, message: Any) -> None:
            network.send(name, target, message)

        def broadcast(message: Any) -> None:
            for target in network.instances:
                network.send(name, target, message)

        self.entry = Entry(
            settings, replica, timers, self.metrics, {PoolKind.PLAIN: client}, send
        )
        self.owner = Owner(
            settings,
            replica,
            timers,
            self.metrics,
            client,
            GrantTable(name, 1),
            send,
            broadcast,
        )
        self.entry.start()
        self.owner.start()

    def receive(self, sender: str, message: Any) -> None:
        """Pass a message to the entry or owner side."""
        match message:
            case Grant():
                self.entry.receive_grant(sender, message)
            case Recall():
                self.entry.receive_recall(sender, message)
            case EndpointLost():
                self.entry.receive_endpoint_lost(message)
            case AloneGrant():
                self.entry.receive_isolated_grant(sender, message)
            case Suspect():
                self.entry.receive_suspect(message)
            case _:
                assert isinstance(message, OWNER_MESSAGES)
                self.owner.receive(sender, message)

    def stop(self) -> None:
        """Cancel the timers."""
        self.entry.stop()
        self.owner.stop()


class FakeNetwork:
    """Delivers messages in order, in the next loop iteration.

    An instance can be disconnected, which loses its messages.
    """

    def __init__(self, replica: Replica, names: str, **sections: Any) -> None:
        self.endpoints = FakeEndpoints()
        self.replica = replica
        self.sent: Counter[str] = Counter()
        self.disconnected: set[str] = set()
        self.errors: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: self.errors.append(context)
        )
        self.instances: dict[str, FakeInstance] = {}
        for name in names:
            self.instances[name] = FakeInstance(self, name, replica, **sections)
        self.update_ownership(names)

    def send(self, sender: str, target: str, message: Any) -> None:
        """Deliver a message unless either instance is disconnected."""
        self.sent[type(message).__name__] += 1
        asyncio.get_running_loop().call_soon(self._deliver, sender, target, message)

    def update_ownership(self, live: str) -> None:
        """Apply the ownership among `live` to all instances not disconnected."""
        ownership = derive_ownership(
            self.replica.endpoints.values(), {"d1": list(live)}
        )
        for name, instance in self.instances.items():
            if name in self.disconnected:
                continue
            instance.owner.set_owned(ownership.owned_by(name))
            instance.entry.set_owners(
                ownership.owners, ownership.owners_for(name, "d1")
            )

    def kill(self, name: str) -> None:
        """Disconnect an instance and notify the others of the lost links."""
        self.disconnected.add(name)
        self.instances[name].stop()
        for other, instance in self.instances.items():
            if other not in self.disconnected:
                instance.entry.link_lost(name)
                instance.owner.link_lost(name)

    async def run(
        self, instance: str, organisation: str, number: int, body: bytes = b""
    ) -> None:
        """Run one request at an entry instance."""
        call = Call(
            request_id=f"{instance}-{organisation}-{number}",
            organisation=organisation,
            service=self.replica.services["s"],
            method="POST",
            path="/",
            headers=(),
            body=body or f"{organisation}-{number}".encode(),
        )
        sink: Any = FakeSink()
        await self.instances[instance].entry.run(call, sink)

    def stop(self) -> None:
        """Stop all instances; an exception in any callback fails the test."""
        for instance in self.instances.values():
            instance.stop()
        if self.errors:
            raise AssertionError(self.errors)

    def _deliver(self, sender: str, target: str, message: Any) -> None:
        if sender not in self.disconnected and target not in self.disconnected:
            self.instances[target].receive(sender, message)
