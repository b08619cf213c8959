"""A small organisation floods the engines beside the load of the others."""

from __future__ import annotations

from borageworks_emulator import targets
from borageworks_emulator.load import Flow, LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, max_check
from borageworks_emulator.scenarios.flows import (
    LIGHT_LOAD_RATIO,
    backlog_flow,
    everyday_flows,
)
from borageworks_emulator.topology import TOPOLOGIES, Topology

FLOOD_FACTOR = 5


def _flows(topology: Topology, routers: int) -> list[Flow]:
    slots = topology.slots(topology.engine_pool)
    first, second, *_, flooder, _ = topology.organisations
    return [
        *everyday_flows(topology, routers, LIGHT_LOAD_RATIO),
        backlog_flow(topology, flooder, FLOOD_FACTOR * slots),
        backlog_flow(topology, first, 2 * slots),
        backlog_flow(topology, second, 2 * slots),
    ]


def _checks(result: Result, load: LoadResult) -> list[Check]:
    smallest_organisation = TOPOLOGIES[result.topology].smallest_organisation
    central_wait_s = (
        result.central.wait.get(smallest_organisation, 0.0) if result.central else 0.0
    )
    return [
        max_check(
            "mean wait of the smallest organisation, s",
            result.measures.wait.get(smallest_organisation, float("inf")),
            targets.WAIT_RATIO * central_wait_s,
        )
    ]


FLOOD = Scenario(
    name="flood",
    description="a small organisation sends five times what all engines can run",
    flows=_flows,
    compared_with_baseline=True,
    checks=_checks,
)
