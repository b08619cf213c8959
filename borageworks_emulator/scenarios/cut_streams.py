"""Engines cut some streams after three tokens."""

from __future__ import annotations

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, min_check
from borageworks_emulator.scenarios.flows import everyday_flows

CUT_EVERY = 20
CUT_CHUNKS = 3


async def _faults(scenario_run: ScenarioRun) -> None:
    for endpoint in scenario_run.endpoints[: scenario_run.options.topology.engines]:
        endpoint.faults.cut_every = CUT_EVERY
        endpoint.faults.cut_chunks = CUT_CHUNKS


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [min_check("streams cut by engines", result.faults.get("cut", 0), 1)]


CUT_STREAMS = Scenario(
    name="cut-streams",
    description="engines cut streams after three tokens and can resume them",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
)
