"""The platform store is down for a while."""

from __future__ import annotations

from borageworks_emulator.analysis import Verdict
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, ScenarioRun, max_check, min_check
from borageworks_emulator.scenarios.flows import everyday_flows

OUTAGE_START_RATIO = 0.25
OUTAGE_END_RATIO = 0.6
CLAIM_UNAVAILABLE = "claim_unavailable"


async def _faults(scenario_run: ScenarioRun) -> None:
    await scenario_run.sleep_until_fraction(OUTAGE_START_RATIO)
    scenario_run.store.unavailable = True
    scenario_run.applied["store_outage"] += 1
    await scenario_run.sleep_until_fraction(OUTAGE_END_RATIO)
    scenario_run.store.unavailable = False


def _checks(result: Result, load: LoadResult) -> list[Check]:
    refused = [call for call in load.calls if call.code == CLAIM_UNAVAILABLE]
    recovered_at = load.started_at + 0.9 * result.duration_s
    responses = [
        call
        for call in load.calls
        if call.key and call.sent > recovered_at and call.verdict is Verdict.ANSWERED
    ]
    return [
        max_check(
            "requests without key refused for the store",
            sum(1 for call in refused if not call.key),
            0,
        ),
        max_check(
            "refusals for the store not marked not_run",
            sum(1 for call in refused if call.ran != "not_run"),
            0,
        ),
        min_check("protected requests refused in the outage", len(refused), 1),
        min_check("protected answers after the outage", len(responses), 1),
    ]


STORE_OUTAGE = Scenario(
    name="store-outage",
    description="the store refuses every call for a third of the run",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
    allowed_refusals=frozenset((CLAIM_UNAVAILABLE,)),
)
