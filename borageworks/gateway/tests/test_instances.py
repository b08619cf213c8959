"""Tests of the registration of an instance."""

import asyncio
from unittest import mock

from testtools import TestCase

from borageworks.exceptions import StoreLeaseExpiredError, StoreUnavailableError
from borageworks.gateway.instances import LEASE_S, Instances
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics
from borageworks.store.values import CommitResult, Lease

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

    async def commit(self, _transaction):
        self._call("commit")
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
