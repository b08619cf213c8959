"""Ownership of endpoints, derived from the live members and never stored."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from borageworks.catalog.objects import Endpoint, EndpointState
from borageworks.routing.rendezvous import ranked, rendezvous


@dataclass(frozen=True, slots=True)
class Ownership:
    """Owner of each endpoint, by endpoint id.

    Parameters
    ----------
    owners
        Owner by endpoint id; an endpoint without a reachable owner is absent.
    pools
        Endpoints with an owner that accept new work, by pool.
    """

    owners: Mapping[str, str]
    pools: Mapping[str, tuple[Endpoint, ...]]

    def owned_by(self, instance: str) -> dict[str, Endpoint]:
        """Return the endpoints that an instance owns, by id."""
        return {
            endpoint.id: endpoint
            for endpoints in self.pools.values()
            for endpoint in endpoints
            if self.owners[endpoint.id] == instance
        }

    def owners_for(self, instance: str, domain: str) -> dict[str, list[str]]:
        """Return each pool's owners in the order in which an entry sends them demand.

        The instance itself comes first, since it needs no network message, then owners
        in its domain, then the others. Within each group the order differs between
        instances, so that entry instances do not all start at the same owner.
        """
        result = {}
        for pool, endpoints in self.pools.items():
            local = {
                self.owners[endpoint.id]
                for endpoint in endpoints
                if endpoint.domain == domain
            }
            remote = {self.owners[endpoint.id] for endpoint in endpoints} - local
            key = f"{instance}/{pool}"
            order = ranked(key, local) + ranked(key, remote)
            order.sort(key=lambda owner: owner != instance)
            result[pool] = order
        return result


def derive_ownership(
    endpoints: Iterable[Endpoint], domains: Mapping[str, Iterable[str]]
) -> Ownership:
    """Return the ownership for the live, reachable members by domain.

    An endpoint is owned by a member of its own domain. If a reachable domain has no
    live member, any live member may own its endpoints, so that their capacity is used.
    """
    members = {domain: sorted(names) for domain, names in domains.items()}
    all_members = sorted(name for names in members.values() for name in names)
    owners: dict[str, str] = {}
    pools: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        if endpoint.state is EndpointState.LEAVING:
            continue
        candidates = members.get(endpoint.domain) or all_members
        owner = rendezvous(endpoint.id, candidates)
        if owner is not None:
            owners[endpoint.id] = owner
            pools.setdefault(endpoint.pool, []).append(endpoint)
    return Ownership(
        owners, {pool: tuple(pool_endpoints) for pool, pool_endpoints in pools.items()}
    )
