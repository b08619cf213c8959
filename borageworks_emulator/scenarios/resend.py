"""Callers send every protected request three times while a router is killed."""

from __future__ import annotations

from dataclasses import replace

from borageworks_emulator.load import Flow
from borageworks_emulator.scenario import Scenario, Stage
from borageworks_emulator.scenarios.flows import everyday_flows
from borageworks_emulator.scenarios.restart import kill_and_restart
from borageworks_emulator.topology import Topology

RESENDS = 2
RESEND_AFTER_S = 0.3
LATE_EVERY = 15
LATE_S = 1.0
KILL_AT_RATIO = 0.4


def _flows(topology: Topology, routers: int) -> list[Flow]:
    return [
        replace(
            flow, resends=RESENDS, resend_after_s=RESEND_AFTER_S, rate=flow.rate / 2
        )
        if flow.keyed
        else flow
        for flow in everyday_flows(topology, routers)
    ]


async def _faults(stage: Stage) -> None:
    for endpoint in stage.endpoints:
        endpoint.faults.late_every = LATE_EVERY
        endpoint.faults.late_s = LATE_S
    await stage.until(KILL_AT_RATIO)
    await kill_and_restart(stage, stage.options.seed % len(stage.fleet.routers))


RESEND = Scenario(
    name="resend",
    description="protected requests are sent three times, with late answers and a kill",
    flows=_flows,
    faults=_faults,
    may_refuse=frozenset(("request_in_progress", "answer_not_held", "outcome_unknown")),
)
