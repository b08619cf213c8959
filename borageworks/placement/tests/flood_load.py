"""Load of floods, a middling organisation and small ones on simulated engines."""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from borageworks.placement.decisions import Refused
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.tests.builders import (
    EngineSimulation,
    engine_dispatcher,
    engines,
    prompt,
    work,
)
from borageworks.placement.tests.share_rule import ShareRule
from borageworks.placement.work import Work, WorkKey

STEP_S = 0.05
SLOTS = 24
SMALL_PER_S = 2.0
SMALL_PARTS = 40
FLOOD_PARTS = 80
# Time after which callers come back that were refused.
RETURN_S = 0.2


@dataclass(frozen=True)
class FloodLoad:
    """Requests a second of each organisation, and the engines that serve them.

    Four of five requests of the flood `hot` share one part; those of `own` share 80
    parts, and those of `middling` and of each small organisation 40 of their own.
    """

    engine_count: int = 20
    tokens_per_s: float = 60_000.0
    flood_per_s: float = 250.0
    middling_per_s: float = 25.0
    small_count: int = 10
    target_s: float = 0.6

    def rates(self, _now):
        """Return the requests a second of each organisation."""
        small = {f"small-{n}": SMALL_PER_S for n in range(self.small_count)}
        floods = {"hot": self.flood_per_s, "own": self.flood_per_s}
        return {**floods, "middling": self.middling_per_s, **small}

    def part(self, name, rng):
        """Return the id of the shared part of a request."""
        match name:
            case "hot":
                return "hot" if rng.random() < 0.8 else f"hot-{rng.randrange(40)}"
            case "own":
                return f"own-{rng.randrange(FLOOD_PARTS)}"
            case _:
                return f"{name}-{rng.randrange(SMALL_PARTS)}"


@dataclass(frozen=True)
class DemandLoad(FloodLoad):
    """Organisations of all sizes, some of which change at `changed_at_s`.

    Parameters
    ----------
    requests_per_s
        Requests a second by organisation.
    growing
        Organisations that request a tenth of it at first.
    shrinking
        Organisations that request a tenth of it in the end.
    changed_at_s
        Time at which they change.
    """

    requests_per_s: Mapping[str, float] = field(default_factory=dict)
    growing: frozenset[str] = frozenset()
    shrinking: frozenset[str] = frozenset()
    changed_at_s: float = 0.0

    def rates(self, now):
        """Return the requests a second of each organisation."""
        small = self.growing if now < self.changed_at_s else self.shrinking
        return {
            name: rate / 10 if name in small else rate
            for name, rate in self.requests_per_s.items()
        }


class LoadedEngines:
    """Runs a load on simulated engines, and measures what organisations get.

    Parameters
    ----------
    load
        The load.
    seed
        Seed of the arrivals.
    """

    def __init__(self, load, seed):
        self.load = load
        self._rng = random.Random(seed)
        dispatcher = engine_dispatcher(
            load.engine_count, 444_000, load.tokens_per_s / 2, SLOTS
        )
        self.simulation = EngineSimulation(
            dispatcher, prefill_tokens_per_s=load.tokens_per_s
        )
        self._crashed: set[str] = set()

    def run(self, seconds):
        """Submit the requests of some seconds."""
        simulation = self.simulation
        for _ in range(round(seconds / STEP_S)):
            for name, rate in self.load.rates(simulation.now).items():
                for _ in range(self._arrivals(rate * STEP_S)):
                    self._submit(self._request(name))
            simulation.advance(STEP_S)

    def crash(self, count):
        """Crash some engines, with all that runs there."""
        simulation, dispatcher = self.simulation, self.simulation.dispatcher
        crashed = {f"e{number}" for number in range(count)}
        self._crashed = crashed
        for name in sorted(crashed):
            for key in list(dispatcher.endpoints[name].running):
                simulation.end(key, WorkOutcome.UNREACHABLE)
            simulation.busy_until.pop(name, None)
        self._list([item for item in self._engines() if item.id not in crashed])

    def restart_crashed(self):
        """Start the crashed engines again, without anything in their caches."""
        started_ms = round(self.simulation.now * 1000)
        self._list(
            [
                replace(item, started_ms=started_ms)
                if item.id in self._crashed
                else item
                for item in self._engines()
            ]
        )

    def change_owner(self):
        """Continue with a dispatcher that knows only what runs, not what is cached."""
        load = self.load
        successor = engine_dispatcher(
            load.engine_count, 444_000, load.tokens_per_s / 2, SLOTS
        )
        self.simulation.change_dispatcher(successor)

    def _submit(self, request):
        self.simulation.submit(request)

    def _engines(self):
        return engines(self.load.engine_count, slots=SLOTS)

    def _list(self, endpoints):
        self.simulation.set_endpoints(endpoints)

    def _arrivals(self, mean):
        whole = int(mean)
        return whole + (self._rng.random() < mean - whole)

    def _request(self, name):
        part = self.load.part(name, self._rng)
        request = prompt(own=3700, shared=13_300, shared_id=part)
        return work(
            request,
            name,
            remaining_target_s=self.load.target_s,
            fingerprint=request.parts[-1].id.encode(),
        )


class ReturningCallers(LoadedEngines):
    """Callers that come back once after a refusal, and what organisations get.

    Parameters
    ----------
    load
        The load.
    seed
        Seed of the arrivals.
    """

    def __init__(self, load, seed):
        super().__init__(load, seed)
        self.rule = ShareRule()
        self._requests: dict[WorkKey, Work] = {}
        self._returns: list[tuple[float, WorkKey, Work]] = []
        self.simulation.on_decision = self._note_decision
        self.simulation.on_start = self._note_start

    def run(self, seconds):
        """Submit the requests of some seconds, and those that come back."""
        for _ in range(round(seconds / STEP_S)):
            while self._returns and self._returns[0][0] <= self.simulation.now:
                self.simulation.submit(heapq.heappop(self._returns)[2])
            super().run(STEP_S)

    def _submit(self, request):
        self._requests[request.key] = request
        now = self.simulation.now
        self.rule.record_asked(now, request.organisation, request.units)
        super()._submit(request)

    def _note_decision(self, decision):
        request = self._requests.pop(decision.key, None)
        if request is not None and isinstance(decision, Refused):
            again = work(
                request.prompt,
                request.organisation,
                remaining_target_s=request.remaining_target_s - RETURN_S,
                fingerprint=request.fingerprint,
            )
            return_at = self.simulation.now + RETURN_S
            heapq.heappush(self._returns, (return_at, again.key, again))

    def _note_start(self, request):
        self.rule.record_got(self.simulation.now, request.organisation, request.units)
