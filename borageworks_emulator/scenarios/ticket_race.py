"""Operators apply different tickets with the same number, also with a slow store."""

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
from borageworks_emulator.scenario import Scenario, ScenarioRun, max_check, min_check
from borageworks_emulator.scenarios.flows import everyday_flows

RACE_START_RATIO = 0.1
ROUND_COUNT = 8
SLOW_FROM_ROUND = 4
STORE_DELAY_S = 0.3
OPERATOR_COUNT = 3
POLL_INTERVAL_S = 0.03
EFFECT_TIMEOUT_S = 10.0
FIRST_TICKET_NUMBER = 10


def _ticket(number: int, operator: int) -> Ticket:
    """Return a ticket whose content, but not its number, depends on the operator."""
    share = 1.0 + number + operator / 10
    return Ticket(number=number, put=(Organisation(id="racing", share=share),))


async def _race(scenario_run: ScenarioRun, stores: list[EtcdStore], number: int) -> int:
    """Apply the tickets of all operators at once; return how many are accepted."""

    async def apply(operator: int) -> TicketResult | None:
        with suppress(TicketConflictError):
            return await apply_ticket(
                stores[operator], CATALOG_PREFIX, _ticket(number, operator)
            )
        return None

    results = await asyncio.gather(
        *(apply(operator) for operator in range(OPERATOR_COUNT))
    )
    accepted = [result for result in results if result is not None]
    scenario_run.notes["conflicts"] = (
        scenario_run.notes.get("conflicts", 0.0) + OPERATOR_COUNT - len(accepted)
    )
    return len(accepted)


async def _catalog_hashes(scenario_run: ScenarioRun) -> list[str]:
    statuses = await asyncio.gather(
        *(
            router.status(scenario_run.fleet.session)
            for router in scenario_run.fleet.routers
        )
    )
    return [str(status["catalog_hash"]) for status in statuses]


async def _wait_until_in_effect(
    scenario_run: ScenarioRun, old_hash: str, seen_hashes: list[set[str]]
) -> float:
    """Return the seconds until all routers have the same new configuration.

    Counts routers that return to a configuration that they had before in the note
    `reverted`.
    """
    started = time.monotonic()
    current = [old_hash] * len(seen_hashes)
    while time.monotonic() - started < EFFECT_TIMEOUT_S:
        with suppress(aiohttp.ClientError, TimeoutError):
            for index, catalog_hash in enumerate(await _catalog_hashes(scenario_run)):
                if catalog_hash != current[index]:
                    if catalog_hash in seen_hashes[index]:
                        scenario_run.notes["reverted"] += 1
                    seen_hashes[index].add(catalog_hash)
                    current[index] = catalog_hash
        if len(set(current)) == 1 and current[0] != old_hash:
            return time.monotonic() - started
        await asyncio.sleep(POLL_INTERVAL_S)
    return EFFECT_TIMEOUT_S


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(RACE_START_RATIO)
    settings = scenario_run.fleet.routers[0].settings.store
    stores = [EtcdStore(settings, Metrics()) for _ in range(OPERATOR_COUNT)]
    scenario_run.notes["reverted"] = 0.0
    scenario_run.notes["accepted_twice"] = 0.0
    initial_hash = (await _catalog_hashes(scenario_run))[0]
    seen_hashes = [{initial_hash} for _ in scenario_run.fleet.routers]
    times_s: dict[str, list[float]] = {"": [], "slow_": []}
    for number in range(FIRST_TICKET_NUMBER, FIRST_TICKET_NUMBER + ROUND_COUNT):
        slow = number - FIRST_TICKET_NUMBER >= SLOW_FROM_ROUND
        scenario_run.store.faults.delay_s = STORE_DELAY_S if slow else 0.0
        old_hash = (await _catalog_hashes(scenario_run))[0]
        # Measured from the start of the race, so it includes the operators' calls.
        accepted, elapsed_s = await asyncio.gather(
            _race(scenario_run, stores, number),
            _wait_until_in_effect(scenario_run, old_hash, seen_hashes),
        )
        scenario_run.applied["ticket_race"] += 1
        scenario_run.notes["accepted_twice"] += max(0, accepted - 1)
        times_s["slow_" if slow else ""].append(elapsed_s)
    scenario_run.store.faults.delay_s = 0.0
    for prefix, values in times_s.items():
        ordered = sorted(values)
        scenario_run.notes[f"{prefix}in_effect_median_s"] = ordered[len(ordered) // 2]
        scenario_run.notes[f"{prefix}in_effect_max_s"] = ordered[-1]
    for store in stores:
        await store.close()


def _checks(result: Result, load: LoadResult) -> list[Check]:
    notes = result.notes
    return [
        min_check("tickets that met a conflict", notes["conflicts"], 1),
        max_check("numbers accepted twice", notes["accepted_twice"], 0),
        max_check("reverted", notes["reverted"], 0),
        max_check(
            "in effect everywhere, s",
            notes["in_effect_max_s"],
            targets.MAX_TICKET_EFFECT_S,
        ),
        max_check(
            "in effect everywhere with a slow store, s",
            notes["slow_in_effect_max_s"],
            targets.MAX_TICKET_EFFECT_S,
        ),
    ]


TICKET_RACE = Scenario(
    name="ticket-race",
    description="operators race with tickets of one number, half with a slow store",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
)
