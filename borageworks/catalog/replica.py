"""Copy of the fleet configuration that each instance holds; pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from borageworks.catalog.buckets import BUCKETS, bucket_of, version_hash
from borageworks.catalog.digest import Digest
from borageworks.catalog.objects import Endpoint, Organisation, Pool, Service
from borageworks.catalog.versioned import Versioned

ObjectKey = tuple[str, str]


class Replica:
    """Versioned register per object, where the higher ticket number wins.

    Merging is commutative, associative and idempotent, so any order, repetition or loss
    of messages followed by one full exchange gives equal replicas. Deleted objects are
    kept as tombstones, so a late copy of a deleted object does not bring it back.
    """

    def __init__(self) -> None:
        self._buckets: list[dict[ObjectKey, Versioned]] = [{} for _ in range(BUCKETS)]
        self._hashes = [0] * BUCKETS
        self._total = 0
        self._revision = 0
        self._organisations: dict[str, Organisation] = {}
        self._services: dict[str, Service] = {}
        self._pools: dict[str, Pool] = {}
        self._endpoints: dict[str, Endpoint] = {}
        # A key moves between organisations in one ticket, but the two objects can
        # arrive separately; until both are here the key has two holders.
        self._key_holders: dict[str, tuple[str, ...]] = {}
        self._by_pool: dict[str, dict[str, Endpoint]] = {}

    @property
    def revision(self) -> int:
        """Store revision up to which this replica is complete, 0 if unknown."""
        return self._revision

    @property
    def organisations(self) -> Mapping[str, Organisation]:
        """Organisations by id."""
        return self._organisations

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by id."""
        return self._services

    @property
    def pools(self) -> Mapping[str, Pool]:
        """Pools by id."""
        return self._pools

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Endpoints by id."""
        return self._endpoints

    def get(self, kind: str, object_id: str) -> Versioned | None:
        """Return the state of one object or its tombstone, None if never seen."""
        return self._buckets[bucket_of(kind, object_id)].get((kind, object_id))

    def organisation_by_key(self, key_hash: str) -> Organisation | None:
        """Return the organisation that an API key belongs to.

        While two organisations hold the key, the one with the newer ticket has it.
        """
        holders = self._key_holders.get(key_hash)
        if holders is None:
            return None
        if len(holders) == 1:
            return self._organisations[holders[0]]
        return self._organisations[max(holders, key=self._organisation_order)]

    def endpoints_of(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool."""
        return tuple(self._by_pool.get(pool, {}).values())

    def bucket(self, index: int) -> list[Versioned]:
        """Return the objects and tombstones of one bucket."""
        return list(self._buckets[index].values())

    def version(self) -> tuple[int, int]:
        """Return the complete revision and one 64-bit hash of all content."""
        return self._revision, self._total

    def digest(self) -> Digest:
        """Return the complete revision and one hash per bucket."""
        return Digest(self._revision, tuple(self._hashes))

    def missing(self, other: Digest) -> list[int]:
        """Return the buckets whose content differs from the other replica's."""
        return [
            index
            for index, (mine, theirs) in enumerate(
                zip(self._hashes, other.hashes, strict=False)
            )
            if mine != theirs
        ]

    def note_revision(self, revision: int) -> None:
        """Record that this replica holds everything up to a store revision."""
        self._revision = max(self._revision, revision)

    def merge(self, objects: Iterable[Versioned]) -> list[Versioned]:
        """Take over each state with a higher ticket number; return those."""
        changed = []
        for item in objects:
            index = bucket_of(item.kind, item.id)
            bucket = self._buckets[index]
            old = bucket.get(item.key)
            if old is not None and old.ticket >= item.ticket:
                continue
            change = version_hash(item.kind, item.id, item.ticket)
            if old is not None:
                change ^= version_hash(old.kind, old.id, old.ticket)
                self._remove(old)
            bucket[item.key] = item
            self._hashes[index] ^= change
            self._total ^= change
            self._add(item)
            changed.append(item)
        return changed

    def _organisation_order(self, organisation: str) -> tuple[int, str]:
        state = self.get("organisation", organisation)
        return (0 if state is None else state.ticket), organisation

    def _add(self, item: Versioned) -> None:
        match item.value:
            case Organisation() as organisation:
                self._organisations[organisation.id] = organisation
                for key in set(organisation.keys):
                    holders = self._key_holders.get(key, ())
                    self._key_holders[key] = (*holders, organisation.id)
            case Service() as service:
                self._services[service.id] = service
            case Pool() as pool:
                self._pools[pool.id] = pool
            case Endpoint() as endpoint:
                self._endpoints[endpoint.id] = endpoint
                self._by_pool.setdefault(endpoint.pool, {})[endpoint.id] = endpoint
            case None:
                pass

    def _remove(self, item: Versioned) -> None:
        match item.value:
            case Organisation() as organisation:
                del self._organisations[organisation.id]
                for key in set(organisation.keys):
                    holders = tuple(
                        holder
                        for holder in self._key_holders[key]
                        if holder != organisation.id
                    )
                    if holders:
                        self._key_holders[key] = holders
                    else:
                        del self._key_holders[key]
            case Service() as service:
                del self._services[service.id]
            case Pool() as pool:
                del self._pools[pool.id]
            case Endpoint() as endpoint:
                del self._endpoints[endpoint.id]
                pool_endpoints = self._by_pool[endpoint.pool]
                del pool_endpoints[endpoint.id]
                if not pool_endpoints:
                    del self._by_pool[endpoint.pool]
            case None:
                pass
