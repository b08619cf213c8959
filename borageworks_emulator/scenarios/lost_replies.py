"""Writes to the platform store take effect, but their replies are lost."""

from __future__ import annotations

import asyncio
import time

from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, Stage, at_least
from borageworks_emulator.scenarios.flows import everyday

FROM_PART = 0.2
UNTIL_PART = 0.8
EVERY_S = 0.5
REPLIES = 3


async def _faults(stage: Stage) -> None:
    await stage.until(FROM_PART)
    end = stage.began + UNTIL_PART * stage.options.duration_s
    while time.monotonic() < end:
        stage.store.faults.lost_replies += REPLIES
        stage.applied["store_replies_lost"] += REPLIES
        await asyncio.sleep(EVERY_S)
    stage.applied["store_replies_lost"] -= stage.store.faults.lost_replies
    stage.store.faults.lost_replies = 0


def _checks(result: Result, load: LoadResult) -> list[Check]:
    return [at_least("store replies lost", result.faults["store_replies_lost"], 1)]


LOST_REPLIES = Scenario(
    name="lost-replies",
    description="six replies per second of store writes that took effect are lost",
    flows=everyday,
    faults=_faults,
    checks=_checks,
    may_refuse=frozenset(("claim_unavailable",)),
)
