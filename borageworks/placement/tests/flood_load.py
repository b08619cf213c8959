"""Load of floods, a middling organisation and small ones on simulated engines."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.tests.builders import (
    EngineSimulation,
    engine_dispatcher,
    engines,
    prompt,
    work,
)

STEP_S = 0.05
SLOTS = 24
SMALL_PER_S = 2.0
SMALL_PARTS = 40
FLOOD_PARTS = 80


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

    def rates(self):
        """Return the requests a second of each organisation."""
        small = {f"small-{n}": SMALL_PER_S for n in range(self.small_count)}
        floods = {"hot": self.flood_per_s, "own": self.flood_per_s}
        return {**floods, "middling": self.middling_per_s, **small}


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
            for name, rate in self.load.rates().items():
                for _ in range(self._arrivals(rate * STEP_S)):
                    simulation.submit(self._request(name))
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

    def _engines(self):
        return engines(self.load.engine_count, slots=SLOTS)

    def _list(self, endpoints):
        self.simulation.set_endpoints(endpoints)

    def _arrivals(self, mean):
        whole = int(mean)
        return whole + (self._rng.random() < mean - whole)

    def _request(self, name):
        rng = self._rng
        match name:
            case "hot":
                part = "hot" if rng.random() < 0.8 else f"hot-{rng.randrange(40)}"
            case "own":
                part = f"own-{rng.randrange(FLOOD_PARTS)}"
            case _:
                part = f"{name}-{rng.randrange(SMALL_PARTS)}"
        request = prompt(own=3700, shared=13_300, shared_id=part)
        return work(request, name, remaining_target_s=self.load.target_s)
