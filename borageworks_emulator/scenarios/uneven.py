"""Backlogged organisations reach the fleet through one router each."""

from __future__ import annotations

from borageworks_emulator.load import Flow
from borageworks_emulator.scenario import Scenario
from borageworks_emulator.scenarios.flows import (
    LIGHT_LOAD_RATIO,
    backlog_flow,
    everyday_flows,
)
from borageworks_emulator.topology import Topology


def _flows(topology: Topology, routers: int) -> list[Flow]:
    workers = 2 * topology.slots(topology.engine_pool)
    first, second, third, *_, small, _ = topology.organisations
    return [
        *everyday_flows(topology, routers, LIGHT_LOAD_RATIO),
        backlog_flow(topology, first, workers, router_index=0),
        backlog_flow(topology, second, workers),
        backlog_flow(topology, third, workers, router_index=1 % routers),
        backlog_flow(topology, small, workers, router_index=2 % routers),
    ]


UNEVEN = Scenario(
    name="uneven",
    description="three backlogged organisations on one router each, one on all",
    flows=_flows,
    compared_with_baseline=True,
)
