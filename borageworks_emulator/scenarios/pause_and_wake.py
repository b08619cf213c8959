"""A router is paused for longer than failure detection takes, then resumes."""

from __future__ import annotations

import asyncio
import signal
import time

from borageworks_emulator.analysis import Excuse
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_least
from borageworks_emulator.scenarios.flows import everyday_flows
from borageworks_emulator.scenarios.restart import BALANCER_LAG_S

PAUSE_AT_RATIO = 0.3
# Longer than failure detection takes with the default settings.
PAUSE_S = 8.0
# Calls to the paused router have succeeded or failed by then.
SETTLE_S = 2.0


async def _faults(stage: Stage) -> None:
    await stage.until(PAUSE_AT_RATIO)
    index = stage.options.seed % len(stage.fleet.routers)
    router = stage.fleet.routers[index]
    paused_at = time.monotonic()
    router.send(signal.SIGSTOP)
    stage.applied["router_paused"] += 1
    await asyncio.sleep(BALANCER_LAG_S)
    stage.balancer.set_up(index, False)
    await asyncio.sleep(PAUSE_S - BALANCER_LAG_S)
    router.send(signal.SIGCONT)
    await asyncio.sleep(SETTLE_S)
    stage.excused.append(Excuse(index, paused_at, time.monotonic()))
    status = await router.status(stage.fleet.session)
    stage.notes["answers_after_waking"] = 1.0 if status["lacking"] == [] else 0.0
    stage.balancer.set_up(index, True)


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [at_least("ready after waking", result.notes["answers_after_waking"], 1)]


PAUSE_AND_WAKE = Scenario(
    name="pause-and-wake",
    description="a router is paused for 8 s while others take over, then goes on",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
)
