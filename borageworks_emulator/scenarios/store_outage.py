"""The platform store is down for a while."""

from __future__ import annotations

from borageworks_emulator.analysis import Verdict
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_least, at_most
from borageworks_emulator.scenarios.flows import everyday_flows

OUTAGE_START_RATIO = 0.25
OUTAGE_END_RATIO = 0.6
CLAIM_UNAVAILABLE = "claim_unavailable"


async def _faults(stage: Stage) -> None:
    await stage.until(OUTAGE_START_RATIO)
    stage.store.unavailable = True
    stage.applied["store_outage"] += 1
    await stage.until(OUTAGE_END_RATIO)
    stage.store.unavailable = False


def _checks(result: Result, load: LoadResult) -> list[Check]:
    refused = [call for call in load.calls if call.code == CLAIM_UNAVAILABLE]
    recovered_at = load.began + 0.9 * result.duration_s
    responses = [
        call
        for call in load.calls
        if call.key and call.sent > recovered_at and call.verdict is Verdict.ANSWERED
    ]
    return [
        at_most(
            "requests without key refused for the store",
            sum(1 for call in refused if not call.key),
            0,
        ),
        at_most(
            "refusals for the store not marked not_run",
            sum(1 for call in refused if call.ran != "not_run"),
            0,
        ),
        at_least("protected requests refused in the outage", len(refused), 1),
        at_least("protected answers after the outage", len(responses), 1),
    ]


STORE_OUTAGE = Scenario(
    name="store-outage",
    description="the store refuses every call for a third of the run",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
    may_refuse=frozenset((CLAIM_UNAVAILABLE,)),
)
