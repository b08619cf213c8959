"""Callers send every protected request three times while a router is killed."""

from __future__ import annotations

from dataclasses import replace

from borageworks_emulator.load import Flow
from borageworks_emulator.scenario import Scenario, ScenarioRun
from borageworks_emulator.scenarios.flows import everyday_flows
from borageworks_emulator.scenarios.restart import kill_and_restart
from borageworks_emulator.topology import Topology

RESENDS = 2
RESEND_AFTER_S = 0.3
DELAY_EVERY = 15
DELAY_S = 1.0
KILL_AT_RATIO = 0.4


def _flows(topology: Topology, routers: int) -> list[Flow]:
    return [
        replace(
            flow, resends=RESENDS, resend_after_s=RESEND_AFTER_S, rate=flow.rate / 2
        )
        if flow.with_idempotency_key
        else flow
        for flow in everyday_flows(topology, routers)
    ]


async def _faults(scenario_run: ScenarioRun) -> None:
    for endpoint in scenario_run.endpoints:
        endpoint.faults.delay_every = DELAY_EVERY
        endpoint.faults.delay_s = DELAY_S
    await scenario_run.sleep_until_fraction(KILL_AT_RATIO)
    await kill_and_restart(
        scenario_run, scenario_run.options.seed % len(scenario_run.fleet.routers)
    )


RESEND = Scenario(
    name="resend",
    description="protected requests are sent three times, with late answers and a kill",
    flows=_flows,
    faults=_faults,
    allowed_refusals=frozenset(
        ("request_in_progress", "answer_not_held", "outcome_unknown")
    ),
)
