"""Copy of the fleet configuration that each instance has; performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from borageworks.catalog.bucket_hash import BUCKET_COUNT, bucket_of, version_hash
from borageworks.catalog.objects import Endpoint, Organisation, Pool, Service
from borageworks.catalog.replica_digest import ReplicaDigest
from borageworks.catalog.versioned_object import VersionedObject

ObjectKey = tuple[str, str]


class Replica:
    """One last-writer-wins register per object, ordered by ticket number.

    Merging is commutative, associative and idempotent, so one full exchange makes
    replicas equal, whichever messages were reordered, repeated or lost before it.
    Deleted objects are kept as tombstones, so a delayed copy of a deleted object does
    not restore it.
    """

    def __init__(self) -> None:
        self._buckets: list[dict[ObjectKey, VersionedObject]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._hashes = [0] * BUCKET_COUNT
        self._content_hash = 0
        self._revision = 0
        self._organisations: dict[str, Organisation] = {}
        self._services: dict[str, Service] = {}
        self._pools: dict[str, Pool] = {}
        self._endpoints: dict[str, Endpoint] = {}
        # A ticket can move a key between organisations, but the two objects can arrive
        # separately. Until both have arrived, the key belongs to two organisations.
        self._organisations_by_key: dict[str, tuple[str, ...]] = {}
        self._endpoints_by_pool: dict[str, dict[str, Endpoint]] = {}

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

    def get(self, kind: str, object_id: str) -> VersionedObject | None:
        """Return the state of one object or its tombstone, None if never seen."""
        return self._buckets[bucket_of(kind, object_id)].get((kind, object_id))

    def organisation_by_key(self, key_hash: str) -> Organisation | None:
        """Return the organisation that an API key belongs to.

        If two organisations have the key, the one with the newer ticket is returned.
        """
        organisation_ids = self._organisations_by_key.get(key_hash)
        if organisation_ids is None:
            return None
        if len(organisation_ids) == 1:
            return self._organisations[organisation_ids[0]]
        return self._organisations[max(organisation_ids, key=self._ticket_order)]

    def endpoints_of(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool."""
        return tuple(self._endpoints_by_pool.get(pool, {}).values())

    def bucket(self, index: int) -> list[VersionedObject]:
        """Return the objects and tombstones of one bucket."""
        return list(self._buckets[index].values())

    def version(self) -> tuple[int, int]:
        """Return the revision and one 64-bit hash of all content."""
        return self._revision, self._content_hash

    def digest(self) -> ReplicaDigest:
        """Return the revision and one hash per bucket."""
        return ReplicaDigest(self._revision, tuple(self._hashes))

    def differing_buckets(self, other: ReplicaDigest) -> list[int]:
        """Return the indexes of the buckets that differ from another replica's."""
        return [
            index
            for index, (own_hash, other_hash) in enumerate(
                zip(self._hashes, other.hashes, strict=False)
            )
            if own_hash != other_hash
        ]

    def advance_revision(self, revision: int) -> None:
        """Record that this replica is complete up to a store revision."""
        self._revision = max(self._revision, revision)

    def merge(self, objects: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Apply each state with a higher ticket number; return the applied states."""
        changed = []
        for item in objects:
            index = bucket_of(item.kind, item.id)
            bucket = self._buckets[index]
            old = bucket.get(item.key)
            if old is not None and old.ticket >= item.ticket:
                continue
            hash_delta = version_hash(item.kind, item.id, item.ticket)
            if old is not None:
                hash_delta ^= version_hash(old.kind, old.id, old.ticket)
                self._remove(old)
            bucket[item.key] = item
            self._hashes[index] ^= hash_delta
            self._content_hash ^= hash_delta
            self._add(item)
            changed.append(item)
        return changed

    def _ticket_order(self, organisation: str) -> tuple[int, str]:
        state = self.get("organisation", organisation)
        return (0 if state is None else state.ticket), organisation

    def _add(self, item: VersionedObject) -> None:
        match item.value:
            case Organisation() as organisation:
                self._organisations[organisation.id] = organisation
                for key in set(organisation.keys):
                    organisation_ids = self._organisations_by_key.get(key, ())
                    self._organisations_by_key[key] = (
                        *organisation_ids,
                        organisation.id,
                    )
            case Service() as service:
                self._services[service.id] = service
            case Pool() as pool:
                self._pools[pool.id] = pool
            case Endpoint() as endpoint:
                self._endpoints[endpoint.id] = endpoint
                self._endpoints_by_pool.setdefault(endpoint.pool, {})[endpoint.id] = (
                    endpoint
                )
            case None:
                pass

    def _remove(self, item: VersionedObject) -> None:
        match item.value:
            case Organisation() as organisation:
                del self._organisations[organisation.id]
                for key in set(organisation.keys):
                    organisation_ids = tuple(
                        organisation_id
                        for organisation_id in self._organisations_by_key[key]
                        if organisation_id != organisation.id
                    )
                    if organisation_ids:
                        self._organisations_by_key[key] = organisation_ids
                    else:
                        del self._organisations_by_key[key]
            case Service() as service:
                del self._services[service.id]
            case Pool() as pool:
                del self._pools[pool.id]
            case Endpoint() as endpoint:
                del self._endpoints[endpoint.id]
                pool_endpoints = self._endpoints_by_pool[endpoint.pool]
                del pool_endpoints[endpoint.id]
                if not pool_endpoints:
                    del self._endpoints_by_pool[endpoint.pool]
            case None:
                pass
