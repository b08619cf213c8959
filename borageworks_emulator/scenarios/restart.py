"""A router is killed and restarts with empty state."""

from __future__ import annotations

import asyncio
import signal
import time

from borageworks_emulator.analysis import RouterKill
from borageworks_emulator.scenario import Scenario, ScenarioRun
from borageworks_emulator.scenarios.flows import contended_flows

KILL_AT_RATIO = 0.3
# The platform's balancer takes this long to detect a stopped router.
BALANCER_LAG_S = 0.5
DOWNTIME_S = 1.0


async def kill_and_restart(scenario_run: ScenarioRun, index: int) -> None:
    """Kill a router, let the balancer detect that, and start it again."""
    router = scenario_run.fleet.routers[index]
    killed_at = time.monotonic()
    router.send_signal(signal.SIGKILL)
    scenario_run.applied["router_killed"] += 1
    await router.wait_exit()
    await asyncio.sleep(BALANCER_LAG_S)
    scenario_run.balancer.set_available(index, False)
    scenario_run.router_kills.append(
        RouterKill(index, killed_at, time.monotonic() + BALANCER_LAG_S)
    )
    await asyncio.sleep(DOWNTIME_S - BALANCER_LAG_S)
    await router.start()
    await router.wait_ready(scenario_run.fleet.session)
    scenario_run.balancer.set_available(index, True)
    scenario_run.notes["router_back_after_s"] = time.monotonic() - killed_at


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(KILL_AT_RATIO)
    await kill_and_restart(
        scenario_run, scenario_run.options.seed % len(scenario_run.fleet.routers)
    )


RESTART = Scenario(
    name="restart",
    description="a router is killed and restarts with empty state",
    flows=contended_flows,
    faults=_faults,
    compared_with_baseline=True,
)
