"""A router starts with empty state while the store is down."""

from __future__ import annotations

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, max_check
from borageworks_emulator.scenarios.flows import everyday_flows
from borageworks_emulator.scenarios.restart import DOWNTIME_S, kill_and_restart
from borageworks_emulator.scenarios.store_outage import CLAIM_UNAVAILABLE

OUTAGE_START_RATIO = 0.2
RESTART_AT_RATIO = 0.3
OUTAGE_END_RATIO = 0.8
# A started router gets the configuration from its peers within this time.
READY_TIMEOUT_S = 8.0


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(OUTAGE_START_RATIO)
    scenario_run.store.unavailable = True
    scenario_run.applied["store_outage"] += 1
    await scenario_run.sleep_until_fraction(RESTART_AT_RATIO)
    await kill_and_restart(
        scenario_run, scenario_run.options.seed % len(scenario_run.fleet.routers)
    )
    await scenario_run.sleep_until_fraction(OUTAGE_END_RATIO)
    scenario_run.store.unavailable = False


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [
        max_check(
            "ready with the store down after, s",
            result.notes["router_back_after_s"],
            DOWNTIME_S + READY_TIMEOUT_S,
        )
    ]


STORE_DOWN_START = Scenario(
    name="store-down-start",
    description="a router is killed and starts empty while the store is down",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
    allowed_refusals=frozenset((CLAIM_UNAVAILABLE,)),
)
