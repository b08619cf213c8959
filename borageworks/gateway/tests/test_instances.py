"""Tests of the registration of an instance."""

import asyncio
from unittest import mock

import orjson
from testtools import TestCase

from borageworks.exceptions import StoreLeaseExpiredError, StoreUnavailableError
from borageworks.gateway.instances import (
    LEASE_S,
    RENEWAL_INTERVAL_S,
    RESTORE_GRACE_S,
    Instances,
)
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics
from borageworks.store.values import CommitResult, Lease, StoredValue

OUTAGE_S = 30.0


class SimulatedStore:
    """Store that refuses all calls during an outage, in simulated time."""

    def __init__(self, outage_from, outage_until):
        self.now = 0.0
        self.calls = []
        self.registered_at = []
        self._outage = outage_from, outage_until

    def _call(self, name):
        self.calls.append((self.now, name))
        if self._outage[0] <= self.now < self._outage[1]:
            raise StoreUnavailableError("refused")

    async def grant_lease(self, ttl_s):
        self._call("grant")
        return Lease(len(self.calls), ttl_s)

    async def commit(self, transaction):
        self._call("remove" if transaction.deletes else "commit")
        self.registered_at.append(self.now)
        return CommitResult(True, 1)

    async def keep_alive(self, _lease):
        self._call("keep")
        if self.now - self.registered_at[-1] > LEASE_S + OUTAGE_S / 2:
            raise StoreLeaseExpiredError("expired")

    async def sleep(self, seconds):
        self.now += seconds
        if self.now > OUTAGE_S + 20.0:
            raise asyncio.CancelledError


class RegistrationTest(TestCase):
    def run_outage(self, outage_from, outage_until):
        store = SimulatedStore(outage_from, outage_until)
        registered = Instances(GATEWAY, 1, "p/", store, Metrics())  # type: ignore[arg-type]

        async def main():
            with mock.patch("asyncio.sleep", store.sleep):
                await registered.register()

        self.assertRaises(asyncio.CancelledError, asyncio.run, main())
        return store

    def test_long_outage_of_the_store_for_many_instances(self):
        """Guards against calls that all instances repeat at a constant rate."""
        store = self.run_outage(5.0, 5.0 + OUTAGE_S)
        calls = [at for at, _ in store.calls if 5.0 <= at < 5.0 + OUTAGE_S]
        self.assertTrue(len(calls) <= 12, calls)
        renewed = min(at for at, _ in store.calls if at >= 5.0 + OUTAGE_S)
        self.assertTrue(renewed <= 5.0 + OUTAGE_S + 4.0, renewed)

    def test_short_outage_does_not_cost_the_lease(self):
        """Guards against a backoff that lets the lease expire after the outage."""
        store = self.run_outage(5.0, 10.0)
        first_after = min(at for at, _ in store.calls if at >= 10.0)
        last_before = max(at for at, name in store.calls if at < 5.0)
        self.assertTrue(first_after - last_before < LEASE_S, store.calls[:12])

    def test_instance_that_leaves_does_not_register_again(self):
        """Guards against an instance that is listed anew while it stops."""
        store = SimulatedStore(0.0, 0.0)
        registered = Instances(GATEWAY, 1, "p/", store, Metrics())  # type: ignore[arg-type]

        async def sleep(seconds):
            await store.sleep(seconds)
            if store.now >= RENEWAL_INTERVAL_S / 2 and not registered._leaving:
                await registered.leave()

        async def main():
            with mock.patch("asyncio.sleep", sleep):
                await registered.register()

        asyncio.run(main())
        self.assertEqual(
            ["grant", "commit", "remove"], [name for _, name in store.calls]
        )

    def test_instance_registers_again_after_a_restore(self):
        """Guards against renewing a lease whose id may be that of another instance."""
        store = SimulatedStore(0.0, 0.0)
        registered = Instances(GATEWAY, 1, "p/", store, Metrics())  # type: ignore[arg-type]
        restored = ReplicaChange(restored=True)

        async def sleep(seconds):
            await store.sleep(seconds)
            if store.now >= 1.0 and len(store.calls) == 2:
                registered.apply(restored, store.now)
            if store.now >= RENEWAL_INTERVAL_S:
                raise asyncio.CancelledError

        async def main():
            with mock.patch("asyncio.sleep", sleep):
                await registered.register()

        self.assertRaises(asyncio.CancelledError, asyncio.run, main())
        names = [name for _, name in store.calls]
        self.assertEqual(["grant", "commit", "grant", "commit"], names[:4])
        self.assertTrue(store.calls[2][0] <= 1.5, store.calls)

    def test_record_that_a_copy_of_the_store_lacks_is_kept_for_a_moment(self):
        """Guards against owners that move since registrations are written again."""
        store = SimulatedStore(0.0, 0.0)
        instances = Instances(GATEWAY, 1, "p/", store, Metrics())  # type: ignore[arg-type]
        record = {
            "domain": "d",
            "host": "10.0.0.2",
            "peer_port": 1,
            "relay_port": 2,
            "incarnation": 3,
        }
        puts = {
            f"p/instances/{name}": StoredValue(
                orjson.dumps({"instance": name, **record}), 1
            )
            for name in ("back", "gone")
        }
        instances.apply(ReplicaChange(puts), 0.0)
        instances.apply(ReplicaChange({}, tuple(puts), restored=True), 10.0)
        self.assertEqual({"back", "gone"}, set(instances.others))
        instances.apply(
            ReplicaChange({"p/instances/back": puts["p/instances/back"]}), 11.0
        )
        self.assertEqual([], instances.expire(10.0 + RESTORE_GRACE_S / 2))
        self.assertEqual(["gone"], instances.expire(10.0 + RESTORE_GRACE_S))
        self.assertEqual({"back"}, set(instances.others))
