"""One small organisation floods while others go on."""

from __future__ import annotations

from borageworks_emulator import targets
from borageworks_emulator.load import Flow, LoadResult
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenario import Scenario, at_most
from borageworks_emulator.scenarios.flows import LIGHT_PART, backlog, everyday
from borageworks_emulator.topology import TOPOLOGIES, Topology

FLOOD_FACTOR = 5


def _flows(topology: Topology, routers: int) -> list[Flow]:
    slots = topology.slots(topology.engine_pool)
    first, second, *_, flooder, _ = topology.organisations
    return [
        *everyday(topology, routers, LIGHT_PART),
        backlog(topology, flooder, FLOOD_FACTOR * slots),
        backlog(topology, first, 2 * slots),
        backlog(topology, second, 2 * slots),
    ]


def _checks(result: Result, load: LoadResult) -> list[Check]:
    smallest = TOPOLOGIES[result.topology].smallest
    central = result.central.wait.get(smallest, 0.0) if result.central else 0.0
    return [
        at_most(
            "mean wait of the smallest organisation, s",
            result.measures.wait.get(smallest, float("inf")),
            targets.WAIT_RATIO * central,
        )
    ]


FLOOD = Scenario(
    name="flood",
    description="a small organisation sends five times what all engines can run",
    flows=_flows,
    compared=True,
    checks=_checks,
)
