"""Tests of the replica, against a naive reference dictionary."""

from functools import partial
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.catalog.bucket import Bucket
from borageworks.catalog.buckets import BUCKETS, bucket_of
from borageworks.catalog.digest import Digest
from borageworks.catalog.replica import Replica
from borageworks.catalog.tests.builders import (
    endpoint,
    key_hash,
    organisation,
    pool,
    service,
)
from borageworks.catalog.versioned import Versioned
from borageworks.exceptions import MessageMalformedError, StoreReplyMalformedError

NAMES = st.sampled_from([f"n{index}" for index in range(8)])
NUMBERS = st.integers(1, 9)


def deterministic(name, kind, number):
    """Return the one state that ticket `number` gives to the object."""
    values: dict[str, Any] = {
        "organisation": organisation(name, number, number + 1, share=number),
        "pool": pool(name),
        "service": service(name, f"n{number % 3}"),
        "endpoint": endpoint(name, f"n{number % 3}", number),
    }
    value = None if number % 4 == 0 else values[kind]
    return Versioned(kind, name, number, value)


OBJECTS = st.builds(
    deterministic,
    NAMES,
    st.sampled_from(["organisation", "pool", "service", "endpoint"]),
    NUMBERS,
)


class ReplicaTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.lists(OBJECTS, max_size=6), max_size=8))
    def test_agrees_with_a_dictionary(self, batches):
        """Guards against an index, hash or version that differs from the objects."""
        replica = Replica()
        reference: dict[tuple[str, str], Any] = {}
        for batch in batches:
            newer = []
            for item in batch:
                if (
                    item.key not in reference
                    or reference[item.key].ticket < item.ticket
                ):
                    reference[item.key] = item
                    newer.append(item)
            self.assertEqual(newer, replica.merge(batch))
        live = [item for item in reference.values() if item.value is not None]
        for kind in ("organisation", "service", "pool", "endpoint"):
            index = getattr(replica, f"{kind}s")
            self.assertEqual({i.id: i.value for i in live if i.kind == kind}, index)
        for number in range(1, 12):
            holders = [
                (item.ticket, item.id, item.value)
                for item in live
                if key_hash(number) in getattr(item.value, "keys", ())
            ]
            expected = max(holders, key=lambda h: h[:2])[2] if holders else None
            found = replica.organisation_by_key(key_hash(number))
            self.assertEqual(expected, found)
        for name in ("n0", "n1", "n2"):
            in_pool = {
                i.id for i in live if i.kind == "endpoint" and i.value.pool == name
            }
            self.assertEqual(in_pool, {e.id for e in replica.endpoints_of(name)})
        fresh = Replica()
        fresh.merge(sorted(reference.values(), key=lambda item: item.key))
        self.assertEqual(fresh.digest(), replica.digest())
        self.assertEqual(fresh.version(), replica.version())
        for index in range(BUCKETS):
            self.assertEqual(
                {k: i for k, i in reference.items() if bucket_of(*k) == index},
                {item.key: item for item in replica.bucket(index)},
            )

    def test_missing_names_only_differing_buckets(self):
        """Guards against pulling everything for one change, or nothing at all."""
        one, other = Replica(), Replica()
        one.merge([deterministic("n1", "pool", 1), deterministic("n2", "pool", 1)])
        other.merge([deterministic("n1", "pool", 1), deterministic("n2", "pool", 2)])
        self.assertEqual([bucket_of("pool", "n2")], one.missing(other.digest()))
        self.assertEqual([], one.missing(Digest(0, ())))

    def test_revision_never_falls(self):
        """Guards against a complete replica that reports an older revision."""
        replica = Replica()
        replica.note_revision(7)
        replica.note_revision(3)
        self.assertEqual((7, 0), replica.version())


class VersionedTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(OBJECTS, max_size=5))
    def test_round_trip(self, objects):
        """Guards against an object that changes on its way to another instance."""
        bucket = Bucket(7, tuple(objects), 9)
        self.assertEqual(bucket, Bucket.decode(bucket.encode(), 9))
        replica = Replica()
        replica.merge(objects[1:])
        self.assertEqual(bucket, Bucket.decode(bucket.encode(), 9, replica.get))
        for item in objects:
            self.assertEqual(item, Versioned.decode(item.encode()))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.binary(max_size=60)
        | st.builds(
            lambda data, at, byte: data[:at] + byte + data[at + 1 :],
            OBJECTS.map(Versioned.encode)
            | OBJECTS.map(lambda item: Bucket(1, (item,)).encode()),
            st.integers(0, 150),
            st.binary(max_size=2),
        )
    )
    def test_generated_bytes_give_only_typed_errors(self, data):
        """Guards against a peer or a damaged value that stops the process."""
        expected: dict[Any, type[Exception]] = {
            Versioned.decode: MessageMalformedError,
            partial(Bucket.decode, mod_revision=1): StoreReplyMalformedError,
            partial(
                Bucket.decode, mod_revision=1, known=Replica().get
            ): StoreReplyMalformedError,
        }
        for decode, kind in expected.items():
            try:
                decode(data)
            except kind as error:
                self.assertIn(f"{len(data)} bytes", str(error))
