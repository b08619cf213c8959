"""Routers are stopped gracefully and started again, one after the other."""

from __future__ import annotations

import asyncio
import signal
import time

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, max_check, min_check
from borageworks_emulator.scenarios.flows import everyday_flows

FAULT_START_RATIO = 0.1
FAULT_END_RATIO = 0.9
# Shorter than the time for which a router accepts requests after SIGTERM.
BALANCER_LAG_S = 0.5
MIN_RESTARTS = 2


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(FAULT_START_RATIO)
    last_restart_until = (
        scenario_run.load_started_at + FAULT_END_RATIO * scenario_run.options.duration_s
    )
    for index, router in enumerate(scenario_run.fleet.routers):
        if time.monotonic() >= last_restart_until:
            return
        router.send_signal(signal.SIGTERM)
        scenario_run.applied["router_terminated"] += 1
        await asyncio.sleep(BALANCER_LAG_S)
        scenario_run.balancer.set_available(index, False)
        exit_code = await router.wait_exit()
        scenario_run.notes["failed_exits"] = scenario_run.notes.get(
            "failed_exits", 0
        ) + (exit_code != 0)
        await router.start()
        await router.wait_ready(scenario_run.fleet.session)
        scenario_run.balancer.set_available(index, True)


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [
        min_check(
            "routers restarted", result.faults.get("router_terminated", 0), MIN_RESTARTS
        ),
        max_check("exit codes other than 0", result.notes.get("failed_exits", 0), 0),
    ]


ROLLING_RESTART = Scenario(
    name="rolling-restart",
    description="routers get SIGTERM and restart, one after the other",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
)
