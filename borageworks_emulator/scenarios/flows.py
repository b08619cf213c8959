"""Loads that several scenarios share."""

from __future__ import annotations

from borageworks_emulator import targets
from borageworks_emulator.load import Flow
from borageworks_emulator.topology import Topology

MEAN_TOKENS = 8.0
# Mean cost of a request: its generated tokens and a tenth of its prompt tokens.
MEAN_UNITS = 12.0
MEAN_PLAIN_MS = 100.0
ENGINE_LOAD_RATIO = 0.65
LIGHT_LOAD_RATIO = 0.2
PLAIN_LOAD_RATIO = 0.6
PROTECTED_RATIO = 0.5


def everyday_flows(
    topology: Topology, routers: int, engine_load_ratio: float = ENGINE_LOAD_RATIO
) -> list[Flow]:
    """Return open-loop requests of every organisation for every service.

    Their rate is `targets.REQUESTS_PER_S_PER_ROUTER` per router, limited to a fraction
    of the capacity of each pool.
    """
    total_rate = targets.REQUESTS_PER_S_PER_ROUTER * routers
    engine_limit = (
        engine_load_ratio * topology.capacity(topology.engine_pool) / MEAN_UNITS
    )
    plain_limit = (
        PLAIN_LOAD_RATIO
        * topology.capacity(topology.service_pool)
        / MEAN_PLAIN_MS
        * 1000
    )
    engine_rate = min(engine_limit, 0.6 * total_rate)
    plain_rate = min(plain_limit, total_rate - engine_rate)
    organisation_count = len(topology.shares)
    flows = []
    for name in topology.shares:
        flows.append(
            Flow(
                name,
                topology.model,
                topology.engine_pool,
                rate=engine_rate / organisation_count,
                length_mean=MEAN_TOKENS,
            )
        )
        for service, ratio, with_idempotency_key in (
            (topology.non_idempotent_service, PROTECTED_RATIO, True),
            (topology.idempotent_service, 1 - PROTECTED_RATIO, False),
        ):
            flows.append(
                Flow(
                    name,
                    service,
                    topology.service_pool,
                    engine=False,
                    rate=ratio * plain_rate / organisation_count,
                    length_mean=MEAN_PLAIN_MS,
                    length_sigma=0.7,
                    length_max=2_000.0,
                    with_idempotency_key=with_idempotency_key,
                )
            )
    return flows


def backlog_flow(
    topology: Topology, organisation: str, workers: int, router_index: int | None = None
) -> Flow:
    """Return closed-loop model requests that keep an organisation backlogged."""
    return Flow(
        organisation,
        topology.model,
        topology.engine_pool,
        workers=workers,
        length_mean=MEAN_TOKENS,
        router_index=router_index,
    )


def contended_flows(topology: Topology, routers: int) -> list[Flow]:
    """Return a light load of all organisations, three of which are also backlogged.

    Of the three, two have a large share and one a small share. Each has more callers
    than the pool has slots.
    """
    slots = topology.slots(topology.engine_pool)
    first, second, *_, small, _ = topology.organisations
    return [
        *everyday_flows(topology, routers, LIGHT_LOAD_RATIO),
        backlog_flow(topology, first, 2 * slots),
        backlog_flow(topology, second, 2 * slots),
        backlog_flow(topology, small, 2 * slots),
    ]
