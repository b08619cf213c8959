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
    StoreUnavailableError,
)
from borageworks.gateway.directory import LAPSE_GRACE_S, Directory
from borageworks.gateway.feed import Feed
from borageworks.gateway.replica import ReplicaChange, StoreReplica
from borageworks.gateway.settings import HostPort
from borageworks.gateway.store import FollowedStore
from borageworks.metrics import Metrics
from borageworks.store.values import RangeResult, StoredValue, WatchBatch
from borageworks.timers import Timers
from borageworks.wire.messages import ReplicaNews

RETRY_S = 0.2
# Without news from the store for this long, another instance is asked.
RELAY_AFTER_S = 0.5
RELAY_INTERVAL_S = 0.4
RELAY_TIMEOUT_S = 0.4
# Keys that all instances follow: the operator's, the endpoints' and their own.
EVERYTHING = ""


class Follower:
    """Keeps the directory up to date from the store and from other instances.

    One watch follows all keys, unless readers of the failure domain tell what it would
    report. While the store does not answer this instance, it asks others for what they
    know, since the store may serve them.

    Parameters
    ----------
    store
        Client of the store.
    directory
        Receives the changes.
    feed
        Passes changes between the instances of a failure domain.
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
        self._vouched_at: float | None = None
        self._configured_at: float | None = None
        metrics.before_render(self._show_ages)

    @property
    def replica(self) -> StoreReplica:
        """Items of the store as this instance knows them."""
        return self._replica

    async def follow_store(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                result = await self._store.range(EVERYTHING)
                self._take_from_store(result)
                while True:
                    await self._watch()
                    await self._feed.wait_for_silence()
            except StoreCompactedError:
                self._metrics.count("replica_reloads", "compacted")
            except (StoreUnavailableError, StoreReplyMalformedError) as error:
                self._metrics.count("replica_reloads", error.code)
                await asyncio.sleep(RETRY_S)

    async def _watch(self) -> None:
        """Watch the store until others tell what it holds."""
        changes = self._store.follow(
            EVERYTHING, self._replica.revision + 1, self._feed.watch_wait_s
        )
        async with aclosing(changes):
            async for batch in changes:
                self._take_from_store(batch)
                if self._feed.fed:
                    return

    def take_news(self, news: ReplicaNews) -> None:
        """Take what a reader of the store tells."""
        batch = self._feed.take(news, self._replica.revision)
        if batch is None:
            return
        self._vouched_at = self._timers.now() - news.age_s
        keep_until = self._timers.now() + news.lapse_grace_s
        self._take(self._replica.apply(batch), keep_until)

    async def follow_peers(self) -> None:
        """Ask other instances while the store does not answer, until cancelled."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=RELAY_TIMEOUT_S)
        )
        try:
            while True:
                await asyncio.sleep(RELAY_INTERVAL_S)
                failing = self._store.failing_since
                now = self._timers.now()
                if failing is not None and now - failing > RELAY_AFTER_S:
                    self._directory.postpone(now + LAPSE_GRACE_S)
                    await self._ask_peers()
                if self._directory.expire(now):
                    self._on_change(ReplicaChange())
        finally:
            await self._session.close()

    def render(self, known_revision: int) -> bytes | None:
        """Return the replica for another instance, None if it knows as much."""
        if self._replica.revision <= known_revision:
            return None
        return orjson.dumps(
            {
                "revision": self._replica.revision,
                "items": [
                    [key, b64encode(item.value).decode(), item.mod_revision]
                    for key, item in self._replica.items.items()
                ],
            }
        )

    async def _ask_peers(self) -> None:
        assert self._session is not None
        peers = list(self._peers())
        if not peers:
            return
        host, port = self._rng.choice(peers)
        url = f"http://{host}:{port}/replica"
        query = {"revision": str(self._replica.revision)}
        try:
            async with self._session.get(url, params=query) as response:
                if response.status != 200:
                    return
                result = _parse(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("relay_failures", type(error).__name__)
            return
        except StoreReplyMalformedError as error:
            self._metrics.count("relay_failures", error.code)
            return
        emit(Event.REPLICA_RELAYED, revision=result.revision, host=host)
        self._metrics.count("replica_relays")
        self._take(self._replica.replace(result))

    def _take_from_store(self, news: RangeResult | WatchBatch) -> None:
        """Take news of the store, and tell them to those that this instance feeds."""
        self._vouched_at = self._timers.now()
        after = self._replica.revision
        match news:
            case RangeResult():
                change = self._replica.replace(news)
            case WatchBatch():
                change = self._replica.apply(news)
        now = self._timers.now()
        grace_s = max(self._keep_until(now) - now, 0.0)
        self._feed.publish(after, self._replica.revision, change, grace_s)
        self._take(change)

    def _keep_until(self, now: float) -> float:
        """Return until when endpoints whose entry is gone are still used."""
        regained = self._store.regained_at
        if self._store.failing_since is not None:
            return now + LAPSE_GRACE_S
        return now if regained is None else regained + LAPSE_GRACE_S

    def _take(self, change: ReplicaChange, keep_until: float = 0.0) -> None:
        if change.empty:
            return
        now = self._timers.now()
        known = self._directory.deployment
        self._directory.apply(change, now, max(keep_until, self._keep_until(now)))
        if self._directory.deployment is not known:
            self._configured_at = now
        self._on_change(change)

    def _show_ages(self) -> None:
        now = self._timers.now()
        if self._vouched_at is not None:
            # Configuration and endpoints are known as of then.
            self._metrics.gauge("store_news_age_s", round(now - self._vouched_at, 3))
        if self._configured_at is not None:
            age = round(now - self._configured_at, 3)
            self._metrics.gauge("configuration_age_s", age)


def _parse(data: bytes) -> RangeResult:
    try:
        body: Any = orjson.loads(data)
        return RangeResult(
            {
                str(key): StoredValue(b64decode(value, validate=True), int(revision))
                for key, value, revision in body["items"]
            },
            int(body["revision"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StoreReplyMalformedError(f"replica of a peer: {error!r}") from error
