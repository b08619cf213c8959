"""Owner side of a router: grants the slots of the endpoints that it owns."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from borageworks.catalog.objects import Endpoint
from borageworks.catalog.replica import Replica
from borageworks.config.settings import Settings
from borageworks.endpoints.transport import Transport
from borageworks.events import Event, emit
from borageworks.exceptions import EndpointFailedError, EndpointUnreachableError
from borageworks.fair.load_report import LoadReport
from borageworks.fair.window import ConcurrencyWindow
from borageworks.metrics import Metrics
from borageworks.router.grants import GivenGrant, GrantTable
from borageworks.router.isolation import IsolationQueue
from borageworks.router.owned import BrokenRun, OwnedEndpoint
from borageworks.router.pool import OwnedPool
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import (
    AloneDemand,
    AloneGrant,
    Charge,
    Demand,
    EndpointLost,
    Grant,
    Message,
    Outcome,
    Recall,
    Release,
    Running,
    Suspect,
    Used,
)

Send = Callable[[str, Message], None]
OwnerMessage = Demand | AloneDemand | Release | Charge | Used | Running

# Entry instances report slots in use within one heartbeat of an ownership change.
TAKEOVER_GRACE_S = 0.3
# Part of a window that is kept for entry instances without a standing slot.
STANDING_RESERVE = 0.25
# One lost report can be a busy endpoint; requests that fail suspend it at once.
MISSED_REPORTS_DOWN = 3
MILLISECONDS_PER_SECOND = 1000.0


class Owner:
    """Grants slots of owned endpoints in fair order.

    Parameters
    ----------
    settings
        Window and fairness settings.
    replica
        Configuration in force, for shares.
    timers, metrics
        Services of the process.
    transport
        Connections for load reports.
    grants
        Table of the grants given out.
    send
        Sends a message to an instance, also to this one.
    broadcast
        Sends a message to all live instances, also to this one.
    """

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        timers: Timers,
        metrics: Metrics,
        transport: Transport,
        grants: GrantTable,
        send: Send,
        broadcast: Callable[[Message], None],
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._timers = timers
        self._metrics = metrics
        self._transport = transport
        self._grants = grants
        self._send = send
        self._broadcast = broadcast
        self._isolation = IsolationQueue()
        self._owned: dict[str, OwnedEndpoint] = {}
        self._pools: dict[str, OwnedPool] = {}
        self._subscription: TimerSubscription | None = None
        self._polls: set[asyncio.Task[None]] = set()
        self._polled: Counter[str] = Counter()

    @property
    def owned(self) -> Mapping[str, OwnedEndpoint]:
        """Owned endpoints by id."""
        return self._owned

    @property
    def pools(self) -> Mapping[str, OwnedPool]:
        """Queues by pool."""
        return self._pools

    @property
    def grants_in_use(self) -> int:
        """Number of slots in use."""
        return len(self._grants)

    def start(self) -> None:
        """Begin to poll load reports."""
        self._subscription = self._timers.every(
            self._settings.window.report_interval_s, self._poll_all
        )

    def stop(self) -> None:
        """Stop polling."""
        if self._subscription is not None:
            self._subscription.cancel()
        for poll in self._polls:
            poll.cancel()

    def set_owned(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Take over the endpoints to own; give up all others."""
        now = self._timers.now()
        for endpoint_id in [name for name in self._owned if name not in endpoints]:
            self._recall(self._owned[endpoint_id].endpoint.pool, endpoint_id)
            # Entry instances tell the new owner of the slots that they use.
            for grant in self._grants.at_endpoint(endpoint_id):
                self._grants.pop(grant.grant_id)
                self._charge_end(grant, grant.received)
            del self._owned[endpoint_id]
            emit(Event.ENDPOINT_DISOWNED, endpoint=endpoint_id)
        for endpoint in endpoints.values():
            owned = self._owned.get(endpoint.id)
            if owned is not None:
                self._update(owned, endpoint, now)
                continue
            self._owned[endpoint.id] = OwnedEndpoint(
                endpoint,
                ConcurrencyWindow(
                    self._settings.window,
                    endpoint.window_initial,
                    endpoint.window_max,
                ),
                now + TAKEOVER_GRACE_S,
            )
            emit(Event.ENDPOINT_OWNED, endpoint=endpoint.id)
            self._timers.after(TAKEOVER_GRACE_S, lambda _: self._grant_all())
            self._poll(endpoint)
        live = {owned.endpoint.pool for owned in self._owned.values()}
        for name, pool in self._pools.items():
            if name not in live:
                pool.clear_demand()

    def receive(self, sender: str, message: OwnerMessage) -> None:
        """Handle a message of an entry instance."""
        match message:
            case Demand():
                self._demand(sender, message)
            case AloneDemand():
                self._isolation.add(self._timers.now(), sender, message)
                self._grant(message.pool)
            case Release():
                self._release(message)
            case Charge():
                self._charge(message)
            case Used():
                self._use(message)
            case Running():
                self._adopt(sender, message)

    def link_lost(self, entry: str) -> None:
        """Free what an entry instance held, after the link to it was lost."""
        self._isolation.drop_entry(entry)
        for pool in self._pools.values():
            pool.queue.drop_entry(entry)
        touched = set()
        for grant in self._grants.of_entry(entry):
            self._grants.pop(grant.grant_id)
            self._settle(grant, grant.received)
            touched.add(grant.pool)
        for name in touched:
            self._grant(name)

    def _update(self, owned: OwnedEndpoint, endpoint: Endpoint, now: float) -> None:
        if endpoint == owned.endpoint:
            return
        if (endpoint.host, endpoint.port) != (owned.endpoint.host, owned.endpoint.port):
            owned.grants_from = now
        owned.window.configure(endpoint.window_initial, endpoint.window_max)
        owned.endpoint = endpoint

    def _pool(self, name: str) -> OwnedPool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = OwnedPool()
        return pool

    def _demand(self, sender: str, demand: Demand) -> None:
        pool = self._pool(demand.pool)
        organisation = self._replica.organisations.get(demand.organisation)
        if organisation is None and demand.waiting:
            # This replica is behind the entry's; the next refresh repeats the demand.
            self._metrics.count("demand_ignored", "organisation_unknown")
            return
        if organisation is not None:
            pool.set_share(organisation.id, organisation.share)
        pool.queue.set_demand(
            self._timers.now(), sender, demand.organisation, demand.waiting
        )
        self._grant(demand.pool)

    def _grant(self, name: str) -> None:
        pool = self._pool(name)
        now = self._timers.now()
        self._grant_alone(name, now)
        while (owned := self._freest(name, now)) is not None:
            pick = pool.queue.take(now)
            if pick is None:
                return
            grant = self._give(owned, pick.entry, pick.organisation, now)
            self._send(pick.entry, grant)
        if pool.queue.backlogged():
            self._recall(name)

    def _grant_alone(self, name: str, now: float) -> None:
        """Reserve an endpoint for a request that runs alone; grant it once empty."""
        if not self._isolation.waits(now, name):
            return
        owned_here = [o for o in self._owned.values() if o.endpoint.pool == name]
        if any(owned.crashed for owned in owned_here):
            # The next request may be a copy of the one that has just crashed one.
            return
        candidates = [o for o in owned_here if o.up and now >= o.grants_from]
        if not candidates:
            return
        owned = min(
            candidates, key=lambda each: (not each.reserved, each.window.in_use)
        )
        owned.reserved = True
        self._recall(name, owned.endpoint.id)
        if owned.window.in_use:
            return
        waiting = self._isolation.pop(now, name)
        assert waiting is not None
        entry, demand = waiting
        grant = self._give(owned, entry, demand.organisation, now, alone=True)
        self._send(entry, AloneGrant(demand.request_id, grant))

    def _give(
        self,
        owned: OwnedEndpoint,
        entry: str,
        organisation: str,
        now: float,
        *,
        alone: bool = False,
    ) -> Grant:
        name = owned.endpoint.pool
        pool = self._pool(name)
        owned.window.force_acquire(now)
        estimate = pool.costs.estimate(organisation, name, None)
        pool.queue.charge(organisation, estimate)
        grant = GivenGrant(
            self._grants.new_id(),
            entry,
            owned.endpoint.id,
            name,
            organisation,
            estimate,
            alone=alone,
            standing=not alone and self._has_reserve(owned, now),
        )
        self._grants.add(grant)
        self._metrics.count("grants", "alone" if alone else "shared")
        return Grant(grant.grant_id, grant.endpoint, name, organisation, grant.standing)

    def _has_reserve(self, owned: OwnedEndpoint, now: float) -> bool:
        return owned.free(now) >= STANDING_RESERVE * owned.window.limit

    def _recall(self, pool: str, endpoint: str = "") -> None:
        """Ask for standing slots back, each entry instance once."""
        taken = self._grants.take_standing(pool, endpoint)
        for entry in sorted({grant.entry for grant in taken}):
            self._metrics.count("recalls")
            self._send(entry, Recall(pool, endpoint))

    def _grant_all(self) -> None:
        for name in list(self._pools):
            self._grant(name)

    def _freest(self, pool: str, now: float) -> OwnedEndpoint | None:
        candidates = [
            owned
            for owned in self._owned.values()
            if owned.endpoint.pool == pool and owned.free(now) > 0
        ]
        return max(
            candidates,
            key=lambda owned: owned.free(now) / owned.window.limit,
            default=None,
        )

    def _release(self, release: Release) -> None:
        grant = self._grants.get(release.grant_id)
        if grant is None:
            self._metrics.count("releases_ignored")
            return
        # A recall that crossed this message has the entry return the slot.
        if not release.keep:
            self._grants.pop(release.grant_id)
        owned = self._owned.get(grant.endpoint)
        match release.outcome:
            case Outcome.COMPLETED:
                pool = self._pool(grant.pool)
                pool.costs.observe(grant.organisation, grant.pool, release.units)
                if owned is not None:
                    owned.window.on_latency(
                        self._timers.now(),
                        release.first_token,
                        release.token_interval,
                    )
            case Outcome.CRASHED if owned is not None:
                if release.fingerprint:
                    owned.crashed[release.fingerprint] = BrokenRun(
                        grant.alone, self._timers.now()
                    )
                self._suspend(owned)
            case Outcome.UNREACHABLE if owned is not None:
                self._suspend(owned)
            case _:
                pass
        self._metrics.count("releases", release.outcome.name.lower())
        if release.keep:
            self._charge_end(grant, release.units)
            grant.charged = grant.received = grant.counted = 0.0
            grant.organisation = ""
        else:
            self._settle(grant, release.units)
        self._grant(grant.pool)

    def _settle(self, grant: GivenGrant, units: float) -> None:
        """Free the slot and replace the estimate by the units received."""
        owned = self._owned.get(grant.endpoint)
        if owned is not None:
            owned.window.release(self._timers.now())
            if grant.alone:
                owned.reserved = False
        self._charge_end(grant, units)

    def _charge_end(self, grant: GivenGrant, units: float) -> None:
        if not grant.organisation:
            return
        pool = self._pool(grant.pool)
        pool.queue.charge(grant.organisation, units - grant.charged)
        pool.count_service(grant.organisation, units - grant.counted)

    def _use(self, used: Used) -> None:
        pool = self._pool(used.pool)
        pool.queue.charge(used.organisation, used.units)
        pool.count_service(used.organisation, used.units)
        if used.requests:
            self._metrics.count("slot_uses", amount=used.requests)

    def _charge(self, charge: Charge) -> None:
        grant = self._grants.get(charge.grant_id)
        if grant is None:
            return
        grant.received = max(grant.received, charge.units)
        pool = self._pool(grant.pool)
        pool.count_service(grant.organisation, grant.received - grant.counted)
        grant.counted = grant.received
        if charge.units > grant.charged:
            pool.queue.charge(grant.organisation, charge.units - grant.charged)
            grant.charged = charge.units

    def _adopt(self, sender: str, running: Running) -> None:
        """Record a slot that was granted by a former owner."""
        owned = self._owned.get(running.endpoint)
        if owned is None or self._grants.get(running.grant_id) is not None:
            return
        owned.window.force_acquire(self._timers.now())
        self._grants.add(
            GivenGrant(
                running.grant_id,
                sender,
                running.endpoint,
                running.pool,
                running.organisation,
                running.units,
                running.units,
                running.units,
            )
        )

    def _suspend(self, owned: OwnedEndpoint) -> None:
        """Give no grants until the next load report tells the endpoint's state."""
        owned.up = False
        self._recall(owned.endpoint.pool, owned.endpoint.id)
        # A report that is under way may have been written before the failure.
        self._start_poll(owned.endpoint)

    def _fail(self, owned: OwnedEndpoint) -> None:
        owned.up = False
        self._recall(owned.endpoint.pool, owned.endpoint.id)
        owned.window.on_failure(self._timers.now())
        self._metrics.count("endpoints_down")
        emit(Event.ENDPOINT_DOWN, endpoint=owned.endpoint.id)
        self._blame(owned)

    def _tell_lost(self, owned: OwnedEndpoint, *, restarted: bool) -> None:
        grants = self._grants.at_endpoint(owned.endpoint.id)
        for entry in sorted({grant.entry for grant in grants}):
            self._send(entry, EndpointLost(owned.endpoint.id, restarted))

    def _blame(self, owned: OwnedEndpoint) -> None:
        """Tell all instances which requests ran on an incarnation that crashed."""
        for fingerprint, run in owned.crashed.items():
            self._metrics.count("suspects")
            self._broadcast(
                Suspect(fingerprint, owned.endpoint.id, owned.incarnation, run.alone)
            )
        owned.crashed.clear()

    def _resume(self, owned: OwnedEndpoint) -> None:
        owned.up = True
        owned.window.on_recovered(self._timers.now())
        emit(Event.ENDPOINT_UP, endpoint=owned.endpoint.id)

    def _poll_all(self, now: float) -> None:
        for owned in self._owned.values():
            self._poll(owned.endpoint)

    def _poll(self, endpoint: Endpoint) -> None:
        if not self._polled[endpoint.id]:
            self._start_poll(endpoint)

    def _start_poll(self, endpoint: Endpoint) -> None:
        self._polled[endpoint.id] += 1
        task = asyncio.get_running_loop().create_task(self._read_report(endpoint))
        self._polls.add(task)
        task.add_done_callback(self._polls.discard)

    async def _read_report(self, endpoint: Endpoint) -> None:
        asked_at = self._timers.now()
        try:
            body = await self._transport.get_json(
                endpoint, "/load", self._settings.window.report_interval_s
            )
        except EndpointFailedError as error:
            self._metrics.count("load_reports_failed", error.code)
            owned = self._owned.get(endpoint.id)
            if owned is not None:
                self._miss_report(owned, error)
                self._grant(endpoint.pool)
        else:
            self._take_report(endpoint, body, asked_at)
        finally:
            self._polled[endpoint.id] -= 1
            if not self._polled[endpoint.id]:
                del self._polled[endpoint.id]

    def _miss_report(self, owned: OwnedEndpoint, error: EndpointFailedError) -> None:
        owned.missed_reports += 1
        refused = isinstance(error, EndpointUnreachableError)
        if not owned.up and refused:
            self._blame(owned)
        closed = not owned.up and refused
        silent = owned.missed_reports >= MISSED_REPORTS_DOWN
        if (closed or silent) and owned.window.limit > 0:
            self._fail(owned)
        if silent:
            self._tell_lost(owned, restarted=False)

    def _take_report(
        self, endpoint: Endpoint, body: Mapping[str, object], asked_at: float
    ) -> None:
        owned = self._owned.get(endpoint.id)
        if owned is None:
            return
        report = LoadReport(
            running=_non_negative_int(body.get("running")),
            waiting=_non_negative_int(body.get("waiting")),
            token_interval_s=_non_negative(body.get("token_interval_ms"))
            / MILLISECONDS_PER_SECOND,
            incarnation=str(body.get("incarnation", "")),
        )
        owned.missed_reports = 0
        if owned.incarnation and report.incarnation != owned.incarnation:
            self._blame(owned)
            self._tell_lost(owned, restarted=True)
        owned.crashed = {
            fingerprint: run
            for fingerprint, run in owned.crashed.items()
            if run.told_at >= asked_at
        }
        owned.incarnation = report.incarnation
        owned.window.on_report(self._timers.now(), report)
        if not owned.up and not owned.crashed:
            self._resume(owned)
        self._grant(endpoint.pool)


def _non_negative(value: object) -> float:
    return float(value) if isinstance(value, int | float) and value > 0 else 0.0


def _non_negative_int(value: object) -> int:
    return int(_non_negative(value))
