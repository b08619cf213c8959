"""Table of the grants that an owner has issued."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

import xxhash

COUNTER_BITS = 32


@dataclass(slots=True)
class IssuedGrant:
    """A slot that an owner granted to an entry instance.

    Parameters
    ----------
    grant_id
        Unique across owners.
    entry
        Entry instance that uses the slot.
    endpoint, pool
        Endpoint of the slot and its pool.
    organisation
        Organisation that is charged; empty while a standing slot is retained.
    charged_units
        Service units charged so far, initially an estimate.
    received_units
        Service units reported by the entry instance.
    counted_units
        Service units added to this owner's service counters; units counted by a former
        owner are not counted again.
    isolated
        Whether the request runs in isolation.
    standing
        Whether the entry instance may retain the slot until it is recalled.
    """

    grant_id: int
    entry: str
    endpoint: str
    pool: str
    organisation: str
    charged_units: float
    received_units: float = 0.0
    counted_units: float = 0.0
    isolated: bool = False
    standing: bool = False


class GrantTable:
    """Issued grants by id.

    Ids are prefixed with a hash of the owner's instance and incarnation, so that a new
    owner can take over the grants of another without changing their ids.
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        prefix = xxhash.xxh32_intdigest(f"{instance}\0{incarnation}".encode())
        self._prefix = prefix << COUNTER_BITS
        self._counter = itertools.count(1)
        self._grants: dict[int, IssuedGrant] = {}
        self._standing: dict[int, IssuedGrant] = {}

    def __len__(self) -> int:
        """Return the number of grants in use."""
        return len(self._grants)

    def new_id(self) -> int:
        """Return an unused grant id."""
        return self._prefix | (next(self._counter) & ((1 << COUNTER_BITS) - 1))

    def add(self, grant: IssuedGrant) -> None:
        """Record a grant."""
        self._grants[grant.grant_id] = grant
        if grant.standing:
            self._standing[grant.grant_id] = grant

    def get(self, grant_id: int) -> IssuedGrant | None:
        """Return a grant, or None if the id is unknown."""
        return self._grants.get(grant_id)

    def pop(self, grant_id: int) -> IssuedGrant | None:
        """Remove and return a grant, or None if the id is unknown."""
        self._standing.pop(grant_id, None)
        return self._grants.pop(grant_id, None)

    def revoke_standing(self, pool: str, endpoint: str) -> list[IssuedGrant]:
        """Make standing grants ordinary and return them.

        An empty `endpoint` selects all endpoints of the pool.
        """
        if not self._standing:
            return []
        revoked = [
            grant
            for grant in self._standing.values()
            if grant.pool == pool and endpoint in ("", grant.endpoint)
        ]
        for grant in revoked:
            grant.standing = False
            del self._standing[grant.grant_id]
        return revoked

    def at_endpoint(self, endpoint: str) -> list[IssuedGrant]:
        """Return the grants for an endpoint."""
        return [grant for grant in self._grants.values() if grant.endpoint == endpoint]

    def of_entry(self, entry: str) -> list[IssuedGrant]:
        """Return the grants issued to an entry instance."""
        return [grant for grant in self._grants.values() if grant.entry == entry]
