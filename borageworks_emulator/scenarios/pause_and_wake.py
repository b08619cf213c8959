"""A router is paused for longer than failure detection takes, then resumes."""

from __future__ import annotations

import asyncio
import signal
import time

from borageworks_emulator.analysis import RouterKill
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, min_check
from borageworks_emulator.scenarios.flows import everyday_flows
from borageworks_emulator.scenarios.restart import BALANCER_LAG_S

PAUSE_AT_RATIO = 0.3
# Longer than failure detection takes with the default settings.
PAUSE_S = 8.0
# Calls to the paused router have succeeded or failed by then.
SETTLE_S = 2.0


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(PAUSE_AT_RATIO)
    index = scenario_run.options.seed % len(scenario_run.fleet.routers)
    router = scenario_run.fleet.routers[index]
    paused_at = time.monotonic()
    router.send_signal(signal.SIGSTOP)
    scenario_run.applied["router_paused"] += 1
    await asyncio.sleep(BALANCER_LAG_S)
    scenario_run.balancer.set_available(index, False)
    await asyncio.sleep(PAUSE_S - BALANCER_LAG_S)
    router.send_signal(signal.SIGCONT)
    await asyncio.sleep(SETTLE_S)
    scenario_run.router_kills.append(RouterKill(index, paused_at, time.monotonic()))
    status = await router.status(scenario_run.fleet.session)
    scenario_run.notes["answers_after_waking"] = 1.0 if status["lacking"] == [] else 0.0
    scenario_run.balancer.set_available(index, True)


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [min_check("ready after waking", result.notes["answers_after_waking"], 1)]


PAUSE_AND_WAKE = Scenario(
    name="pause-and-wake",
    description="a router is paused for 8 s while others take over, then goes on",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
)
