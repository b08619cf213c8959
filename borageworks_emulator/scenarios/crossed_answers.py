"""Endpoints swap the responses of pairs of requests."""

from __future__ import annotations

import asyncio
import time

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, min_check
from borageworks_emulator.scenarios.flows import everyday_flows

FAULT_START_RATIO = 0.2
FAULT_END_RATIO = 0.8
SWAP_INTERVAL_S = 1.0


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(FAULT_START_RATIO)
    fault_end = (
        scenario_run.load_started_at + FAULT_END_RATIO * scenario_run.options.duration_s
    )
    while time.monotonic() < fault_end:
        for endpoint in scenario_run.endpoints:
            endpoint.faults.crossed = 1
        await asyncio.sleep(SWAP_INTERVAL_S)
    for endpoint in scenario_run.endpoints:
        endpoint.faults.crossed = 0


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [min_check("pairs of answers exchanged", result.faults.get("crossed", 0), 1)]


CROSSED_ANSWERS = Scenario(
    name="crossed-answers",
    description="each endpoint exchanges a pair of answers every second",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
    allowed_refusals=frozenset(("outcome_unknown", "retries_exhausted")),
)
