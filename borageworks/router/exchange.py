"""Exchange of service received between owners, through one aggregator per pool."""

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
from borageworks.router.owner import Owner
from borageworks.router.pool import OwnedPool
from borageworks.routing.rendezvous import rendezvous
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import Message, ServiceError, ServiceReport

Send = Callable[[str, Message], None]

# A report counts as demand until the second exchange after it was missed.
EXPIRY_EXCHANGES = 2.5
# A timer that fires a little early must not plan its phase a second time.
SHORTEST_DELAY_S = 0.05
# Parts of the interval, by wall clock, at which owners report, aggregators exchange
# sums and owners are told errors. With phases of each instance's own, aggregators
# compared their domain's present with the others' past, and their errors for one
# organisation differed by up to 350 units at a gap of 700. Clocks may differ by a
# quarter of the interval.
REPORT_PHASE = 0.0
SUMS_PHASE = 0.25
ERRORS_PHASE = 0.5


@dataclass(slots=True)
class _PoolState:
    """What this owner reported of one pool and to whom."""

    correction: DriftCorrection
    aggregator: str | None = None
    reported_backlog: set[str] = field(default_factory=set)
    served_total: float = 0.0
    served_interval: float = 0.0
    holders: dict[str, int] = field(default_factory=dict)
    shares: float = 0.0


class ServiceExchange:
    """Reports this owner's counters, aggregates for its domain, applies corrections.

    Parameters
    ----------
    settings
        Exchange interval and correction gains.
    incarnation
        Incarnation of this instance; its counters start at 0 with it.
    replica
        Configuration in force, for shares.
    owner
        Owner side of this instance.
    timers, metrics
        Services of the process.
    send
        Sends a message to an instance, also to this one.
    members
        Returns the live, reachable members.
    wall
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
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._replica = replica
        self._owner = owner
        self._timers = timers
        self._metrics = metrics
        self._send = send
        self._members = members
        self._wall = wall
        self._pools: dict[str, _PoolState] = {}
        self._aggregators: dict[str, Aggregator] = {}
        self._peers: dict[str, set[str]] = {}
        self._subscriptions: dict[float, TimerSubscription] = {}

    def start(self) -> None:
        """Subscribe to the timers."""
        self._plan(REPORT_PHASE, self._report_all)
        self._plan(SUMS_PHASE, self._tell_domains)
        self._plan(ERRORS_PHASE, self._tell_errors)

    def stop(self) -> None:
        """Cancel the timers."""
        for subscription in self._subscriptions.values():
            subscription.cancel()

    def member_dead(self, instance: str) -> None:
        """Drop a dead owner's demand."""
        for aggregator in self._aggregators.values():
            aggregator.remove_owner(instance)

    def receive(self, sender: str, message: ServiceReport | ServiceError) -> None:
        """Handle a report or an error."""
        match message:
            case ServiceReport():
                self._aggregator(message.pool).report(self._timers.now(), message)
            case ServiceError():
                self._correct(message)

    def _plan(self, phase: float, action: Callable[[float], None]) -> None:
        """Call `action` at its phase of each interval of the wall clock."""
        interval = self._settings.fair.exchange_interval_s
        delay = (phase * interval - self._wall()) % interval

        def run(now: float) -> None:
            self._plan(phase, action)
            action(now)

        self._subscriptions[phase] = self._timers.after(
            delay if delay > SHORTEST_DELAY_S else delay + interval, run
        )

    def _report_all(self, now: float) -> None:
        domains = self._domains()
        for name, pool in self._owner.pools.items():
            self._report(name, pool, domains)
        for name in [name for name in self._pools if name not in self._owner.pools]:
            del self._pools[name]

    def _report(
        self, name: str, pool: OwnedPool, domains: Mapping[str, list[str]]
    ) -> None:
        state = self._pools.get(name)
        if state is None:
            state = self._pools[name] = _PoolState(DriftCorrection(self._settings.fair))
        state.correction.end_exchange()
        self._divide_shares(pool, state)
        total = pool.served_total
        state.served_interval = total - state.served_total
        state.served_total = total
        aggregator = rendezvous(
            _aggregator_key(name), domains.get(self._settings.domain, [])
        )
        if aggregator is None:
            return
        backlog = pool.queue.backlogged()
        names = pool.take_changed() | backlog | state.reported_backlog
        if aggregator != state.aggregator:
            # A new aggregator has none of the counters of its predecessor.
            names |= pool.served.keys()
            state.aggregator = aggregator
        state.reported_backlog = backlog
        for organisation in sorted(names):
            self._metrics.count("service_reports")
            self._send(
                aggregator,
                ServiceReport(
                    pool=name,
                    organisation=organisation,
                    owner=self._settings.instance,
                    incarnation=self._incarnation,
                    units=pool.served.get(organisation, 0.0),
                    backlogged=organisation in backlog,
                    domain=self._settings.domain,
                    owners=1,
                ),
            )

    def _tell_errors(self, now: float) -> None:
        shares = {
            organisation.id: organisation.share
            for organisation in self._replica.organisations.values()
        }
        for aggregator in self._aggregators.values():
            for action in aggregator.errors(now, shares):
                for owner in action.owners:
                    self._send(owner, action.error)

    def _tell_domains(self, now: float) -> None:
        domains = self._domains()
        for pool, aggregator in self._aggregators.items():
            changed = aggregator.domain_reports()
            known = self._peers.get(pool, set())
            peers = {
                peer
                for domain, members in domains.items()
                if domain != self._settings.domain
                and (peer := rendezvous(_aggregator_key(pool), members)) is not None
            }
            for peer in peers:
                reports = changed if peer in known else aggregator.all_domain_reports()
                for report in reports:
                    self._send(peer, report)
            self._peers[pool] = peers

    def _divide_shares(self, pool: OwnedPool, state: _PoolState) -> None:
        """Apply the numbers of owners that the last exchange told."""
        pool.set_holders(state.holders)
        state.shares = 0.0
        for name in pool.queue.backlogged():
            organisation = self._replica.organisations.get(name)
            if organisation is not None:
                pool.set_share(name, organisation.share)
                state.shares += organisation.share / state.holders.get(name, 1)
        state.holders = {}

    def _correct(self, message: ServiceError) -> None:
        pool = self._owner.pools.get(message.pool)
        state = self._pools.get(message.pool)
        if pool is None or state is None:
            return
        state.holders[message.organisation] = max(1, message.owners)
        if state.shares <= 0:
            return
        # Shares are divided by the owners, so the correction is not divided again.
        delta = state.correction.update(
            message.organisation, message.error, 1, state.served_interval / state.shares
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

    def _domains(self) -> dict[str, list[str]]:
        domains: dict[str, list[str]] = {}
        for member in self._members():
            domains.setdefault(member.domain, []).append(member.id)
        return domains


def _aggregator_key(pool: str) -> str:
    return f"service/{pool}"
