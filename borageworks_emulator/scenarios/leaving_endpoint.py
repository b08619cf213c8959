"""A ticket announces that an engine is leaving."""

from __future__ import annotations

import time

from borageworks.catalog.objects import EndpointState, Ticket
from borageworks_emulator import targets
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, max_check, min_check
from borageworks_emulator.scenarios.flows import everyday_flows

ANNOUNCE_AT_RATIO = 0.4
TICKET_NUMBER = 2


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(ANNOUNCE_AT_RATIO)
    engine = scenario_run.endpoints[0]
    leaving = scenario_run.options.topology.endpoint_object(
        engine, EndpointState.LEAVING
    )
    await scenario_run.fleet.apply(Ticket(number=TICKET_NUMBER, put=(leaving,)))
    announced_at = time.monotonic()
    scenario_run.applied["endpoint_leaving"] += 1
    await scenario_run.sleep_until_fraction(1.0)
    arrivals = [run.arrived for run in engine.recording.runs]
    scenario_run.notes["work_before"] = sum(
        1 for arrived_at in arrivals if arrived_at <= announced_at
    )
    scenario_run.notes["last_new_work_s"] = max(
        0.0, max(arrivals, default=0.0) - announced_at
    )


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [
        min_check("runs before the engine left", result.notes["work_before"], 1),
        max_check(
            "last new work after the announcement, s",
            result.notes["last_new_work_s"],
            targets.MAX_ENDPOINT_LEAVE_S,
        ),
    ]


LEAVING_ENDPOINT = Scenario(
    name="leaving-endpoint",
    description="a ticket marks an engine as leaving; new work must stop within 3 s",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
)
