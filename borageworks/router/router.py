"""A router instance: assembles its components on one event loop."""

from __future__ import annotations

import asyncio
import random
import resource
import time
from typing import Any

from borageworks.api.server import Server
from borageworks.api.sink import ResponseSink
from borageworks.catalog.objects import PoolKind
from borageworks.catalog.replica import Replica
from borageworks.catalog.sync import CatalogSync
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.claims.service import ClaimService
from borageworks.config.settings import Settings
from borageworks.endpoints.call import Call
from borageworks.endpoints.client import EndpointClient
from borageworks.endpoints.engine import EngineClient
from borageworks.endpoints.plain import PlainServiceClient
from borageworks.endpoints.transport import Transport
from borageworks.events import Event, emit
from borageworks.membership.gossip import Gossip
from borageworks.membership.member import Member
from borageworks.metrics import Metrics
from borageworks.router.at_most_once import AtMostOnceRunner
from borageworks.router.entry import Entry
from borageworks.router.grants import GrantTable
from borageworks.router.owner import Owner
from borageworks.router.ownership import Ownership, derive_ownership
from borageworks.router.service_exchange import ServiceExchange
from borageworks.store.etcd import EtcdStore
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.links import PeerLinks
from borageworks.wire.messages import (
    AloneDemand,
    AloneGrant,
    CatalogDigest,
    CatalogObjects,
    CatalogPull,
    Charge,
    Claim,
    ClaimFinish,
    ClaimReply,
    Demand,
    EndpointLost,
    Grant,
    HeldAnswerQuery,
    HeldAnswerReply,
    MemberState,
    Message,
    Recall,
    Release,
    Running,
    ServiceError,
    ServiceReport,
    Suspect,
    Used,
)

GAUGE_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
MILLISECONDS_PER_SECOND = 1000


class Router:
    """A router instance.

    Parameters
    ----------
    settings
        Settings of the instance.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        self._rng = random.Random(f"{settings.instance}/{self._incarnation}")
        self._metrics = Metrics()
        self._replica = Replica()
        self._transport = Transport(self._metrics)
        self._stopping = False
        self._unreachable_domains: set[str] = set()
        self._ownership_update_pending = False
        self._could_own = False
        self._ownership = Ownership({}, {})
        self._subscriptions: list[TimerSubscription] = []
        self._started_at = 0.0

    @property
    def metrics(self) -> Metrics:
        """Counters and histograms of the instance."""
        return self._metrics

    @property
    def address(self) -> tuple[str, int]:
        """Address on which callers' requests are accepted."""
        return self._server.address

    async def start(self) -> None:
        """Start all components on the running loop."""
        settings = self._settings
        self._timers = Timers()
        self._started_at = self._timers.now()
        self._store = EtcdStore(settings.store, self._metrics)
        await self._transport.start()
        self._links = PeerLinks(
            settings.link,
            self._incarnation,
            self._timers,
            self._metrics,
            self._deliver,
            self._on_link_up,
            self._on_link_lost,
            self._rng,
        )
        await self._links.start()
        self._build_components()
        self._entry.start()
        self._owner.start()
        self._service_exchange.start()
        await self._gossip.start()
        await self._catalog.start()
        await self._server.start()
        self._subscriptions = [
            self._timers.every(GAUGE_INTERVAL_S, self._update_gauges)
        ]
        emit(
            Event.INSTANCE_STARTED,
            instance=settings.instance,
            domain=settings.domain,
            address=self.address,
        )

    async def stop(self) -> None:
        """Stop gracefully: drain running requests, then stop all components."""
        self._stopping = True
        emit(Event.INSTANCE_STOPPING, instance=self._settings.instance)
        await asyncio.sleep(self._settings.shutdown.balancer_lag_s)
        self._gossip.leave()
        self._entry.drain()
        self._update_ownership()
        await self._server.stop_accepting()
        await self._drain()
        for subscription in self._subscriptions:
            subscription.cancel()
        await self._server.stop()
        self._entry.stop()
        self._owner.stop()
        self._service_exchange.stop()
        await self._claims.close()
        await self._catalog.stop()
        await self._gossip.stop()
        await self._links.stop()
        await self._transport.stop()
        await self._store.close()
        emit(Event.INSTANCE_STOPPED, instance=self._settings.instance)

    async def run(self, call: Call, sink: ResponseSink) -> None:
        """Run a caller's request; see `Entry.run` and `AtMostOnceRunner.run`."""
        if call.service.idempotent:
            await self._entry.run(call, sink)
        else:
            await self._at_most_once.run(call, sink)

    def readiness_blockers(self) -> list[str]:
        """Return the reasons why the instance is not ready; empty if it is ready."""
        blockers = list(self._catalog.readiness_blockers)
        if self._stopping:
            blockers.append("the instance is stopping")
        return blockers

    def status(self) -> dict[str, Any]:
        """Return the state of the instance for operators."""
        now = self._timers.now()
        return {
            "instance": self._settings.instance,
            "domain": self._settings.domain,
            "incarnation": self._incarnation,
            "uptime_s": round(now - self._started_at, 3),
            "lacking": self.readiness_blockers(),
            "catalog_revision": self._replica.version()[0],
            "catalog_hash": f"{self._replica.version()[1]:016x}",
            "calls": self._entry.calls,
            "waiting": self._entry.waiting,
            "members": [
                {
                    "instance": member.id,
                    "domain": member.domain,
                    "state": member.state.name.lower(),
                    "incarnation": member.incarnation,
                }
                for member in self._gossip.members.values()
            ],
            "unreachable_domains": sorted(self._unreachable_domains),
            "endpoints": [
                {
                    "endpoint": owned.endpoint.id,
                    "pool": owned.endpoint.pool,
                    "up": owned.up,
                    "limit": owned.window.limit,
                    "in_use": owned.window.in_use,
                }
                for owned in self._owner.owned.values()
            ],
        }

    def _build_components(self) -> None:
        settings = self._settings
        clients: dict[PoolKind, EndpointClient] = {
            PoolKind.ENGINE: EngineClient(self._transport, settings.fair),
            PoolKind.PLAIN: PlainServiceClient(self._transport),
        }
        self._entry = Entry(
            settings, self._replica, self._timers, self._metrics, clients, self._send
        )
        self._owner = Owner(
            settings,
            self._replica,
            self._timers,
            self._metrics,
            self._transport,
            GrantTable(settings.instance, self._incarnation),
            self._send,
            self._broadcast,
        )
        self._service_exchange = ServiceExchange(
            settings,
            self._incarnation,
            self._replica,
            self._owner,
            self._timers,
            self._metrics,
            self._send,
            self._live_members,
        )
        self._claims = ClaimService(
            settings,
            self._store,
            self._timers,
            self._metrics,
            self._send,
            lambda: [member.id for member in self._live_members()],
        )
        self._at_most_once = AtMostOnceRunner(
            settings.claims, self._entry, self._claims, self._metrics, self._send
        )
        self._catalog = CatalogSync(
            settings,
            self._replica,
            self._store,
            self._timers,
            self._metrics,
            self._send,
            self._live_members,
            self._on_catalog_changed,
        )
        self._gossip = Gossip(
            settings,
            self._incarnation,
            self._timers,
            self._metrics,
            self._rng,
            self._links.address,
            self._replica.version,
            self._on_member_changed,
            self._on_domain_changed,
            self._catalog.on_catalog_version,
            self._on_pause,
        )
        self._server = Server(settings, self._replica, self, self._metrics)

    def _send(self, instance: str, message: Message) -> None:
        if instance == self._settings.instance:
            # Delivered in the next loop iteration, so that senders are not re-entered.
            asyncio.get_running_loop().call_soon(self._deliver, instance, message)
        else:
            self._links.send(instance, message, deferrable=_is_deferrable(message))

    def _broadcast(self, message: Message) -> None:
        for member in self._live_members():
            self._send(member.id, message)

    def _deliver(self, sender: str, message: Message) -> None:
        match message:
            case Grant():
                self._entry.receive_grant(sender, message)
            case Recall():
                self._entry.receive_recall(sender, message)
            case EndpointLost():
                self._entry.receive_endpoint_lost(message)
            case AloneGrant():
                self._entry.receive_isolated_grant(sender, message)
            case Suspect():
                self._entry.receive_suspect(message)
            case Demand() | AloneDemand() | Release() | Charge() | Used() | Running():
                self._owner.receive(sender, message)
            case Claim() | ClaimReply() | ClaimFinish():
                self._claims.receive(sender, message)
            case HeldAnswerQuery() | HeldAnswerReply():
                self._at_most_once.receive(sender, message)
            case ServiceReport() | ServiceError():
                self._service_exchange.receive(sender, message)
            case CatalogDigest() | CatalogPull() | CatalogObjects():
                self._catalog.receive(sender, message)
            case _:
                self._metrics.count("messages_unexpected", type(message).__name__)

    def _on_link_up(self, instance: str) -> None:
        self._entry.link_up(instance)

    def _on_link_lost(self, instance: str) -> None:
        self._entry.link_lost(instance)
        self._owner.link_lost(instance)

    def _live_members(self) -> list[Member]:
        return [
            member
            for member in self._gossip.members.values()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and member.domain not in self._unreachable_domains
        ]

    def _on_member_changed(self, member: Member) -> None:
        if member.id != self._settings.instance:
            if member.state is MemberState.DEAD:
                self._links.remove(member.id)
                self._service_exchange.remove_member(member.id)
            else:
                self._links.set_address(member.id, member.host, member.peer_port)
        self._schedule_ownership_update()

    def _on_domain_changed(self, domain: str, reachable: bool) -> None:
        if reachable:
            self._unreachable_domains.discard(domain)
        else:
            self._unreachable_domains.add(domain)
        self._schedule_ownership_update()

    def _on_catalog_changed(self, changed: list[VersionedObject]) -> None:
        emit(
            Event.CATALOG_CHANGED,
            revision=self._replica.version()[0],
            objects=len(changed),
        )
        if any(item.kind != "organisation" for item in changed):
            self._schedule_ownership_update()

    def _on_pause(self) -> None:
        """Give up all endpoints at once; others have taken them over in the pause."""
        self._owner.set_owned({})

    def _schedule_ownership_update(self) -> None:
        if not self._ownership_update_pending:
            self._ownership_update_pending = True
            asyncio.get_running_loop().call_soon(self._update_ownership)

    def _update_ownership(self) -> None:
        """Derive the ownership and apply it to the entry and owner sides."""
        self._ownership_update_pending = False
        domains: dict[str, list[str]] = {}
        for member in self._live_members():
            if member.id == self._settings.instance and not self._may_own:
                continue
            domains.setdefault(member.domain, []).append(member.id)
        endpoints = [
            endpoint
            for endpoint in self._replica.endpoints.values()
            if endpoint.domain not in self._unreachable_domains
        ]
        self._ownership = derive_ownership(endpoints, domains)
        instance, domain = self._settings.instance, self._settings.domain
        self._owner.set_owned(self._ownership.owned_by(instance))
        self._entry.set_owners(
            self._ownership.owners, self._ownership.owners_for(instance, domain)
        )

    @property
    def _may_own(self) -> bool:
        return not self._stopping and self._gossip.confirmed

    async def _drain(self) -> None:
        """Wait until all requests have ended, up to the drain timeout."""
        deadline = self._timers.now() + self._settings.shutdown.drain_timeout_s
        while self._timers.now() < deadline:
            if self._entry.calls == 0:
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _update_gauges(self, now: float) -> None:
        if self._may_own != self._could_own:
            self._could_own = self._may_own
            self._update_ownership()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        gauge = self._metrics.gauge
        sent = self._links.bytes_sent + self._gossip.bytes_sent
        received = self._links.bytes_received + self._gossip.bytes_received
        gauge("control_bytes", max(sent, received))
        gauge("control_bytes_sent", sent)
        gauge("control_bytes_received", received)
        gauge("cpu_seconds", usage.ru_utime + usage.ru_stime)
        gauge("max_rss_kilobytes", usage.ru_maxrss)
        gauge("calls", self._entry.calls)
        gauge("waiting", self._entry.waiting)
        gauge("slots_standing", self._entry.standing)
        gauge("slots_in_use", self._owner.grants_in_use)
        gauge("catalog_revision", self._replica.version()[0])
        gauge("uptime_seconds", now - self._started_at)


def _is_deferrable(message: Message) -> bool:
    """Return whether a message is pure accounting and may be sent in a batch."""
    match message:
        case Charge() | Used() | ClaimFinish() | ServiceReport() | ServiceError():
            return True
        case Release(keep=keep):
            return keep
        case _:
            return False
