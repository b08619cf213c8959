"""Exchange of service counters among owners through one aggregator per pool."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from borageworks.catalog.replica import Replica
from borageworks.config.settings import Settings
from borageworks.fair.aggregator import Aggregator
from borageworks.fair.drift_correction import DriftCorrection
from borageworks.membership.member import Member
from borageworks.metrics import Metrics
from borageworks.router.owned_pool import OwnedPool
from borageworks.router.owner import Owner
from borageworks.routing.rendezvous import rendezvous
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import Message, ServiceError, ServiceReport

Send = Callable[[str, Message], None]

# Demand expires at the second exchange after its report was missed.
EXPIRY_EXCHANGES = 2.5
# A timer that fires slightly early must not run its phase twice.
MIN_DELAY_S = 0.05
# Fractions of the exchange interval, by wall clock, at which owners report, aggregators
# exchange sums and errors are sent to owners. If each instance chose its own phases,
# aggregators would compare current sums of their domain with old sums of others; their
# errors for one organisation then differed by up to 350 units at a gap of 700. Clocks
# may differ by a quarter of the interval.
REPORT_PHASE_RATIO = 0.0
SUMS_PHASE_RATIO = 0.25
ERRORS_PHASE_RATIO = 0.5


@dataclass(slots=True)
class _PoolState:
    """Reports and corrections of one pool at this owner."""

    correction: DriftCorrection
    aggregator: str | None = None
    reported_backlog: set[str] = field(default_factory=set)
    served_total: float = 0.0
    interval_units: float = 0.0
    owner_counts: dict[str, int] = field(default_factory=dict)
    backlogged_shares: float = 0.0


class ServiceExchange:
    """Reports and aggregates service counters and applies corrections.

    Parameters
    ----------
    settings
        Exchange interval and correction gains.
    incarnation
        Incarnation of this instance; service counters start at 0 in each.
    replica
        Current configuration, for shares.
    owner
        Owner side of this instance.
    timers, metrics
        Timers and metrics of the process.
    send
        Sends a message to any instance, including this one.
    members
        Returns the live, reachable members.
    unix_time
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        replica: Replica,
        owner: Owner,
        timers: Timers,
        metrics: Metrics,
        send: Send,
        members: Callable[[], Sequence[Member]],
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._replica = replica
        self._owner = owner
        self._timers = timers
        self._metrics = metrics
        self._send = send
        self._members = members
        self._unix_time = unix_time
        self._pools: dict[str, _PoolState] = {}
        self._aggregators: dict[str, Aggregator] = {}
        self._peers: dict[str, set[str]] = {}
        self._subscriptions: dict[float, TimerSubscription] = {}

    def start(self) -> None:
        """Subscribe to the timers."""
        self._schedule(REPORT_PHASE_RATIO, self._report_all)
        self._schedule(SUMS_PHASE_RATIO, self._send_domain_sums)
        self._schedule(ERRORS_PHASE_RATIO, self._send_errors)

    def stop(self) -> None:
        """Cancel the timers."""
        for subscription in self._subscriptions.values():
            subscription.cancel()

    def remove_member(self, instance: str) -> None:
        """Remove a dead owner's demand."""
        for aggregator in self._aggregators.values():
            aggregator.remove_owner(instance)

    def receive(self, sender: str, message: ServiceReport | ServiceError) -> None:
        """Handle a report or an error."""
        match message:
            case ServiceReport():
                self._aggregator(message.pool).report(self._timers.now(), message)
            case ServiceError():
                self._apply_error(message)

    def _schedule(self, phase_ratio: float, action: Callable[[float], None]) -> None:
        """Call `action` at its phase of each exchange interval, by wall clock."""
        interval = self._settings.fair.exchange_interval_s
        delay = (phase_ratio * interval - self._unix_time()) % interval

        def run(now: float) -> None:
            self._schedule(phase_ratio, action)
            action(now)

        self._subscriptions[phase_ratio] = self._timers.after(
            delay if delay > MIN_DELAY_S else delay + interval, run
        )

    def _report_all(self, now: float) -> None:
        domains = self._members_by_domain()
        for pool_name, pool in self._owner.pools.items():
            self._report(pool_name, pool, domains)
        for pool_name in [
            pool_name for pool_name in self._pools if pool_name not in self._owner.pools
        ]:
            del self._pools[pool_name]

    def _report(
        self, pool_name: str, pool: OwnedPool, domains: Mapping[str, list[str]]
    ) -> None:
        state = self._pools.get(pool_name)
        if state is None:
            state = self._pools[pool_name] = _PoolState(
                DriftCorrection(self._settings.fair)
            )
        state.correction.end_exchange()
        self._update_shares(pool, state)
        total = pool.served_total
        state.interval_units = total - state.served_total
        state.served_total = total
        aggregator = rendezvous(
            _aggregator_key(pool_name), domains.get(self._settings.domain, [])
        )
        if aggregator is None:
            return
        backlog = pool.queue.backlogged()
        to_report = pool.take_changed() | backlog | state.reported_backlog
        if aggregator != state.aggregator:
            # A new aggregator does not have the counters sent to the previous one.
            to_report |= pool.served.keys()
            state.aggregator = aggregator
        state.reported_backlog = backlog
        for organisation in sorted(to_report):
            self._metrics.count("service_reports")
            self._send(
                aggregator,
                ServiceReport(
                    pool=pool_name,
                    organisation=organisation,
                    owner=self._settings.instance,
                    incarnation=self._incarnation,
                    units=pool.served.get(organisation, 0.0),
                    backlogged=organisation in backlog,
                    domain=self._settings.domain,
                    owners=1,
                ),
            )

    def _send_errors(self, now: float) -> None:
        shares = {
            organisation.id: organisation.share
            for organisation in self._replica.organisations.values()
        }
        for aggregator in self._aggregators.values():
            for notification in aggregator.errors(now, shares):
                for owner in notification.owners:
                    self._send(owner, notification.error)

    def _send_domain_sums(self, now: float) -> None:
        domains = self._members_by_domain()
        for pool, aggregator in self._aggregators.items():
            changed = aggregator.domain_reports()
            known_peers = self._peers.get(pool, set())
            peers = {
                peer
                for domain, members in domains.items()
                if domain != self._settings.domain
                and (peer := rendezvous(_aggregator_key(pool), members)) is not None
            }
            for peer in peers:
                reports = (
                    changed if peer in known_peers else aggregator.all_domain_reports()
                )
                for report in reports:
                    self._send(peer, report)
            self._peers[pool] = peers

    def _update_shares(self, pool: OwnedPool, state: _PoolState) -> None:
        """Apply the owner counts received in the last exchange."""
        pool.set_owner_counts(state.owner_counts)
        state.backlogged_shares = 0.0
        for organisation_id in pool.queue.backlogged():
            organisation = self._replica.organisations.get(organisation_id)
            if organisation is not None:
                pool.set_share(organisation_id, organisation.share)
                state.backlogged_shares += organisation.share / state.owner_counts.get(
                    organisation_id, 1
                )
        state.owner_counts = {}

    def _apply_error(self, message: ServiceError) -> None:
        pool = self._owner.pools.get(message.pool)
        state = self._pools.get(message.pool)
        if pool is None or state is None:
            return
        state.owner_counts[message.organisation] = max(1, message.owners)
        if state.backlogged_shares <= 0:
            return
        # Shares are already divided by the owner count, so the correction is not.
        delta = state.correction.update(
            message.organisation,
            message.error,
            1,
            state.interval_units / state.backlogged_shares,
        )
        if delta:
            self._metrics.count("corrections")
            pool.queue.correct(message.organisation, delta)

    def _aggregator(self, pool: str) -> Aggregator:
        aggregator = self._aggregators.get(pool)
        if aggregator is None:
            aggregator = self._aggregators[pool] = Aggregator(
                pool,
                self._settings.domain,
                EXPIRY_EXCHANGES * self._settings.fair.exchange_interval_s,
            )
        return aggregator

    def _members_by_domain(self) -> dict[str, list[str]]:
        domains: dict[str, list[str]] = {}
        for member in self._members():
            domains.setdefault(member.domain, []).append(member.id)
        return domains


def _aggregator_key(pool: str) -> str:
    return f"service/{pool}"
