"""One engine takes three times as long for a while."""

from __future__ import annotations

import asyncio

from borageworks_emulator.scenario import Scenario, ScenarioRun
from borageworks_emulator.scenarios.flows import contended_flows
from borageworks_emulator.topology import AnyEndpoint

SLOWDOWN = 3.0
FAULT_START_RATIO = 0.25
FAULT_END_RATIO = 0.75


async def _slow_down(endpoints: list[AnyEndpoint], duration_s: float) -> None:
    await asyncio.sleep(FAULT_START_RATIO * duration_s)
    endpoints[0].faults.slowdown = SLOWDOWN
    endpoints[0].faults.count_applied("slowdown")
    await asyncio.sleep((FAULT_END_RATIO - FAULT_START_RATIO) * duration_s)
    endpoints[0].faults.slowdown = 1.0


async def _faults(scenario_run: ScenarioRun) -> None:
    await _slow_down(scenario_run.endpoints, scenario_run.options.duration_s)


SLOW_ENGINE = Scenario(
    name="slow-engine",
    description="one engine takes three times as long for half of the run",
    flows=contended_flows,
    faults=_faults,
    endpoint_faults=_slow_down,
    compared_with_baseline=True,
)
