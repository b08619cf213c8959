"""Places the requests of one service onto its endpoints."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass

from borageworks.fair.queue import FairQueue
from borageworks.gateway.deployment import ServiceProfile
from borageworks.gateway.endpoint import Endpoint
from borageworks.placement.decisions import Decision, Placed, RefusalReason, Refused
from borageworks.placement.endpoint_state import EndpointState, RunningWork
from borageworks.placement.memory_news import MemoryNews
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.prompt_memory import PromptMemory
from borageworks.placement.reading_speed import ReadingSpeed
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.work import GENERATED_WEIGHT, PLAIN_UNITS, Work, WorkKey
from borageworks.routing.suspects import CrashSuspects, Verdict

# Speed of one engine until measured, where the operator states no throughput.
DEFAULT_TOKENS_PER_S = 20_000.0
# The throughput figure counts generated tokens too, so engines read faster than that.
READING_PART = 0.5
# Part by which one more request moves the mean time in a slot.
DURATION_GAIN = 0.05
# Waiting requests that look for a better engine at each tick, in turn. A look compares
# all engines, so that under a flood looks for all of them would take a whole processor.
LOOKS_PER_TICK = 16
# A request that crashes endpoints is refused for good; the caller need not hurry.
SUSPECT_RETRY_S = 60.0
# Entry name under which all demand stands in the fair queue.
_ENTRY = ""


@dataclass(slots=True)
class _Waiting:
    work: Work
    arrived_at: float
    expires_at: float
    preferred: str | None
    preferred_at: float
    tokens: int


class Dispatcher:
    """Places the requests of one service onto its endpoints.

    A pure state machine: events and the time go in, decisions come out. Requests wait
    here and not at endpoints, which admit in order of arrival. Organisations take turns
    by start-time fair queueing; inside an organisation the oldest request is first.

    Parameters
    ----------
    service
        Service, and what the operator states of its engines.
    settings
        Settings of placement.
    domain
        Failure domain of the instance.
    """

    def __init__(
        self, service: ServiceProfile, settings: PlacementSettings, domain: str
    ) -> None:
        self._service = service
        self._settings = settings
        self._domain = domain
        self._endpoints: dict[str, EndpointState] = {}
        self._placed: dict[WorkKey, str] = {}
        self._waiting: dict[WorkKey, _Waiting] = {}
        self._waiting_tokens: dict[str, float] = {}
        self._per_organisation: dict[str, int] = {}
        self._fair = FairQueue()
        self._speed = ReadingSpeed(DEFAULT_TOKENS_PER_S)
        self._share = 1.0
        self._duration_s = 0.0
        self._suspects = CrashSuspects()

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        """State by endpoint id."""
        return self._endpoints

    @property
    def has_engines(self) -> bool:
        """Whether the endpoints are model engines."""
        return self._service.engine is not None

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an endpoint."""
        return len(self._waiting)

    @property
    def speed(self) -> ReadingSpeed:
        """Learned reading speed of the engines."""
        return self._speed

    def set_share(self, share: float) -> None:
        """Use only a part of each endpoint, while other instances place alone too."""
        self._share = share

    def set_throughput(self, tokens_per_s: float) -> None:
        """Set the expected throughput of one engine, before any measurement."""
        self._speed = ReadingSpeed(tokens_per_s / READING_PART)

    def set_endpoints(
        self, now: float, endpoints: Iterable[Endpoint]
    ) -> list[Decision]:
        """Take the current list of endpoints."""
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for name in list(self._endpoints):
            if name not in listed:
                self._forget(name)
        engine = self._service.engine
        for name, endpoint in listed.items():
            state = self._endpoints.get(name)
            if state is not None and state.endpoint.started_ms != endpoint.started_ms:
                self._forget(name)
                state = None
            if state is None:
                capacity = engine.memory_tokens if engine is not None else 0
                self._endpoints[name] = EndpointState(endpoint, PromptMemory(capacity))
            else:
                state.endpoint = endpoint
        return self._serve(now)

    def submit(self, now: float, work: Work) -> list[Decision]:
        """Place a request, let it wait, or refuse it."""
        if self._suspects.verdict(now, work.fingerprint) is Verdict.REFUSED:
            reason = RefusalReason.SUSPECTED
            return [Refused(work.key, reason, SUSPECT_RETRY_S, work)]
        preferred = self._prefer(now, work)
        if preferred is None:
            return [self._refuse(now, work, RefusalReason.NO_ENDPOINT)]
        state = self._endpoints[preferred]
        if not self._must_wait(work) and self._has_room(now, state, work):
            return [self._place(now, state, work)]
        expires_at = now + self._longest_wait(now, state, work)
        tokens = _own_prompt_tokens(work)
        waiting = _Waiting(work, now, expires_at, preferred, now, tokens)
        if now + self._expected_wait(now, waiting) > expires_at:
            return [self._spread(now, waiting)]
        self._waiting[work.key] = waiting
        self._count_waiting(now, waiting, 1)
        return []

    def withdraw(self, now: float, key: WorkKey) -> list[Decision]:
        """Forget a request whose caller has left, waiting or placed."""
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            self._count_waiting(now, waiting, -1)
            return []
        return self.end(now, key, WorkOutcome.LEFT)

    def adopt(self, now: float, work: Work, endpoint: str, started: bool) -> None:
        """Note a request that was placed elsewhere and runs at an endpoint.

        Its times say nothing about the endpoint's speed, as its start was not seen.
        """
        state = self._endpoints.get(endpoint)
        if state is not None and work.key not in self._placed:
            self._note(now, state, work)
            if started:
                state.start(now, work.key)

    def start(self, now: float, key: WorkKey) -> list[Decision]:
        """Note the first sign of an answer."""
        state = self._endpoints.get(self._placed.get(key, ""))
        started = state.start(now, key) if state is not None else None
        if state is not None and started is not None and started.unread_tokens:
            taken = now - started.placed_at
            tokens = started.backlog_tokens
            state.note_speed(now, taken, self._speed.seconds(tokens))
            self._speed.record(tokens, taken / state.slowness(now))
        return self._serve(now, state)

    def end(self, now: float, key: WorkKey, outcome: WorkOutcome) -> list[Decision]:
        """Note the end of a placed request."""
        state = self._endpoints.get(self._placed.pop(key, ""))
        if state is not None:
            ended = state.remove(key)
            if ended is not None:
                self._note_end(now, state, ended, outcome)
            state.record(now, outcome)
            if outcome is WorkOutcome.UNREACHABLE:
                # After a crash nothing is kept; news tell if it was only unreachable.
                state.memory.clear()
        return self._serve(now, state)

    def drop_instance(self, now: float, instance: str) -> list[Decision]:
        """Forget all requests of an instance that was lost."""
        for key in [key for key in self._waiting if key[0] == instance]:
            self._count_waiting(now, self._waiting.pop(key), -1)
        for key in [key for key in self._placed if key[0] == instance]:
            state = self._endpoints.get(self._placed.pop(key))
            if state is not None:
                state.remove(key)
        return self._serve(now)

    def learn(self, endpoint: str, news: MemoryNews) -> None:
        """Take an engine's news about the prompt parts that it keeps."""
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.memory.apply(news)

    def tick(self, now: float) -> list[Decision]:
        """Refuse requests that have waited too long, and place what fits."""
        longest_ago = heapq.nsmallest(
            LOOKS_PER_TICK, self._waiting.values(), key=lambda item: item.preferred_at
        )
        for waiting in longest_ago:
            self._prefer_again(now, waiting)
        decisions = self._serve(now)
        for waiting in list(self._waiting.values()):
            if now >= waiting.expires_at:
                del self._waiting[waiting.work.key]
                self._count_waiting(now, waiting, -1)
                decisions.append(self._refuse(now, waiting.work, RefusalReason.WAITED))
        return decisions

    def _serve(self, now: float, freed: EndpointState | None = None) -> list[Decision]:
        """Place what fits, on one endpoint that has more room now or on any."""
        if not self._waiting:
            return []
        decisions: list[Decision] = []
        waiting_here = self._waiting.values()
        if freed is not None and self.has_engines:
            name = freed.endpoint.id
            order = [item for item in waiting_here if item.preferred in (name, None)]
        else:
            order = list(waiting_here)
        order.sort(
            key=lambda item: (
                self._fair.virtual_time(item.work.organisation),
                item.arrived_at,
            )
        )
        full: set[str] = set()
        for waiting in order:
            if waiting.preferred is None or waiting.work.prompt is None:
                self._prefer_again(now, waiting)
            if waiting.preferred is None or waiting.preferred in full:
                continue
            state = self._endpoints[waiting.preferred]
            if not state.usable(now) or not self._has_room(now, state, waiting.work):
                full.add(waiting.preferred)
                continue
            del self._waiting[waiting.work.key]
            self._count_waiting(now, waiting, -1)
            decisions.append(self._place(now, state, waiting.work))
        return decisions

    def _spread(self, now: float, waiting: _Waiting) -> Decision:
        """Place a request whose preferred engine is late elsewhere, or refuse it.

        Another engine reads the shared part again. That takes nothing from others only
        if it has room and nobody waits for another engine than the preferred one.
        """
        work = waiting.work
        if any(item.preferred != waiting.preferred for item in self._waiting.values()):
            return self._refuse(now, work, RefusalReason.NO_ROOM)
        pace = self._speed.seconds_per_token
        own = _own_prompt_tokens(work)
        fastest = min(
            (
                state
                for name, state in self._endpoints.items()
                if name not in work.excluded
                and state.usable(now)
                and not self._waiting_tokens.get(name)
                and self._has_room(now, state, work)
            ),
            key=lambda state: self._cost(now, state, work, own, pace),
            default=None,
        )
        if fastest is not None:
            return self._place(now, fastest, work)
        return self._refuse(now, work, RefusalReason.NO_ROOM)

    def _prefer_again(self, now: float, waiting: _Waiting) -> None:
        self._count_tokens(waiting, -1)
        waiting.preferred_at = now
        waiting.preferred = self._prefer(now, waiting.work)
        self._count_tokens(waiting, 1)

    def _prefer(self, now: float, work: Work) -> str | None:
        pace = self._speed.seconds_per_token
        own = _own_prompt_tokens(work)
        best: str | None = None
        least = math.inf
        for name, state in self._endpoints.items():
            if name in work.excluded or not state.usable(now):
                continue
            cost = self._cost(now, state, work, own, pace)
            if best is None or cost < least:
                best, least = name, cost
        return best

    def _cost(
        self, now: float, state: EndpointState, work: Work, own: int, pace: float
    ) -> float:
        """Return the seconds that a placement costs this request and the others.

        Parameters
        ----------
        now, state, work
            When, where and what is placed.
        own
            Prompt tokens that only this request or its session uses.
        pace
            Seconds to read a token.
        """
        settings = self._settings
        # Full slots hold a request back as surely as unread prompts do.
        crowding = len(state.running) / state.endpoint.slots
        cost = settings.failure_penalty_s * state.failure_rate
        if state.endpoint.domain != self._domain:
            cost += settings.domain_penalty_s
        if work.prompt is None:
            return cost + crowding
        pace *= state.slowness(now)
        unread = work.prompt.tokens - state.memory.kept_tokens(work.prompt)
        reread = max(unread - own, 0)
        ahead = state.backlog_tokens(now, pace)
        ahead += self._waiting_tokens.get(state.endpoint.id, 0.0)
        return (
            cost
            + pace * (ahead + unread + settings.reread_weight * reread)
            + crowding * settings.window_s
        )

    def _has_room(self, now: float, state: EndpointState, work: Work) -> bool:
        if len(state.running) >= self._slots(state):
            return False
        if self._share < 1.0 and len(self._placed) >= self._share_of_slots():
            return False
        if work.prompt is None or not state.running:
            return True
        engine = self._service.engine
        if engine is not None:
            memory = engine.memory_tokens * self._settings.memory_ratio * self._share
            if state.memory_tokens + _own_tokens(work) > memory:
                return False
        pace = self._pace(now, state)
        backlog = state.backlog_tokens(now, pace)
        return backlog * pace <= self._settings.window_s * self._share

    def _slots(self, state: EndpointState) -> int:
        return max(1, int(state.endpoint.slots * self._share))

    def _share_of_slots(self) -> int:
        total = sum(state.endpoint.slots for state in self._endpoints.values())
        return max(1, int(total * self._share))

    def _must_wait(self, work: Work) -> bool:
        """Return whether another organisation's requests come first."""
        if not self._waiting:
            return False
        own = self._fair.virtual_time(work.organisation)
        return any(
            self._fair.virtual_time(name) <= own for name in self._per_organisation
        )

    def _longest_wait(self, now: float, state: EndpointState, work: Work) -> float:
        if work.prompt is None:
            return max(work.patience_s, 0.0)
        # Even with room, the engine first reads what it was given in advance.
        reading = self._demand(state, work) * self._pace(now, state)
        reading += self._settings.window_s
        in_aim = work.aim_s - self._speed.start_s - reading
        return max(work.patience_s, in_aim, 0.0)

    def _expected_wait(self, now: float, waiting: _Waiting) -> float:
        """Return the seconds until the preferred endpoint has room."""
        work = waiting.work
        if waiting.preferred is None:
            return 0.0
        state = self._endpoints[waiting.preferred]
        own = self._fair.virtual_time(work.organisation)
        ahead = [
            item.work
            for item in self._waiting.values()
            if (work.prompt is None or item.preferred == waiting.preferred)
            and self._fair.virtual_time(item.work.organisation) <= own
        ]
        until_slot = self._wait_for_slot(state, len(ahead), work.prompt is None)
        if work.prompt is None:
            return until_slot
        pace = self._pace(now, state)
        tokens = sum(self._demand(state, item) for item in ahead)
        backlog = state.backlog_tokens(now, pace)
        room = self._settings.window_s * self._share
        return max((backlog + tokens) * pace - room, until_slot, 0.0)

    def _wait_for_slot(self, state: EndpointState, ahead: int, anywhere: bool) -> float:
        """Return the seconds until a slot is free for a request behind `ahead` others.

        Plain requests take any endpoint of the service.
        """
        states = list(self._endpoints.values()) if anywhere else [state]
        slots = sum(self._slots(item) for item in states)
        missing = ahead + 1 - slots + sum(len(item.running) for item in states)
        return max(missing, 0) * self._duration_s / slots

    def _place(self, now: float, state: EndpointState, work: Work) -> Placed:
        self._fair.serve(work.organisation)
        self._fair.charge(work.organisation, self._units(state, work))
        placed = self._note(now, state, work)
        return Placed(work.key, state.endpoint.id, placed.unread_tokens)

    def _note(self, now: float, state: EndpointState, work: Work) -> RunningWork:
        unread = self._demand(state, work)
        backlog = state.backlog_tokens(now, self._pace(now, state))
        running = RunningWork(
            unread_tokens=unread,
            memory_tokens=_own_tokens(work),
            backlog_tokens=backlog + unread,
            placed_at=now,
            fingerprint=work.fingerprint,
        )
        state.add(now, work.key, running)
        if work.prompt is not None:
            state.memory.use(work.prompt)
        self._placed[work.key] = state.endpoint.id
        return running

    def _refuse(self, now: float, work: Work, reason: RefusalReason) -> Refused:
        settings = self._settings
        if work.prompt is None:
            wait = settings.retry_least_s
        else:
            pace = self._speed.seconds_per_token
            usable = [state for state in self._endpoints.values() if state.usable(now)]
            tokens = sum(self._waiting_tokens.values()) + sum(
                state.backlog_tokens(now, pace) for state in usable
            )
            wait = tokens * pace / len(usable) if usable else settings.retry_least_s
        return Refused(
            work.key,
            reason,
            min(max(wait, settings.retry_least_s), settings.retry_most_s),
            work,
        )

    def _demand(self, state: EndpointState, work: Work) -> int:
        if work.prompt is None:
            return 0
        return max(work.prompt.tokens - state.memory.kept_tokens(work.prompt), 0)

    def _units(self, state: EndpointState, work: Work) -> float:
        if work.prompt is None:
            return PLAIN_UNITS
        generated = GENERATED_WEIGHT * work.prompt.generated_tokens
        return self._demand(state, work) + generated

    def _pace(self, now: float, state: EndpointState) -> float:
        """Return the seconds to read a token at an engine."""
        return self._speed.seconds_per_token * state.slowness(now)

    def _count_waiting(self, now: float, waiting: _Waiting, change: int) -> None:
        organisation = waiting.work.organisation
        count = self._per_organisation.get(organisation, 0) + change
        if count:
            self._per_organisation[organisation] = count
        else:
            self._per_organisation.pop(organisation, None)
        self._fair.set_demand(now, _ENTRY, organisation, count)
        self._count_tokens(waiting, change)

    def _count_tokens(self, waiting: _Waiting, change: int) -> None:
        if waiting.preferred is None or waiting.preferred not in self._endpoints:
            return
        total = self._waiting_tokens.get(waiting.preferred, 0.0)
        total += change * waiting.tokens
        self._waiting_tokens[waiting.preferred] = max(total, 0.0)

    def _note_end(
        self,
        now: float,
        state: EndpointState,
        ended: RunningWork,
        outcome: WorkOutcome,
    ) -> None:
        match outcome:
            case WorkOutcome.SERVED:
                taken = now - ended.placed_at
                self._duration_s += DURATION_GAIN * (taken - self._duration_s)
                self._suspects.clear(ended.fingerprint)
            case WorkOutcome.BROKEN if ended.fingerprint:
                self._suspects.record(
                    now,
                    ended.fingerprint,
                    state.endpoint.id,
                    state.endpoint.incarnation,
                    alone=False,
                )

    def _forget(self, name: str) -> None:
        state = self._endpoints.pop(name)
        self._waiting_tokens.pop(name, None)
        for key in state.running:
            self._placed.pop(key, None)
        for waiting in self._waiting.values():
            if waiting.preferred == name:
                waiting.preferred = None


def _own_prompt_tokens(work: Work) -> int:
    """Return the prompt tokens that only this request or its session uses."""
    if work.prompt is None:
        return 0
    return work.prompt.parts[-1].tokens if work.prompt.parts else work.prompt.tokens


def _own_tokens(work: Work) -> int:
    """Return the memory that a request takes beyond shared parts."""
    if work.prompt is None:
        return 0
    return _own_prompt_tokens(work) + work.prompt.generated_tokens
