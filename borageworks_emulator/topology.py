"""Emulated deployments: failure domains, endpoints, services and organisations."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from borageworks.catalog.objects import (
    Endpoint,
    EndpointState,
    Organisation,
    Pool,
    PoolKind,
    Service,
    Ticket,
)
from borageworks_emulator.engine import EmulatedEngine, EngineProfile
from borageworks_emulator.load import api_key
from borageworks_emulator.service import EmulatedService, ServiceProfile

AnyEndpoint = EmulatedEngine | EmulatedService


@dataclass(frozen=True, slots=True)
class Topology:
    """One emulated deployment.

    Parameters
    ----------
    shares
        Share by organisation.
    model, engine_pool
        The service that all engines run, and its pool.
    non_idempotent_service, idempotent_service, service_pool
        A non-idempotent and an idempotent plain service, and their pool.
    """

    name: str
    domains: tuple[str, ...]
    engines: int
    services: int
    shares: dict[str, float]
    model: str
    non_idempotent_service: str
    idempotent_service: str
    engine_pool: str = "models"
    service_pool: str = "desks"
    engine_profile: EngineProfile = field(default_factory=EngineProfile)
    service_profile: ServiceProfile = field(default_factory=ServiceProfile)

    @property
    def organisations(self) -> list[str]:
        """Ids of the organisations in descending order of share."""
        return sorted(self.shares, key=lambda name: (-self.shares[name], name))

    @property
    def smallest_organisation(self) -> str:
        """An organisation with the smallest share."""
        return self.organisations[-1]

    @property
    def service_pools(self) -> dict[str, str]:
        """Pool by service id."""
        return {
            self.model: self.engine_pool,
            self.non_idempotent_service: self.service_pool,
            self.idempotent_service: self.service_pool,
        }

    def slots(self, pool: str) -> int:
        """Sum of the windows of a pool."""
        if pool == self.engine_pool:
            return self.engines * self.engine_profile.best_batch
        return self.services * self.service_profile.capacity

    def capacity(self, pool: str) -> float:
        """Service units per second of a pool."""
        if pool == self.engine_pool:
            return self.engines * self.engine_profile.capacity
        return float(self.slots(pool))

    def endpoints(self) -> list[AnyEndpoint]:
        """Return new endpoints, not yet started."""
        engines = [
            EmulatedEngine(f"engine-{i}", self.engine_pool, self.engine_profile)
            for i in range(self.engines)
        ]
        services = [
            EmulatedService(f"desk-{i}", self.service_pool, self.service_profile)
            for i in range(self.services)
        ]
        return [*engines, *services]

    def domain_of(self, index: int) -> str:
        """Failure domain of the router, engine or service with the given index."""
        return self.domains[index % len(self.domains)]

    def endpoint_object(
        self,
        endpoint: AnyEndpoint,
        state: EndpointState = EndpointState.ACTIVE,
    ) -> Endpoint:
        """Return the configuration object of a started endpoint."""
        index = int(endpoint.recording.endpoint.rsplit("-", 1)[1])
        if isinstance(endpoint, EmulatedEngine):
            initial_window = endpoint.profile.best_batch
            max_window = 4 * initial_window
        else:
            initial_window = max_window = endpoint.profile.capacity
        return Endpoint.model_validate(
            {
                "id": endpoint.recording.endpoint,
                "pool": endpoint.recording.pool,
                "domain": self.domain_of(index),
                "host": endpoint.host,
                "port": endpoint.port,
                "state": state,
                "window_initial": initial_window,
                "window_max": max_window,
            }
        )

    def ticket(self, endpoints: list[AnyEndpoint], number: int = 1) -> Ticket:
        """Return the ticket that creates all objects; endpoints must be started."""
        organisations = [
            Organisation(
                id=name,
                share=share,
                keys=(hashlib.sha256(api_key(name).encode()).hexdigest(),),
            )
            for name, share in self.shares.items()
        ]
        pools = [
            Pool(id=self.engine_pool, endpoints=PoolKind.ENGINE),
            Pool(id=self.service_pool, endpoints=PoolKind.PLAIN),
        ]
        services = [
            Service(id=self.model, pool=self.engine_pool),
            Service(
                id=self.non_idempotent_service, pool=self.service_pool, idempotent=False
            ),
            Service(id=self.idempotent_service, pool=self.service_pool),
        ]
        endpoint_objects = [self.endpoint_object(endpoint) for endpoint in endpoints]
        return Ticket(
            number=number, put=(*pools, *services, *organisations, *endpoint_objects)
        )


def _organisation_shares(large_shares: tuple[float, ...]) -> dict[str, float]:
    shares = {f"org-{i}": 1.0 for i in range(16)}
    shares.update({f"org-{i}": share for i, share in enumerate(large_shares)})
    return shares


PATITSA = Topology(
    name="patitsa",
    domains=("plovdiv-a", "plovdiv-b", "plovdiv-c"),
    engines=5,
    services=3,
    shares=_organisation_shares((8.0, 6.0, 4.0)),
    model="quotes",
    non_idempotent_service="orders",
    idempotent_service="status",
)
SLAAPCEL = Topology(
    name="slaapcel",
    domains=("nl-west-a", "nl-west-b", "nl-west-c"),
    engines=9,
    services=3,
    shares=_organisation_shares((6.0, 4.0)),
    model="briefings",
    non_idempotent_service="signoff",
    idempotent_service="records",
)
TOPOLOGIES = {topology.name: topology for topology in (PATITSA, SLAAPCEL)}
