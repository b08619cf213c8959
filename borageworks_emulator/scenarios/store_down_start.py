"""A router starts with empty state while the store is down."""

from __future__ import annotations

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_most
from borageworks_emulator.scenarios.flows import everyday
from borageworks_emulator.scenarios.restart import DOWN_S, kill_and_restart
from borageworks_emulator.scenarios.store_outage import CLAIM_CODE

DOWN_FROM_PART = 0.2
RESTART_PART = 0.3
DOWN_UNTIL_PART = 0.8
# Peers answer a pull within this time after the process has started.
READY_S = 8.0


async def _faults(stage: Stage) -> None:
    await stage.until(DOWN_FROM_PART)
    stage.store.unavailable = True
    stage.applied["store_outage"] += 1
    await stage.until(RESTART_PART)
    await kill_and_restart(stage, stage.options.seed % len(stage.fleet.routers))
    await stage.until(DOWN_UNTIL_PART)
    stage.store.unavailable = False


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [
        at_most(
            "ready with the store down after, s",
            result.notes["router_back_after_s"],
            DOWN_S + READY_S,
        )
    ]


STORE_DOWN_START = Scenario(
    name="store-down-start",
    description="a router is killed and starts empty while the store is down",
    flows=everyday,
    faults=_faults,
    checks=_checks,
    may_refuse=frozenset((CLAIM_CODE,)),
)
