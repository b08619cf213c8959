"""Which instance owns which endpoint; derived, never stored."""

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
        Instance by endpoint; endpoints without a reachable owner are absent.
    pools
        Endpoints by pool, of all that have an owner and take new work.
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
        """Return each pool's owners in the order in which an entry tells them.

        The instance itself comes first, since it costs no message, then owners in its
        domain, then the others. Among equals each instance has an order of its own, so
        that entry instances do not all start at the same owner.
        """
        result = {}
        for pool, endpoints in self.pools.items():
            near = {self.owners[e.id] for e in endpoints if e.domain == domain}
            far = {self.owners[e.id] for e in endpoints} - near
            key = f"{instance}/{pool}"
            order = ranked(key, near) + ranked(key, far)
            order.sort(key=lambda owner: owner != instance)
            result[pool] = order
        return result


def derive(
    endpoints: Iterable[Endpoint], domains: Mapping[str, Iterable[str]]
) -> Ownership:
    """Return the ownership for the live, reachable members by domain.

    An endpoint belongs to a member of its own domain; if that domain has no live member
    but is reachable, to any live member, so that its capacity does not idle.
    """
    members = {domain: sorted(names) for domain, names in domains.items()}
    everyone = sorted(name for names in members.values() for name in names)
    owners: dict[str, str] = {}
    pools: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        if endpoint.state is EndpointState.LEAVING:
            continue
        candidates = members.get(endpoint.domain) or everyone
        owner = rendezvous(endpoint.id, candidates)
        if owner is not None:
            owners[endpoint.id] = owner
            pools.setdefault(endpoint.pool, []).append(endpoint)
    return Ownership(owners, {pool: tuple(found) for pool, found in pools.items()})
