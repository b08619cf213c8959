"""Builders and a simulation of engines for the tests of placement."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from borageworks.fair.max_min import max_min_level
from borageworks.gateway.caller_request import Prompt, PromptPart
from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.gateway.endpoint import Endpoint
from borageworks.placement.decisions import Decision, Placed, Refused
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.work import Work, WorkKey

PREFILL_TOKENS_PER_S = 40_000.0
STEP_S = 0.01
DECODE_S = 0.5
# Callers of streams wait this long for a first event that does not come.
GIVE_UP_S = 5.0


def endpoint(name, service="engines", slots=8, **changes):
    """Return an entry in the list of endpoints."""
    plain = Endpoint(name, service, "10.0.0.1", 80, "a", slots, False)
    return replace(plain, **changes)


def engines(count, **changes):
    """Return entries for several engines."""
    return [endpoint(f"e{number}", **changes) for number in range(count)]


def engine_dispatcher(
    count=3, memory_tokens=100_000, tokens_per_s=PREFILL_TOKENS_PER_S / 2, slots=24
):
    """Return a dispatcher over idle engines."""
    profile = ServiceProfile("engines", EngineProfile(8, memory_tokens))
    dispatcher = Dispatcher(profile, PlacementSettings(), "a")
    dispatcher.set_throughput(tokens_per_s)
    dispatcher.set_endpoints(0.0, engines(count, slots=slots))
    return dispatcher


def plain_dispatcher(count=3, slots=2):
    """Return a dispatcher over idle endpoints of a plain service."""
    profile = ServiceProfile("desk", None)
    dispatcher = Dispatcher(profile, PlacementSettings(), "a")
    members = [endpoint(f"d{n}", "desk", slots) for n in range(count)]
    dispatcher.set_endpoints(0.0, members)
    return dispatcher


_NUMBERS = itertools.count(1)


def prompt(own=1000, shared=0, shared_id="s", generated=50):
    """Return a prompt with one shared part and one of its own."""
    parts = [PromptPart(f"own-{next(_NUMBERS)}", own)]
    if shared:
        parts.insert(0, PromptPart(shared_id, shared))
    return Prompt("m", own + shared, generated, tuple(parts))


def work(
    request_prompt=None,
    organisation="o",
    remaining_target_s=0.6,
    instance="i",
    **changes,
):
    """Return a request that needs an endpoint."""
    key = instance, next(_NUMBERS)
    return Work(
        key,
        organisation,
        remaining_target_s,
        remaining_target_s / 4,
        request_prompt,
        **changes,
    )


@dataclass
class EngineSimulation:
    """Simulates engines that prefill prompts in order of arrival under a dispatcher.

    Counts results by organisation. `slowdowns` maps engines to factors by which their
    prefill is slower, `lost_every` engines to the interval of requests whose responses
    they lose: these take no time to prefill and end when their callers give up.
    `on_decision` is called with each decision, `on_start` with each request that an
    engine begins to answer.
    """

    dispatcher: Dispatcher
    now: float = 0.0
    on_time: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    requested_tokens: dict[str, float] = field(default_factory=dict)
    placed_tokens: dict[str, float] = field(default_factory=dict)
    served_tokens: dict[str, float] = field(default_factory=dict)
    prefilled_tokens: float = 0.0
    busy_until: dict[str, float] = field(default_factory=dict)
    slowdowns: dict[str, float] = field(default_factory=dict)
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    lost_every: dict[str, int] = field(default_factory=dict)
    on_decision: Callable[[Decision], None] = lambda _decision: None
    on_start: Callable[[Work], None] = lambda _work: None
    _cut: set[WorkKey] = field(default_factory=set)
    _placed_count: dict[str, int] = field(default_factory=dict)
    _submitted: dict[WorkKey, tuple[Work, float]] = field(default_factory=dict)
    _events: list[tuple[float, int, str, WorkKey]] = field(default_factory=list)

    def submit(self, request):
        """Submit a request to the dispatcher."""
        self._submitted[request.key] = request, self.now
        self._increment(self.requested_tokens, request, request.units)
        self._apply(self.dispatcher.submit(self.now, request))

    def begin_measuring(self):
        """Forget what was requested, placed and refused before."""
        for counts in (self.requested_tokens, self.placed_tokens, self.refused):
            counts.clear()

    def share_ratios(self):
        """Return the placed part of what each organisation is owed, by max-min.

        Responses that engines lose are no matter of placement.
        """
        level = max_min_level(
            self.requested_tokens.values(), sum(self.placed_tokens.values())
        )
        return {
            name: self.placed_tokens.get(name, 0.0) / min(requested, level)
            for name, requested in self.requested_tokens.items()
        }

    def end(self, key, outcome):
        """End a request; one that has not started never will."""
        self._cut.add(key)
        self._apply(self.dispatcher.end(self.now, key, outcome))

    def set_endpoints(self, endpoints):
        """Replace the list of engines."""
        self._apply(self.dispatcher.set_endpoints(self.now, endpoints))

    def change_dispatcher(self, successor):
        """Continue under another dispatcher, which takes over what runs and waits."""
        former, self.dispatcher = self.dispatcher, successor
        running = set()
        for name, state in former.endpoints.items():
            for key, item in state.running.items():
                running.add(key)
                request, _ = self._submitted[key]
                started = item.started_at is not None
                successor.adopt(self.now, request, name, started)
        for key, (request, submitted_at) in self._submitted.items():
            if key not in running and key in former.waiting_keys:
                waited_s = self.now - submitted_at
                left_s = request.remaining_target_s - waited_s
                again = replace(request, remaining_target_s=left_s)
                self._apply(successor.submit(self.now, again))

    def advance(self, seconds):
        """Advance the simulated time."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                _, _, kind, key = heapq.heappop(self._events)
                match kind:
                    case "start" if key in self._cut:
                        pass
                    case "start":
                        self._count_start(key)
                        self._apply(self.dispatcher.start(self.now, key))
                    case "end":
                        self.end(key, WorkOutcome.SERVED)
                    case "give_up":
                        self.end(key, WorkOutcome.CALLER_DISCONNECTED)
            self._apply(self.dispatcher.tick(self.now))

    def _apply(self, decisions):
        for decision in decisions:
            request, _ = self._submitted[decision.key]
            self.on_decision(decision)
            if isinstance(decision, Placed):
                self._increment(self.placed_tokens, request, request.units)
            match decision:
                case Refused():
                    self._increment(self.refused, request, 1)
                case Placed(endpoint=name) if self._loses_response(name):
                    self._push(self.now + GIVE_UP_S, "give_up", decision.key)
                case Placed(endpoint=name, uncached_tokens=uncached):
                    self.prefilled_tokens += uncached
                    start = max(self.busy_until.get(name, 0.0), self.now)
                    start += (
                        uncached
                        * self.slowdowns.get(name, 1.0)
                        / self.prefill_tokens_per_s
                    )
                    self.busy_until[name] = start
                    self._push(start, "start", decision.key)
                    self._push(start + DECODE_S, "end", decision.key)

    def _loses_response(self, name):
        count = self._placed_count[name] = self._placed_count.get(name, 0) + 1
        return name in self.lost_every and count % self.lost_every[name] == 0

    def _push(self, due_at, kind, key):
        heapq.heappush(self._events, (due_at, next(_NUMBERS), kind, key))

    def _count_start(self, key):
        request, submitted_at = self._submitted[key]
        # Events are processed up to one step after they happen.
        first_token_s = self.now - STEP_S - submitted_at
        kind = (
            self.on_time if first_token_s <= request.remaining_target_s else self.late
        )
        self._increment(kind, request, 1)
        self._increment(self.served_tokens, request, request.units)
        self.on_start(request)

    @staticmethod
    def _increment(counts, request, amount):
        name = request.organisation
        counts[name] = counts.get(name, 0) + amount
