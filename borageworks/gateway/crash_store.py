"""Keeps verdicts on requests that crash endpoints in the store."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Annotated, Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.events import Event, emit
from borageworks.exceptions import BorageworksError
from borageworks.gateway.fleet import Fleet
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.store import FollowedStore
from borageworks.metrics import Metrics
from borageworks.placement.crash_evidence import EXPIRY_S, CrashEvidence
from borageworks.routing.suspects import MAX_CRASHES
from borageworks.store.values import Transaction
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import CrashTrait, TraitCrash, TraitTrial

CRASHES_PREFIX = "crashes/"
# Traits under a verdict are few; more than these are only told to other instances.
MAX_STORED_TRAITS = 256
RETRY_DELAY_S = 1.0

Count = Annotated[int, Field(ge=1, lt=2**63)]


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class _Crash(_Model):
    incarnation: str
    rank: Count
    joint: tuple[str, ...] = ()


class _Trial(_Model):
    process: str
    number: Count
    ended: bool


class _Item(_Model):
    trait: str
    crashes: tuple[_Crash, ...]
    trials: tuple[_Trial, ...] = ()


class CrashStore:
    """Keeps verdicts on requests that crash endpoints in the store.

    Instances tell each other of them; the store serves those that start when no other
    is left which knows. It holds no times: an instance that knows none counts from the
    moment at which it reads.

    Parameters
    ----------
    prefix
        Prefix of the gateway's own keys in the store.
    evidence
        What this instance knows of traits.
    fleet
        Other instances, one of which tidies up each key.
    store, timers, metrics
        Services of the process.
    spawn
        Runs a coroutine as a task of the process.
    """

    def __init__(
        self,
        prefix: str,
        evidence: CrashEvidence,
        fleet: Fleet,
        store: FollowedStore,
        timers: Timers,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._prefix = prefix + CRASHES_PREFIX
        self._evidence = evidence
        self._fleet = fleet
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._spawn = spawn
        # Items of the store, with the times at which they were read.
        self._items: dict[str, tuple[_Item, float]] = {}
        # Values to write, None for keys to delete.
        self._unwritten: dict[str, bytes | None] = {}
        self._written: dict[str, bytes] = {}
        self._writing = False
        self._retry_timer: TimerSubscription | None = None

    def update(self, report: CrashTrait) -> None:
        """Write what has become known of a trait, if it is under a verdict."""
        key = self._key(report.trait)
        if report.crashes >= MAX_CRASHES:
            value = _encode(report)
            if value == self._written.get(key) or (
                key not in self._items and len(self._items) >= MAX_STORED_TRAITS
            ):
                return
            self._written[key] = value
            self._unwritten[key] = value
        elif key in self._items or key in self._written:
            self._written.pop(key, None)
            self._unwritten[key] = None
        self._write()

    def apply(self, change: ReplicaChange) -> None:
        """Take over what the store holds."""
        now = self._timers.now()
        for key, value in change.puts.items():
            if key.startswith(self._prefix):
                self._read(now, key, value.value)
        for key in change.deletes:
            read = self._items.pop(key, None)
            # What a copy of the store lacks may still hold.
            if read is not None and not change.restored:
                item, _ = read
                cleared = tuple(crash.incarnation for crash in item.crashes)
                trait = bytes.fromhex(item.trait)
                self._evidence.learn(now, CrashTrait(trait, 0, cleared=cleared))

    def review(self) -> None:
        """Delete what has expired."""
        now = self._timers.now()
        for key, (_, read_at) in self._items.items():
            if now - read_at > EXPIRY_S and self._tidies(key):
                self._unwritten[key] = None
        self._write()

    def _read(self, now: float, key: str, value: bytes) -> None:
        try:
            item = _Item.model_validate_json(value)
            trait = bytes.fromhex(item.trait)
            report = _decode(trait, item)
        except (ValidationError, ValueError) as error:
            self._metrics.count("crash_items_rejected", type(error).__name__)
            emit(Event.CRASH_ITEM_REJECTED, key=key, reason=repr(error)[:200])
            return
        self._items[key] = item, now
        self._evidence.learn(now, report)
        known = self._evidence.report(now, trait)
        incarnations = {crash.incarnation for crash in known.details}
        outdated = incarnations != {crash.incarnation for crash in item.crashes}
        if outdated and self._tidies(key):
            # A write was executed late, or another instance knew less.
            self._written.pop(key, None)
            self.update(known)

    def _tidies(self, key: str) -> bool:
        return self._fleet.linked and self._fleet.owner(key) == self._fleet.instance

    def _write(self) -> None:
        if self._unwritten and not self._writing and self._retry_timer is None:
            self._writing = True
            unwritten, self._unwritten = self._unwritten, {}
            self._spawn(self._commit(unwritten))

    async def _commit(self, values: dict[str, bytes | None]) -> None:
        transaction = Transaction(
            {},
            {key: value for key, value in values.items() if value is not None},
            tuple(key for key, value in values.items() if value is None),
        )
        try:
            await self._store.commit(transaction)
        except BorageworksError as error:
            self._metrics.count("crash_store_failures", error.code)
            self._unwritten = values | self._unwritten
            self._retry_timer = self._timers.after(RETRY_DELAY_S, self._retry)
        finally:
            self._writing = False
        self._write()

    def _retry(self, _now: float) -> None:
        self._retry_timer = None
        self._write()

    def _key(self, trait: bytes) -> str:
        return self._prefix + xxhash.xxh3_64_hexdigest(trait)


def _encode(report: CrashTrait) -> bytes:
    item = _Item(
        trait=report.trait.hex(),
        crashes=tuple(
            _Crash(
                incarnation=crash.incarnation,
                rank=crash.rank,
                joint=tuple(trait.hex() for trait in crash.joint),
            )
            for crash in report.details
        ),
        trials=tuple(
            _Trial(process=trial.process, number=trial.number, ended=trial.ended)
            for trial in report.trials
        ),
    )
    return item.model_dump_json().encode()


def _decode(trait: bytes, item: _Item) -> CrashTrait:
    return CrashTrait(
        trait,
        len({crash.rank for crash in item.crashes}),
        tuple(
            TraitCrash(
                crash.incarnation,
                crash.rank,
                joint=tuple(bytes.fromhex(trait) for trait in crash.joint),
            )
            for crash in item.crashes
        ),
        trials=tuple(
            TraitTrial(trial.process, trial.number, 0.0, trial.ended)
            for trial in item.trials
        ),
    )
