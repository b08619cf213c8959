"""A router is killed and restarts with empty state."""

from __future__ import annotations

import asyncio
import signal
import time

from borageworks_emulator.analysis import Excuse
from borageworks_emulator.scenario import Scenario, Stage
from borageworks_emulator.scenarios.flows import contended_flows

KILL_AT_RATIO = 0.3
# The platform's balancer takes this long to detect a stopped router.
BALANCER_LAG_S = 0.5
DOWNTIME_S = 1.0


async def kill_and_restart(stage: Stage, index: int) -> None:
    """Kill a router, let the balancer detect that, and start it again."""
    router = stage.fleet.routers[index]
    killed_at = time.monotonic()
    router.send(signal.SIGKILL)
    stage.applied["router_killed"] += 1
    await router.wait_exit()
    await asyncio.sleep(BALANCER_LAG_S)
    stage.balancer.set_up(index, False)
    stage.excused.append(Excuse(index, killed_at, time.monotonic() + BALANCER_LAG_S))
    await asyncio.sleep(DOWNTIME_S - BALANCER_LAG_S)
    await router.start()
    await router.wait_ready(stage.fleet.session)
    stage.balancer.set_up(index, True)
    stage.notes["router_back_after_s"] = time.monotonic() - killed_at


async def _faults(stage: Stage) -> None:
    await stage.until(KILL_AT_RATIO)
    await kill_and_restart(stage, stage.options.seed % len(stage.fleet.routers))


RESTART = Scenario(
    name="restart",
    description="a router is killed and restarts with empty state",
    flows=contended_flows,
    faults=_faults,
    compared=True,
)
