"""Registration of this instance in the store, and the list of other instances."""

from __future__ import annotations

import asyncio
import ipaddress
import random
from dataclasses import asdict, dataclass
from typing import Annotated

import orjson
from pydantic import AfterValidator, Field, TypeAdapter, ValidationError

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
# Times in an interval at which a lost lease is noticed.
RENEWAL_CHECKS = 16
INITIAL_RETRY_DELAY_S = 0.5
# Together with a renewal interval and the time of a call, shorter than the lease.
MAX_RETRY_DELAY_S = 4.0
# Before its lease ends, an instance no longer counts on being known to others: for the
# time in which parts of limits that it has delegated are still used.
LEASE_RESERVE_S = 4.0
# Spreads the calls of instances that lost the store at the same moment.
RETRY_JITTER = 0.2
# Records that a restored store does not hold are written again within this time.
RESTORE_GRACE_S = 4.0


def _check_address(text: str) -> str:
    ipaddress.ip_address(text)
    return text


Port = Annotated[int, Field(ge=1, le=65_535)]
Address = Annotated[str, AfterValidator(_check_address)]


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Registration record of an instance."""

    instance: str
    domain: str
    host: Address
    peer_port: Port
    relay_port: Port
    incarnation: Annotated[int, Field(ge=0, lt=2**63)]
    capacity: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1.0


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
        # Times until which instances without a record are still taken for registered.
        self._grace_until: dict[str, float] = {}
        self._lease: Lease | None = None
        # Times of the registration and of the last renewal, as known to be valid.
        self._registered_at = 0.0
        self._renewed_at = 0.0
        self._leaving = False
        self._rng = random.Random()

    @property
    def others(self) -> dict[str, InstanceRecord]:
        """Other instances by name."""
        return self._others

    @property
    def count(self) -> int:
        """Number of instances, including this one."""
        return len(self._others) + 1

    def registered_s(self, now: float) -> float:
        """Return the seconds for which all instances could know this one.

        0 if the store may have dropped its record.
        """
        if self._lease is None or now >= self._renewed_at + LEASE_S - LEASE_RESERVE_S:
            return 0.0
        return now - self._registered_at

    def relay_addresses(self) -> list[HostPort]:
        """Return the relay addresses of other instances; the seeds if none is known."""
        known = [HostPort(item.host, item.relay_port) for item in self._others.values()]
        seeds = [
            seed
            for seed in self._settings.seeds
            if seed != self._settings.relay_address
        ]
        return known or seeds

    def apply(self, change: ReplicaChange, now: float) -> bool:
        """Apply changed store items; return whether the list of instances changed."""
        changed = False
        if change.restored:
            # The lease is gone, or its id may be that of another one.
            self._lease = None
        for key, item in change.puts.items():
            if not key.startswith(self._prefix):
                continue
            try:
                record = _RECORD.validate_json(item.value)
            except ValidationError as error:
                self._reject_record(key, f"{error.error_count()} validation errors")
                continue
            if key != self._prefix + record.instance:
                # It would stay when its key is removed.
                self._reject_record(key, f"record of instance {record.instance!r:.100}")
                continue
            if record.instance != self._own_record.instance:
                self._others[record.instance] = record
                self._grace_until.pop(record.instance, None)
                changed = True
        if self._prefix + self._own_record.instance in change.deletes:
            # A write that was executed late had put the record under another lease,
            # or had removed it; a lease that is renewed does not tell.
            self._metrics.count("registrations_lost")
            emit(Event.LEASE_LOST, instance=self._own_record.instance)
            self._lease = None
        for key in change.deletes:
            name = key.removeprefix(self._prefix)
            if not key.startswith(self._prefix) or name not in self._others:
                continue
            if change.restored:
                self._grace_until[name] = now + RESTORE_GRACE_S
                continue
            self._remove(name)
            changed = True
        return changed

    def expire(self, now: float) -> list[str]:
        """Remove instances that did not register again; return their names."""
        expired = [name for name, until in self._grace_until.items() if until <= now]
        for name in expired:
            self._remove(name)
        return expired

    def _remove(self, name: str) -> None:
        self._others.pop(name, None)
        self._grace_until.pop(name, None)

    def _reject_record(self, key: str, reason: str) -> None:
        self._metrics.count("instance_records_rejected", "malformed")
        emit(Event.PEER_REJECTED, instance=key, code="malformed", reason=reason)

    def instance_of_key(self, key: str) -> str | None:
        """Return the instance registered under a store key, None for other keys."""
        return key.removeprefix(self._prefix) if key.startswith(self._prefix) else None

    async def register(self) -> None:
        """Keep this instance registered until it leaves."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while not self._leaving:
            try:
                started_at = asyncio.get_running_loop().time()
                if self._lease is None:
                    await self._write_record()
                    self._registered_at = asyncio.get_running_loop().time()
                    if self._leaving:
                        await self._remove_record()
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
            self._renewed_at = started_at
            retry_delay_s = INITIAL_RETRY_DELAY_S
            await self._wait_for_renewal()

    async def _wait_for_renewal(self) -> None:
        """Wait until the lease is due, or the store has come back without it."""
        for _ in range(RENEWAL_CHECKS):
            await asyncio.sleep(RENEWAL_INTERVAL_S / RENEWAL_CHECKS)
            if self._lease is None:
                return

    async def leave(self) -> None:
        """Deregister, so that other instances need not wait for the lease to expire.

        The key is removed and not the lease: after a restore of the store, which this
        instance may not have noticed, the lease may be that of another instance.
        """
        self._leaving = True
        if self._lease is None:
            return
        self._lease = None
        try:
            await self._remove_record()
        except BorageworksError as error:
            self._metrics.count("registration_failures", error.code)

    async def _remove_record(self) -> None:
        key = self._prefix + self._own_record.instance
        await self._store.commit(Transaction(deletes=(key,)))

    async def _write_record(self) -> None:
        lease = await self._store.grant_lease(LEASE_S)
        key = self._prefix + self._own_record.instance
        value = orjson.dumps(asdict(self._own_record))
        result = await self._store.commit(Transaction({}, {key: value}, lease=lease))
        if result.succeeded:
            self._lease = lease
