"""A request crashes every engine that runs it, and its caller resends it."""

from __future__ import annotations

from borageworks_emulator import targets
from borageworks_emulator.load import Flow, LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, max_check, min_check
from borageworks_emulator.scenarios.flows import LIGHT_LOAD_RATIO, everyday_flows
from borageworks_emulator.topology import Topology

MARKER = "crash-marker"
RESENDS = 9
RESEND_AFTER_S = 1.0
CRASH_START_S = 2.0


def _flows(topology: Topology, routers: int) -> list[Flow]:
    crashing = Flow(
        topology.organisations[5],
        topology.model,
        topology.engine_pool,
        workers=1,
        max_requests=1,
        start_s=CRASH_START_S,
        resends=RESENDS,
        resend_after_s=RESEND_AFTER_S,
        marker=MARKER,
    )
    return [*everyday_flows(topology, routers, LIGHT_LOAD_RATIO), crashing]


async def _faults(scenario_run: ScenarioRun) -> None:
    for endpoint in scenario_run.endpoints:
        endpoint.faults.crash_marker = MARKER.encode()


def _checks(result: Result, load: LoadResult) -> list[Check]:
    crashes = result.faults.get("crash", 0)
    suspected = result.measures.refusals.get("request_suspected", 0)
    return [
        min_check("endpoints lost to the request", crashes, 1),
        max_check(
            "endpoints lost to the request", crashes, targets.MAX_CRASHED_ENDPOINTS
        ),
        min_check("resends refused as suspect", suspected, 1),
        max_check(
            "refusals in all", sum(result.measures.refusals.values()), RESENDS + 1
        ),
    ]


CRASH_REQUEST = Scenario(
    name="crash-request",
    description="one request crashes engines and is sent ten times",
    flows=_flows,
    faults=_faults,
    checks=_checks,
    allowed_refusals=frozenset(
        ("request_suspected", "retries_exhausted", "outcome_unknown")
    ),
)
