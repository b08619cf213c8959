"""Tests of the replica, compared with a reference dictionary."""

import zlib
from functools import partial
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.catalog import bucket as bucket_module
from borageworks.catalog.bucket import Bucket
from borageworks.catalog.bucket_hash import BUCKET_COUNT, bucket_of
from borageworks.catalog.replica import Replica
from borageworks.catalog.replica_digest import ReplicaDigest
from borageworks.catalog.tests.builders import (
    endpoint,
    key_hash,
    organisation,
    pool,
    service,
)
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.exceptions import MessageMalformedError, StoreReplyMalformedError

NAMES = st.sampled_from([f"n{index}" for index in range(8)])
NUMBERS = st.integers(1, 9)


def state_from_ticket(name, kind, number):
    """Return the state that ticket `number` always gives to the object."""
    values: dict[str, Any] = {
        "organisation": organisation(name, number, number + 1, share=number),
        "pool": pool(name),
        "service": service(name, f"n{number % 3}"),
        "endpoint": endpoint(name, f"n{number % 3}", number),
    }
    value = None if number % 4 == 0 else values[kind]
    return VersionedObject(kind, name, number, value)


OBJECTS = st.builds(
    state_from_ticket,
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
            matches = [
                (item.ticket, item.id, item.value)
                for item in live
                if key_hash(number) in getattr(item.value, "keys", ())
            ]
            expected = max(matches, key=lambda h: h[:2])[2] if matches else None
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
        for index in range(BUCKET_COUNT):
            self.assertEqual(
                {k: i for k, i in reference.items() if bucket_of(*k) == index},
                {item.key: item for item in replica.bucket(index)},
            )

    def test_differing_buckets_are_exact(self):
        """Guards against pulling all buckets for one change, or none."""
        one, other = Replica(), Replica()
        one.merge(
            [state_from_ticket("n1", "pool", 1), state_from_ticket("n2", "pool", 1)]
        )
        other.merge(
            [state_from_ticket("n1", "pool", 1), state_from_ticket("n2", "pool", 2)]
        )
        self.assertEqual(
            [bucket_of("pool", "n2")], one.differing_buckets(other.digest())
        )
        self.assertEqual([], one.differing_buckets(ReplicaDigest(0, ())))

    def test_revision_never_decreases(self):
        """Guards against a complete replica that reports an older revision."""
        replica = Replica()
        replica.advance_revision(7)
        replica.advance_revision(3)
        self.assertEqual((7, 0), replica.version())


class VersionedTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(OBJECTS, max_size=5))
    def test_round_trip(self, objects):
        """Guards against encodings that alter an object."""
        bucket = Bucket(7, tuple(objects), 9)
        self.assertEqual(bucket, Bucket.decode(bucket.encode(), 9))
        replica = Replica()
        replica.merge(objects[1:])
        self.assertEqual(bucket, Bucket.decode(bucket.encode(), 9, replica.get))
        for item in objects:
            self.assertEqual(item, VersionedObject.decode(item.encode()))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.binary(max_size=60)
        | st.builds(
            lambda data, at, byte: data[:at] + byte + data[at + 1 :],
            OBJECTS.map(VersionedObject.encode)
            | OBJECTS.map(lambda item: Bucket(1, (item,)).encode())
            | OBJECTS.map(lambda item: zlib.decompress(Bucket(1, (item,)).encode())),
            st.integers(0, 150),
            st.binary(max_size=2),
        ),
        st.booleans(),
    )
    def test_generated_bytes_give_only_typed_errors(self, data, compressed):
        """Guards against malformed messages or stored values that stop the process."""
        if compressed:
            data = zlib.compress(data)
        expected: dict[Any, type[Exception]] = {
            VersionedObject.decode: MessageMalformedError,
            partial(Bucket.decode, mod_revision=1): StoreReplyMalformedError,
            partial(
                Bucket.decode, mod_revision=1, lookup=Replica().get
            ): StoreReplyMalformedError,
        }
        for decode, kind in expected.items():
            try:
                decode(data)
            except kind as error:
                self.assertIn(" bytes: ", str(error))

    def test_values_with_excessive_decompressed_size_are_rejected(self):
        """Guards against a small stored value that decompresses to fill memory."""
        self.patch(bucket_module, "DOCUMENT_LIMIT_BYTES", 1000)
        data = zlib.compress(b" " * 100_000)
        error = self.assertRaises(StoreReplyMalformedError, Bucket.decode, data, 1)
        self.assertIn("over 1000 bytes", str(error))
