"""Operators race with tickets of one number, also while the store is slow."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

import aiohttp

from borageworks.catalog.keys import CATALOG_PREFIX
from borageworks.catalog.objects import Organisation, Ticket
from borageworks.catalog.tickets import TicketResult, apply_ticket
from borageworks.exceptions import TicketConflictError
from borageworks.metrics import Metrics
from borageworks.store.etcd import EtcdStore
from borageworks_emulator import targets
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_least, at_most
from borageworks_emulator.scenarios.flows import everyday

START_PART = 0.1
ROUNDS = 8
SLOW_FROM_ROUND = 4
SLOW_STORE_S = 0.3
OPERATORS = 3
POLL_S = 0.03
LIMIT_S = 10.0
FIRST_NUMBER = 10


def _ticket(number: int, operator: int) -> Ticket:
    """Return a ticket that differs between operators but has one number."""
    share = 1.0 + number + operator / 10
    return Ticket(number=number, put=(Organisation(id="racing", share=share),))


async def _race(stage: Stage, stores: list[EtcdStore], number: int) -> int:
    """Return how many operators had their ticket accepted."""

    async def apply(operator: int) -> TicketResult | None:
        with suppress(TicketConflictError):
            return await apply_ticket(
                stores[operator], CATALOG_PREFIX, _ticket(number, operator)
            )
        return None

    results = await asyncio.gather(*(apply(operator) for operator in range(OPERATORS)))
    accepted = [result for result in results if result is not None]
    stage.notes["conflicts"] = (
        stage.notes.get("conflicts", 0.0) + OPERATORS - len(accepted)
    )
    return len(accepted)


async def _hashes(stage: Stage) -> list[str]:
    documents = await asyncio.gather(
        *(router.status(stage.fleet.session) for router in stage.fleet.routers)
    )
    return [str(document["catalog_hash"]) for document in documents]


async def _until_everywhere(stage: Stage, old: str, seen: list[set[str]]) -> float:
    """Return the seconds until all routers have the same new configuration."""
    began = time.monotonic()
    current = [old] * len(seen)
    while time.monotonic() - began < LIMIT_S:
        with suppress(aiohttp.ClientError, TimeoutError):
            for index, found in enumerate(await _hashes(stage)):
                if found != current[index]:
                    if found in seen[index]:
                        stage.notes["reverted"] += 1
                    seen[index].add(found)
                    current[index] = found
        if len(set(current)) == 1 and current[0] != old:
            return time.monotonic() - began
        await asyncio.sleep(POLL_S)
    return LIMIT_S


async def _faults(stage: Stage) -> None:
    await stage.until(START_PART)
    settings = stage.fleet.routers[0].settings.store
    stores = [EtcdStore(settings, Metrics()) for _ in range(OPERATORS)]
    stage.notes["reverted"] = 0.0
    stage.notes["accepted_twice"] = 0.0
    first = (await _hashes(stage))[0]
    seen = [{first} for _ in stage.fleet.routers]
    times: dict[str, list[float]] = {"": [], "slow_": []}
    for number in range(FIRST_NUMBER, FIRST_NUMBER + ROUNDS):
        slow = number - FIRST_NUMBER >= SLOW_FROM_ROUND
        stage.store.faults.delay_s = SLOW_STORE_S if slow else 0.0
        old = (await _hashes(stage))[0]
        # Counted from the start of the race, so the operators' own calls are included.
        accepted, took = await asyncio.gather(
            _race(stage, stores, number), _until_everywhere(stage, old, seen)
        )
        stage.applied["ticket_race"] += 1
        stage.notes["accepted_twice"] += max(0, accepted - 1)
        times["slow_" if slow else ""].append(took)
    stage.store.faults.delay_s = 0.0
    for name, values in times.items():
        ordered = sorted(values)
        stage.notes[f"{name}in_effect_median_s"] = ordered[len(ordered) // 2]
        stage.notes[f"{name}in_effect_max_s"] = ordered[-1]
    for store in stores:
        await store.close()


def _checks(result: Result, load: LoadResult) -> list[Check]:
    notes = result.notes
    return [
        at_least("tickets that met a conflict", notes["conflicts"], 1),
        at_most("numbers accepted twice", notes["accepted_twice"], 0),
        at_most("reverted", notes["reverted"], 0),
        at_most("in effect everywhere, s", notes["in_effect_max_s"], targets.EFFECT_S),
        at_most(
            "in effect everywhere with a slow store, s",
            notes["slow_in_effect_max_s"],
            targets.EFFECT_S,
        ),
    ]


TICKET_RACE = Scenario(
    name="ticket-race",
    description="operators race with tickets of one number, half with a slow store",
    flows=everyday,
    faults=_faults,
    checks=_checks,
)
