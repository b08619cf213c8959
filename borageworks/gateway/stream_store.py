"""Tells other instances, and the store, at which versions streams began."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import orjson
import xxhash

from borageworks.events import Event, emit
from borageworks.exceptions import BorageworksError
from borageworks.gateway.fleet import Fleet
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.store import FollowedStore
from borageworks.gateway.stream_versions import StreamVersions
from borageworks.metrics import Metrics
from borageworks.placement.stream_origins import StreamOrigin
from borageworks.store.values import Transaction
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import StreamsBegan

HISTORY_PREFIX = "software/"
STREAMS_PREFIX = "streams/"
# Interval at which other instances are told of streams.
SHARE_INTERVAL_S = 0.05
# Up to this number, all instances are told: any of them may be the last one.
MAX_INSTANCES_TOLD = 16
# Interval of writes to the store. What began since the last one is lost if all
# instances end at the same moment.
STORE_INTERVAL_S = 0.25
# Time for which a stream that the store tells of may be resumed: its age is not known.
STORED_LIFETIME_S = 20.0
# Keys of a shard, overwritten in turn.
KEYS_PER_SHARD = math.ceil(STORED_LIFETIME_S / STORE_INTERVAL_S)
# Streams in one value, well below the largest value of the store.
MAX_STREAMS_PER_KEY = 8192
# Keys in one transaction of the store.
MAX_KEYS_PER_TRANSACTION = 32
RETRY_DELAY_S = 1.0
STREAM_BYTES = 8


class StreamStore:
    """Tells other instances, and the store, at which versions streams began.

    Nothing is told while all streams of a service are of one version. The store then
    holds this version only, so that instances which all start at the same moment know
    it. While there are several, it also holds the streams that began in the last
    seconds.

    Parameters
    ----------
    prefix
        Prefix of the gateway's own keys in the store.
    versions
        What is known of streams and versions.
    fleet
        Other instances and messages to them.
    store, timers, metrics
        Services of the process.
    spawn
        Runs a coroutine as a task of the process.
    """

    def __init__(
        self,
        prefix: str,
        versions: StreamVersions,
        fleet: Fleet,
        store: FollowedStore,
        timers: Timers,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._history_prefix = prefix + HISTORY_PREFIX
        self._streams_prefix = prefix + STREAMS_PREFIX
        self._versions = versions
        self._fleet = fleet
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._spawn = spawn
        self._mixed: set[str] = set()
        self._unshared: dict[str, dict[bytes, StreamOrigin]] = {}
        self._unstored: dict[str, dict[bytes, StreamOrigin]] = {}
        self._share_timer: TimerSubscription | None = None
        self._store_timer: TimerSubscription | None = None
        self._storing = False
        # Revision of each of the keys with streams.
        self._keys: dict[str, int] = {}
        self._retry_at = 0.0
        versions.origins.attach(self._record)

    def apply(self, change: ReplicaChange) -> None:
        """Apply changed items of the store."""
        now = self._timers.now()
        for key, item in change.puts.items():
            if key.startswith(self._history_prefix):
                self._apply_history(now, item.value)
            elif key.startswith(self._streams_prefix):
                self._keys[key] = item.mod_revision
                self._apply_streams(now, item.value)
        for key in change.deletes:
            self._keys.pop(key, None)
            if key.startswith(self._history_prefix):
                for service, history in self._versions.histories.items():
                    if key == self._history_key(service):
                        history.apply_stored(now, None)

    def receive(self, message: StreamsBegan) -> None:
        """Apply what another instance tells of streams."""
        now = self._timers.now()
        for stream in message.streams:
            self._versions.origins.learn(
                now, stream, message.version, message.lifetime_s, "instance"
            )

    def review(self) -> None:
        """Write changed histories to the store, and remove streams of one version."""
        now = self._timers.now()
        for service, history in self._versions.histories.items():
            mixed = self._versions.is_mixed(now, service)
            if mixed and service not in self._mixed:
                self._mixed.add(service)
                self._tell_all(now, service)
            elif not mixed:
                self._mixed.discard(service)
            if (
                self._storing
                or now < self._retry_at
                or not self._fleet.linked
                or self._fleet.owner(f"{service}/0") != self._fleet.instance
            ):
                continue
            versions = history.versions(now)
            if versions and history.is_complete(now) and versions != history.stored:
                self._storing = True
                self._spawn(self._write_history(service, versions))
            elif not mixed and self._keys_of(service):
                self._storing = True
                self._spawn(self._remove_streams(service))

    def _record(self, stream: bytes, origin: StreamOrigin) -> None:
        """Schedule to tell others of a stream that began here."""
        service = origin.scope.rpartition("/")[0]
        if not self._versions.is_mixed(self._timers.now(), service):
            return
        self._unshared.setdefault(origin.scope, {})[stream] = origin
        self._unstored.setdefault(origin.scope, {})[stream] = origin
        if self._share_timer is None:
            self._share_timer = self._timers.after(SHARE_INTERVAL_S, self._share)
        self._schedule_store(STORE_INTERVAL_S)

    def _tell_all(self, now: float, service: str) -> None:
        """Tell of the streams that began before there were several versions."""
        for stream, origin in self._versions.origins.recorded(now):
            if origin.scope.rpartition("/")[0] == service:
                self._record(stream, origin)

    def _share(self, now: float) -> None:
        """Tell others of streams: in a large fleet only those that may be asked."""
        self._share_timer = None
        unshared, self._unshared = self._unshared, {}
        for scope, streams in unshared.items():
            receivers = {self._fleet.owner(scope), *self._fleet.successors(scope)}
            for version, ids in _by_version(streams).items():
                lifetime_s = max(streams[item].expires_at for item in ids) - now
                message = StreamsBegan(version, max(lifetime_s, 0.0), tuple(ids))
                if self._fleet.count <= MAX_INSTANCES_TOLD:
                    self._fleet.broadcast(message)
                    continue
                for receiver in receivers - {self._fleet.instance}:
                    self._fleet.send(receiver, message)

    def _schedule_store(self, delay_s: float) -> None:
        if self._store_timer is None:
            self._store_timer = self._timers.after(delay_s, self._start_store)

    def _start_store(self, _now: float) -> None:
        self._store_timer = None
        if self._storing:
            self._schedule_store(STORE_INTERVAL_S)
        elif self._unstored:
            self._storing = True
            unstored, self._unstored = self._unstored, {}
            self._spawn(self._write_streams(unstored))

    async def _write_streams(
        self, unstored: dict[str, dict[bytes, StreamOrigin]]
    ) -> None:
        puts = {}
        for scope, streams in unstored.items():
            kept = dict(list(streams.items())[-MAX_STREAMS_PER_KEY:])
            puts[self._next_key(scope)] = _encode_streams(kept)
        if await self._commit(Transaction({}, puts)):
            self._metrics.count(
                "streams_stored", amount=sum(map(len, unstored.values()))
            )
            return
        now = self._timers.now()
        for scope, streams in unstored.items():
            self._unstored[scope] = {
                stream: origin
                for stream, origin in streams.items()
                if origin.expires_at >= now
            } | self._unstored.get(scope, {})
        self._schedule_store(RETRY_DELAY_S)

    async def _write_history(self, service: str, versions: frozenset[str]) -> None:
        value = orjson.dumps({"service": service, "versions": sorted(versions)})
        key = self._history_key(service)
        if await self._commit(Transaction({}, {key: value})):
            # The store reports the write later.
            now = self._timers.now()
            self._versions.history(now, service).apply_stored(now, versions)
            emit(Event.VERSIONS_STORED, service=service, versions=sorted(versions))
        else:
            self._retry_at = self._timers.now() + RETRY_DELAY_S

    async def _remove_streams(self, service: str) -> None:
        keys = self._keys_of(service)[:MAX_KEYS_PER_TRANSACTION]
        if not await self._commit(Transaction(deletes=tuple(keys))):
            self._retry_at = self._timers.now() + RETRY_DELAY_S
            return
        # A key whose write failed is not in the store, which reports no removal of it.
        for key in keys:
            self._keys.pop(key, None)

    async def _commit(self, transaction: Transaction) -> bool:
        try:
            await self._store.commit(transaction)
        except BorageworksError as error:
            self._metrics.count("stream_store_failures", error.code)
            return False
        finally:
            self._storing = False
        return True

    def _apply_history(self, now: float, value: bytes) -> None:
        try:
            body = orjson.loads(value)
            service, versions = str(body["service"]), list(map(str, body["versions"]))
        except (ValueError, KeyError, TypeError) as error:
            self._metrics.count("stream_items_rejected", type(error).__name__)
            return
        self._versions.history(now, service).apply_stored(now, versions)

    def _apply_streams(self, now: float, value: bytes) -> None:
        try:
            body = orjson.loads(value)
            ids = {str(version): bytes.fromhex(text) for version, text in body.items()}
        except (ValueError, AttributeError, TypeError) as error:
            self._metrics.count("stream_items_rejected", type(error).__name__)
            return
        for version, data in ids.items():
            for start in range(0, len(data), STREAM_BYTES):
                self._versions.origins.learn(
                    now,
                    data[start : start + STREAM_BYTES],
                    version,
                    STORED_LIFETIME_S,
                    "store",
                )

    def _history_key(self, service: str) -> str:
        return self._history_prefix + _digest(service)

    def _keys_of(self, service: str) -> list[str]:
        """Return the keys with streams of a service that the store holds."""
        prefix = f"{self._streams_prefix}{_digest(service)}/"
        return [key for key in self._keys if key.startswith(prefix)]

    def _next_key(self, scope: str) -> str:
        """Return the key of a shard that is unused, or was written first."""
        service, _, shard = scope.rpartition("/")
        prefix = f"{self._streams_prefix}{_digest(service)}/{shard}/"
        keys = [f"{prefix}{number:02d}" for number in range(KEYS_PER_SHARD)]
        key = min(keys, key=lambda item: self._keys.get(item, 0))
        # Until the store has reported this write, the next one takes another key.
        self._keys[key] = max(self._keys.values(), default=0) + 1
        return key


def _digest(text: str) -> str:
    """Return a short text that is valid in keys of the store."""
    return xxhash.xxh3_64_hexdigest(text.encode())


def _by_version(streams: Mapping[bytes, StreamOrigin]) -> dict[str, list[bytes]]:
    by_version = defaultdict(list)
    for stream, origin in streams.items():
        by_version[origin.version].append(stream)
    return by_version


def _encode_streams(streams: Mapping[bytes, StreamOrigin]) -> bytes:
    return orjson.dumps(
        {version: b"".join(ids).hex() for version, ids in _by_version(streams).items()}
    )
