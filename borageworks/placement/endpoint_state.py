"""State that placement keeps for one endpoint."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from borageworks.gateway.endpoint import Endpoint
from borageworks.placement.cold_limit import ColdLimit
from borageworks.placement.engine_load import EngineLoad, LoadRecord
from borageworks.placement.engine_speed import EngineSpeed
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.prompt_cache import PromptCache
from borageworks.placement.rate_limit import RateLimit
from borageworks.placement.round_trip import RoundTrip
from borageworks.placement.work import WorkKey

# Smoothing factor of the moving average of failures.
FAILURE_RATE_GAIN = 0.15
INITIAL_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
# Smoothing factor of the moving average of an engine's slowdown.
SLOWDOWN_GAIN = 0.15
# Below this factor, differences between prompts and concurrent requests outweigh those
# between engines.
MIN_SLOWDOWN_RATIO = 2.0
# Bounds of one sample, so that a single late response does not exclude an engine.
MAX_SAMPLE_RATIO = 16.0
MIN_SAMPLE_RATIO = 0.25
# Without samples the estimate decays, so that an engine that gets few requests is
# tried again.
SLOWDOWN_HALF_LIFE_S = 4.0
# Time by which a first output may be later than expected on a machine that is not slow,
# and the longest delay that counts as prefill still to come.
STALL_MARGIN_S = 0.03
STALL_MAX_S = 0.5
# Part of the running requests up to which unknown ones may have been miscounted, as
# reports and messages are under way at the same time.
MAX_UNKNOWN_RATIO = 0.25
# Output that begins is noticed within this time unless an instance is overloaded.
RECENT_START_S = 0.25
# An engine that loses single responses is not suspended, one that is silent is.
MAX_OVERDUE = 2
# Closed connections in a row after which an endpoint is taken to fail all that it gets.
# One that loses half of its responses reaches this once in some hundred requests.
MAX_DISCONNECTIONS = 8
# Cool-down of an endpoint that refused a request for lack of capacity: about the time
# in which it completes a few requests.
SHED_COOL_DOWN_S = 0.05


@dataclass(slots=True)
class RunningWork:
    """A request that was placed on an endpoint.

    Parameters
    ----------
    uncached_tokens
        Prompt tokens that the endpoint has to prefill for it.
    memory_tokens
        Tokens of engine memory that it takes beyond shared parts.
    backlog_tokens
        Tokens to prefill before its first token, counted at its placement.
    placed_at, started_at
        Times of placement and of the first output; `started_at` is None before that.
    traits
        What it may share with other requests that crash endpoints.
    adopted
        Whether another instance placed it, at an unknown time.
    prefilled
        Whether its prompt no longer counts as work ahead of later requests.
    cold
        Whether it was placed within the limit of a cold endpoint.
    stream, stream_lifetime_s
        Id of its event stream, and seconds for which the caller may resume it.
    organisation, units, fingerprint
        What it was charged to, its charge, and its hash.
    """

    uncached_tokens: int
    memory_tokens: int
    backlog_tokens: float
    placed_at: float
    started_at: float | None = None
    traits: tuple[bytes, ...] = ()
    adopted: bool = False
    prefilled: bool = False
    cold: bool = False
    stream: bytes = b""
    stream_lifetime_s: float = 0.0
    organisation: str = ""
    units: float = 0.0
    fingerprint: bytes = b""

    def started_recently(self, now: float) -> bool:
        """Return whether it has not started yet, or only just.

        A request that crashes an endpoint does so as its output begins.
        """
        return self.started_at is None or now - self.started_at < RECENT_START_S


@dataclass(slots=True)
class EndpointState:
    """An endpoint with its running requests and its health.

    Parameters
    ----------
    endpoint
        Entry in the list of endpoints.
    cache
        Prompt parts that it is believed to have cached.
    running, prefilling
        Placed requests, and the uncached tokens of those not yet prefilled, in order.
    uncached_tokens, memory_tokens
        Totals of `prefilling`, and of the memory that running requests take.
    prefill_since
        Time since which the oldest request in `prefilling` is prefilled.
    failure_rate
        Exponential moving average of failures, from 0 to 1.
    suspended_until, suspension_s
        End of the present suspension, and the length of the last one.
    half_open
        Whether it gets one request at a time until one succeeds.
    overdue
        Number of requests that did not start in time since the last one that started.
    disconnections
        Number of requests whose connections it closed since the last one it served.
    rate_limit
        Limit on the requests a second that it takes, None if it states none.
    leaving
        Whether it has stated that it accepts no new requests.
    paused_until
        Ends of the pauses in which it wants no requests of an instance.
    load, speed
        Its last report, and its lasting speed as far as it was learned.
    last_start_at
        Time of the last first output of a request.
    uses_loads
        Whether endpoints of the service state their pace.
    cold
        Limit while it is cold, None if its service has none.
    evacuated
        Whether its failure domain is evacuated.
    round_trip
        Time by which the reports of its outputs come late.
    """

    endpoint: Endpoint
    cache: PromptCache
    running: dict[WorkKey, RunningWork] = field(default_factory=dict)
    prefilling: dict[WorkKey, int] = field(default_factory=dict)
    uncached_tokens: int = 0
    memory_tokens: int = 0
    prefill_since: float = 0.0
    failure_rate: float = 0.0
    suspended_until: float = 0.0
    suspension_s: float = 0.0
    half_open: bool = False
    overdue: int = 0
    disconnections: int = 0
    rate_limit: RateLimit | None = None
    leaving: bool = False
    paused_until: dict[str, float] = field(default_factory=dict)
    load: LoadRecord = field(default_factory=LoadRecord)
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    last_start_at: float = -math.inf
    uses_loads: bool = False
    cold: ColdLimit | None = None
    evacuated: bool = False
    round_trip: RoundTrip = field(default_factory=RoundTrip)
    _slowdown: float = 1.0
    _slowdown_at: float = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether it accepts no new requests, by its entry or by its responses."""
        return self.leaving or self.endpoint.leaving

    def add(self, now: float, key: WorkKey, work: RunningWork) -> None:
        """Add a placed request."""
        if self.uncached_tokens == 0:
            self.prefill_since = now
        self.running[key] = work
        self.prefilling[key] = work.uncached_tokens
        self.uncached_tokens += work.uncached_tokens
        self.memory_tokens += work.memory_tokens

    def start(self, now: float, key: WorkKey) -> RunningWork | None:
        """Record a request's output; return the request if the output is its first."""
        work = self.running.get(key)
        if work is None or work.started_at is not None:
            return None
        work.started_at = now
        self.last_start_at = now
        self.overdue = 0
        if not work.prefilled:
            if not work.adopted:
                self._finish_earlier_prefills(key)
            self._finish_prefill(key)
            self.prefill_since = now
        return work

    def expire_overdue(self, now: float, limit_s: float) -> None:
        """Stop waiting for the oldest prompt if its output is overdue.

        Parameters
        ----------
        now
            Time in seconds.
        limit_s
            Seconds after which the output of the oldest prompt is overdue. It may have
            been lost, so another request is tried; an engine at which several in a row
            are overdue is suspended.
        """
        if not self.prefilling or now - self.prefill_since <= limit_s:
            return
        self._finish_prefill(next(iter(self.prefilling)))
        self.prefill_since = now
        self.overdue += 1
        if self.overdue >= MAX_OVERDUE:
            self._suspend(now)

    def _finish_earlier_prefills(self, key: WorkKey) -> None:
        """Finish the prefill of what was placed before a request that has started.

        Engines admit in order of arrival, so these prompts have been prefilled, also
        those of requests whose output was lost.
        """
        for earlier in list(self.prefilling):
            if earlier == key:
                return
            self._finish_prefill(earlier)

    def _finish_prefill(self, key: WorkKey) -> None:
        self.uncached_tokens -= self.prefilling.pop(key)
        self.running[key].prefilled = True

    def has_begun(self, key: WorkKey) -> bool:
        """Return whether an engine works on a request, or has done so.

        It prefills one prompt after the other.
        """
        return key not in self.prefilling or next(iter(self.prefilling)) == key

    def remove(self, key: WorkKey) -> RunningWork | None:
        """Remove a request that ended."""
        work = self.running.pop(key, None)
        if work is None:
            return None
        if self.prefilling.pop(key, None) is not None:
            self.uncached_tokens -= work.uncached_tokens
        self.memory_tokens -= work.memory_tokens
        return work

    def backlog_tokens(self, now: float, seconds_per_token: float) -> float:
        """Return the estimated prompt tokens still to be prefilled."""
        if not self.prefilling:
            return 0.0
        prefilled = (now - self.prefill_since) / seconds_per_token
        oldest = next(iter(self.prefilling.values()))
        backlog = max(self.uncached_tokens - min(prefilled, oldest), 0.0)
        if self.uses_loads and not self.has_unknown(now):
            # A prompt that takes longer than expected shows that the machine is slow
            # now, before any report does.
            margin_s = STALL_MARGIN_S + self.round_trip.mean_s(now)
            stalled = (now - self.prefill_since - margin_s) / seconds_per_token
            backlog += max(min(stalled - oldest, STALL_MAX_S / seconds_per_token), 0.0)
        return backlog

    def slowdown(self, now: float) -> float:
        """Return its prefill time relative to the service's engines, 1 if not slow."""
        expected = self.expected_ratio(now) if self.uses_loads else 1.0
        if self._slowdown == 1.0:
            return expected
        factor = self._decayed_slowdown(now)
        return factor * expected if factor >= MIN_SLOWDOWN_RATIO else expected

    def expected_ratio(self, now: float) -> float:
        """Return the relative prefill time by its lasting speed and its last report."""
        return self.speed.ratio * self.load.pace(now)

    def has_unknown(self, now: float) -> bool:
        """Return whether enough unknown requests run there to explain delays."""
        if not self.load.unknown:
            return False
        limit = MAX_UNKNOWN_RATIO * len(self.running)
        return self.load.unknown_requests(now) > limit

    def record_load(self, load: EngineLoad, stated_at: float) -> None:
        """Record a report that the endpoint stated at some time."""
        known = sum(work.placed_at <= stated_at for work in self.running.values())
        self.load.record(load, stated_at, known)
        # More cannot run there, whatever a faulty report counts.
        self.load.unknown = min(self.load.unknown, float(self.endpoint.slots))

    def record_first_token(
        self, now: float, measured_s: float, expected_s: float
    ) -> None:
        """Record the measured and the expected time to a first token."""
        ratio = min(max(measured_s / expected_s, MIN_SAMPLE_RATIO), MAX_SAMPLE_RATIO)
        factor = self._decayed_slowdown(now)
        self._slowdown = factor + SLOWDOWN_GAIN * (ratio - factor)
        self._slowdown_at = now

    def _decayed_slowdown(self, now: float) -> float:
        decay = math.pow(0.5, (now - self._slowdown_at) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self._slowdown - 1.0) * decay

    def has_token(self, now: float) -> bool:
        """Return whether its limit on requests a second allows one now."""
        return self.rate_limit is None or self.rate_limit.tokens(now) >= 1.0

    def is_paused(self, now: float, instance: str) -> bool:
        """Return whether it wants no requests of an instance now."""
        return bool(self.paused_until) and now < self.paused_until.get(instance, now)

    def usable(self, now: float) -> bool:
        """Return whether it may get a request now."""
        if self.is_leaving or self.evacuated or now < self.suspended_until:
            return False
        if self.cold is not None and not self.cold.allows(now):
            return False
        return not (self.half_open and self.running)

    def record(self, now: float, outcome: WorkOutcome) -> None:
        """Update the endpoint's health by the end of a request."""
        match outcome:
            case WorkOutcome.CALLER_DISCONNECTED | WorkOutcome.RETURNED:
                return
            case WorkOutcome.SERVED:
                self.failure_rate -= FAILURE_RATE_GAIN * self.failure_rate
                self.half_open = False
                self.suspension_s = 0.0
                self.disconnections = 0
            case WorkOutcome.REFUSED | WorkOutcome.MISDIRECTED:
                self.suspended_until = max(self.suspended_until, now + SHED_COOL_DOWN_S)
            case WorkOutcome.FAILED:
                self.failure_rate += FAILURE_RATE_GAIN * (1.0 - self.failure_rate)
                self.disconnections = 0
            case WorkOutcome.DISCONNECTED:
                self.failure_rate += FAILURE_RATE_GAIN * (1.0 - self.failure_rate)
                self.disconnections += 1
                failing = self.disconnections >= MAX_DISCONNECTIONS
                if failing and now >= self.suspended_until:
                    # Those sent before the suspension do not extend it.
                    self.half_open = True
                    self._suspend(now)
            case WorkOutcome.UNREACHABLE:
                self.failure_rate += FAILURE_RATE_GAIN * (1.0 - self.failure_rate)
                self.half_open = True
                self._suspend(now)
            case WorkOutcome.UNLISTED:
                self.suspended_until = now + MAX_SUSPENSION_S

    def _suspend(self, now: float) -> None:
        self.suspension_s = min(
            max(self.suspension_s * 2.0, INITIAL_SUSPENSION_S), MAX_SUSPENSION_S
        )
        self.suspended_until = now + self.suspension_s
