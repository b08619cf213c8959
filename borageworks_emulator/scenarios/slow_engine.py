"""One engine takes three times as long for a while."""

from __future__ import annotations

import asyncio

from borageworks_emulator.scenario import Scenario, Stage
from borageworks_emulator.scenarios.flows import contended
from borageworks_emulator.topology import AnyEndpoint

SLOWDOWN = 3.0
FROM_PART = 0.25
UNTIL_PART = 0.75


async def _slow(endpoints: list[AnyEndpoint], duration_s: float) -> None:
    await asyncio.sleep(FROM_PART * duration_s)
    endpoints[0].faults.slowdown = SLOWDOWN
    endpoints[0].faults.note("slowdown")
    await asyncio.sleep((UNTIL_PART - FROM_PART) * duration_s)
    endpoints[0].faults.slowdown = 1.0


async def _faults(stage: Stage) -> None:
    await _slow(stage.endpoints, stage.options.duration_s)


SLOW_ENGINE = Scenario(
    name="slow-engine",
    description="one engine takes three times as long for half of the run",
    flows=contended,
    faults=_faults,
    endpoint_faults=_slow,
    compared=True,
)
