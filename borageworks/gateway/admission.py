"""Admission control of an overloaded instance."""

from __future__ import annotations

import math
from dataclasses import dataclass

from borageworks.events import Event, emit
from borageworks.gateway.fleet_shares import FleetShares
from borageworks.gateway.loop_lag import MEASURE_INTERVAL_S, LoopLag
from borageworks.timers import Timers, TimerSubscription

# While the loop lags, the limit is multiplied by the ratio once per interval: the next
# decrease waits until requests admitted before the last one have been processed.
DECREASE_RATIO = 0.7
DECREASE_INTERVAL_S = 0.3
# The limit doubles in this time while the loop does not lag. Recovery is fast because a
# limit that is too low costs callers more than a short overshoot.
DOUBLING_TIME_S = 0.5
# Time constant of the moving averages of request rates, long enough to track
# organisations that send one request a second.
RATE_TIME_CONSTANT_S = 1.0
# Token bucket size of an organisation, in seconds at its limit. Requests that arrive
# while the loop lags are processed as one burst.
BURST_ALLOWANCE_S = 0.5
# No organisation is limited to fewer requests a second, however overloaded the loop is.
MIN_LIMIT_PER_S = 0.05
# The limit is removed when it exceeds the highest request rate by this factor.
LIMIT_REMOVAL_RATIO = 1.5
# Overload or refusals that last this long are no burst: new callers have to connect to
# other instances.
SUSTAINED_OVERLOAD_S = 1.0
# Gaps up to this length do not end an overload: refusals relieve the loop for a moment.
MAX_OVERLOAD_GAP_S = 1.0
# More connections are admitted than are opened if some have been waiting for this long,
# also where the loop is not held up for long at any time.
MAX_QUEUED_S = 0.1
# Below this ratio of refused requests, callers need not connect to other instances.
MIN_REFUSAL_RATIO = 0.05
# Part of the limit for an organisation that has got its share of the fleet.
SHARE_REACHED_RATIO = 0.1
# Organisations with a lower request rate are no longer tracked.
MIN_TRACKED_PER_S = 0.001


@dataclass(slots=True)
class _OrganisationState:
    """Request rates and token bucket of one organisation."""

    requested: float = 0.0
    admitted: float = 0.0
    refused: float = 0.0
    updated_at: float = -math.inf
    tokens: float = 1.0

    def advance(self, now: float, limit_per_s: float) -> None:
        """Decay the rates and refill the bucket up to `now`."""
        elapsed_s = now - self.updated_at
        decay = math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self.requested *= decay
        self.admitted *= decay
        self.refused *= decay
        self.updated_at = now
        burst = max(limit_per_s * BURST_ALLOWANCE_S, 1.0)
        refill = limit_per_s * elapsed_s if math.isfinite(limit_per_s) else burst
        self.tokens = min(self.tokens + refill, burst)


class Admission:
    """Decides which requests an overloaded instance admits.

    While the event loop lags, or opens connections too slowly, the same rate limit
    applies to each organisation, and it decreases until the loop keeps up.
    Organisations below the limit are not refused and the others get equal rates, so
    that the capacity of the instance is divided by max-min fairness. One
    that has got its share of the fleet has a tenth of the limit, as it is served by
    other instances, and others may have callers at this one only.

    Parameters
    ----------
    lag
        Measures event loop lag.
    shares
        Knows which organisations have got their share of the fleet.
    """

    def __init__(self, lag: LoopLag, shares: FleetShares) -> None:
        self._lag = lag
        self._shares = shares
        self._limit_per_s = math.inf
        self._states: dict[str, _OrganisationState] = {}
        self._measured_at = -math.inf
        self._decreased_at = -math.inf
        self._queued_since: float | None = None
        # Since the last measurement.
        self._refusals = 0
        self._overload_since: float | None = None
        self._overload_seen_at = -math.inf
        self._overloaded = False
        self._subscription: TimerSubscription | None = None

    @property
    def limit_per_s(self) -> float:
        """Requests a second allowed to each organisation, infinite without a limit."""
        return self._limit_per_s

    @property
    def limited(self) -> bool:
        """Whether requests may be refused."""
        return math.isfinite(self._limit_per_s)

    @property
    def overloaded(self) -> bool:
        """Whether overload is sustained: callers should use other instances."""
        return self._overloaded

    def share_reached(self, now: float) -> list[str]:
        """Return organisations with callers here that have got their fleet's share."""
        reached = (name for name in self._states if self._ratio(now, name) < 1.0)
        return sorted(reached)

    def start(self, timers: Timers) -> None:
        """Start adapting the limit to loop lag."""
        self._subscription = timers.every(MEASURE_INTERVAL_S, self.measure)

    def stop(self) -> None:
        """Stop adapting the limit."""
        if self._subscription is not None:
            self._subscription.cancel()

    def admit(self, now: float, organisation: str) -> bool:
        """Count a request and return whether it is admitted."""
        state = self._states.get(organisation)
        if state is None:
            state = self._states[organisation] = _OrganisationState()
        state.advance(now, self._limit_per_s * self._ratio(now, organisation))
        state.requested += 1.0
        if math.isfinite(self._limit_per_s):
            if state.tokens < 1.0:
                state.refused += 1.0
                self._refusals += 1
                return False
            state.tokens -= 1.0
        state.admitted += 1.0
        return True

    def record_poll(self, now: float, *, kept_up: bool) -> None:
        """Record whether all admitted connections that waited have been opened."""
        if kept_up:
            self._queued_since = None
        elif self._queued_since is None:
            self._queued_since = now

    def measure(self, now: float) -> None:
        """Adapt the limit to the current loop lag and connections that wait."""
        elapsed_s = now - self._measured_at
        self._measured_at = now
        if self._is_behind(now):
            if now - self._decreased_at >= DECREASE_INTERVAL_S:
                self._decreased_at = now
                self._decrease()
        elif math.isfinite(self._limit_per_s):
            self._increase(now, min(elapsed_s, DOUBLING_TIME_S))
        for name, state in self._states.items():
            state.advance(now, self._limit_per_s * self._ratio(now, name))
        self._update_overload(now)
        self._states = {
            name: state
            for name, state in self._states.items()
            if state.requested > MIN_TRACKED_PER_S * RATE_TIME_CONSTANT_S
        }

    def _is_behind(self, now: float) -> bool:
        """Return whether the loop lags or opens connections too slowly."""
        since = self._queued_since
        return self._lag.lagging or (since is not None and now - since > MAX_QUEUED_S)

    def _decrease(self) -> None:
        if not self._states:
            return
        if math.isinf(self._limit_per_s):
            admitted = {name: state.admitted for name, state in self._states.items()}
            largest = max(admitted, key=lambda name: admitted[name])
            self._limit_per_s = admitted[largest] / RATE_TIME_CONSTANT_S
            emit(
                Event.ADMISSION_LIMITED,
                level=round(self._limit_per_s, 2),
                lag_s=round(self._lag.mean_s, 4),
                largest=largest,
                organisations=len(admitted),
            )
        self._limit_per_s = max(self._limit_per_s * DECREASE_RATIO, MIN_LIMIT_PER_S)

    def _ratio(self, now: float, organisation: str) -> float:
        """Return the part of the limit that holds for an organisation."""
        reached = self._shares.has_reached(now, organisation)
        return SHARE_REACHED_RATIO if reached else 1.0

    def _increase(self, now: float, elapsed_s: float) -> None:
        self._limit_per_s *= 2.0 ** (elapsed_s / DOUBLING_TIME_S)
        requested = max(
            (
                state.requested / self._ratio(now, name)
                for name, state in self._states.items()
            ),
            default=0.0,
        )
        if (
            self._limit_per_s
            > LIMIT_REMOVAL_RATIO * max(requested, 1.0) / RATE_TIME_CONSTANT_S
        ):
            self._limit_per_s = math.inf
            emit(Event.ADMISSION_OPENED, lag_s=round(self._lag.mean_s, 4))

    def _update_overload(self, now: float) -> None:
        requested = sum(state.requested for state in self._states.values())
        refused = sum(state.refused for state in self._states.values())
        refusing = self._refusals > 0 and refused > MIN_REFUSAL_RATIO * requested
        self._refusals = 0
        if self._is_behind(now) or refusing:
            self._overload_seen_at = now
            if self._overload_since is None:
                self._overload_since = now
        elif now - self._overload_seen_at > MAX_OVERLOAD_GAP_S:
            self._overload_since = None
        since = self._overload_since
        overloaded = (
            since is not None and self._overload_seen_at - since >= SUSTAINED_OVERLOAD_S
        )
        if overloaded != self._overloaded:
            self._overloaded = overloaded
            emit(
                Event.CROWDING_BEGAN if overloaded else Event.CROWDING_ENDED,
                asked_per_s=round(requested / RATE_TIME_CONSTANT_S, 1),
                refused_per_s=round(refused / RATE_TIME_CONSTANT_S, 1),
                lag_s=round(self._lag.mean_s, 4),
            )
