"""Placement of requests, by this instance or by the owners of other shards."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import asdict, replace
from typing import Any

from borageworks.events import Event, emit
from borageworks.exceptions import (
    CapacityExceededError,
    EndpointUnavailableError,
    PlacementSilentError,
    StreamUnknownError,
)
from borageworks.gateway.directory import Directory
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.endpoint_notices import (
    MAX_AGE_S,
    NO_LIMIT,
    EndpointNotices,
)
from borageworks.gateway.evacuations import Evacuations
from borageworks.gateway.fleet import SILENCE_S, Fleet
from borageworks.gateway.fleet_shares import FleetShares
from borageworks.gateway.load_reports import LoadReports, decode_load, encode_load
from borageworks.gateway.organisation_tally import OrganisationTally
from borageworks.gateway.pending_placement import PendingPlacement
from borageworks.gateway.placement_inbox import PlacementInbox, UndecidedRequest
from borageworks.gateway.placement_messages import (
    decode_work,
    encode_decision,
    encode_work,
    refusal_error,
)
from borageworks.gateway.placement_paths import PlacementPaths
from borageworks.gateway.stream_versions import StreamVersions
from borageworks.metrics import Metrics
from borageworks.placement.cache_update import CacheUpdate
from borageworks.placement.cold_limit import (
    MAX_HOLD_S,
    MAX_SEND_DELAY_S,
    ColdDelegation,
    ColdParts,
)
from borageworks.placement.crash_evidence import CrashEvidence
from borageworks.placement.decisions import Decision, Placed, RefusalReason, Refused
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.engine_load import EngineLoad
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.prefill_speed import PrefillSpeed
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.shards import ServiceShards, Shard
from borageworks.placement.share_tally import OrganisationAmounts, ShareReport
from borageworks.placement.summary import PlacementSummary
from borageworks.placement.work import Work, WorkKey
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import (
    CrashTrait,
    EndpointLoad,
    EndpointLoads,
    EndpointStatement,
    Message,
    PlacementState,
    PlaceReply,
    PlaceRequest,
    PlaceWithdraw,
    ShardOwner,
    WorkEnded,
    WorkRunning,
    WorkStarted,
)

TICK_INTERVAL_S = 0.02
# An owner that keeps up acknowledges a request within this fraction of its target
# latency. The bounds allow for a round trip between failure domains and one delayed
# iteration of its loop.
ACK_LATE_RATIO = 0.1
MIN_ACK_LATE_S = 0.03
MAX_ACK_LATE_S = 0.1
# Loop iterations after which data that has already arrived has been processed.
READ_LOOP_ITERATIONS = 3
# Time for an instance to open a new link and to confirm its requests.
CONFIRMATION_TIMEOUT_S = 0.25
# Owners that are asked before an instance places a request itself: the second one has
# taken over from the first. Instances that place alone do not know of each other, so
# after the loss of an owner all of them would choose the same endpoints.
MAX_OWNERS_ASKED = 2
# Beside the owner of a shard, requests are placed without interruption as long as they
# are not further apart than this.
ALONE_TIMEOUT_S = 1.0
# Extra time for the owner's decision to arrive after the request's maximum wait.
DECISION_MARGIN_S = 0.1


class Placer:
    """Places the requests of this instance, and those of others in shards it owns.

    The endpoints of a service form shards. Each shard has one owner, which places its
    requests for all instances. If the owner does not respond, this instance places the
    request itself, using only its fraction of the endpoints' capacity.

    Parameters
    ----------
    fleet
        Instances and messages to them.
    directory
        Current deployment configuration and endpoints.
    notices
        What endpoints state about themselves.
    timers, metrics
        Services of the process.
    settings
        Settings of placement.
    is_overloaded
        Returns whether this process notices events late.
    streams
        Versions of the engines that began streams.
    confirm_replica
        Reads the store; returns whether this instance then knows all engines that were
        listed at the time of the call.
    evacuations
        Failure domains that the operator has evacuated.
    shares
        Receives what owners tell about the shares of organisations.
    lag_s
        Returns the mean lag of the event loop in seconds, for the log.
    """

    def __init__(
        self,
        fleet: Fleet,
        directory: Directory,
        notices: EndpointNotices,
        timers: Timers,
        metrics: Metrics,
        settings: PlacementSettings,
        is_overloaded: Callable[[], bool] = lambda: False,
        streams: StreamVersions | None = None,
        confirm_replica: Callable[[], Awaitable[bool]] | None = None,
        evacuations: Evacuations | None = None,
        shares: FleetShares | None = None,
        lag_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._fleet = fleet
        self._instance = fleet.instance
        self._directory = directory
        self._notices = notices
        notices.attach(self._owner_of_endpoint, self._apply_notice, self._apply_pause)
        self._timers = timers
        self._metrics = metrics
        self._settings = settings
        self._is_overloaded = is_overloaded
        self._lag_s = lag_s
        self._paths = PlacementPaths(metrics)
        self._inbox = PlacementInbox(
            timers, self._decide, self._refuse_undecided, self._rank
        )
        self._streams = StreamVersions() if streams is None else streams
        self._confirm_replica = confirm_replica
        self._evacuations = Evacuations("") if evacuations is None else evacuations
        self._shares = (
            FleetShares(settings.share_window_s) if shares is None else shares
        )
        self._dispatchers: dict[Shard, Dispatcher] = {}
        self._service_shards: dict[str, ServiceShards] = {}
        self._most_endpoints: dict[str, int] = {}
        self._owners: dict[Shard, str] = {}
        # Times at which this instance last placed a request beside the owner, and at
        # which others asked it to place one.
        self._placed_alone_at: dict[Shard, float] = {}
        self._asked_at: dict[Shard, dict[str, float]] = {}
        self._evidence = CrashEvidence(self._share_evidence)
        self._evidence_store: Callable[[CrashTrait], None] | None = None
        self._loads = LoadReports(timers, metrics)
        self._requests: dict[int, PendingPlacement] = {}
        self._numbers = itertools.count(1)
        self._tick_timer: TimerSubscription | None = None
        self._tallies: dict[Shard, OrganisationTally] = {}
        # Refusals since the last report.
        self._refusal_reasons: dict[Shard, Counter[RefusalReason]] = {}
        # Parts of the limits of cold endpoints, of this instance and of others.
        self._delegations: dict[Shard, ColdDelegation] = {}
        self._cold_parts: dict[Shard, ColdParts] = {}
        self._reviewed_at = timers.now()
        self._distrusted_until = -math.inf
        self._cold_logged: dict[str, float] = {}
        metrics.before_render(self._update_gauges)

    @property
    def dispatchers(self) -> dict[Shard, Dispatcher]:
        """Dispatcher by shard."""
        return self._dispatchers

    @property
    def shares(self) -> FleetShares:
        """What owners have told about the shares of organisations."""
        return self._shares

    def owns(self, shard: Shard) -> bool:
        """Return whether this instance places the requests of a shard."""
        return self._owner(shard) == self._instance

    def new_key(self) -> WorkKey:
        """Return a unique key for a request of this instance."""
        return self._instance, next(self._numbers)

    async def place(self, service: str, request_id: str, work: Work) -> Placed:
        """Place a request and return the decision.

        Raises
        ------
        EndpointUnavailableError
            If no endpoint of the service is available.
        CapacityExceededError
            If no endpoint can respond in time.
        StreamUnknownError
            If the version is not known of the engine that began a resumed stream.
        """
        work = self._bind(service, work)
        try:
            return await self._place(service, request_id, work)
        except StreamUnknownError:
            work = await self._infer_version(service, work)
        return await self._place(service, request_id, work)

    async def _place(self, service: str, request_id: str, work: Work) -> Placed:
        shard = self._find_shard(service, request_id, work)
        if shard not in self._dispatchers:
            raise EndpointUnavailableError(
                f"service {service!r} has no endpoints",
                retry_after=self._settings.min_retry_after_s,
            )
        owner = self._owner(shard)
        loop = asyncio.get_running_loop()
        pending = PendingPlacement(
            shard, work, owner, loop.create_future(), asyncio.Event()
        )
        self._requests[work.key[1]] = pending
        try:
            for _ in range(MAX_OWNERS_ASKED):
                if pending.owner == self._instance:
                    break
                try:
                    return await self._request_from_owner(pending)
                except PlacementSilentError as error:
                    self._handle_unresponsive_owner(pending, error)
                    work = pending.work
                successor = self._owner(shard)
                if successor == owner:
                    break
                pending.owner = successor
            pending.owner = self._instance
            self._delegate(shard, self._instance)
            self._submit(shard, work)
            return await pending.future
        except BaseException as error:
            self._requests.pop(work.key[1], None)
            if pending.future.done() and not pending.future.cancelled():
                # Marks the exception of a late decision as retrieved.
                pending.future.exception()
            if isinstance(error, asyncio.CancelledError):
                self._withdraw(pending)
            raise

    def _find_shard(self, service: str, request_id: str, work: Work) -> Shard:
        """Return the shard of a request, another one if no endpoint there may run it.

        The endpoints of one version of their software may all be in other shards.
        """
        service_shards = self._service_shards.get(service)
        if service_shards is None:
            return service, 0
        found = service_shards.find(work.prompt, request_id)
        if work.software_version is None and not self._evacuations.domains:
            return service, found
        for number in (found, *range(service_shards.count)):
            dispatcher = self._dispatchers.get((service, number))
            if dispatcher is not None and dispatcher.may_run(work):
                return service, number
        return service, found

    def record_start(self, key: WorkKey) -> None:
        """Record that the response to a request has begun."""
        pending = self._requests.get(key[1])
        if pending is None or pending.started:
            return
        pending.started = True
        delayed = self._is_overloaded()
        if pending.owner == self._instance:
            self._start(pending.shard, key, delayed)
        else:
            loads = self._untold_load(pending)
            first_output_s = self._timers.now() - pending.placed_at
            self._fleet.send(
                pending.owner, WorkStarted(key[1], delayed, loads, first_output_s)
            )

    def record_end(self, key: WorkKey, outcome: WorkOutcome) -> None:
        """Record the end of a placed request."""
        pending = self._requests.pop(key[1], None)
        if pending is None:
            return
        self._note_cold_end(pending, outcome)
        if pending.owner == self._instance:
            self._end(pending.shard, key, outcome)
        else:
            loads = self._untold_load(pending)
            self._fleet.send(pending.owner, WorkEnded(key[1], int(outcome), loads))

    def record_load(
        self, endpoint: Endpoint, load: EngineLoad | None, *, malformed: bool
    ) -> None:
        """Record the load that a response of an endpoint reports."""
        if self._loads.observe(endpoint, load, malformed=malformed) and load:
            self._apply_load(endpoint.incarnation, load, 0.0)

    def _untold_load(self, pending: PendingPlacement) -> tuple[EndpointLoad, ...]:
        """Return the report to attach to a message about a request."""
        dispatcher = self._dispatchers.get(pending.shard)
        state = dispatcher and dispatcher.endpoints.get(pending.endpoint or "")
        if not state:
            return ()
        return self._loads.untold(pending.owner, state.endpoint.incarnation)

    def _apply_load(self, incarnation: str, load: EngineLoad, age_s: float) -> None:
        """Apply a report; that of an incarnation which is not listed is dropped."""
        now = self._timers.now()
        for (service, number), dispatcher in self._dispatchers.items():
            if dispatcher.find_endpoint(incarnation) is None:
                continue
            used = dispatcher.uses_loads
            dispatcher.record_load(now, incarnation, load, age_s)
            if dispatcher.uses_loads and not used:
                emit(Event.ENDPOINT_LOADS_USED, service=service, shard=number)
            return
        self._metrics.count("endpoint_loads_dropped")

    def _receive_loads(self, loads: Iterable[EndpointLoad]) -> None:
        for item in loads:
            if item.speed > 0.0:
                for dispatcher in self._dispatchers.values():
                    dispatcher.adopt_speed(item.incarnation, item.speed, replaces=False)
            if (item.slots or item.pace > 0.0) and item.age_s < math.inf:
                age_s = max(item.age_s, 0.0)
                self._apply_load(item.incarnation, decode_load(item), age_s)

    def _tell_loads(self, owner: str, dispatcher: Dispatcher) -> None:
        """Tell a new owner the last reports and the lasting speeds."""
        now = self._timers.now()
        loads = tuple(
            encode_load(item.incarnation, item.load, now - item.stated_at, item.speed)
            for item in dispatcher.known_loads()
        )
        if loads:
            self._fleet.send(owner, EndpointLoads(loads))

    def may_send(self, endpoint: Endpoint, placed: Placed, placed_at: float) -> bool:
        """Return whether a placed request may still be sent to its endpoint.

        Its placement may have been decided before the owner knew of an evacuation or
        that the endpoint is cold, or too long ago to be counted any more.

        Parameters
        ----------
        endpoint, placed
            Endpoint, and the decision.
        placed_at
            Time at which the decision arrived.
        """
        if endpoint.domain in self._evacuations.domains:
            return False
        dispatcher = self._cold_dispatcher(endpoint.service, endpoint.incarnation)
        if dispatcher is None:
            # An incarnation that is no longer listed may have started again, cold.
            return not self.has_cold_limit(endpoint.service)
        now = self._timers.now()
        self._check_suspension(now)
        if placed.cold:
            delay_s = now - placed_at
            return delay_s <= MAX_SEND_DELAY_S and now >= self._distrusted_until
        return not dispatcher.is_known_cold(now, endpoint.incarnation)

    def has_cold_limit(self, service: str) -> bool:
        """Return whether a service limits the requests to its cold endpoints."""
        return any(
            name == service and dispatcher.cold_budget > 0
            for (name, _), dispatcher in self._dispatchers.items()
        )

    def _check_suspension(self, now: float) -> None:
        """Distrust what was decided before a suspension of this process.

        Messages that wait to be read may be out of date, and other instances may have
        used the parts of cold limits that were delegated to this one.
        """
        if now - self._reviewed_at <= MAX_HOLD_S:
            return
        self._reviewed_at = now
        self._distrusted_until = now + MAX_HOLD_S
        for parts in self._cold_parts.values():
            parts.discard(self._distrusted_until)
        for dispatcher in self._dispatchers.values():
            dispatcher.set_cold_allowed(0)

    def evacuated_endpoints(self, service: str) -> set[str]:
        """Return the ids of a service's endpoints in evacuated failure domains."""
        domains = self._evacuations.domains
        if not domains:
            return set()
        return {
            endpoint.id
            for endpoint in self._directory.endpoints_of(service)
            if endpoint.domain in domains
        }

    def learn_cold(self, endpoint: Endpoint, cold_s: float) -> None:
        """Apply what an endpoint states of its cold period, and tell the owner."""
        incarnation = endpoint.incarnation
        dispatcher = self._cold_dispatcher(endpoint.service, incarnation)
        if dispatcher is None or cold_s <= 0.0:
            return
        now = self._timers.now()
        known = dispatcher.is_known_cold(now, incarnation)
        dispatcher.learn_cold(incarnation, now + cold_s)
        owner = self._owner_of_endpoint(incarnation)
        if not known and owner is not None and owner != self._instance:
            self._tell_cold(owner, dispatcher, (incarnation,))

    def _cold_dispatcher(self, service: str, incarnation: str) -> Dispatcher | None:
        """Return the dispatcher of an endpoint whose service has a cold limit."""
        service_shards = self._service_shards.get(service)
        if service_shards is None:
            return None
        for number in range(service_shards.count):
            dispatcher = self._dispatchers.get((service, number))
            if dispatcher is None or not dispatcher.cold_budget:
                continue
            if dispatcher.find_endpoint(incarnation) is not None:
                return dispatcher
        return None

    def _tell_cold(
        self, instance: str, dispatcher: Dispatcher, incarnations: Iterable[str]
    ) -> None:
        """Tell an instance which of some endpoints are cold, and for how long."""
        now = self._timers.now()
        for incarnation in incarnations:
            if dispatcher.is_known_cold(now, incarnation):
                # A suspicion is not told: only its instance learns what refutes it.
                cold_s = dispatcher.known_cold_s(now, incarnation)
                statement = EndpointStatement(
                    incarnation, NO_LIMIT, MAX_AGE_S, cold_s=cold_s
                )
                self._fleet.send(instance, statement)

    def _note_cold_end(self, pending: PendingPlacement, outcome: WorkOutcome) -> None:
        """Apply the end of a request to what this instance knows of cold endpoints."""
        dispatcher = self._dispatchers.get(pending.shard)
        if (
            dispatcher is None
            or not dispatcher.cold_budget
            or pending.endpoint is None
            or pending.owner == self._instance
        ):
            return
        state = dispatcher.endpoints.get(pending.endpoint)
        if state is None:
            return
        incarnation = state.endpoint.incarnation
        dispatcher.note_outcome(self._timers.now(), incarnation, outcome)
        if outcome is WorkOutcome.RETURNED and dispatcher.is_known_cold(
            self._timers.now(), incarnation
        ):
            self._tell_cold(pending.owner, dispatcher, (incarnation,))

    def _delegate(self, shard: Shard, holder: str) -> float:
        """Delegate this instance's part of the cold limits of a shard.

        Returns the seconds for which only the holder has had it, 0 while other
        instances may not count this one.
        """
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None or not dispatcher.cold_budget:
            return 0.0
        now = self._timers.now()
        delegation = self._delegations.setdefault(shard, ColdDelegation(now))
        return min(delegation.delegate(now, holder), self._fleet.registered_s)

    def _update_cold_allowed(
        self, now: float, shard: Shard, dispatcher: Dispatcher
    ) -> None:
        """Set what this instance may place on cold endpoints of a shard."""
        budget = dispatcher.cold_budget
        if not budget:
            return
        delegation = self._delegations.setdefault(shard, ColdDelegation(now))
        sole_s = min(delegation.held_s(now, self._instance), self._fleet.registered_s)
        parts = self._parts_of(now, shard)
        count = self._fleet.count
        dispatcher.set_cold_allowed(parts.allowed(now, budget, sole_s, count))

    def _parts_of(self, now: float, shard: Shard) -> ColdParts:
        """Return the parts of a shard, none just after a suspension of this process."""
        self._check_suspension(now)
        parts = self._cold_parts.get(shard)
        if parts is None:
            parts = self._cold_parts[shard] = ColdParts()
            parts.discard(self._distrusted_until)
        return parts

    def _log_cold(self, now: float) -> None:
        """Log which endpoints have become cold, and which are no longer."""
        cold = {
            incarnation: until
            for dispatcher in self._dispatchers.values()
            for incarnation, until in dispatcher.cold_endpoints(now).items()
        }
        for incarnation in sorted(cold.keys() ^ self._cold_logged.keys()):
            emit(
                Event.COLD_LIMIT,
                endpoint=incarnation.rpartition("/")[0],
                cold_s=round(max(cold.get(incarnation, now) - now, 0.0), 3),
            )
        self._cold_logged = cold

    def _update_gauges(self) -> None:
        self._metrics.gauge("endpoints_cold", len(self._cold_logged))
        domains = self._evacuations.domains
        self._metrics.gauge("evacuated_domains", len(domains))
        evacuated = sum(
            state.evacuated
            for dispatcher in self._dispatchers.values()
            for state in dispatcher.endpoints.values()
        )
        self._metrics.gauge("endpoints_evacuated", evacuated)

    def apply_cache_update(
        self, shard: Shard, endpoint: str, update: CacheUpdate
    ) -> None:
        """Apply a change of the prompt parts that an engine has cached."""
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None:
            dispatcher.apply_cache_update(endpoint, update)

    def update(self) -> None:
        """Apply the current deployment configuration, endpoints and instances."""
        deployment = self._directory.deployment
        if deployment is None:
            return
        now = self._timers.now()
        wanted: set[Shard] = set()
        for name, profile in deployment.services.items():
            endpoints = self._directory.endpoints_of(name)
            if not endpoints and name not in self._service_shards:
                continue
            service_shards = self._service_shards.get(name)
            # The stated throughput is that of all engines, some of which may be unknown
            # yet or have left.
            most_endpoints = max(self._most_endpoints.get(name, 1), len(endpoints))
            self._most_endpoints[name] = most_endpoints
            endpoint_ids = tuple(sorted(endpoint.id for endpoint in endpoints))
            if service_shards is None or service_shards.endpoints != endpoint_ids:
                service_shards = self._service_shards[name] = ServiceShards(
                    endpoint_ids
                )
            for number in range(service_shards.count):
                shard = name, number
                wanted.add(shard)
                dispatcher = self._dispatchers.get(shard)
                if dispatcher is None:
                    dispatcher = Dispatcher(
                        profile,
                        self._settings,
                        self._fleet.domain,
                        self._evidence,
                        self._streams.origins,
                        number,
                        self._instance,
                    )
                    self._dispatchers[shard] = dispatcher
                dispatcher.configure_service(now, profile)
                self._deliver(dispatcher.set_evacuated(now, self._evacuations.domains))
                if profile.engine is not None and deployment.tokens_per_s:
                    dispatcher.set_throughput(deployment.tokens_per_s / most_endpoints)
                self._deliver(
                    dispatcher.set_endpoints(
                        now,
                        [
                            endpoint
                            for endpoint in endpoints
                            if service_shards.of_endpoint[endpoint.id] == number
                        ],
                    )
                )
        for shard in set(self._dispatchers) - wanted:
            if not self._dispatchers[shard].waiting:
                del self._dispatchers[shard]
        listed = {
            incarnation
            for dispatcher in self._dispatchers.values()
            for incarnation in dispatcher.incarnations
        }
        self._notices.retain(listed)
        self._loads.retain(listed)
        for incarnation in listed:
            self._apply_notice(incarnation)
        self.review_owners()

    def report(self) -> None:
        """Log the work refused by organisation since the last report, and why."""
        queued, undecided = self._inbox.take_counts()
        self._paths.report(self._owners, self._lag_s())
        for shard, tally in self._tallies.items():
            service, number = shard
            refused = tally.report(service=service, shard=number)
            reasons = self._refusal_reasons.pop(shard, Counter())
            dispatcher = self._dispatchers.get(shard)
            if dispatcher is None:
                continue
            shares = dispatcher.report_shares()
            if refused:
                emit(
                    Event.ORGANISATION_SHARES,
                    service=service,
                    shard=number,
                    owned=self.owns(shard),
                    **_share_fields(shares),
                )
                self._count_missed_shares(shares)
                state = dispatcher.summarise(self._timers.now())
                emit(
                    Event.PLACEMENT_STATE,
                    service=service,
                    shard=number,
                    owned=self.owns(shard),
                    askers=self._count_askers(shard),
                    lag_s=round(self._lag_s(), 3),
                    queued=queued,
                    undecided=undecided,
                    reasons={reason.name.lower(): n for reason, n in reasons.items()},
                    **_rounded(state),
                )

    def _count_missed_shares(self, report: ShareReport) -> None:
        """Count what organisations were owed and did not get, for the metrics."""
        for name, amounts in report.organisations.items():
            missed = report.owed(amounts) - amounts.placed
            if missed > 0.0:
                self._metrics.count("share_missed", name, round(missed))

    def announce(self) -> None:
        """Announce the shards that this instance took for its own without links."""
        for shard in self._dispatchers:
            if self.owns(shard):
                self._announce(shard)

    def review_owners(self) -> None:
        """Update shard owners and report running requests to new owners."""
        now = self._timers.now()
        self._check_suspension(now)
        for shard in self._dispatchers:
            self._owner(shard)
        self._reviewed_at = now
        self._log_cold(now)

    def receive(self, instance: str, message: Message) -> None:
        """Handle a message from another instance."""
        now = self._timers.now()
        self._check_suspension(now)
        match message:
            case PlaceRequest():
                self._handle_request(instance, message)
            case PlaceReply():
                self._handle_reply(instance, message)
            case PlaceWithdraw(number=number):
                if self._inbox.withdraw((instance, number)):
                    return
                for dispatcher in self._dispatchers.values():
                    self._deliver(dispatcher.withdraw(now, (instance, number)))
            case EndpointLoads(loads=loads):
                self._receive_loads(loads)
            case WorkStarted():
                self._receive_loads(message.loads)
                # A time that the sender measured says the same however late it is read.
                is_measured = message.first_output_s > 0.0
                delayed = message.delayed or (not is_measured and self._is_overloaded())
                for dispatcher in self._dispatchers.values():
                    self._deliver(
                        dispatcher.start(
                            now,
                            (instance, message.number),
                            delayed=delayed,
                            first_output_s=message.first_output_s,
                        )
                    )
            case WorkEnded(number=number, outcome=code, loads=loads):
                self._receive_loads(loads)
                for dispatcher in self._dispatchers.values():
                    self._deliver(
                        dispatcher.end(now, (instance, number), WorkOutcome(code))
                    )
            case WorkRunning(request=request, endpoint=endpoint, started=started):
                self._adopt(instance, request, endpoint, started)
            case CrashTrait():
                self._evidence.learn(now, message)
            case EndpointStatement():
                self._notices.receive(instance, message)
                if message.cold_s > 0.0:
                    for dispatcher in self._dispatchers.values():
                        dispatcher.learn_cold(message.incarnation, now + message.cold_s)
            case ShardOwner(owner=owner):
                self._fleet.vouch(owner)
                self.review_owners()
            case _:
                self._metrics.count("peer_messages_unused", type(message).__name__)

    @property
    def evidence(self) -> CrashEvidence:
        """What is known of requests that crash endpoints."""
        return self._evidence

    def store_evidence(self, update: Callable[[CrashTrait], None]) -> None:
        """Call `update` with each change of the evidence that this instance makes."""
        self._evidence_store = update

    def link_opened(self, instance: str) -> None:
        """Tell an instance, which may have restarted, what is known of endpoints."""
        self._notices.tell(instance)
        for dispatcher in self._dispatchers.values():
            self._tell_cold(instance, dispatcher, dispatcher.incarnations)
        for report in self._evidence.reports(self._timers.now()):
            self._fleet.send(instance, report)

    def _share_evidence(self, now: float, trait: bytes) -> None:
        report = self._evidence.report(now, trait)
        emit(
            Event.CRASH_TRAIT,
            trait=trait.decode(errors="replace"),
            crashes=report.crashes,
            refused_s=round(self._evidence.refused_s(now, trait), 3),
            in_trial=any(not trial.ended for trial in report.trials),
        )
        self._fleet.broadcast(report)
        if self._evidence_store is not None:
            self._evidence_store(report)

    def link_interrupted(self, instance: str) -> None:
        """Restore what was lost with a link if its instance still runs.

        Messages sent on the link may be lost. This instance repeats what the other one
        has to know of its requests; the other one does the same for its own, and what
        it does not confirm within a moment has ended.
        """
        self._inbox.drop_instance(instance)
        for dispatcher in self._dispatchers.values():
            dispatcher.unconfirm_instance(instance)
        self._timers.after(
            CONFIRMATION_TIMEOUT_S, lambda now: self._drop_unconfirmed(now, instance)
        )
        for pending in self._requests.values():
            if pending.owner != instance:
                continue
            request = encode_work(pending.shard, pending.work)
            if pending.endpoint is not None:
                self._fleet.send(
                    instance, WorkRunning(request, pending.endpoint, pending.started)
                )
            elif not pending.future.done():
                self._fleet.send(instance, request)

    def _drop_unconfirmed(self, now: float, instance: str) -> None:
        for dispatcher in list(self._dispatchers.values()):
            self._deliver(dispatcher.drop_unconfirmed(now, instance))

    def instance_lost(self, instance: str) -> None:
        """Drop the requests of a lost instance and stop waiting for its decisions."""
        now = self._timers.now()
        self._inbox.drop_instance(instance)
        for dispatcher in self._dispatchers.values():
            self._deliver(dispatcher.drop_instance(now, instance))
        for pending in list(self._requests.values()):
            if pending.owner == instance and not pending.future.done():
                pending.future.set_exception(
                    PlacementSilentError(f"link to {instance} was lost")
                )
                pending.acknowledged.set()
        self.review_owners()

    async def _request_from_owner(self, pending: PendingPlacement) -> Placed:
        work = pending.work
        dispatcher = self._dispatchers.get(pending.shard)
        if dispatcher is not None:
            dispatcher.note_traffic()
        sole_s = self._delegate(pending.shard, pending.owner)
        pending.asked_at = self._timers.now()
        self._paths.record_sent(pending.shard)
        request = replace(encode_work(pending.shard, work), sole_s=sole_s)
        if not self._fleet.send(pending.owner, request):
            raise PlacementSilentError(f"no link to {pending.owner}")
        decide_at = pending.asked_at + DECISION_MARGIN_S
        decide_at += max(work.max_wait_s, work.remaining_target_s, SILENCE_S)
        await self._wait_for_acknowledgement(pending, decide_at)
        try:
            async with asyncio.timeout_at(decide_at):
                return await pending.future
        except TimeoutError as error:
            raise self._undecided_error(pending) from error

    async def _wait_for_acknowledgement(
        self, pending: PendingPlacement, decide_at: float
    ) -> None:
        """Wait until the owner has acknowledged a request.

        An owner that is late but sends replies works on a backlog. It stays the owner,
        and the request waits for it: other instances have no more room, and know
        less of the endpoints.

        Raises
        ------
        PlacementSilentError
            If the owner sends no reply, as it is lost or the path to it is.
        CapacityExceededError
            If the owner is too slow to decide while a response is of use.
        """
        while not pending.acknowledged.is_set():
            silent_at = self._timers.now() + self._fleet.silence_left_s(
                pending.owner, pending.asked_at
            )
            try:
                async with asyncio.timeout_at(min(silent_at, decide_at)):
                    await pending.acknowledged.wait()
                return
            except TimeoutError:
                # If this loop was delayed, messages may have arrived but not been read.
                for _ in range(READ_LOOP_ITERATIONS):
                    await asyncio.sleep(0)
            if pending.acknowledged.is_set():
                return
            if self._fleet.silence_left_s(pending.owner, pending.asked_at) <= 0.0:
                raise PlacementSilentError(f"no reply from {pending.owner}")
            if self._timers.now() >= decide_at:
                raise self._undecided_error(pending)

    def _undecided_error(self, pending: PendingPlacement) -> CapacityExceededError:
        """Withdraw a request from an owner that is too slow, and return the refusal."""
        self._withdraw(pending)
        self._paths.record_undecided(pending.shard)
        self._metrics.count("placements_undecided", "entry")
        return CapacityExceededError(
            f"no decision from {pending.owner} in time",
            retry_after=self._settings.min_retry_after_s,
        )

    def _handle_unresponsive_owner(
        self, pending: PendingPlacement, error: PlacementSilentError
    ) -> None:
        self._metrics.count("placements_alone")
        self._paths.record_alone(pending.shard)
        emit(
            Event.PLACED_ALONE,
            owner=pending.owner,
            service=pending.shard[0],
            reason=str(error),
            waited_s=round(self._timers.now() - pending.asked_at, 3),
            silent_s=_rounded_silence(self._fleet.silent_s(pending.owner)),
            lag_s=round(self._lag_s(), 3),
        )
        self._fleet.send(pending.owner, PlaceWithdraw(pending.work.key[1]))
        self._fleet.record_timeout(pending.owner)
        waited_s = self._timers.now() - pending.asked_at
        pending.work = pending.work.after(waited_s)
        pending.future = asyncio.get_running_loop().create_future()
        pending.acknowledged.clear()
        # Replies from the former owner are ignored from here on.
        pending.owner = self._instance
        self.review_owners()

    def _submit(self, shard: Shard, work: Work) -> None:
        if shard not in self._dispatchers:
            retry_after_s = self._settings.min_retry_after_s
            self._deliver([Refused(work.key, RefusalReason.NO_ENDPOINT, retry_after_s)])
            return
        self._inbox.add(UndecidedRequest(shard, work, self._timers.now()))

    def _bind(self, service: str, work: Work, *, confirmed: bool = False) -> Work:
        """Bind a request that resumes a stream to the version of the stream.

        It stays unbound if the version is not known to this instance.

        Parameters
        ----------
        service, work
            Service and request.
        confirmed
            Whether the store has confirmed the list of engines since the request came.
        """
        if not work.resumed:
            return work
        now = self._timers.now()
        resolved = self._streams.resolve(now, service, work.stream, confirmed=confirmed)
        if resolved is None:
            return work
        self._log_resolved(service, work, resolved.source, resolved.version)
        return replace(work, software_version=resolved.version, resumed=False)

    async def _infer_version(self, service: str, work: Work) -> Work:
        """Bind a request that resumes a stream which neither owner nor entry knows.

        Raises
        ------
        StreamUnknownError
            If the store does not confirm that there has been one version only.
        """
        confirm = self._confirm_replica
        confirmed = confirm is not None and await confirm()
        bound = self._bind(service, work, confirmed=confirmed)
        if not bound.resumed:
            return bound
        self._log_resolved(service, work, "unknown", None)
        # Without the store, another instance may know more.
        retry_after_s = None if confirmed else self._settings.min_retry_after_s
        raise StreamUnknownError(
            "the version of the engine that began the stream is not known",
            retry_after=retry_after_s,
        )

    def _log_resolved(
        self, service: str, work: Work, source: str, version: str | None
    ) -> None:
        self._metrics.count("streams_resolved", source)
        emit(
            Event.STREAM_RESOLVED,
            service=service,
            stream=work.stream.hex(),
            entry=work.key[0],
            software_version=version,
            source=source,
        )

    def _submit_bound(
        self, now: float, shard: Shard, dispatcher: Dispatcher, work: Work
    ) -> list[Decision]:
        """Place a request, one that goes on with a stream at the stream's version."""
        work = self._bind(shard[0], work)
        if work.resumed:
            # The entry instance asks the store.
            return [Refused(work.key, RefusalReason.STREAM_UNKNOWN, 0.0, work)]
        version = work.software_version
        if version is not None and not dispatcher.has_version(version):
            return [Refused(work.key, RefusalReason.VERSION_GONE, 0.0, work)]
        return dispatcher.submit(now, work)

    def _limit_ratio(self, shard: Shard, owns: bool) -> float:
        """Return the fraction of the endpoints' rate limits that is for this instance.

        An owner that reaches most instances places for all.
        """
        return self._fleet.reachable_ratio if owns else self._asked_ratio(shard)

    def _asked_ratio(self, shard: Shard) -> float:
        """Return the fraction of the instances whose requests this one places.

        Several that place at the same time do not exceed the capacity together.
        """
        return min((1 + self._count_askers(shard)) / self._fleet.count, 1.0)

    def _count_askers(self, shard: Shard) -> int:
        """Return the number of other instances that ask this one at present."""
        oldest = self._timers.now() - ALONE_TIMEOUT_S
        return sum(at > oldest for at in self._asked_at.get(shard, {}).values())

    def _owner_of_endpoint(self, incarnation: str) -> str | None:
        shard = next(
            (
                shard
                for shard, dispatcher in self._dispatchers.items()
                if dispatcher.find_endpoint(incarnation) is not None
            ),
            None,
        )
        return None if shard is None else self._owner(shard)

    def _apply_notice(self, incarnation: str) -> None:
        """Apply what an endpoint states about itself to the placement on it."""
        now = self._timers.now()
        limit_per_s = self._notices.limit_per_s(incarnation)
        leaving = self._notices.is_leaving(incarnation)
        for dispatcher in self._dispatchers.values():
            dispatcher.set_limit(now, incarnation, limit_per_s)
            if leaving:
                dispatcher.set_leaving(incarnation)

    def _apply_pause(self, incarnation: str, instance: str, until: float) -> None:
        for dispatcher in self._dispatchers.values():
            dispatcher.pause(incarnation, instance, until)

    def _withdraw(self, pending: PendingPlacement) -> None:
        key = pending.work.key
        if pending.owner != self._instance:
            self._fleet.send(pending.owner, PlaceWithdraw(key[1]))
            return
        dispatcher = self._dispatchers.get(pending.shard)
        if not self._inbox.withdraw(key) and dispatcher is not None:
            self._deliver(dispatcher.withdraw(self._timers.now(), key))

    def _start(self, shard: Shard, key: WorkKey, delayed: bool) -> None:
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None:
            now = self._timers.now()
            self._deliver(dispatcher.start(now, key, delayed=delayed))

    def _end(self, shard: Shard, key: WorkKey, outcome: WorkOutcome) -> None:
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None:
            self._deliver(dispatcher.end(self._timers.now(), key, outcome))

    def _handle_request(self, instance: str, request: PlaceRequest) -> None:
        shard = request.service, request.shard
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None:
            self._fleet.send(
                instance,
                PlaceReply(
                    request.number,
                    PlacementState.REFUSED,
                    reason=int(RefusalReason.NO_ENDPOINT),
                    retry_after_s=self._settings.min_retry_after_s,
                ),
            )
            return
        owner = self._owner(shard)
        if owner not in (self._instance, instance):
            self._fleet.send(instance, ShardOwner(*shard, owner))
        now = self._timers.now()
        self._asked_at.setdefault(shard, {})[instance] = now
        work = decode_work(instance, request)
        self._inbox.add(UndecidedRequest(shard, work, now, request.sole_s))

    def _decide(self, request: UndecidedRequest) -> None:
        """Place, queue or refuse a request of this or another instance."""
        shard, now = request.shard, self._timers.now()
        work = request.work.after(now - request.arrived_at)
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None:
            retry_after_s = self._settings.min_retry_after_s
            self._deliver([Refused(work.key, RefusalReason.NO_ENDPOINT, retry_after_s)])
            return
        instance, number = work.key
        is_own = instance == self._instance
        if not is_own:
            work = work.after(dispatcher.round_trip.limit_s(now))
        owns = self.owns(shard)
        # Others may still ask the owner that a stand-in suspects.
        places_for_all = owns and not self._fleet.is_standing_in(_owner_key(shard))
        ratio = 1.0 if places_for_all else self._asked_ratio(shard)
        dispatcher.set_capacity_ratio(ratio)
        dispatcher.set_limit_ratio(now, self._limit_ratio(shard, owns))
        if dispatcher.cold_budget and not is_own:
            self._parts_of(now, shard).receive(now, instance, request.sole_s)
        self._update_cold_allowed(now, shard, dispatcher)
        self._tally(shard).record_requested(work.organisation, work.units)
        decisions = self._submit_bound(now, shard, dispatcher, work)
        self._deliver(self._count_refusals(shard, decisions), dispatcher.prefill_speed)
        if not is_own and all(decision.key != work.key for decision in decisions):
            self._fleet.send(instance, PlaceReply(number, PlacementState.WAITING))
        self._ensure_ticking()

    def _refuse_undecided(self, request: UndecidedRequest) -> None:
        """Refuse a request that this instance had no time to decide."""
        dispatcher = self._dispatchers.get(request.shard)
        if dispatcher is None:
            return
        work = request.work
        self._metrics.count("placements_undecided", "owner")
        self._tally(request.shard).record_requested(work.organisation, work.units)
        decisions = dispatcher.refuse_undecided(self._timers.now(), work)
        self._deliver(self._count_refusals(request.shard, decisions))

    def _rank(self, now: float, shard: Shard, organisation: str) -> tuple[bool, float]:
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None:
            return False, 0.0
        return dispatcher.rank(now, organisation)

    def _adopt(
        self, instance: str, request: PlaceRequest, endpoint: str, started: bool
    ) -> None:
        dispatcher = self._dispatchers.get((request.service, request.shard))
        if dispatcher is None:
            return
        work = decode_work(instance, request)
        dispatcher.adopt(self._timers.now(), work, endpoint, started)

    def _handle_reply(self, instance: str, reply: PlaceReply) -> None:
        self._fleet.record_reply(instance)
        pending = self._requests.get(reply.number)
        if pending is None or pending.owner != instance or pending.future.done():
            if pending is not None and pending.owner != instance:
                self._paths.record_late_reply(pending.shard)
            if reply.state is PlacementState.PLACED and (
                pending is None or pending.owner != instance
            ):
                self._fleet.send(instance, PlaceWithdraw(reply.number))
            return
        if not pending.acknowledged.is_set():
            pending.acknowledged.set()
            waited_s = self._timers.now() - pending.asked_at
            late = waited_s > _ack_late_s(pending.work)
            self._paths.record_acknowledged(pending.shard, waited_s, late=late)
        key = pending.work.key
        match reply.state:
            case PlacementState.PLACED:
                dispatcher = self._dispatchers.get(pending.shard)
                if dispatcher is not None and reply.seconds_per_token > 0.0:
                    dispatcher.prefill_speed.adopt(
                        reply.seconds_per_token, reply.start_s
                    )
                if dispatcher is not None and reply.speed > 0.0:
                    dispatcher.adopt_speed(reply.incarnation, reply.speed)
                self._resolve(
                    Placed(
                        key,
                        reply.endpoint,
                        reply.unread_tokens,
                        instance,
                        reply.software_version,
                        cold=reply.cold,
                        share_reached=reply.share_reached,
                    )
                )
            case PlacementState.REFUSED:
                reason = RefusalReason(reply.reason)
                self._resolve(
                    Refused(
                        key,
                        reason,
                        reply.retry_after_s,
                        share_reached=reply.share_reached,
                    )
                )
            case PlacementState.WAITING:
                return

    def _owner(self, shard: Shard) -> str:
        owner = self._fleet.owner(_owner_key(shard))
        previous = self._owners.get(shard)
        if previous != owner:
            self._owners[shard] = owner
            if previous is not None:
                emit(
                    Event.PLACEMENT_MOVED,
                    service=shard[0],
                    shard=shard[1],
                    owner=owner,
                    previous=previous,
                )
            self._report_running(shard, owner)
            dispatcher = self._dispatchers.get(shard)
            if dispatcher is not None:
                dispatcher.restart_limits(self._timers.now())
                self._delegate(shard, owner)
                if owner != self._instance:
                    self._tell_cold(owner, dispatcher, dispatcher.incarnations)
                    self._notices.tell(owner, dispatcher.incarnations)
                    self._tell_loads(owner, dispatcher)
            if owner == self._instance:
                self._announce(shard)
        return owner

    def _announce(self, shard: Shard) -> None:
        """Tell the instance that stood in for this one that it owns the shard.

        Others may still avoid this instance because of an earlier failure.
        """
        stand_in = self._fleet.stand_in(_owner_key(shard))
        if stand_in is not None:
            self._fleet.send(stand_in, ShardOwner(*shard, self._instance))

    def _report_running(self, shard: Shard, owner: str) -> None:
        """Report running requests of a shard to its new owner.

        The previous owner forgets them, as the end of a request is told to one only.
        """
        for pending in self._requests.values():
            if (
                pending.shard != shard
                or pending.endpoint is None
                or pending.owner == owner
            ):
                continue
            self._withdraw(pending)
            request = encode_work(shard, pending.work)
            if owner == self._instance:
                self._adopt(owner, request, pending.endpoint, pending.started)
            else:
                self._fleet.send(
                    owner, WorkRunning(request, pending.endpoint, pending.started)
                )
            pending.owner = owner

    def _deliver(
        self, decisions: Iterable[Decision], prefill_speed: PrefillSpeed | None = None
    ) -> None:
        for decision in decisions:
            if decision.key[0] == self._instance:
                self._resolve(decision)
            else:
                self._fleet.send(
                    decision.key[0], encode_decision(decision, prefill_speed)
                )

    def _tally(self, shard: Shard) -> OrganisationTally:
        tally = self._tallies.get(shard)
        if tally is None:
            tally = self._tallies[shard] = OrganisationTally("placement", "tokens")
        return tally

    def _count_refusals(
        self, shard: Shard, decisions: list[Decision]
    ) -> list[Decision]:
        """Count refusals by organisation and return the decisions unchanged."""
        for decision in decisions:
            if isinstance(decision, Refused) and decision.work is not None:
                work = decision.work
                self._refusal_reasons.setdefault(shard, Counter())[decision.reason] += 1
                self._tally(shard).record_refused(work.organisation, work.units)
        return decisions

    def _resolve(self, decision: Decision) -> None:
        pending = self._requests.get(decision.key[1])
        if pending is None or pending.future.done():
            return
        if pending.owner == self._owners.get(pending.shard):
            # An instance that stands in for the owner knows its own callers only.
            self._shares.record(
                self._timers.now(),
                pending.work.organisation,
                pending.shard,
                share_reached=decision.share_reached,
            )
        match decision:
            case Placed():
                pending.placed_at = self._timers.now()
                pending.endpoint = decision.endpoint
                pending.future.set_result(decision)
            case Refused():
                pending.future.set_exception(refusal_error(decision))

    def _ensure_ticking(self) -> None:
        if self._tick_timer is None and any(
            dispatcher.waiting for dispatcher in self._dispatchers.values()
        ):
            self._tick_timer = self._timers.every(TICK_INTERVAL_S, self._tick)

    def _tick(self, now: float) -> None:
        waiting = 0
        for shard, dispatcher in list(self._dispatchers.items()):
            if dispatcher.waiting:
                self._update_cold_allowed(now, shard, dispatcher)
                self._deliver(self._count_refusals(shard, dispatcher.tick(now)))
                waiting += dispatcher.waiting
        if not waiting and self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None


def _owner_key(shard: Shard) -> str:
    """Return the key whose owner places the requests of a shard."""
    return f"{shard[0]}/{shard[1]}"


def _ack_late_s(work: Work) -> float:
    """Return the time after which an acknowledgement counts as late."""
    return min(
        max(ACK_LATE_RATIO * work.remaining_target_s, MIN_ACK_LATE_S),
        MAX_ACK_LATE_S,
    )


def _rounded_silence(seconds: float) -> float | None:
    """Return the time since a message for the log, null without any message."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def _share_fields(report: ShareReport) -> dict[str, Any]:
    """Return the fields of a report on shares, null for an unlimited share."""
    unlimited = math.isinf(report.even_share)
    return {
        "even_share": None if unlimited else round(report.even_share),
        "best_served": round(report.best_served),
        "organisations": {
            name: _amount_fields(report.owed(item), item)
            for name, item in report.organisations.items()
        },
        "others": [report.others_count, *_amount_fields(0.0, report.others)[1:]],
    }


def _amount_fields(owed: float, amounts: OrganisationAmounts) -> list[int]:
    """Return the amounts in the order that docs/events.md gives for event 415."""
    return [
        round(owed),
        round(amounts.requested),
        round(amounts.placed),
        round(amounts.refused_on_arrival),
        round(amounts.refused_after_wait),
        round(amounts.refused_below_share),
        round(amounts.withdrawn),
        round(amounts.waiting),
        round(amounts.returned),
        round(amounts.not_begun),
    ]


def _rounded(state: PlacementSummary) -> dict[str, Any]:
    """Return the fields of a summary with the precision that a log line needs."""
    fields = asdict(state)
    fields["backlog_s"] = round(state.backlog_s, 4)
    fields["seconds_per_token"] = round(state.seconds_per_token, 8)
    fields["start_s"] = round(state.start_s, 4)
    fields["round_trip_s"] = round(state.round_trip_s, 4)
    fields["leads"] = {name: round(lead) for name, lead in state.leads.items()}
    return fields
