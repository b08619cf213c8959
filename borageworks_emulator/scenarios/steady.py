"""Every organisation sends an everyday load; nothing fails."""

from __future__ import annotations

from borageworks_emulator import targets
from borageworks_emulator.load import LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, max_check
from borageworks_emulator.scenarios.flows import everyday_flows

NOT_REPORTED = float("inf")


def _checks(result: Result, load: LoadResult) -> list[Check]:
    control_bytes = result.control_bytes_per_second
    idle_cpu_percent = result.idle_cpu_percent
    return [
        max_check(
            "control bytes/s of a router",
            NOT_REPORTED if control_bytes is None else control_bytes,
            targets.CONTROL_BYTES_PER_S,
        ),
        max_check(
            "CPU of an idle router, % of a core",
            NOT_REPORTED if idle_cpu_percent is None else idle_cpu_percent,
            targets.CONTROL_CPU_PERCENT,
        ),
        max_check(
            "store calls/s of an idle fleet",
            result.notes["idle_store_calls_per_second"],
            targets.STORE_CALLS_PER_ROUTER * result.routers,
        ),
    ]


STEADY = Scenario(
    name="steady",
    description="everyday load at 26 requests/s per router; control traffic",
    flows=everyday_flows,
    checks=_checks,
)
