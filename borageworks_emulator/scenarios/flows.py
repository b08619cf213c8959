"""Loads that several scenarios share."""

from __future__ import annotations

from borageworks_emulator import targets
from borageworks_emulator.load import Flow
from borageworks_emulator.topology import Topology

MEAN_TOKENS = 8.0
# Tokens and a tenth of the prompt: what a request of these flows takes on average.
MEAN_UNITS = 12.0
PLAIN_MS = 100.0
ENGINE_PART = 0.65
LIGHT_PART = 0.2
PLAIN_PART = 0.6
PROTECTED_PART = 0.5


def everyday(
    topology: Topology, routers: int, engine_part: float = ENGINE_PART
) -> list[Flow]:
    """Return open-loop requests of every organisation for every service.

    They come at `targets.RATE_PER_ROUTER` per router, limited to a part of the
    capacity of each pool.
    """
    total = targets.RATE_PER_ROUTER * routers
    engine_limit = engine_part * topology.capacity(topology.engine_pool) / MEAN_UNITS
    plain_limit = PLAIN_PART * topology.capacity(topology.plain_pool) / PLAIN_MS * 1000
    engine_rate = min(engine_limit, 0.6 * total)
    plain_rate = min(plain_limit, total - engine_rate)
    count = len(topology.shares)
    flows = []
    for name in topology.shares:
        flows.append(
            Flow(
                name,
                topology.model,
                topology.engine_pool,
                rate=engine_rate / count,
                mean=MEAN_TOKENS,
            )
        )
        for service, part, keyed in (
            (topology.protected, PROTECTED_PART, True),
            (topology.status, 1 - PROTECTED_PART, False),
        ):
            flows.append(
                Flow(
                    name,
                    service,
                    topology.plain_pool,
                    engine=False,
                    rate=part * plain_rate / count,
                    mean=PLAIN_MS,
                    sigma=0.7,
                    largest=2_000.0,
                    keyed=keyed,
                )
            )
    return flows


def backlog(
    topology: Topology, organisation: str, workers: int, router: int | None = None
) -> Flow:
    """Return closed-loop model requests that keep an organisation backlogged."""
    return Flow(
        organisation,
        topology.model,
        topology.engine_pool,
        workers=workers,
        mean=MEAN_TOKENS,
        router=router,
    )


def contended(topology: Topology, routers: int) -> list[Flow]:
    """Return a light load of all with three backlogged organisations.

    Two have large shares and one a small one; each has more callers than the pool has
    slots.
    """
    workers = topology.slots(topology.engine_pool)
    first, second, *_, small, _ = topology.organisations
    return [
        *everyday(topology, routers, LIGHT_PART),
        backlog(topology, first, 2 * workers),
        backlog(topology, second, 2 * workers),
        backlog(topology, small, 2 * workers),
    ]
