"""Simulation of engines of uneven speed on shared machines, with delayed reports."""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from borageworks.fair.max_min import max_min_level
from borageworks.gateway.caller_request import Prompt, PromptPart
from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.placement.cache_update import CachedPart, CacheUpdate
from borageworks.placement.decisions import Placed
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.engine_load import EngineLoad
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.part_index import PartIndex
from borageworks.placement.prompt_cache import PromptCache
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import engines
from borageworks.placement.work import Work

TOKENS_PER_S = 49_600.0
MEMORY_TOKENS = 563_433
SLOTS = 64
SPEEDS = (0.7, 0.7, 1.7)
SLOW_RATIO = 2.5
SLOW_PART = 0.15
PHASE_S = 0.6
REPORT_AGE_S = (0.1, 0.6)
CACHE_UPDATE_DELAY_S = 0.1
START_S = 0.02
TICK_S = 0.02
GENERATED_S = 0.008
ORGANISATIONS = 30
PARTS = 40
PART_SIZES = (350, 6_300, 13_300)
MEAN_OWN_TOKENS = 2_400.0
# Part of the shared tokens that is prefilled again in the load's capacity.
MISS_RATIO = 0.1


class _EngineCache(PromptCache):
    """Parts that an engine has cached, with the changes since they were last asked."""

    def __init__(self, name: str) -> None:
        super().__init__(MEMORY_TOKENS, name, PartIndex())
        self.changes: dict[tuple[str, str], int] = {}

    def _insert(self, key: tuple[str, str], tokens: int) -> None:
        super()._insert(key, tokens)
        self.changes[key] = tokens

    def _remove(self, key: tuple[str, str]) -> None:
        super()._remove(key)
        self.changes[key] = 0


@dataclass
class _Engine:
    """One engine: relative speed, cache, and when it will be free."""

    speed: float
    cache: _EngineCache
    rng: random.Random
    offset_s: float
    busy_until: float = 0.0
    slow: list[bool] = field(default_factory=list)
    running: int = 0

    def is_slow(self, at: float) -> bool:
        """Return whether its machine is slow at some time."""
        phase = int((at + self.offset_s) / PHASE_S)
        while len(self.slow) <= phase:
            self.slow.append(self.rng.random() < SLOW_PART)
        return self.slow[phase]

    def finish(self, start: float, seconds: float) -> float:
        """Return when work ends that takes so long on an engine of speed 1."""
        at, left_s = start, seconds / self.speed
        while True:
            ratio = SLOW_RATIO if self.is_slow(at) else 1.0
            phase_end = (
                math.floor((at + self.offset_s) / PHASE_S + 1e-9) + 1
            ) * PHASE_S - self.offset_s
            phase_end = max(phase_end, at + 1e-6)
            if left_s * ratio <= phase_end - at:
                return at + left_s * ratio
            left_s -= (phase_end - at) / ratio
            at = phase_end + 1e-9


@dataclass(frozen=True)
class Figures:
    """What a run measured, as parts of the requests submitted."""

    submitted: int
    late: float
    refused: float
    prefilled_again: float
    min_share: float
    p99_s: float

    @property
    def on_time(self) -> float:
        """Part that was served on time."""
        return 1.0 - self.late - self.refused


class UnevenEngines:
    """Engines of uneven speed under one or several placing instances.

    Parameters
    ----------
    load
        Prefill that is requested, as a part of what the engines can do.
    placers
        Instances that place at the same time once the owner is lost.
    reports
        Whether the instances get the engines' reports.
    seed
        Seed of arrivals and machines.
    """

    def __init__(
        self,
        load: float,
        placers: int = 1,
        *,
        reports: bool = True,
        seed: int = 1,
        count: int = 30,
    ) -> None:
        self._rng = random.Random(seed)
        self._reports = reports
        self.now = 0.0
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, str, object]] = []
        self.engines = {
            item.id: _Engine(
                SPEEDS[number % 3],
                _EngineCache(item.id),
                random.Random(seed * 1000 + number),
                self._rng.random() * PHASE_S,
            )
            for number, item in enumerate(engines(count, slots=SLOTS))
        }
        profile = ServiceProfile("engines", EngineProfile(SLOTS, MEMORY_TOKENS))
        self.dispatchers: list[Dispatcher] = []
        for number in range(placers):
            dispatcher = Dispatcher(
                profile, PlacementSettings(), "a", instance=f"i{number}"
            )
            dispatcher.set_throughput(TOKENS_PER_S / 2)
            dispatcher.set_endpoints(0.0, engines(count, slots=SLOTS))
            self.dispatchers.append(dispatcher)
        self._placing = 1
        self.mean_rate = 1.0 - SLOW_PART + SLOW_PART / SLOW_RATIO
        capacity = sum(item.speed for item in self.engines.values())
        capacity *= TOKENS_PER_S * self.mean_rate
        mean_shared = sum(PART_SIZES) / len(PART_SIZES)
        self._rate = load * capacity / (MEAN_OWN_TOKENS + MISS_RATIO * mean_shared)
        weights = [1.0 / (rank + 2.0) for rank in range(ORGANISATIONS)]
        self._organisations = list(itertools.accumulate(weights))
        self._popularity = list(
            itertools.accumulate(1.0 / (rank + 4.0) for rank in range(PARTS))
        )
        self._fill_caches()
        self._work: dict[tuple[str, int], tuple[Work, float, int, str]] = {}
        self.begin_measuring()

    def _fill_caches(self) -> None:
        """Let each shared part be cached at one engine, as after hours of traffic."""
        names = list(self.engines)
        for rank in range(ORGANISATIONS):
            for part in range(PARTS):
                tokens = PART_SIZES[(rank + part) % len(PART_SIZES)]
                name = self._rng.choice(names)
                known = CachedPart(f"{rank}-{part}", tokens, "m")
                update = CacheUpdate("e", 0, gap=False, complete=False, parts=(known,))
                self.engines[name].cache.apply(update)
                for dispatcher in self.dispatchers:
                    dispatcher.apply_cache_update(name, update)
        for engine in self.engines.values():
            engine.cache.changes.clear()

    def begin_measuring(self) -> None:
        """Forget what was measured before."""
        self._submitted = self._late = self._refused = 0
        self._again_tokens = 0.0
        self._first_s: list[float] = []
        self._requested: dict[str, float] = {}
        self._placed: dict[str, float] = {}

    def figures(self) -> Figures:
        """Return what was measured."""
        level = max_min_level(self._requested.values(), sum(self._placed.values()))
        shares = [
            self._placed.get(name, 0.0) / min(requested, level)
            for name, requested in self._requested.items()
        ]
        ordered = sorted(self._first_s)
        return Figures(
            self._submitted,
            self._late / self._submitted,
            self._refused / self._submitted,
            self._again_tokens / self._submitted,
            min(shares),
            ordered[int(len(ordered) * 0.99)],
        )

    def lose_owner(self) -> None:
        """Let all instances place from now on, as without an owner."""
        self._placing = len(self.dispatchers)

    def run(self, seconds: float) -> None:
        """Submit requests for some seconds."""
        end = self.now + seconds
        self._push(self.now + self._rng.expovariate(self._rate), "arrive", None)
        self._push(self.now + TICK_S, "tick", None)
        while self._events[0][0] < end:
            self.now, _, kind, item = heapq.heappop(self._events)
            match kind:
                case "arrive":
                    self._arrive()
                    at = self.now + self._rng.expovariate(self._rate)
                    self._push(at, "arrive", None)
                case "tick":
                    for number, dispatcher in enumerate(self.dispatchers):
                        self._apply(number, dispatcher.tick(self.now))
                    self._push(self.now + TICK_S, "tick", None)
                case _:
                    self._handle(kind, item)
        self._events = [
            item for item in self._events if item[2] not in ("arrive", "tick")
        ]
        heapq.heapify(self._events)
        self.now = end

    def _arrive(self) -> None:
        rng = self._rng
        number = next(self._numbers)
        rank = bisect.bisect(
            self._organisations, rng.random() * self._organisations[-1]
        )
        part = bisect.bisect(self._popularity, rng.random() * self._popularity[-1])
        shared = PART_SIZES[(rank + part) % len(PART_SIZES)]
        own = int(min(rng.lognormvariate(math.log(MEAN_OWN_TOKENS) - 0.32, 0.8), 2e4))
        prompt = Prompt(
            "m",
            own + shared,
            60,
            (PromptPart(f"{rank}-{part}", shared), PromptPart(f"own-{number}", own)),
        )
        target_s = 0.6 + 0.4 * (rank % 3) / 2.0
        placer = number % self._placing
        work = Work((f"i{placer}", number), f"o{rank}", target_s, target_s / 4, prompt)
        self._work[work.key] = work, self.now, placer, ""
        self._submitted += 1
        units = self._requested.get(work.organisation, 0.0) + work.units
        self._requested[work.organisation] = units
        dispatcher = self.dispatchers[placer]
        dispatcher.set_capacity_ratio(1.0 / self._placing)
        self._apply(placer, dispatcher.submit(self.now, work))

    def _apply(self, placer: int, decisions) -> None:
        for decision in decisions:
            work, submitted_at, _, _ = self._work[decision.key]
            if not isinstance(decision, Placed):
                self._refused += 1
                del self._work[decision.key]
                continue
            units = self._placed.get(work.organisation, 0.0) + work.units
            self._placed[work.organisation] = units
            name = decision.endpoint
            self._work[work.key] = work, submitted_at, placer, name
            self._begin(name, work)
            if self._placing == 1:
                self._tell_speeds(work.key[1], name)

    def _tell_speeds(self, number: int, name: str) -> None:
        """Tell another instance the owner's estimates with a reply."""
        owner = self.dispatchers[0]
        entry = self.dispatchers[number % len(self.dispatchers)]
        if entry is owner or not owner.prefill_speed.learned:
            return
        speed = owner.prefill_speed
        entry.prefill_speed.adopt(speed.seconds_per_token, speed.start_s)
        state = owner.endpoints[name]
        if state.speed.samples:
            entry.adopt_speed(state.endpoint.incarnation, state.speed.ratio)

    def _begin(self, name: str, work: Work) -> None:
        engine = self.engines[name]
        prompt = work.prompt
        assert prompt is not None
        uncached = prompt.tokens - engine.cache.cached_tokens(prompt)
        self._again_tokens += max(uncached - prompt.parts[-1].tokens, 0)
        engine.cache.record_use(prompt)
        changes, engine.cache.changes = engine.cache.changes, {}
        if len(self.dispatchers) > 1:
            parts = tuple(
                CachedPart(part, tokens, model)
                for (model, part), tokens in changes.items()
            )
            self._push(self.now + CACHE_UPDATE_DELAY_S, "cache", (name, parts))
        begin = max(engine.busy_until, self.now)
        engine.busy_until = engine.finish(begin, uncached / TOKENS_PER_S)
        started_at = engine.busy_until + START_S
        engine.running += 1
        self._push(started_at, "start", work.key)
        generated_s = prompt.generated_tokens * GENERATED_S
        self._push(engine.finish(started_at, generated_s), "end", work.key)

    def _handle(self, kind: str, item) -> None:
        match kind:
            case "start":
                work, submitted_at, placer, name = self._work[item]
                first_s = self.now - submitted_at
                self._first_s.append(first_s)
                self._late += first_s > work.remaining_target_s
                self._apply(placer, self.dispatchers[placer].start(self.now, item))
                self._report(placer, name)
            case "end":
                _, _, placer, name = self._work.pop(item)
                self.engines[name].running -= 1
                decisions = self.dispatchers[placer].end(
                    self.now, item, WorkOutcome.SERVED
                )
                self._apply(placer, decisions)
            case "cache":
                name, parts = item
                for dispatcher in self.dispatchers:
                    update = CacheUpdate("e", 0, gap=False, complete=False, parts=parts)
                    dispatcher.apply_cache_update(name, update)
            case "report":
                placer, name, stated_at, load = item
                self._learn(placer, name, stated_at, load)

    def _report(self, placer: int, name: str) -> None:
        if not self._reports:
            return
        engine = self.engines[name]
        pace = SLOW_RATIO if engine.is_slow(self.now) else 1.0
        age_s = self._rng.uniform(*REPORT_AGE_S)
        item = placer, name, self.now, (engine.running, 0, SLOTS, pace)
        self._push(self.now + age_s, "report", item)

    def _learn(self, placer: int, name: str, stated_at: float, load) -> None:
        dispatcher = self.dispatchers[placer]
        incarnation = dispatcher.endpoints[name].endpoint.incarnation
        age_s = self.now - stated_at
        dispatcher.record_load(self.now, incarnation, EngineLoad(*load), age_s)

    def _push(self, due_at: float, kind: str, item: object) -> None:
        heapq.heappush(self._events, (due_at, next(self._numbers), kind, item))


def measure(load, placers=1, *, reports=True, seed=1, seconds=15.0, warm_s=10.0):
    """Return the figures of a run after some seconds to fill caches and learn."""
    simulation = UnevenEngines(load, placers, reports=reports, seed=seed)
    simulation.run(warm_s)
    simulation.lose_owner()
    simulation.begin_measuring()
    simulation.run(seconds)
    return simulation.figures()
