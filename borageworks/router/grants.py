"""Table of the grants that an owner has given out."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

import xxhash

COUNTER_BITS = 32


@dataclass(slots=True)
class GivenGrant:
    """One slot in use.

    Parameters
    ----------
    grant_id
        Unique over owners.
    entry
        Instance that runs the request.
    endpoint, pool, organisation
        What was granted to whom.
    charged
        Service units charged so far, at first an estimate.
    received
        Service units that the entry has reported.
    counted
        Service units that this owner has added to its service counters; what a former
        owner counted is not counted again.
    alone
        Whether the request runs with no other beside it.
    standing
        Whether the entry may keep the slot until it is recalled.
    """

    grant_id: int
    entry: str
    endpoint: str
    pool: str
    organisation: str
    charged: float
    received: float = 0.0
    counted: float = 0.0
    alone: bool = False
    standing: bool = False


class GrantTable:
    """Grants by id.

    Ids start with a hash of the owner's instance and incarnation, so that a new owner
    can take over another's grants under their own ids.
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        prefix = xxhash.xxh32_intdigest(f"{instance}\0{incarnation}".encode())
        self._prefix = prefix << COUNTER_BITS
        self._counter = itertools.count(1)
        self._grants: dict[int, GivenGrant] = {}
        self._standing: dict[int, GivenGrant] = {}

    def __len__(self) -> int:
        """Return the number of grants in use."""
        return len(self._grants)

    def new_id(self) -> int:
        """Return an unused grant id."""
        return self._prefix | (next(self._counter) & ((1 << COUNTER_BITS) - 1))

    def add(self, grant: GivenGrant) -> None:
        """Record a grant."""
        self._grants[grant.grant_id] = grant
        if grant.standing:
            self._standing[grant.grant_id] = grant

    def get(self, grant_id: int) -> GivenGrant | None:
        """Return a grant, None if it is not known."""
        return self._grants.get(grant_id)

    def pop(self, grant_id: int) -> GivenGrant | None:
        """Remove and return a grant, None if it is not known."""
        self._standing.pop(grant_id, None)
        return self._grants.pop(grant_id, None)

    def take_standing(self, pool: str, endpoint: str) -> list[GivenGrant]:
        """Return the grants whose slots may be kept, which then no longer may.

        An empty `endpoint` stands for all of the pool.
        """
        if not self._standing:
            return []
        taken = [
            grant
            for grant in self._standing.values()
            if grant.pool == pool and endpoint in ("", grant.endpoint)
        ]
        for grant in taken:
            grant.standing = False
            del self._standing[grant.grant_id]
        return taken

    def at_endpoint(self, endpoint: str) -> list[GivenGrant]:
        """Return the grants of an endpoint's slots."""
        return [grant for grant in self._grants.values() if grant.endpoint == endpoint]

    def of_entry(self, entry: str) -> list[GivenGrant]:
        """Return the grants that an entry instance uses."""
        return [grant for grant in self._grants.values() if grant.entry == entry]
