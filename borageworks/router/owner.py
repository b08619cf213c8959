"""Owner side of a router: grants slots of the endpoints that it owns."""

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
from borageworks.router.grants import GrantTable, IssuedGrant
from borageworks.router.isolation import IsolationQueue
from borageworks.router.owned_endpoint import BrokenRequest, OwnedEndpoint
from borageworks.router.owned_pool import OwnedPool
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
# Fraction of a window reserved for entry instances without a standing slot.
STANDING_RESERVE_RATIO = 0.25
# A busy endpoint can miss a report; failed requests suspend an endpoint at once.
MAX_MISSED_REPORTS = 3
MILLISECONDS_PER_SECOND = 1000.0


class Owner:
    """Grants slots of owned endpoints in weighted fair order.

    Parameters
    ----------
    settings
        Window settings.
    replica
        Current configuration, for shares.
    timers, metrics
        Timers and metrics of the process.
    transport
        Client for load reports.
    grants
        Table of issued grants.
    send
        Sends a message to any instance, including this one.
    broadcast
        Sends a message to all live instances, including this one.
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
        self._poll_tasks: set[asyncio.Task[None]] = set()
        self._polls_in_progress: Counter[str] = Counter()

    @property
    def owned(self) -> Mapping[str, OwnedEndpoint]:
        """Owned endpoints by id."""
        return self._owned

    @property
    def pools(self) -> Mapping[str, OwnedPool]:
        """Queues and service counters by pool."""
        return self._pools

    @property
    def grants_in_use(self) -> int:
        """Number of slots in use."""
        return len(self._grants)

    def start(self) -> None:
        """Start polling load reports."""
        self._subscription = self._timers.every(
            self._settings.window.report_interval_s, self._poll_all
        )

    def stop(self) -> None:
        """Stop polling."""
        if self._subscription is not None:
            self._subscription.cancel()
        for poll in self._poll_tasks:
            poll.cancel()

    def set_owned(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Take over the given endpoints and give up all others."""
        now = self._timers.now()
        for endpoint_id in [
            endpoint_id for endpoint_id in self._owned if endpoint_id not in endpoints
        ]:
            self._recall(self._owned[endpoint_id].endpoint.pool, endpoint_id)
            # Entry instances report the slots in use to the new owner.
            for grant in self._grants.at_endpoint(endpoint_id):
                self._grants.pop(grant.grant_id)
                self._charge_final(grant, grant.received_units)
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
        owned_pools = {owned.endpoint.pool for owned in self._owned.values()}
        for pool_name, pool in self._pools.items():
            if pool_name not in owned_pools:
                pool.clear_demand()

    def receive(self, sender: str, message: OwnerMessage) -> None:
        """Handle a message from an entry instance."""
        match message:
            case Demand():
                self._update_demand(sender, message)
            case AloneDemand():
                self._isolation.add(self._timers.now(), sender, message)
                self._grant_slots(message.pool)
            case Release():
                self._release(message)
            case Charge():
                self._charge(message)
            case Used():
                self._record_usage(message)
            case Running():
                self._adopt(sender, message)

    def link_lost(self, entry: str) -> None:
        """Free the slots of an entry instance after the link to it was lost."""
        self._isolation.remove_entry(entry)
        for pool in self._pools.values():
            pool.queue.remove_entry(entry)
        freed_pools = set()
        for grant in self._grants.of_entry(entry):
            self._grants.pop(grant.grant_id)
            self._settle(grant, grant.received_units)
            freed_pools.add(grant.pool)
        for pool_name in freed_pools:
            self._grant_slots(pool_name)

    def _update(self, owned: OwnedEndpoint, endpoint: Endpoint, now: float) -> None:
        if endpoint == owned.endpoint:
            return
        if (endpoint.host, endpoint.port) != (owned.endpoint.host, owned.endpoint.port):
            owned.grants_from = now
        owned.window.configure(endpoint.window_initial, endpoint.window_max)
        owned.endpoint = endpoint

    def _pool(self, pool_name: str) -> OwnedPool:
        pool = self._pools.get(pool_name)
        if pool is None:
            pool = self._pools[pool_name] = OwnedPool()
        return pool

    def _update_demand(self, sender: str, demand: Demand) -> None:
        pool = self._pool(demand.pool)
        organisation = self._replica.organisations.get(demand.organisation)
        if organisation is None and demand.waiting:
            # This replica is stale; the entry instance repeats the demand every second.
            self._metrics.count("demand_ignored", "organisation_unknown")
            return
        if organisation is not None:
            pool.set_share(organisation.id, organisation.share)
        pool.queue.set_demand(
            self._timers.now(), sender, demand.organisation, demand.waiting
        )
        self._grant_slots(demand.pool)

    def _grant_slots(self, pool_name: str) -> None:
        pool = self._pool(pool_name)
        now = self._timers.now()
        self._grant_isolated(pool_name, now)
        while (owned := self._least_used(pool_name, now)) is not None:
            selection = pool.queue.take(now)
            if selection is None:
                return
            grant = self._issue(owned, selection.entry, selection.organisation, now)
            self._send(selection.entry, grant)
        if pool.queue.backlogged():
            self._recall(pool_name)

    def _grant_isolated(self, pool_name: str, now: float) -> None:
        """Reserve an endpoint for an isolated request; grant it once it is idle."""
        if not self._isolation.has_waiting(now, pool_name):
            return
        pool_endpoints = [
            candidate
            for candidate in self._owned.values()
            if candidate.endpoint.pool == pool_name
        ]
        if any(owned.broken_requests for owned in pool_endpoints):
            # The next request may be a copy of one that has just crashed an endpoint.
            return
        candidates = [
            candidate
            for candidate in pool_endpoints
            if candidate.up and now >= candidate.grants_from
        ]
        if not candidates:
            return
        owned = min(
            candidates,
            key=lambda candidate: (not candidate.reserved, candidate.window.in_use),
        )
        owned.reserved = True
        self._recall(pool_name, owned.endpoint.id)
        if owned.window.in_use:
            return
        waiting = self._isolation.pop(now, pool_name)
        assert waiting is not None
        entry, demand = waiting
        grant = self._issue(owned, entry, demand.organisation, now, isolated=True)
        self._send(entry, AloneGrant(demand.request_id, grant))

    def _issue(
        self,
        owned: OwnedEndpoint,
        entry: str,
        organisation: str,
        now: float,
        *,
        isolated: bool = False,
    ) -> Grant:
        pool_name = owned.endpoint.pool
        pool = self._pool(pool_name)
        owned.window.force_acquire(now)
        estimate = pool.costs.estimate(organisation, pool_name, None)
        pool.queue.charge(organisation, estimate)
        grant = IssuedGrant(
            self._grants.new_id(),
            entry,
            owned.endpoint.id,
            pool_name,
            organisation,
            estimate,
            isolated=isolated,
            standing=not isolated and self._has_reserve(owned, now),
        )
        self._grants.add(grant)
        self._metrics.count("grants", "alone" if isolated else "shared")
        return Grant(
            grant.grant_id, grant.endpoint, pool_name, organisation, grant.standing
        )

    def _has_reserve(self, owned: OwnedEndpoint, now: float) -> bool:
        return owned.free_slots(now) >= STANDING_RESERVE_RATIO * owned.window.limit

    def _recall(self, pool: str, endpoint: str = "") -> None:
        """Recall standing slots, with one message to each entry instance."""
        revoked = self._grants.revoke_standing(pool, endpoint)
        for entry in sorted({grant.entry for grant in revoked}):
            self._metrics.count("recalls")
            self._send(entry, Recall(pool, endpoint))

    def _grant_all(self) -> None:
        for pool_name in list(self._pools):
            self._grant_slots(pool_name)

    def _least_used(self, pool: str, now: float) -> OwnedEndpoint | None:
        candidates = [
            owned
            for owned in self._owned.values()
            if owned.endpoint.pool == pool and owned.free_slots(now) > 0
        ]
        return max(
            candidates,
            key=lambda owned: owned.free_slots(now) / owned.window.limit,
            default=None,
        )

    def _release(self, release: Release) -> None:
        grant = self._grants.get(release.grant_id)
        if grant is None:
            self._metrics.count("releases_ignored")
            return
        # If a recall crosses this message, the entry instance returns the slot later.
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
                    owned.broken_requests[release.fingerprint] = BrokenRequest(
                        grant.isolated, self._timers.now()
                    )
                self._suspend(owned)
            case Outcome.UNREACHABLE if owned is not None:
                self._suspend(owned)
            case _:
                pass
        self._metrics.count("releases", release.outcome.name.lower())
        if release.keep:
            self._charge_final(grant, release.units)
            grant.charged_units = grant.received_units = grant.counted_units = 0.0
            grant.organisation = ""
        else:
            self._settle(grant, release.units)
        self._grant_slots(grant.pool)

    def _settle(self, grant: IssuedGrant, units: float) -> None:
        """Free the slot and replace the estimated charge by the units received."""
        owned = self._owned.get(grant.endpoint)
        if owned is not None:
            owned.window.release(self._timers.now())
            if grant.isolated:
                owned.reserved = False
        self._charge_final(grant, units)

    def _charge_final(self, grant: IssuedGrant, units: float) -> None:
        if not grant.organisation:
            return
        pool = self._pool(grant.pool)
        pool.queue.charge(grant.organisation, units - grant.charged_units)
        pool.count_service(grant.organisation, units - grant.counted_units)

    def _record_usage(self, used: Used) -> None:
        pool = self._pool(used.pool)
        pool.queue.charge(used.organisation, used.units)
        pool.count_service(used.organisation, used.units)
        if used.requests:
            self._metrics.count("slot_uses", amount=used.requests)

    def _charge(self, charge: Charge) -> None:
        grant = self._grants.get(charge.grant_id)
        if grant is None:
            return
        grant.received_units = max(grant.received_units, charge.units)
        pool = self._pool(grant.pool)
        pool.count_service(
            grant.organisation, grant.received_units - grant.counted_units
        )
        grant.counted_units = grant.received_units
        if charge.units > grant.charged_units:
            pool.queue.charge(grant.organisation, charge.units - grant.charged_units)
            grant.charged_units = charge.units

    def _adopt(self, sender: str, running: Running) -> None:
        """Record a slot in use that a former owner granted."""
        owned = self._owned.get(running.endpoint)
        if owned is None or self._grants.get(running.grant_id) is not None:
            return
        owned.window.force_acquire(self._timers.now())
        self._grants.add(
            IssuedGrant(
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
        """Issue no grants until the next load report shows the endpoint's state."""
        owned.up = False
        self._recall(owned.endpoint.pool, owned.endpoint.id)
        # A poll in progress may return a report from before the failure.
        self._start_poll(owned.endpoint)

    def _mark_down(self, owned: OwnedEndpoint) -> None:
        owned.up = False
        self._recall(owned.endpoint.pool, owned.endpoint.id)
        owned.window.on_failure(self._timers.now())
        self._metrics.count("endpoints_down")
        emit(Event.ENDPOINT_DOWN, endpoint=owned.endpoint.id)
        self._report_suspects(owned)

    def _notify_lost(self, owned: OwnedEndpoint, *, restarted: bool) -> None:
        grants = self._grants.at_endpoint(owned.endpoint.id)
        for entry in sorted({grant.entry for grant in grants}):
            self._send(entry, EndpointLost(owned.endpoint.id, restarted))

    def _report_suspects(self, owned: OwnedEndpoint) -> None:
        """Report to all instances which requests ran on a crashed incarnation."""
        for fingerprint, broken in owned.broken_requests.items():
            self._metrics.count("suspects")
            self._broadcast(
                Suspect(
                    fingerprint, owned.endpoint.id, owned.incarnation, broken.isolated
                )
            )
        owned.broken_requests.clear()

    def _mark_up(self, owned: OwnedEndpoint) -> None:
        owned.up = True
        owned.window.on_recovered(self._timers.now())
        emit(Event.ENDPOINT_UP, endpoint=owned.endpoint.id)

    def _poll_all(self, now: float) -> None:
        for owned in self._owned.values():
            self._poll(owned.endpoint)

    def _poll(self, endpoint: Endpoint) -> None:
        if not self._polls_in_progress[endpoint.id]:
            self._start_poll(endpoint)

    def _start_poll(self, endpoint: Endpoint) -> None:
        self._polls_in_progress[endpoint.id] += 1
        task = asyncio.get_running_loop().create_task(self._poll_load(endpoint))
        self._poll_tasks.add(task)
        task.add_done_callback(self._poll_tasks.discard)

    async def _poll_load(self, endpoint: Endpoint) -> None:
        requested_at = self._timers.now()
        try:
            body = await self._transport.get_json(
                endpoint, "/load", self._settings.window.report_interval_s
            )
        except EndpointFailedError as error:
            self._metrics.count("load_reports_failed", error.code)
            owned = self._owned.get(endpoint.id)
            if owned is not None:
                self._record_missed_report(owned, error)
                self._grant_slots(endpoint.pool)
        else:
            self._apply_report(endpoint, body, requested_at)
        finally:
            self._polls_in_progress[endpoint.id] -= 1
            if not self._polls_in_progress[endpoint.id]:
                del self._polls_in_progress[endpoint.id]

    def _record_missed_report(
        self, owned: OwnedEndpoint, error: EndpointFailedError
    ) -> None:
        owned.missed_reports += 1
        unreachable = isinstance(error, EndpointUnreachableError)
        if not owned.up and unreachable:
            self._report_suspects(owned)
        confirmed_down = not owned.up and unreachable
        unresponsive = owned.missed_reports >= MAX_MISSED_REPORTS
        if (confirmed_down or unresponsive) and owned.window.limit > 0:
            self._mark_down(owned)
        if unresponsive:
            self._notify_lost(owned, restarted=False)

    def _apply_report(
        self, endpoint: Endpoint, body: Mapping[str, object], requested_at: float
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
            self._report_suspects(owned)
            self._notify_lost(owned, restarted=True)
        owned.broken_requests = {
            fingerprint: broken
            for fingerprint, broken in owned.broken_requests.items()
            if broken.reported_at >= requested_at
        }
        owned.incarnation = report.incarnation
        owned.window.on_report(self._timers.now(), report)
        if not owned.up and not owned.broken_requests:
            self._mark_up(owned)
        self._grant_slots(endpoint.pool)


def _non_negative(value: object) -> float:
    return float(value) if isinstance(value, int | float) and value > 0 else 0.0


def _non_negative_int(value: object) -> int:
    return int(_non_negative(value))
