"""Places the requests of one service onto its endpoints."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Set
from dataclasses import replace

from borageworks.gateway.deployment import ServiceProfile
from borageworks.gateway.endpoint import Endpoint
from borageworks.placement.cache_update import CacheUpdate
from borageworks.placement.cold_limit import ColdLimit, cold_rule
from borageworks.placement.crash_evidence import CrashEvidence
from borageworks.placement.decisions import Decision, Placed, RefusalReason, Refused
from borageworks.placement.endpoint_state import EndpointState, RunningWork
from borageworks.placement.engine_load import (
    UNKNOWN_LIFETIME_S,
    EngineLoad,
    KnownLoad,
)
from borageworks.placement.engine_speed import MIN_SAMPLE_TOKENS, normalise
from borageworks.placement.entitlements import Entitlements
from borageworks.placement.outcome import NOT_RUN, WorkOutcome
from borageworks.placement.part_index import PartIndex
from borageworks.placement.prefill_speed import PrefillSpeed
from borageworks.placement.prompt_cache import PromptCache
from borageworks.placement.rate_limit import MIN_PER_S, RateLimit
from borageworks.placement.recompute_budget import RecomputeBudget
from borageworks.placement.refused_requests import RefusedRequests
from borageworks.placement.round_trip import RoundTrip
from borageworks.placement.selection import EndpointSelector
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.share_tally import ShareReport
from borageworks.placement.stream_origins import StreamOrigins
from borageworks.placement.summary import PlacementSummary
from borageworks.placement.waiting import WaitingQueue, WaitingWork
from borageworks.placement.work import (
    Work,
    WorkKey,
    own_prompt_tokens,
)
from borageworks.routing.suspects import Verdict

# Prior for the prefill speed of an engine if the operator states no throughput.
DEFAULT_TOKENS_PER_S = 20_000.0
# The stated throughput includes generated tokens, so engines prefill faster than that.
PREFILL_THROUGHPUT_RATIO = 0.5
# Smoothing factor of the moving average of the time that a request takes a slot.
SLOT_DURATION_GAIN = 0.05
# Waiting requests whose preferred engine is selected anew at each tick, in turn. Each
# selection compares all engines; doing it for all requests of a flood would saturate a
# core.
SELECTIONS_PER_TICK = 16
# Time in which the backlogs of engines change enough to select anew.
MIN_SELECTION_AGE_S = 0.06
# A flood of refusals needs the expected waits for each request.
WAITS_MAX_AGE_S = 0.02
# Interval at which overdue prompts are looked for.
EXPIRY_INTERVAL_S = 0.02
# Requests that crash endpoints stay refused, so an early retry is useless.
SUSPECT_RETRY_AFTER_S = 60.0
# Longest Retry-After while endpoints limit the requests that they take.
MAX_LIMITED_RETRY_AFTER_S = 60.0
# Longest wait of a late request for a rate limit, and its margin for the next tick.
MAX_LIMIT_WAIT_S = 1.0
LIMIT_WAIT_MARGIN_S = 0.04
# Part of the time that a request below the share may wait, after which it no longer
# waits for the endpoint that has its shared part cached.
PREFERRED_WAIT_RATIO = 0.5
# The same where reports are used: the wait for the preferred endpoint is known well
# enough, and what is prefilled again delays all.
REPORTED_PREFERRED_WAIT_RATIO = 1.0
# Interval at which the lasting speeds of engines are related to each other.
SPEEDS_INTERVAL_S = 0.1
# Largest cost by which choices differ between instances that place at the same time.
SPREAD_S = 0.03
# Prompts that have not begun at an engine, of all instances that place independently of
# each other: one that is prefilled and one that follows.
PROMPTS_PER_ENGINE = 2.0
# Organisations named in the summary for the log, so that its length is bounded.
MAX_NAMED_LEADS = 8


class Dispatcher:
    """Places the requests of one service onto its endpoints.

    A state machine without I/O: events and times go in, decisions come out. Requests
    wait here and not at the endpoints, which admit in order of arrival. The
    organisation that got least lately is served first, each one's requests in order of
    arrival.

    Parameters
    ----------
    service
        Service, with the operator's figures for its engines.
    settings
        Settings of placement.
    domain
        Failure domain of the instance.
    evidence
        Crashes of endpoints, shared by all dispatchers of the instance.
    origins
        Versions of the engines that began streams, shared likewise.
    shard
        Number of the shard of the service whose endpoints these are.
    instance
        Id of the instance.
    """

    def __init__(
        self,
        service: ServiceProfile,
        settings: PlacementSettings,
        domain: str,
        evidence: CrashEvidence | None = None,
        origins: StreamOrigins | None = None,
        shard: int = 0,
        instance: str = "",
    ) -> None:
        self._service = service
        self._settings = settings
        self._endpoints: dict[str, EndpointState] = {}
        self._placed: dict[WorkKey, str] = {}
        self._waiting = WaitingQueue(settings.fair_window_s)
        self._part_index = PartIndex()
        self._selector = EndpointSelector(
            self._endpoints,
            self._waiting.endpoint_tokens,
            self._waiting.endpoint_requests,
            self._part_index,
            settings,
            domain,
            instance,
        )
        # Whether endpoints state their pace, so that loads and speeds are used.
        self._uses_loads = False
        self._speeds_at = -math.inf
        # Time of the last sample of the service's prefill speed.
        self._sampled_at = -math.inf
        self._entitlements = Entitlements(settings)
        self._refused = RefusedRequests(settings.share_window_s)
        self._recompute_budget = RecomputeBudget(
            settings.share_window_s, settings.recompute_ratio
        )
        self._prefill_speed = PrefillSpeed(DEFAULT_TOKENS_PER_S)
        self._round_trip = RoundTrip()
        self._capacity_ratio = 1.0
        self._limit_ratio = 1.0
        self._mean_duration_s = 0.0
        self._evidence = CrashEvidence() if evidence is None else evidence
        self._origins = StreamOrigins() if origins is None else origins
        self._scope = f"{service.name}/{shard}"
        self._unconfirmed: set[WorkKey] = set()
        self._prefill_wait_s = 0.0
        self._limit_wait_s = 0.0
        self._waits_computed_at = -math.inf
        # The endpoints in use, and the wait until the first of them has a free slot.
        self._usable: list[EndpointState] = []
        self._free_wait_s = 0.0
        self._free_computed_at = -math.inf
        self._expired_at = -math.inf
        self._cold_rule = cold_rule(service, settings)
        # By endpoint id, also of endpoints whose entry is gone for a moment.
        self._cold_limits: dict[str, ColdLimit] = {}
        self._cold_allowed = 0
        self._listed = False
        self._in_traffic = False
        self._evacuated: Set[str] = frozenset()

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        """State by endpoint id."""
        return self._endpoints

    @property
    def incarnations(self) -> list[str]:
        """Incarnations of the endpoints."""
        return [state.endpoint.incarnation for state in self._endpoints.values()]

    @property
    def has_engines(self) -> bool:
        """Whether the endpoints are model engines."""
        return self._service.engine is not None

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an endpoint."""
        return len(self._waiting)

    @property
    def waiting_keys(self) -> Set[WorkKey]:
        """Keys of the requests that wait for an endpoint."""
        return self._waiting.keys

    @property
    def uses_loads(self) -> bool:
        """Whether endpoints state their pace, so that loads and speeds are used."""
        return self._uses_loads

    @property
    def prefill_speed(self) -> PrefillSpeed:
        """Estimate of the engines' prefill speed."""
        return self._prefill_speed

    @property
    def _preferred_wait_ratio(self) -> float:
        if self._uses_loads:
            return REPORTED_PREFERRED_WAIT_RATIO
        return PREFERRED_WAIT_RATIO

    @property
    def cold_budget(self) -> int:
        """Requests that all instances may place on a cold endpoint in a window.

        0 if the service has no limit for cold endpoints.
        """
        return 0 if self._cold_rule is None else self._cold_rule.budget

    def cold_endpoints(self, now: float) -> dict[str, float]:
        """Return the ends of the cold periods, by the incarnation of the endpoint."""
        if self._cold_rule is None:
            return {}
        return {
            state.endpoint.incarnation: state.cold.until
            for state in self._endpoints.values()
            if state.cold is not None and state.cold.is_cold(now)
        }

    def is_known_cold(self, now: float, incarnation: str) -> bool:
        """Return whether an endpoint is cold by more than signs of a crash."""
        return self.known_cold_s(now, incarnation) > 0.0

    def known_cold_s(self, now: float, incarnation: str) -> float:
        """Return the seconds for which an endpoint is known to stay cold."""
        state = self.find_endpoint(incarnation)
        if state is None or state.cold is None:
            return 0.0
        return max(state.cold.known_until - now, 0.0)

    def configure_service(self, now: float, service: ServiceProfile) -> None:
        """Apply a changed limit of cold endpoints."""
        rule = cold_rule(service, self._settings)
        if rule == self._cold_rule:
            return
        self._cold_rule = rule
        if rule is None:
            self._cold_limits.clear()
        for limit in self._cold_limits.values():
            if rule is not None:
                limit.configure(rule)
        for state in self._endpoints.values():
            if rule is None:
                state.cold = None
            elif state.cold is None:
                self._list_cold(now, state, in_traffic=False)

    def set_cold_allowed(self, allowed: int) -> None:
        """Set the requests that this instance may place on a cold endpoint."""
        if allowed != self._cold_allowed:
            self._cold_allowed = allowed
            for limit in self._cold_limits.values():
                limit.set_allowed(allowed)

    def note_traffic(self) -> None:
        """Record that the service has requests: what starts from now on is cold."""
        self._in_traffic = True

    def note_outcome(self, now: float, incarnation: str, outcome: WorkOutcome) -> None:
        """Take an endpoint for cold if a request ended as at a crash."""
        state = self.find_endpoint(incarnation)
        if state is not None and state.cold is not None:
            state.cold.note_outcome(now, state.endpoint, outcome)

    def learn_cold(self, incarnation: str, until: float) -> None:
        """Apply the end of a cold period that the endpoint or an instance tells."""
        state = self.find_endpoint(incarnation)
        if state is not None and state.cold is not None:
            state.cold.learn(until, state.endpoint)

    def set_evacuated(self, now: float, domains: Set[str]) -> list[Decision]:
        """Place nothing in evacuated failure domains; waiting requests choose again.

        Endpoints of a domain whose evacuation ends may have become cold.
        """
        if domains == self._evacuated:
            return []
        self._evacuated = domains
        for name, state in self._endpoints.items():
            evacuated = state.endpoint.domain in domains
            if evacuated and not state.evacuated:
                self._waiting.forget_endpoint(name)
            if state.evacuated and not evacuated and state.cold is not None:
                state.cold.begin(now, state.endpoint)
            state.evacuated = evacuated
        self._selector.invalidate()
        return self._place_waiting(now)

    def summarise(self, now: float) -> PlacementSummary:
        """Return what this dispatcher believes, for its periodic log line."""
        speed = self._prefill_speed
        usable = [state for state in self._endpoints.values() if state.usable(now)]
        backlogs_s = [
            state.backlog_tokens(now, self._seconds_per_token(now, state))
            * self._seconds_per_token(now, state)
            for state in usable
        ]
        allowed_s = self._prefill_ahead_s(now)
        limits = [state.rate_limit for state in usable if state.rate_limit is not None]
        return PlacementSummary(
            endpoints=len(self._endpoints),
            usable=len(usable),
            limited=len(limits),
            limit_per_s=sum(limit.limit_per_s for limit in limits),
            running=sum(len(state.running) for state in self._endpoints.values()),
            slots=sum(self._slot_limit(state) for state in usable),
            prefill_full=sum(backlog_s > allowed_s for backlog_s in backlogs_s),
            waiting=len(self._waiting),
            waiting_max=max(self._waiting.counts.values(), default=0),
            backlog_s=sum(backlogs_s) / max(len(usable), 1),
            seconds_per_token=speed.seconds_per_token,
            start_s=speed.start_s,
            round_trip_s=self._round_trip.mean_s(now),
            leads=self._waiting.leads(now, MAX_NAMED_LEADS),
        )

    @property
    def round_trip(self) -> RoundTrip:
        """Time that decisions and reports spend between instances."""
        return self._round_trip

    def report_shares(self) -> ShareReport:
        """Return what organisations got and were owed since the last report."""
        return self._entitlements.report()

    def set_capacity_ratio(self, ratio: float) -> None:
        """Set the fraction of each endpoint's capacity that this instance may use.

        It is below 1 while instances place independently of each other.
        """
        self._capacity_ratio = ratio
        self._selector.set_spread(SPREAD_S if ratio < 1.0 else 0.0)

    def set_limit_ratio(self, now: float, ratio: float) -> None:
        """Set the fraction of the endpoints' rate limits that this instance may use."""
        if ratio == self._limit_ratio:
            return
        self._limit_ratio = ratio
        for state in self._endpoints.values():
            if state.rate_limit is not None:
                limit_per_s = state.rate_limit.limit_per_s
                state.rate_limit.configure(now, limit_per_s, ratio)

    def find_endpoint(self, incarnation: str) -> EndpointState | None:
        """Return an endpoint by its incarnation, None if it is not listed."""
        state = self._endpoints.get(incarnation.rpartition("/")[0])
        if state is None or state.endpoint.incarnation != incarnation:
            return None
        return state

    def has_version(self, version: str) -> bool:
        """Return whether an endpoint of a version is listed and not leaving."""
        return version != "" and any(
            state.endpoint.software_version == version and not state.is_leaving
            for state in self._endpoints.values()
        )

    def may_run(self, work: Work) -> bool:
        """Return whether an endpoint that is not leaving may run a request."""
        return any(
            work.may_run_at(state.endpoint)
            and not state.is_leaving
            and not state.evacuated
            for state in self._endpoints.values()
        )

    def set_limit(
        self, now: float, incarnation: str, limit_per_s: float | None
    ) -> None:
        """Set the requests a second that an endpoint takes, None for no limit."""
        state = self.find_endpoint(incarnation)
        if state is None or (limit_per_s is None and state.rate_limit is None):
            return
        if limit_per_s is None:
            state.rate_limit = None
        elif state.rate_limit is None:
            state.rate_limit = RateLimit(now, limit_per_s, self._limit_ratio)
        else:
            state.rate_limit.configure(now, limit_per_s, self._limit_ratio)
        self._selector.invalidate()

    def record_load(
        self, now: float, incarnation: str, load: EngineLoad, age_s: float
    ) -> None:
        """Record what an endpoint reported `age_s` seconds ago about its load.

        Reports have no effect before one of the service has stated a pace.
        """
        if load.pace is not None:
            self._use_loads()
        state = self.find_endpoint(incarnation)
        if state is not None and self._uses_loads:
            state.record_load(load, now - age_s)

    def adopt_speed(
        self, incarnation: str, ratio: float, *, replaces: bool = True
    ) -> None:
        """Take over an endpoint's lasting speed from another instance.

        Parameters
        ----------
        incarnation, ratio
            Incarnation of the endpoint, and its relative prefill time.
        replaces
            Whether it replaces a known speed, as that of the present owner does.
        """
        state = self.find_endpoint(incarnation)
        if state is not None and (replaces or not state.speed.samples):
            self._use_loads()
            state.speed.adopt(ratio)

    def known_loads(self) -> list[KnownLoad]:
        """Return the last reports and the lasting speeds, for a new owner."""
        if not self._uses_loads:
            return []
        return [
            KnownLoad(
                state.endpoint.incarnation,
                state.load.load or EngineLoad(0, 0, 0),
                max(state.load.stated_at, 0.0),
                state.speed.known_ratio,
            )
            for state in self._endpoints.values()
            if state.load.load is not None or state.speed.samples
        ]

    def _use_loads(self) -> None:
        if not self._uses_loads:
            self._uses_loads = True
            self._selector.use_loads()
            for state in self._endpoints.values():
                state.uses_loads = True

    def set_leaving(self, incarnation: str) -> None:
        """Place no further request on an endpoint."""
        state = self.find_endpoint(incarnation)
        if state is not None:
            state.leaving = True

    def pause(self, incarnation: str, instance: str, until: float) -> None:
        """Place no request of an instance on an endpoint before `until`."""
        state = self.find_endpoint(incarnation)
        if state is not None:
            state.paused_until[instance] = until

    def restart_limits(self, now: float) -> None:
        """Forget unused requests of the rate limits, since another instance placed."""
        for state in self._endpoints.values():
            if state.rate_limit is not None:
                state.rate_limit.restart(now)

    def set_throughput(self, tokens_per_s: float) -> None:
        """Set the stated throughput of one engine, the prior of its prefill speed."""
        self._prefill_speed.set_prior(tokens_per_s / PREFILL_THROUGHPUT_RATIO)

    def set_endpoints(
        self, now: float, endpoints: Iterable[Endpoint]
    ) -> list[Decision]:
        """Replace the list of endpoints."""
        listed = {item.id: self._with_possible_slots(item) for item in endpoints}
        for name in list(self._endpoints):
            if name not in listed:
                self._remove_endpoint(now, name)
        engine = self._service.engine
        for name, endpoint in listed.items():
            state = self._endpoints.get(name)
            if state is not None and state.endpoint.started_ms != endpoint.started_ms:
                self._remove_endpoint(now, name)
                state = None
            if state is None:
                capacity = engine.memory_tokens if engine is not None else 0
                cache = PromptCache(capacity, name, self._part_index)
                state = self._endpoints[name] = EndpointState(
                    endpoint,
                    cache,
                    uses_loads=self._uses_loads,
                    round_trip=self._round_trip,
                )
                in_traffic = self._listed and self._in_traffic
                self._list_cold(now, state, in_traffic=in_traffic)
            else:
                state.endpoint = endpoint
                if state.cold is not None:
                    state.cold.read_entry(now, endpoint)
            state.evacuated = endpoint.domain in self._evacuated
        self._listed = self._listed or bool(listed)
        for name, limit in list(self._cold_limits.items()):
            if name not in listed and limit.is_unused(now):
                del self._cold_limits[name]
        self._selector.invalidate()
        return self._place_waiting(now)

    def _list_cold(self, now: float, state: EndpointState, *, in_traffic: bool) -> None:
        """Apply the cold period of an endpoint that was not listed."""
        if self._cold_rule is None:
            return
        name = state.endpoint.id
        limit = self._cold_limits.get(name)
        if limit is None:
            limit = self._cold_limits[name] = ColdLimit(self._cold_rule)
            limit.set_allowed(self._cold_allowed)
        limit.list_endpoint(now, state.endpoint, in_traffic=in_traffic)
        state.cold = limit

    def _with_possible_slots(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint without the slots that it has no connections for.

        An entry with a number too large would otherwise draw all requests.
        """
        limit = self._service.max_connections
        if limit is None or endpoint.slots <= limit:
            return endpoint
        return replace(endpoint, slots=limit)

    def submit(self, now: float, work: Work) -> list[Decision]:
        """Place, queue or refuse a request.

        A request that is submitted again gets the decision that it has.
        """
        self._unconfirmed.discard(work.key)
        self.note_traffic()
        self._expire_overdue(now)
        if work.key in self._waiting:
            return []
        state = self._endpoints.get(self._placed.get(work.key, ""))
        if state is not None:
            running = state.running[work.key]
            return [self._placed_at(now, state, work, running)]
        self._record_submitted(now, work)
        if self._evidence.verdict(now, work.traits) is Verdict.REFUSED:
            reason = RefusalReason.SUSPECTED
            self._entitlements.record_refused(
                now, work.organisation, work.units, reason
            )
            return [Refused(work.key, reason, SUSPECT_RETRY_AFTER_S, work)]
        preferred = self._select_endpoint(now, work)
        if preferred is None:
            return self._wait_for_cold(now, work)
        state = self._endpoints[preferred]
        if not self._waiting.is_behind_others(now, work) and self._has_room(
            now, state, work
        ):
            return [self._place(now, state, work)]
        expires_at = now + self._max_wait_s(now, state, work)
        tokens = own_prompt_tokens(work)
        waiting = WaitingWork(work, now, expires_at, preferred, now, tokens)
        waiting.is_owed = self._entitlements.is_owed_all(work.organisation)
        expected_wait_s = self._expected_wait_s(now, waiting)
        if now + expected_wait_s > expires_at:
            if self._is_below_share(now, work) and self._is_servable(now, work):
                return self._serve_first(now, waiting)
            decision = self._place_elsewhere(now, waiting)
            if isinstance(decision, Placed) or not self._is_next_at_limit(
                now, state, work, expected_wait_s
            ):
                return [decision]
            waiting.expires_at = now + expected_wait_s + LIMIT_WAIT_MARGIN_S
        self._enqueue(waiting)
        return []

    def refuse_undecided(self, now: float, work: Work) -> list[Decision]:
        """Refuse a request that the instance has no time to decide."""
        if work.key in self._waiting or work.key in self._placed:
            return []
        self._record_submitted(now, work)
        return [self._refuse(now, work, RefusalReason.NO_CAPACITY)]

    def rank(self, now: float, organisation: str) -> tuple[bool, float]:
        """Return the order in which an organisation is served, least first."""
        is_owed = self._entitlements.is_owed_all(organisation)
        return not is_owed, self._waiting.recent_service(now, organisation)

    def _record_submitted(self, now: float, work: Work) -> None:
        if self._refused.take(now, work.fingerprint):
            # A caller that comes back after a refusal asks for the same again.
            self._entitlements.record_returned(work.organisation, work.units)
        else:
            self._entitlements.record_requested(now, work.organisation, work.units)

    def _wait_for_cold(self, now: float, work: Work) -> list[Decision]:
        """Let a request wait for a cold endpoint if it takes one in time, or refuse it.

        Only cold endpoints that do not take a request now are left for it, or none.
        """
        states = self._waiting_cold(now, work)
        if not states:
            return [self._refuse(now, work, RefusalReason.NO_ENDPOINT)]
        per_s = sum(state.cold.allowed_per_s for state in states if state.cold)
        patience_s = _patience_s(work)
        wait_s = self._cold_wait_s(now, work)
        if wait_s + len(self._waiting) / max(per_s, MIN_PER_S) > patience_s:
            return [self._refuse(now, work, RefusalReason.NO_CAPACITY)]
        tokens = own_prompt_tokens(work)
        waiting = WaitingWork(work, now, now + patience_s, None, now, tokens)
        self._enqueue(waiting)
        return []

    def _waiting_cold(self, now: float, work: Work) -> list[EndpointState]:
        """Return the endpoints that may run a request but for their cold limit."""
        return [
            state
            for state in self._endpoints.values()
            if state.cold is not None
            and state.cold.is_cold(now)
            and not state.is_leaving
            and not state.evacuated
            and now >= state.suspended_until
            and not state.is_paused(now, work.key[0])
            and work.may_run_at(state.endpoint)
        ]

    def _is_below_share(self, now: float, work: Work) -> bool:
        """Return whether an organisation is owed more than it got and waits for."""
        waiting = self._waiting.units.get(work.organisation, 0.0)
        return self._entitlements.is_below_share(now, work.organisation, waiting)

    def _is_servable(self, now: float, work: Work) -> bool:
        """Return whether some endpoint has room while a response is of use."""
        return self._any_endpoint_wait_s(now, work) <= _patience_s(work)

    def _serve_first(self, now: float, waiting: WaitingWork) -> list[Decision]:
        """Place a request as soon as possible, or let it wait before all others."""
        work = waiting.work
        if not self._is_worth_waiting(now, waiting):
            state = self._cheapest_with_room(now, work)
            if state is not None and self._may_recompute(now, state, work):
                return [self._place(now, state, work)]
        self._enqueue(waiting)
        self._give_priority(now, waiting)
        return []

    def _give_priority(self, now: float, waiting: WaitingWork) -> None:
        """Let a request wait before all that have no priority, even if it is late.

        It waits for its preferred endpoint, then for any.
        """
        work = waiting.work
        patience_s = _patience_s(work)
        if not self._may_recompute_any(now) and self._is_cached(now, work):
            if waiting.preferred is None:
                self._reselect_endpoint(now, waiting)
        elif waiting.has_priority or not self._is_worth_waiting(now, waiting):
            self._waiting.prefer(waiting, None)
        else:
            patience_s *= self._preferred_wait_ratio
        waiting.has_priority = True
        waiting.is_owed = self._entitlements.is_owed_all(work.organisation)
        waiting.expires_at = waiting.arrived_at + patience_s

    def _is_worth_waiting(self, now: float, waiting: WaitingWork) -> bool:
        """Return whether the preferred endpoint saves prefill and has room in time.

        Any other one would prefill the shared part again, which takes capacity from
        all organisations.
        """
        work = waiting.work
        if waiting.preferred is None or work.prompt is None:
            return False
        state = self._endpoints[waiting.preferred]
        if self._uncached_tokens(state, work) > waiting.tokens:
            return False
        wait_s = now - waiting.arrived_at + self._backlog_wait_s(now, state)
        return wait_s <= self._preferred_wait_ratio * _patience_s(work)

    def _is_cached(self, now: float, work: Work) -> bool:
        """Return whether a usable engine has the parts that a request shares."""
        return any(
            self._uncached_tokens(state, work) <= own_prompt_tokens(work)
            for state in self._holders(now, work)
        )

    def _holders(self, now: float, work: Work) -> list[EndpointState]:
        """Return the usable engines that have cached the last shared part."""
        if work.prompt is None or len(work.prompt.parts) < 2:
            return []
        key = work.prompt.model, work.prompt.parts[-2].id
        return [
            state
            for name in self._part_index.holders(key)
            if (state := self._endpoints[name]).usable(now)
            and work.may_run_at(state.endpoint)
        ]

    def _recomputed_tokens(self, now: float, state: EndpointState, work: Work) -> int:
        """Return the tokens that an engine prefills although another has them."""
        uncached = self._uncached_tokens(state, work)
        if uncached <= own_prompt_tokens(work):
            return 0
        least = min(
            (self._uncached_tokens(item, work) for item in self._holders(now, work)),
            default=uncached,
        )
        return max(uncached - least, 0)

    def _may_recompute(self, now: float, state: EndpointState, work: Work) -> bool:
        return self._may_recompute_any(now) or not self._recomputed_tokens(
            now, state, work
        )

    def _may_recompute_any(self, now: float) -> bool:
        """Return whether requests below their share may leave the engine with a part.

        Services whose engines come back cold have a limit on it.
        """
        return self._cold_rule is None or self._recompute_budget.allows(now)

    def _backlog_wait_s(self, now: float, state: EndpointState) -> float:
        """Return the seconds until the backlog of an engine admits a request."""
        seconds_per_token = self._seconds_per_token(now, state)
        backlog = state.backlog_tokens(now, seconds_per_token)
        allowed_s = self._prefill_ahead_s(now)
        return max(backlog * seconds_per_token - allowed_s, 0.0)

    def _prefill_ahead_s(self, now: float) -> float:
        """Return the prefill time that may be queued at each engine.

        Like a flow control window it covers the time until progress is known here.
        """
        ahead_s = self._settings.prefill_ahead_s + self._round_trip.mean_s(now)
        return ahead_s * self._capacity_ratio

    def _cheapest_with_room(self, now: float, work: Work) -> EndpointState | None:
        """Return the endpoint with the lowest cost that has room, None without any."""
        seconds_per_token = self._prefill_speed.seconds_per_token
        return min(
            (
                state
                for state in self._endpoints.values()
                if self._may_place(now, state, work)
            ),
            key=lambda state: self._selector.cost_s(
                now, state, work, seconds_per_token
            ),
            default=None,
        )

    def _may_place(self, now: float, state: EndpointState, work: Work) -> bool:
        """Return whether an endpoint may run a request and has room for it now."""
        return (
            work.may_run_at(state.endpoint)
            and state.usable(now)
            and self._has_room(now, state, work)
        )

    def _any_endpoint_wait_s(self, now: float, work: Work) -> float:
        """Return the seconds until any endpoint has room for a request.

        Only requests that use any endpoint as well are served before it. If it is owed,
        only those of them are that are owed, too.
        """
        if now - self._free_computed_at > WAITS_MAX_AGE_S:
            self._free_computed_at = now
            self._usable = [
                state for state in self._endpoints.values() if state.usable(now)
            ]
            self._free_wait_s = min(
                (self._slot_wait_s(now, [state], 0) for state in self._usable),
                default=0.0,
            )
        is_owed = self._entitlements.is_owed_all(work.organisation)
        ahead = [
            item.work
            for item in self._waiting.ahead_of(now, work)
            if work.prompt is None
            or (item.uses_any_endpoint and (item.is_owed or not is_owed))
        ]
        if not ahead:
            return self._free_wait_s
        tokens = sum(item.prompt.tokens for item in ahead if item.prompt is not None)
        prefill_s = tokens * self._prefill_speed.seconds_per_token
        return max(
            prefill_s / max(len(self._usable), 1),
            self._slot_wait_s(now, self._usable, len(ahead)),
            self._free_wait_s,
        )

    def withdraw(self, now: float, key: WorkKey) -> list[Decision]:
        """Remove a waiting or placed request whose caller has disconnected."""
        if self._withdraw_waiting(key):
            return []
        return self.end(now, key, WorkOutcome.CALLER_DISCONNECTED)

    def _enqueue(self, waiting: WaitingWork) -> None:
        self._waiting.add(waiting)
        organisation = waiting.work.organisation
        self._entitlements.record_waiting(organisation, waiting.units)

    def _dequeue(self, key: WorkKey) -> WaitingWork | None:
        waiting = self._waiting.remove(key)
        if waiting is not None:
            organisation = waiting.work.organisation
            self._entitlements.record_waiting(organisation, -waiting.units)
        return waiting

    def _withdraw_waiting(self, key: WorkKey) -> bool:
        """Remove a request that waits in vain; return whether it waited."""
        waiting = self._dequeue(key)
        if waiting is not None:
            organisation = waiting.work.organisation
            self._entitlements.record_withdrawn(organisation, waiting.units)
        return waiting is not None

    def _remove_running(
        self,
        now: float,
        state: EndpointState,
        key: WorkKey,
        outcome: WorkOutcome | None = None,
    ) -> RunningWork | None:
        """Remove a request from its endpoint; one that did not begin is no service.

        Parameters
        ----------
        now, state, key
            Time, endpoint and request.
        outcome
            How the request ended, None if that is not known.
        """
        begun = not self.has_engines or state.has_begun(key)
        running = state.remove(key)
        if running is None or running.started_at is not None:
            return running
        if begun and outcome not in NOT_RUN:
            return running
        organisation, units = running.organisation, running.units
        self._entitlements.take_back(now, organisation, units, running.placed_at)
        self._waiting.take_back(organisation, units, running.placed_at)
        if outcome is not WorkOutcome.CALLER_DISCONNECTED:
            # The request is submitted again, or its caller may come back.
            self._refused.record(now, running.fingerprint)
        return running

    def adopt(self, now: float, work: Work, endpoint: str, started: bool) -> None:
        """Take over a running request that another instance placed.

        Its times are no sample of the endpoint's speed, since this instance did not
        observe when it was placed.
        """
        self._unconfirmed.discard(work.key)
        state = self._endpoints.get(endpoint)
        if state is None:
            return
        if work.key not in self._placed:
            self.note_traffic()
            self._add_running(now, state, work).adopted = True
            state.load.record_adoption()
            self._entitlements.record_running(now, work.organisation, work.units)
            self._waiting.charge(now, work.organisation, work.units)
        if started:
            self._record_stream(now, state, state.start(now, work.key))

    def start(
        self,
        now: float,
        key: WorkKey,
        *,
        delayed: bool = False,
        first_output_s: float = 0.0,
    ) -> list[Decision]:
        """Record the first output of a request.

        Parameters
        ----------
        now
            Time in seconds.
        key
            Key of the request.
        delayed
            Whether the output was noticed late. Its time is no sample of the endpoint's
            speed then.
        first_output_s
            Time from the receipt of the decision to the output as another instance
            measured it, 0 for requests of this instance.
        """
        self._unconfirmed.discard(key)
        state = self._endpoints.get(self._placed.get(key, ""))
        if state is None:
            return []
        previous_at = state.last_start_at
        started = state.start(now, key)
        self._record_stream(now, state, started)
        if started is None or started.adopted or delayed:
            return self._place_waiting(now, state)
        first_token_s = now - started.placed_at
        tokens = float(started.backlog_tokens)
        if 0.0 < first_output_s <= first_token_s:
            self._round_trip.record(now, first_token_s - first_output_s)
            # The rest of the backlog was prefilled during the round trip.
            tokens *= first_output_s / first_token_s
            tokens = max(tokens, float(started.uncached_tokens))
            first_token_s = first_output_s
        if started.uncached_tokens:
            expected_s = self._prefill_speed.first_token_s(tokens)
            if self._uses_loads:
                self._learn_speed(now, state, started, previous_at, first_token_s)
                expected_s *= state.expected_ratio(now)
            if (
                not state.has_unknown(now)
                or now - self._sampled_at > UNKNOWN_LIFETIME_S
            ):
                # Requests that others send all the time must not end all learning.
                self._sampled_at = now
                state.record_first_token(now, first_token_s, expected_s)
                self._prefill_speed.record(tokens, first_token_s / state.slowdown(now))
        return self._place_waiting(now, state)

    def _learn_speed(
        self,
        now: float,
        state: EndpointState,
        started: RunningWork,
        previous_at: float,
        first_token_s: float,
    ) -> None:
        """Learn an engine's lasting speed from the prefill of one prompt.

        The time counts from the previous first output, so that what was placed ahead
        has no part in it. While requests that this instance did not place run there,
        the time may be theirs.
        """
        tokens = started.uncached_tokens
        if (
            tokens < MIN_SAMPLE_TOKENS
            or state.has_unknown(now)
            or len(state.running) > state.endpoint.slots
        ):
            return
        measured_s = min(first_token_s, now - previous_at)
        expected_s = tokens * self._prefill_speed.seconds_per_token
        if previous_at <= started.placed_at:
            expected_s += self._prefill_speed.start_s
        state.speed.record(measured_s, expected_s * state.load.pace(now))

    def _update_speeds(self, now: float) -> None:
        """Relate the engines' lasting speeds to each other."""
        if not self._uses_loads or now - self._speeds_at < SPEEDS_INTERVAL_S:
            return
        self._speeds_at = now
        normalise(state.speed for state in self._endpoints.values())

    def _record_stream(
        self, now: float, state: EndpointState, started: RunningWork | None
    ) -> None:
        """Record the version at which a stream begins or goes on."""
        if started is not None and started.stream:
            self._origins.record(
                now,
                started.stream,
                state.endpoint.software_version,
                started.stream_lifetime_s,
                self._scope,
            )

    def end(self, now: float, key: WorkKey, outcome: WorkOutcome) -> list[Decision]:
        """Record the end of a placed request."""
        self._unconfirmed.discard(key)
        state = self._endpoints.get(self._placed.pop(key, ""))
        if state is None:
            return []
        ended = self._remove_running(now, state, key, outcome)
        if self._uses_loads:
            state.load.record_end(now)
        if ended is not None:
            self._record_end(now, state, ended, outcome)
        state.record(now, outcome)
        if state.cold is not None:
            state.cold.note_outcome(now, state.endpoint, outcome)
            if outcome in (WorkOutcome.RETURNED, WorkOutcome.MISDIRECTED):
                state.cold.withdraw(key)
            if outcome is WorkOutcome.SERVED and ended and ended.started_at:
                state.cold.note_served(ended.placed_at, ended.started_at)
        if outcome is WorkOutcome.UNREACHABLE:
            # A crash empties the cache; without one, updates restore its state.
            state.cache.clear()
        return self._place_waiting(now, state)

    def unconfirm_instance(self, instance: str) -> None:
        """Await that an instance confirms its requests after its link was lost."""
        self._unconfirmed.update(
            key for key in self._waiting.keys if key[0] == instance
        )
        self._unconfirmed.update(key for key in self._placed if key[0] == instance)

    def drop_unconfirmed(self, now: float, instance: str) -> list[Decision]:
        """Remove the requests that an instance has not confirmed."""
        keys = [key for key in self._unconfirmed if key[0] == instance]
        return self._drop(now, keys)

    def drop_instance(self, now: float, instance: str) -> list[Decision]:
        """Remove all requests of an instance that was lost."""
        keys = [
            key for key in (*self._waiting.keys, *self._placed) if key[0] == instance
        ]
        return self._drop(now, keys)

    def _drop(self, now: float, keys: Iterable[WorkKey]) -> list[Decision]:
        for key in keys:
            self._unconfirmed.discard(key)
            self._withdraw_waiting(key)
            state = self._endpoints.get(self._placed.pop(key, ""))
            if state is not None:
                self._remove_running(now, state, key)
                if self._uses_loads:
                    state.load.record_end(now)
        return self._place_waiting(now)

    def apply_cache_update(self, endpoint: str, update: CacheUpdate) -> None:
        """Apply an engine's update about its cached prompt parts."""
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.cache.apply(update)

    def tick(self, now: float) -> list[Decision]:
        """Place waiting requests that fit, and refuse those that waited too long."""
        self._expire_overdue(now)
        least_recent = heapq.nsmallest(
            SELECTIONS_PER_TICK,
            (
                item
                for item in self._waiting
                if not item.uses_any_endpoint
                and now - item.selected_at >= MIN_SELECTION_AGE_S
            ),
            key=lambda item: item.selected_at,
        )
        for waiting in least_recent:
            self._reselect_endpoint(now, waiting)
        decisions = self._place_waiting(now)
        for waiting in list(self._waiting):
            work = waiting.work
            if (
                now >= waiting.expires_at
                and now - waiting.arrived_at < _patience_s(work)
                and self._entitlements.is_below_share(now, work.organisation)
            ):
                self._give_priority(now, waiting)
            if now >= waiting.expires_at or not self.may_run(work):
                self._dequeue(work.key)
                decisions.append(
                    self._refuse(now, waiting.work, RefusalReason.WAIT_TIMEOUT)
                )
        return decisions

    def _expire_overdue(self, now: float) -> None:
        """Stop counting prompts whose output is overdue, at all engines."""
        if not self.has_engines or now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        self._update_speeds(now)
        settings = self._settings
        for state in self._endpoints.values():
            oldest = next(iter(state.prefilling.values()), None)
            if oldest is not None:
                expected_s = self._prefill_speed.start_s
                expected_s += oldest * self._seconds_per_token(now, state)
                limit_s = settings.overdue_ratio * expected_s
                limit_s += settings.overdue_margin_s + self._round_trip.mean_s(now)
                state.expire_overdue(now, limit_s)

    def _place_waiting(
        self, now: float, freed: EndpointState | None = None
    ) -> list[Decision]:
        """Place waiting requests that fit, on a freed endpoint only or on any."""
        if not self._waiting:
            return []
        if freed is not None and self.has_engines and not self._admits(now, freed):
            return []
        decisions: list[Decision] = []
        items: Iterable[WaitingWork] = self._waiting
        if freed is not None and self.has_engines:
            name = freed.endpoint.id
            items = [item for item in self._waiting if item.preferred in (name, None)]
        full: set[str] = set()
        for waiting in self._waiting.in_order(now, items):
            work = waiting.work
            if waiting.uses_any_endpoint and work.prompt is not None:
                state = freed or self._cheapest_with_room(now, work)
                if state is None or not self._may_place(now, state, work):
                    continue
                if self._may_recompute(now, state, work):
                    self._dequeue(work.key)
                    decisions.append(self._place(now, state, work))
                else:
                    self._reselect_endpoint(now, waiting)
                continue
            if waiting.preferred is None or work.prompt is None:
                self._reselect_endpoint(now, waiting)
            if waiting.preferred is None or waiting.preferred in full:
                continue
            state = self._endpoints[waiting.preferred]
            if not state.usable(now) or not self._has_room(now, state, work):
                full.add(waiting.preferred)
                continue
            self._dequeue(work.key)
            decisions.append(self._place(now, state, work))
        return decisions

    def _place_elsewhere(self, now: float, waiting: WaitingWork) -> Decision:
        """Place a request on another engine than the preferred one, or refuse it.

        The preferred engine would miss the target latency. Another one has to prefill
        the shared part again, which delays no other request if no request waits for
        that engine, and it is idle or all waiting requests prefer the same one.
        """
        work = waiting.work
        same_preferred = all(
            item.preferred == waiting.preferred for item in self._waiting
        )
        seconds_per_token = self._prefill_speed.seconds_per_token
        cheapest = min(
            (
                state
                for name, state in self._endpoints.items()
                if (same_preferred or not state.prefilling)
                and not self._waiting.endpoint_tokens.get(name)
                and self._may_place(now, state, work)
            ),
            key=lambda state: self._selector.cost_s(
                now, state, work, seconds_per_token
            ),
            default=None,
        )
        if cheapest is not None:
            return self._place(now, cheapest, work)
        return self._refuse(now, work, RefusalReason.NO_CAPACITY)

    def _reselect_endpoint(self, now: float, waiting: WaitingWork) -> None:
        waiting.selected_at = now
        self._waiting.prefer(waiting, self._select_endpoint(now, waiting.work))

    def _select_endpoint(self, now: float, work: Work) -> str | None:
        return self._selector.select(now, work, self._prefill_speed.seconds_per_token)

    def _has_room(self, now: float, state: EndpointState, work: Work) -> bool:
        if state.is_paused(now, work.key[0]) or not self._has_slot(now, state):
            return False
        if work.prompt is None:
            return True
        if not self._may_prefill(now):
            return False
        if not state.running:
            return True
        engine = self._service.engine
        if engine is not None:
            max_tokens = (
                engine.memory_tokens
                * self._settings.memory_ratio
                * self._capacity_ratio
            )
            if state.memory_tokens + _memory_tokens(work) > max_tokens:
                return False
        return self._backlog_wait_s(now, state) <= 0.0

    def _may_prefill(self, now: float) -> bool:
        """Return whether this instance may start another prompt at the engines.

        Instances that place independently of each other see engines as idle while the
        prompts of the others queue there. Slots do not limit that, so the prompts of
        each that have not begun are limited.
        """
        if self._capacity_ratio >= 1.0:
            return True
        started = sum(len(state.prefilling) for state in self._endpoints.values())
        return started < self._max_prompts_ahead(now)

    def _max_prompts_ahead(self, now: float) -> float:
        usable = sum(state.usable(now) for state in self._endpoints.values())
        return max(PROMPTS_PER_ENGINE * self._capacity_ratio * usable, 1.0)

    def _has_slot(self, now: float, state: EndpointState) -> bool:
        if len(state.running) >= self._slot_limit(state) or not state.has_token(now):
            return False
        return (
            self._capacity_ratio >= 1.0 or len(self._placed) < self._total_slot_limit()
        )

    def _admits(self, now: float, state: EndpointState) -> bool:
        """Return whether an engine may have room for some request."""
        return (
            state.usable(now)
            and self._has_slot(now, state)
            and (not state.running or self._backlog_wait_s(now, state) <= 0.0)
        )

    def _slot_limit(self, state: EndpointState) -> int:
        return max(1, int(state.endpoint.slots * self._capacity_ratio))

    def _total_slot_limit(self) -> int:
        total = sum(state.endpoint.slots for state in self._endpoints.values())
        return max(1, int(total * self._capacity_ratio))

    def _is_next_at_limit(
        self, now: float, state: EndpointState, work: Work, wait_s: float
    ) -> bool:
        """Return whether a request waits for a rate limit although it becomes late.

        If the next one in fair order were refused, an organisation with few requests
        would find each token taken by one with many when it comes back.
        """
        return (
            state.rate_limit is not None
            and wait_s <= MAX_LIMIT_WAIT_S
            and not self._waiting.is_behind_others(now, work)
        )

    def _max_wait_s(self, now: float, state: EndpointState, work: Work) -> float:
        if work.prompt is None:
            return max(work.max_wait_s, 0.0)
        # Requests that were placed ahead are prefilled first.
        prefill_s = self._uncached_tokens(state, work) * self._seconds_per_token(
            now, state
        )
        prefill_s += self._settings.prefill_ahead_s
        slack_s = work.remaining_target_s - self._prefill_speed.start_s - prefill_s
        return max(work.max_wait_s, slack_s, 0.0)

    def _expected_wait_s(self, now: float, waiting: WaitingWork) -> float:
        """Return the seconds until the preferred endpoint has room."""
        work = waiting.work
        if waiting.preferred is None:
            return 0.0
        state = self._endpoints[waiting.preferred]
        ahead = [
            item.work
            for item in self._waiting.ahead_of(now, work)
            if work.prompt is None or item.preferred == waiting.preferred
        ]
        # Requests to plain services may use any endpoint.
        states = [
            item
            for item in self._endpoints.values()
            if item is state or (work.prompt is None and work.may_run_at(item.endpoint))
        ]
        slot_wait_s = self._slot_wait_s(now, states, len(ahead))
        if work.prompt is None:
            return slot_wait_s
        seconds_per_token = self._seconds_per_token(now, state)
        tokens = sum(self._uncached_tokens(state, item) for item in ahead)
        backlog = state.backlog_tokens(now, seconds_per_token)
        allowed_s = self._prefill_ahead_s(now)
        wait_s = (backlog + tokens) * seconds_per_token - allowed_s
        if not self._may_prefill(now):
            rounds = (1.0 + len(self._waiting)) / self._max_prompts_ahead(now)
            own_tokens = self._uncached_tokens(state, work)
            begin_s = self._prefill_speed.first_token_s(backlog + own_tokens)
            wait_s = max(wait_s, rounds * begin_s)
        return max(wait_s, slot_wait_s, 0.0)

    def _slot_wait_s(
        self, now: float, states: Iterable[EndpointState], ahead: int
    ) -> float:
        """Return the seconds until a request behind `ahead` others gets a slot.

        Parameters
        ----------
        now
            Time in seconds.
        states
            Endpoints that the requests may use.
        ahead
            Number of requests that come before.
        """
        missing_slots = ahead + 1.0
        freed_per_s = 0.0
        for state in states:
            slots = self._slot_limit(state)
            free = float(slots - len(state.running))
            rate_per_s = slots / self._mean_duration_s if self._mean_duration_s else 0.0
            limit = state.rate_limit
            if limit is not None:
                free = min(free, limit.tokens(now))
                rate_per_s = min(rate_per_s or math.inf, limit.rate_per_s)
            missing_slots -= free
            freed_per_s += rate_per_s
        return max(missing_slots, 0.0) / freed_per_s if freed_per_s else 0.0

    def _place(self, now: float, state: EndpointState, work: Work) -> Placed:
        self._waiting.charge(now, work.organisation, work.units)
        self._entitlements.record_placed(now, work.organisation, work.units)
        if work.prompt is not None and self._cold_rule is not None:
            self._recompute_budget.record(
                now,
                self._uncached_tokens(state, work),
                self._recomputed_tokens(now, state, work),
            )
        if state.rate_limit is not None:
            state.rate_limit.take(now)
        running = self._add_running(now, state, work)
        if state.cold is not None:
            running.cold = state.cold.is_cold(now)
            state.cold.record(now, work.key)
        return self._placed_at(now, state, work, running)

    def _placed_at(
        self, now: float, state: EndpointState, work: Work, running: RunningWork
    ) -> Placed:
        return Placed(
            work.key,
            state.endpoint.id,
            running.uncached_tokens,
            software_version=state.endpoint.software_version,
            incarnation=state.endpoint.incarnation if self._uses_loads else "",
            speed=state.speed.known_ratio if self._uses_loads else 0.0,
            cold=running.cold,
            share_reached=self._entitlements.has_reached_share(now, work.organisation),
        )

    def _add_running(self, now: float, state: EndpointState, work: Work) -> RunningWork:
        uncached = self._uncached_tokens(state, work)
        backlog = state.backlog_tokens(now, self._seconds_per_token(now, state))
        running = RunningWork(
            uncached_tokens=uncached,
            memory_tokens=_memory_tokens(work),
            backlog_tokens=backlog + uncached,
            placed_at=now,
            traits=work.traits,
            stream=work.stream,
            stream_lifetime_s=work.stream_lifetime_s,
            organisation=work.organisation,
            units=work.units,
            fingerprint=work.fingerprint,
        )
        self._evidence.begin(now, running.traits)
        state.add(now, work.key, running)
        if work.prompt is not None:
            state.cache.record_use(work.prompt)
        self._placed[work.key] = state.endpoint.id
        self._selector.record_placement()
        return running

    def _refuse(self, now: float, work: Work, reason: RefusalReason) -> Refused:
        settings = self._settings
        if now - self._waits_computed_at > WAITS_MAX_AGE_S:
            self._waits_computed_at = now
            self._prefill_wait_s = self._compute_prefill_wait_s(now)
            self._limit_wait_s = self._compute_limit_wait_s(now)
        wait_s = 0.0 if work.prompt is None else self._prefill_wait_s
        wait_s = min(
            max(wait_s, settings.min_retry_after_s), settings.max_retry_after_s
        )
        wait_s = max(wait_s, self._limit_wait_s)
        if reason is RefusalReason.NO_ENDPOINT:
            wait_s = max(wait_s, self._pause_s(now, work))
        self._entitlements.record_refused(now, work.organisation, work.units, reason)
        self._refused.record(now, work.fingerprint)
        return Refused(
            work.key,
            reason,
            wait_s,
            work,
            share_reached=self._entitlements.has_reached_share(now, work.organisation),
        )

    def _pause_s(self, now: float, work: Work) -> float:
        """Return the seconds until an endpoint takes requests of the instance again."""
        pauses_s = (
            state.paused_until[work.key[0]] - now
            for state in self._endpoints.values()
            if not state.is_leaving and state.is_paused(now, work.key[0])
        )
        return min(pauses_s, default=0.0)

    def _cold_wait_s(self, now: float, work: Work) -> float:
        """Return the seconds until a cold endpoint takes a request, 0 without one."""
        states = self._waiting_cold(now, work)
        waits_s = (state.cold.wait_s(now) for state in states if state.cold)
        return min(waits_s, default=0.0)

    def _compute_prefill_wait_s(self, now: float) -> float:
        """Return the seconds in which the endpoints prefill all that is ahead."""
        seconds_per_token = self._prefill_speed.seconds_per_token
        usable = [state for state in self._endpoints.values() if state.usable(now)]
        tokens = sum(self._waiting.endpoint_tokens.values()) + sum(
            state.backlog_tokens(now, seconds_per_token) for state in usable
        )
        return tokens * seconds_per_token / max(len(usable), 1)

    def _compute_limit_wait_s(self, now: float) -> float:
        """Return the seconds until rate limits allow a request behind all others.

        0 if an endpoint without a limit is usable. The caller may come back at any
        instance, so that the whole limits count.
        """
        usable = [state for state in self._endpoints.values() if state.usable(now)]
        limits = [state.rate_limit for state in usable if state.rate_limit is not None]
        if not limits or len(limits) < len(usable):
            return 0.0
        missing = len(self._waiting) + 1.0 - sum(item.tokens(now) for item in limits)
        total_per_s = sum(max(item.limit_per_s, MIN_PER_S) for item in limits)
        wait_s = max(missing, 0.0) / total_per_s
        return min(wait_s, MAX_LIMITED_RETRY_AFTER_S)

    def _uncached_tokens(self, state: EndpointState, work: Work) -> int:
        if work.prompt is None:
            return 0
        return max(work.prompt.tokens - state.cache.cached_tokens(work.prompt), 0)

    def _seconds_per_token(self, now: float, state: EndpointState) -> float:
        """Return the seconds in which an engine prefills a token."""
        return self._prefill_speed.seconds_per_token * state.slowdown(now)

    def _record_end(
        self,
        now: float,
        state: EndpointState,
        ended: RunningWork,
        outcome: WorkOutcome,
    ) -> None:
        self._evidence.end(now, ended.traits)
        match outcome:
            case WorkOutcome.SERVED:
                duration_s = now - ended.placed_at
                self._mean_duration_s += SLOT_DURATION_GAIN * (
                    duration_s - self._mean_duration_s
                )
                self._evidence.clear(now, ended.traits)
            case WorkOutcome.DISCONNECTED if ended.started_recently(now):
                self._evidence.record_crash(
                    now, ended.traits, ended.placed_at, state.endpoint.incarnation
                )

    def _remove_endpoint(self, now: float, name: str) -> None:
        state = self._endpoints.pop(name)
        state.cache.clear()
        self._waiting.forget_endpoint(name)
        for key in list(state.running):
            self._placed.pop(key, None)
            self._remove_running(now, state, key)


def _memory_tokens(work: Work) -> int:
    """Return the tokens of engine memory that a request takes beyond shared parts."""
    if work.prompt is None:
        return 0
    return own_prompt_tokens(work) + work.prompt.generated_tokens


def _patience_s(work: Work) -> float:
    """Return the seconds for which a request below the share may wait."""
    return max(work.remaining_target_s, work.max_wait_s)
