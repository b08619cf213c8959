"""A ticket announces that an engine is leaving."""

from __future__ import annotations

import time

from borageworks.catalog.objects import EndpointState, Ticket
from borageworks_emulator import targets
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_least, at_most
from borageworks_emulator.scenarios.flows import everyday_flows

ANNOUNCE_AT_RATIO = 0.4
TICKET_NUMBER = 2


async def _faults(stage: Stage) -> None:
    await stage.until(ANNOUNCE_AT_RATIO)
    engine = stage.endpoints[0]
    leaving = stage.options.topology.endpoint_object(engine, EndpointState.LEAVING)
    await stage.fleet.apply(Ticket(number=TICKET_NUMBER, put=(leaving,)))
    announced_at = time.monotonic()
    stage.applied["endpoint_leaving"] += 1
    await stage.until(1.0)
    arrivals = [run.arrived for run in engine.recording.runs]
    stage.notes["work_before"] = sum(
        1 for arrived_at in arrivals if arrived_at <= announced_at
    )
    stage.notes["last_new_work_s"] = max(0.0, max(arrivals, default=0.0) - announced_at)


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [
        at_least("runs before the engine left", result.notes["work_before"], 1),
        at_most(
            "last new work after the announcement, s",
            result.notes["last_new_work_s"],
            targets.LEAVING_S,
        ),
    ]


LEAVING_ENDPOINT = Scenario(
    name="leaving-endpoint",
    description="a ticket marks an engine as leaving; new work must stop within 3 s",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
)
