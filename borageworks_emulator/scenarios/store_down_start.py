"""A router starts with empty state while the store is down."""

from __future__ import annotations

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_most
from borageworks_emulator.scenarios.flows import everyday_flows
from borageworks_emulator.scenarios.restart import DOWNTIME_S, kill_and_restart
from borageworks_emulator.scenarios.store_outage import CLAIM_UNAVAILABLE

OUTAGE_START_RATIO = 0.2
RESTART_AT_RATIO = 0.3
OUTAGE_END_RATIO = 0.8
# A started router gets the configuration from its peers within this time.
READY_LIMIT_S = 8.0


async def _faults(stage: Stage) -> None:
    await stage.until(OUTAGE_START_RATIO)
    stage.store.unavailable = True
    stage.applied["store_outage"] += 1
    await stage.until(RESTART_AT_RATIO)
    await kill_and_restart(stage, stage.options.seed % len(stage.fleet.routers))
    await stage.until(OUTAGE_END_RATIO)
    stage.store.unavailable = False


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [
        at_most(
            "ready with the store down after, s",
            result.notes["router_back_after_s"],
            DOWNTIME_S + READY_LIMIT_S,
        )
    ]


STORE_DOWN_START = Scenario(
    name="store-down-start",
    description="a router is killed and starts empty while the store is down",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
    may_refuse=frozenset((CLAIM_UNAVAILABLE,)),
)
