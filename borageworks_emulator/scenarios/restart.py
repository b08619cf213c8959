"""A router is killed and comes back with empty state."""

from __future__ import annotations

import asyncio
import signal
import time

from borageworks_emulator.analysis import Excuse
from borageworks_emulator.scenario import Scenario, Stage
from borageworks_emulator.scenarios.flows import contended

KILL_PART = 0.3
# The platform's balancer needs this long to notice.
BALANCER_LAG_S = 0.5
DOWN_S = 1.0


async def kill_and_restart(stage: Stage, index: int) -> None:
    """Kill a router, let the balancer notice, and start it again."""
    router = stage.fleet.routers[index]
    killed = time.monotonic()
    router.send(signal.SIGKILL)
    stage.applied["router_killed"] += 1
    await router.wait_exit()
    await asyncio.sleep(BALANCER_LAG_S)
    stage.balancer.set_up(index, False)
    stage.excused.append(Excuse(index, killed, time.monotonic() + BALANCER_LAG_S))
    await asyncio.sleep(DOWN_S - BALANCER_LAG_S)
    await router.start()
    await router.wait_ready(stage.fleet.session)
    stage.balancer.set_up(index, True)
    stage.notes["router_back_after_s"] = time.monotonic() - killed


async def _faults(stage: Stage) -> None:
    await stage.until(KILL_PART)
    await kill_and_restart(stage, stage.options.seed % len(stage.fleet.routers))


RESTART = Scenario(
    name="restart",
    description="a router is killed and restarts with empty state",
    flows=contended,
    faults=_faults,
    compared=True,
)
