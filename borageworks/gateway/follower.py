"""Keeps the directory up to date from the store and from other instances."""

from __future__ import annotations

import asyncio
import random
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable
from contextlib import aclosing
from typing import Any

import aiohttp
import orjson

from borageworks.events import Event, emit
from borageworks.exceptions import (
    StoreCompactedError,
    StoreReplyMalformedError,
    StoreRestoredError,
    StoreUnavailableError,
)
from borageworks.gateway.directory import EXPIRY_GRACE_S, Directory
from borageworks.gateway.feed import Feed
from borageworks.gateway.replica import ReplicaChange, StoreReplica
from borageworks.gateway.settings import HostPort
from borageworks.gateway.store import FollowedStore
from borageworks.metrics import Metrics
from borageworks.store.values import RangeResult, StoredValue, WatchBatch
from borageworks.timers import Timers
from borageworks.wire.messages import ReplicaNews

RETRY_DELAY_S = 0.2
# Other instances are queried after the store has failed for this long.
RELAY_AFTER_S = 0.5
RELAY_INTERVAL_S = 0.4
RELAY_TIMEOUT_S = 0.4
# After a pause, requests wait at most this long for the store to confirm the replica.
CONFIRMATION_TIMEOUT_S = 0.5
HTTP_OK = 200
# Matches the configuration, the endpoint entries and the gateway's own keys.
ALL_KEYS_PREFIX = ""


class Follower:
    """Keeps the directory up to date from the store and from other instances.

    A single watch covers all keys. It is suspended while readers of the failure domain
    forward the changes. While the store does not reply to this instance, it fetches the
    replicas of other instances, which may still reach the store.

    Parameters
    ----------
    store
        Client of the store.
    directory
        Changes are applied to it.
    feed
        Forwards changes between the instances of a failure domain.
    timers, metrics
        Services of the process.
    peers
        Returns the relay addresses of other instances.
    on_change
        Called after the directory has changed.
    """

    def __init__(
        self,
        store: FollowedStore,
        directory: Directory,
        feed: Feed,
        timers: Timers,
        metrics: Metrics,
        peers: Callable[[], Iterable[HostPort]],
        on_change: Callable[[ReplicaChange], None],
    ) -> None:
        self._store = store
        self._directory = directory
        self._feed = feed
        self._timers = timers
        self._metrics = metrics
        self._peers = peers
        self._on_change = on_change
        self._replica = StoreReplica()
        self._rng = random.Random()
        self._session: aiohttp.ClientSession | None = None
        self._confirmed_at: float | None = None
        self._configured_at: float | None = None
        self._confirmation: asyncio.Task[bool] | None = None
        # The last read of the store for `confirm`, and the one that has not begun.
        self._read: asyncio.Task[bool] | None = None
        self._next_read: asyncio.Task[bool] | None = None
        metrics.before_render(self._update_age_gauges)

    @property
    def replica(self) -> StoreReplica:
        """Local replica of the store's items."""
        return self._replica

    async def follow_store(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                result = await self._store.range(ALL_KEYS_PREFIX)
                self._apply_from_store(result)
                while True:
                    await self._watch()
                    await self._feed.wait_until_stale()
            except StoreCompactedError:
                self._metrics.count("replica_reloads", "compacted")
            except StoreRestoredError as error:
                self._metrics.count("replica_reloads", error.code)
            except (StoreUnavailableError, StoreReplyMalformedError) as error:
                self._metrics.count("replica_reloads", error.code)
                await asyncio.sleep(RETRY_DELAY_S)

    def require_confirmation(self) -> None:
        """Read the store anew, since the replica may be behind after a pause."""
        if self._confirmation is None or self._confirmation.done():
            loop = asyncio.get_running_loop()
            self._confirmation = loop.create_task(self._confirm())

    async def wait_until_confirmed(self) -> None:
        """Wait until the store has confirmed the replica, or did not reply in time."""
        if self._confirmation is not None and not self._confirmation.done():
            await asyncio.shield(self._confirmation)

    async def confirm(self) -> bool:
        """Read the store; return whether the replica is as recent as this call.

        Calls share a read that has not begun yet. None is made while the store does
        not reply.
        """
        if self._store.failing_since is not None:
            return False
        if self._next_read is None:
            loop = asyncio.get_running_loop()
            self._next_read = loop.create_task(self._confirm_after(self._read))
        return await asyncio.shield(self._next_read)

    async def _confirm_after(self, previous: asyncio.Task[bool] | None) -> bool:
        if previous is not None:
            await asyncio.wait([previous])
        self._read, self._next_read = self._next_read, None
        return await self._confirm()

    async def _confirm(self) -> bool:
        """Read the store once; return whether it replied in time."""
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
                self._apply_from_store(await self._store.range(ALL_KEYS_PREFIX))
        except (
            StoreUnavailableError,
            StoreReplyMalformedError,
            StoreRestoredError,
            TimeoutError,
        ) as error:
            self._metrics.count("confirmation_failures", type(error).__name__)
            return False
        return True

    async def _watch(self) -> None:
        """Watch the store until readers forward its changes."""
        changes = self._store.watch_with_progress(
            ALL_KEYS_PREFIX,
            self._replica.era,
            self._replica.revision + 1,
            self._feed.watch_wait_s,
        )
        async with aclosing(changes):
            async for batch in changes:
                self._apply_from_store(batch)
                if self._feed.updated_by_readers:
                    return

    def apply_peer_update(self, update: ReplicaNews) -> None:
        """Apply an update from a reader of the store."""
        if update.era > self._replica.era and self._replica.revision:
            # The revisions of an era that has begun do not continue those known here.
            self.require_confirmation()
        batch = self._feed.receive(update, self._replica.era, self._replica.revision)
        if batch is None:
            return
        self._confirmed_at = self._timers.now() - update.age_s
        keep_until = self._timers.now() + update.lapse_grace_s
        self._apply(self._replica.apply(batch), keep_until)

    async def fetch_configuration(self, address: HostPort) -> None:
        """Apply the configuration of another instance, which has a later version."""
        if self._session is None:
            return
        url = f"http://{address.host}:{address.port}/configuration"
        try:
            async with self._session.get(url) as response:
                if response.status != HTTP_OK:
                    return
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("relay_failures", type(error).__name__)
            return
        previous = self._directory.deployment
        self._directory.apply_configuration(data, 0)
        if self._directory.deployment is not previous:
            self._configured_at = self._timers.now()
            self._on_change(ReplicaChange())

    async def poll_peers(self) -> None:
        """Query other instances while the store does not reply, until cancelled."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=RELAY_TIMEOUT_S)
        )
        try:
            while True:
                await asyncio.sleep(RELAY_INTERVAL_S)
                failing = self._store.failing_since
                now = self._timers.now()
                if failing is not None and now - failing > RELAY_AFTER_S:
                    self._directory.extend_grace(now + EXPIRY_GRACE_S)
                    await self._query_peer()
                if self._directory.expire(now):
                    self._on_change(ReplicaChange())
        finally:
            await self._session.close()

    def render(self, known_era: int, known_revision: int) -> bytes | None:
        """Return the encoded replica, None if the known revision is as recent."""
        replica = self._replica
        if (replica.era, replica.revision) <= (known_era, known_revision):
            return None
        return orjson.dumps(
            {
                "era": replica.era,
                "revision": self._replica.revision,
                "items": [
                    [key, b64encode(item.value).decode(), item.mod_revision]
                    for key, item in self._replica.items.items()
                ],
            }
        )

    async def _query_peer(self) -> None:
        assert self._session is not None
        peers = list(self._peers())
        if not peers:
            return
        host, port = self._rng.choice(peers)
        url = f"http://{host}:{port}/replica"
        query = {"era": str(self._replica.era), "revision": str(self._replica.revision)}
        try:
            async with self._session.get(url, params=query) as response:
                if response.status != HTTP_OK:
                    return
                result = _parse_replica(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("relay_failures", type(error).__name__)
            return
        except StoreReplyMalformedError as error:
            self._metrics.count("relay_failures", error.code)
            return
        emit(Event.REPLICA_RELAYED, revision=result.revision, host=host)
        self._metrics.count("replica_relays")
        self._apply(self._replica.replace(result))

    def _apply_from_store(self, update: RangeResult | WatchBatch) -> None:
        """Apply a reply of the store and forward it if this instance is a reader."""
        known = self._replica.era, self._replica.revision
        match update:
            case RangeResult():
                change = self._replica.replace(update)
            case WatchBatch():
                change = self._replica.apply(update)
        if (update.era, update.revision) < known:
            emit(
                Event.REPLICA_UPDATE_IGNORED,
                era=update.era,
                revision=update.revision,
                known_era=known[0],
                known_revision=known[1],
            )
            return
        now = self._confirmed_at = self._timers.now()
        grace_s = max(self._grace_until(now) - now, 0.0)
        era, revision = self._replica.era, self._replica.revision
        self._feed.publish(era, known[1], revision, change, grace_s)
        self._apply(change)

    def _grace_until(self, now: float) -> float:
        """Return the time until which endpoints whose entry was deleted stay in use."""
        recovered_at = self._store.recovered_at
        if self._store.failing_since is not None:
            return now + EXPIRY_GRACE_S
        return now if recovered_at is None else recovered_at + EXPIRY_GRACE_S

    def _apply(self, change: ReplicaChange, keep_until: float = 0.0) -> None:
        if change.empty:
            return
        now = self._timers.now()
        previous = self._directory.deployment
        self._directory.apply(change, now, max(keep_until, self._grace_until(now)))
        if self._directory.deployment is not previous:
            self._configured_at = now
        self._on_change(change)

    def _update_age_gauges(self) -> None:
        now = self._timers.now()
        if self._confirmed_at is not None:
            # Time for which configuration and endpoints have not been confirmed.
            self._metrics.gauge("store_news_age_s", round(now - self._confirmed_at, 3))
        if self._configured_at is not None:
            age = round(now - self._configured_at, 3)
            self._metrics.gauge("configuration_age_s", age)


def _parse_replica(data: bytes) -> RangeResult:
    try:
        body: Any = orjson.loads(data)
        return RangeResult(
            {
                str(key): StoredValue(b64decode(value, validate=True), int(revision))
                for key, value, revision in body["items"]
            },
            int(body["revision"]),
            int(body.get("era", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StoreReplyMalformedError(
            f"malformed replica from a peer: {error!r}"
        ) from error
