"""Writes to the platform store take effect, but their replies are lost."""

from __future__ import annotations

import asyncio
import time

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_least
from borageworks_emulator.scenarios.flows import everyday_flows

FAULT_START_RATIO = 0.2
FAULT_END_RATIO = 0.8
LOSS_INTERVAL_S = 0.5
REPLIES_PER_INTERVAL = 3


async def _faults(stage: Stage) -> None:
    await stage.until(FAULT_START_RATIO)
    fault_end = stage.began + FAULT_END_RATIO * stage.options.duration_s
    while time.monotonic() < fault_end:
        stage.store.faults.lost_replies += REPLIES_PER_INTERVAL
        stage.applied["store_replies_lost"] += REPLIES_PER_INTERVAL
        await asyncio.sleep(LOSS_INTERVAL_S)
    stage.applied["store_replies_lost"] -= stage.store.faults.lost_replies
    stage.store.faults.lost_replies = 0


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [at_least("store replies lost", result.faults["store_replies_lost"], 1)]


LOST_REPLIES = Scenario(
    name="lost-replies",
    description="six replies per second of store writes that took effect are lost",
    flows=everyday_flows,
    faults=_faults,
    checks=_checks,
    may_refuse=frozenset(("claim_unavailable",)),
)
