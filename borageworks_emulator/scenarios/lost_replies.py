"""Writes to the platform store take effect, but their replies are lost."""

from __future__ import annotations

import asyncio
import time

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, min_check
from borageworks_emulator.scenarios.flows import everyday_flows

FAULT_START_RATIO = 0.2
FAULT_END_RATIO = 0.8
LOSS_INTERVAL_S = 0.5
REPLIES_PER_INTERVAL = 3


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(FAULT_START_RATIO)
    fault_end = (
        scenario_run.load_started_at + FAULT_END_RATIO * scenario_run.options.duration_s
    )
    while time.monotonic() < fault_end:
        scenario_run.store.faults.lost_replies += REPLIES_PER_INTERVAL
        scenario_run.applied["store_replies_lost"] += REPLIES_PER_INTERVAL
        await asyncio.sleep(LOSS_INTERVAL_S)
    scenario_run.applied["store_replies_lost"] -= scenario_run.store.faults.lost_replies
    scenario_run.store.faults.lost_replies = 0


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [min_check("store replies lost", result.faults["store_replies_lost"], 1)]


LOST_REPLIES = Scenario(
    name="lost-replies",
    description="six replies per second of store writes that took effect are lost",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
    allowed_refusals=frozenset(("claim_unavailable",)),
)
