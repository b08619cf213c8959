"""What placement knows about one endpoint."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from borageworks.gateway.endpoint import Endpoint
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.prompt_memory import PromptMemory
from borageworks.placement.work import WorkKey

# Part by which one more result moves the failure rate.
FAILURE_GAIN = 0.15
SUSPENSION_FIRST_S = 0.5
SUSPENSION_LIMIT_S = 4.0
# Part by which one more first token moves what is known of an engine's own speed.
SLOWNESS_GAIN = 0.15
# An engine counts as slow from this factor on; below it, prompts and neighbours differ
# more than engines do.
SLOW_FACTOR = 2.0
# Bounds of one measurement, so that a single late answer does not condemn an engine.
SLOWEST_FACTOR = 16.0
FASTEST_FACTOR = 0.25
# An engine that gets few requests is taken to have recovered by half in this time,
# so that it is tried again.
SLOWNESS_HALF_LIFE_S = 4.0
# An endpoint that refused for lack of room is asked again after a few requests' time.
SHED_PAUSE_S = 0.05


@dataclass(slots=True)
class RunningWork:
    """A request at an endpoint.

    Parameters
    ----------
    unread_tokens
        Prompt tokens that the endpoint had to read for it.
    memory_tokens
        Tokens that it holds in memory beyond shared parts.
    backlog_tokens
        Tokens to read before its first token, when it was placed.
    placed_at, started_at
        Times of placement and of the first sign of an answer, None before that.
    fingerprint
        Hash that equal requests share.
    """

    unread_tokens: int
    memory_tokens: int
    backlog_tokens: float
    placed_at: float
    started_at: float | None = None
    fingerprint: bytes = b""


@dataclass(slots=True)
class EndpointState:
    """One endpoint with its running requests.

    Parameters
    ----------
    endpoint
        Entry in the list of endpoints.
    memory
        Prompt parts that it keeps.
    running, reading
        Placed requests, and the unread tokens of those that have not started, in order.
    """

    endpoint: Endpoint
    memory: PromptMemory
    running: dict[WorkKey, RunningWork] = field(default_factory=dict)
    reading: dict[WorkKey, int] = field(default_factory=dict)
    unread_tokens: int = 0
    memory_tokens: int = 0
    reading_since: float = 0.0
    failure_rate: float = 0.0
    suspended_until: float = 0.0
    suspension_s: float = 0.0
    suspected: bool = False
    _slowness: float = 1.0
    _slowness_at: float = 0.0

    def add(self, now: float, key: WorkKey, work: RunningWork) -> None:
        """Note a placed request."""
        if self.unread_tokens == 0:
            self.reading_since = now
        self.running[key] = work
        self.reading[key] = work.unread_tokens
        self.unread_tokens += work.unread_tokens
        self.memory_tokens += work.memory_tokens

    def start(self, now: float, key: WorkKey) -> RunningWork | None:
        """Note the first sign of an answer; return the request if it is the first."""
        work = self.running.get(key)
        if work is None or work.started_at is not None:
            return None
        work.started_at = now
        del self.reading[key]
        self.unread_tokens -= work.unread_tokens
        self.reading_since = now
        return work

    def remove(self, key: WorkKey) -> RunningWork | None:
        """Forget a request that ended."""
        work = self.running.pop(key, None)
        if work is None:
            return None
        if self.reading.pop(key, None) is not None:
            self.unread_tokens -= work.unread_tokens
        self.memory_tokens -= work.memory_tokens
        return work

    def backlog_tokens(self, now: float, seconds_per_token: float) -> float:
        """Return the prompt tokens that the endpoint still has to read."""
        if not self.reading:
            return 0.0
        read = (now - self.reading_since) / seconds_per_token
        oldest = next(iter(self.reading.values()))
        return max(self.unread_tokens - min(read, oldest), 0.0)

    def slowness(self, now: float) -> float:
        """Return by which factor it reads more slowly than the service's engines do."""
        if self._slowness == 1.0:
            return 1.0
        factor = self._faded_slowness(now)
        return factor if factor >= SLOW_FACTOR else 1.0

    def note_speed(self, now: float, taken_s: float, expected_s: float) -> None:
        """Note how long a first token took, and how long it usually takes."""
        ratio = min(max(taken_s / expected_s, FASTEST_FACTOR), SLOWEST_FACTOR)
        factor = self._faded_slowness(now)
        self._slowness = factor + SLOWNESS_GAIN * (ratio - factor)
        self._slowness_at = now

    def _faded_slowness(self, now: float) -> float:
        faded = math.pow(0.5, (now - self._slowness_at) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * faded

    def usable(self, now: float) -> bool:
        """Return whether it may get a request; a suspected one gets one at a time."""
        if self.endpoint.leaving or now < self.suspended_until:
            return False
        return not (self.suspected and self.running)

    def record(self, now: float, outcome: WorkOutcome) -> None:
        """Take the end of a request as evidence of the endpoint's health."""
        match outcome:
            case WorkOutcome.LEFT:
                return
            case WorkOutcome.SERVED:
                self.failure_rate -= FAILURE_GAIN * self.failure_rate
                self.suspected = False
                self.suspension_s = 0.0
            case WorkOutcome.SHED:
                self.suspended_until = max(self.suspended_until, now + SHED_PAUSE_S)
            case WorkOutcome.FAILED | WorkOutcome.BROKEN:
                self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
            case WorkOutcome.UNREACHABLE:
                self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
                self.suspected = True
                self.suspension_s = min(
                    max(self.suspension_s * 2.0, SUSPENSION_FIRST_S), SUSPENSION_LIMIT_S
                )
                self.suspended_until = now + self.suspension_s
            case WorkOutcome.GONE:
                self.suspended_until = now + SUSPENSION_LIMIT_S
