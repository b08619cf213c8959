"""Every organisation sends an everyday load; nothing fails."""

from __future__ import annotations

from borageworks_emulator import targets
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, at_most
from borageworks_emulator.scenarios.flows import everyday

UNREPORTED = float("inf")


def _checks(result: Result, load: LoadResult) -> list[Check]:
    control = result.control_bytes_per_second
    idle = result.idle_cpu_percent
    return [
        at_most(
            "control bytes/s of a router",
            UNREPORTED if control is None else control,
            targets.CONTROL_BYTES_PER_S,
        ),
        at_most(
            "CPU of an idle router, % of a core",
            UNREPORTED if idle is None else idle,
            targets.CONTROL_CPU_PERCENT,
        ),
        at_most(
            "store calls/s of an idle fleet",
            result.notes["idle_store_calls_per_second"],
            targets.STORE_CALLS_PER_ROUTER * result.routers,
        ),
    ]


STEADY = Scenario(
    name="steady",
    description="everyday load at 26 requests/s per router; control traffic",
    flows=everyday,
    checks=_checks,
)
