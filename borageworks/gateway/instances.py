"""Registration of this instance in the store, and the list of other instances."""

from __future__ import annotations

import asyncio
import random
from dataclasses import asdict, dataclass

import orjson
from pydantic import TypeAdapter, ValidationError

from borageworks.events import Event, emit
from borageworks.exceptions import (
    BorageworksError,
    StoreLeaseExpiredError,
)
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.settings import GatewaySettings, HostPort
from borageworks.gateway.store import FollowedStore
from borageworks.metrics import Metrics
from borageworks.store.values import Lease, Transaction

KEY_PREFIX = "instances/"
# Links detect a failed instance much earlier; the lease only removes its record.
LEASE_S = 12.0
RENEWAL_INTERVAL_S = 4.0
INITIAL_RETRY_DELAY_S = 0.5
# Together with a renewal interval and the time of a call, shorter than the lease.
MAX_RETRY_DELAY_S = 4.0
# Spreads the calls of instances that lost the store at the same moment.
RETRY_JITTER = 0.2


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Registration record of an instance."""

    instance: str
    domain: str
    host: str
    peer_port: int
    relay_port: int
    incarnation: int
    capacity: float = 1.0


_RECORD = TypeAdapter(InstanceRecord)


class Instances:
    """Registers this instance in the store and tracks the other instances.

    Parameters
    ----------
    settings
        Settings of the process.
    incarnation
        Number that distinguishes this process from earlier ones of the same instance.
    prefix
        Prefix of the gateway's own keys in the store.
    store, metrics
        Services of the process.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: int,
        prefix: str,
        store: FollowedStore,
        metrics: Metrics,
    ) -> None:
        self._own_record = InstanceRecord(
            instance=settings.instance,
            domain=settings.domain,
            host=settings.host,
            peer_port=settings.peer_port,
            relay_port=settings.relay_address.port,
            incarnation=incarnation,
            capacity=settings.capacity,
        )
        self._settings = settings
        self._prefix = prefix + KEY_PREFIX
        self._store = store
        self._metrics = metrics
        self._others: dict[str, InstanceRecord] = {}
        self._lease: Lease | None = None
        self._rng = random.Random()

    @property
    def others(self) -> dict[str, InstanceRecord]:
        """Other instances by name."""
        return self._others

    @property
    def count(self) -> int:
        """Number of instances, including this one."""
        return len(self._others) + 1

    def relay_addresses(self) -> list[HostPort]:
        """Return the relay addresses of other instances; the seeds if none is known."""
        known = [HostPort(item.host, item.relay_port) for item in self._others.values()]
        seeds = [
            seed
            for seed in self._settings.seeds
            if seed != self._settings.relay_address
        ]
        return known or seeds

    def apply(self, change: ReplicaChange) -> bool:
        """Apply changed store items; return whether the list of instances changed."""
        changed = False
        for key, item in change.puts.items():
            if not key.startswith(self._prefix):
                continue
            try:
                record = _RECORD.validate_json(item.value)
            except ValidationError as error:
                self._metrics.count("instance_records_rejected", "malformed")
                emit(
                    Event.PEER_REJECTED,
                    instance=key,
                    code="malformed",
                    reason=str(error.error_count()),
                )
                continue
            if record.instance != self._own_record.instance:
                self._others[record.instance] = record
                changed = True
        for key in change.deletes:
            name = key.removeprefix(self._prefix)
            if key.startswith(self._prefix) and name in self._others:
                del self._others[name]
                changed = True
        return changed

    def instance_of_key(self, key: str) -> str | None:
        """Return the instance registered under a store key, None for other keys."""
        return key.removeprefix(self._prefix) if key.startswith(self._prefix) else None

    async def register(self) -> None:
        """Keep this instance registered until cancelled."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                if self._lease is None:
                    await self._write_record()
                else:
                    await self._store.keep_alive(self._lease)
            except StoreLeaseExpiredError:
                emit(Event.LEASE_LOST, instance=self._own_record.instance)
                self._lease = None
                continue
            except BorageworksError as error:
                self._metrics.count("registration_failures", error.code)
                await asyncio.sleep(
                    retry_delay_s * self._rng.uniform(1.0 - RETRY_JITTER, 1.0)
                )
                retry_delay_s = min(2.0 * retry_delay_s, MAX_RETRY_DELAY_S)
                continue
            retry_delay_s = INITIAL_RETRY_DELAY_S
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    async def leave(self) -> None:
        """Deregister, so that other instances need not wait for the lease to expire."""
        if self._lease is None:
            return
        lease, self._lease = self._lease, None
        try:
            await self._store.end_lease(lease)
        except BorageworksError as error:
            self._metrics.count("registration_failures", error.code)

    async def _write_record(self) -> None:
        lease = await self._store.grant_lease(LEASE_S)
        key = self._prefix + self._own_record.instance
        value = orjson.dumps(asdict(self._own_record))
        result = await self._store.commit(Transaction({}, {key: value}, lease=lease))
        if result.succeeded:
            self._lease = lease
