"""Keeps the configuration replica of one instance current."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import (
    Callable,
    Coroutine,
    Iterable,
    Iterator,
    Sequence,
)

from borageworks.catalog.bucket_hash import BUCKET_COUNT, bucket_of
from borageworks.catalog.follower import StoreFollower
from borageworks.catalog.replica import Replica
from borageworks.catalog.replica_digest import ReplicaDigest
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.catalog.watchers import FleetMember, select_watchers
from borageworks.config.settings import Settings
from borageworks.events import Event, emit
from borageworks.exceptions import (
    MessageMalformedError,
    StoreCompactedError,
    StoreReplyMalformedError,
    StoreUnavailableError,
)
from borageworks.metrics import Metrics
from borageworks.store.store import Store
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import (
    CatalogDigest,
    CatalogObjects,
    CatalogPull,
    Message,
)

# Each instance forwards a new object once. With a fan-out of 3, the fraction x of
# instances that a push reaches solves x = 1 - exp(-3 x), which gives 0.94. The others
# detect the difference from a heartbeat.
PUSH_FANOUT = 3

# Larger changes spread by digests only, since every instance would send them
# PUSH_FANOUT times.
PUSH_LIMIT_BYTES = 512 * 1024

# Well under the frame limit of 1 MiB, since one frame may contain several messages.
MESSAGE_LIMIT_BYTES = 128 * 1024

# Encoding this many objects blocks the event loop for about a millisecond.
MESSAGE_LIMIT_OBJECTS = 64

REPLY_INTERVAL_S = 0.005
ROLE_INTERVAL_S = 1.0
EXCHANGE_INTERVAL_S = 0.5

# A peer with an older revision rarely has a newer object. If it still differs after
# this delay, a few of its buckets are pulled: it may be the only instance that received
# an object before the store and the sender failed.
LAGGING_PEER_PULL_DELAY_S = 10.0
LAGGING_PEER_PULL_BUCKETS = 4

# A peer that missed a push lacks some of the most recent changes. They are sent
# whenever digests differ, so their number is limited to one message.
RECENT_CHANGES = MESSAGE_LIMIT_OBJECTS

INITIAL_RETRY_S = 1.0
MAX_RETRY_S = 30.0

# A pull times out after PULL_TIMEOUT_S plus PULL_TIMEOUT_PER_BUCKET_S per bucket. Until
# then, none of its buckets is pulled again, from any peer.
PULL_TIMEOUT_S = 1.0
PULL_TIMEOUT_PER_BUCKET_S = 0.05

# Exchanges wait until pushes have arrived, but not indefinitely under a steady stream
# of tickets.
SETTLE_DELAY_S = 0.5
MAX_SETTLE_S = 2.0


class CatalogSync:
    """Loads and watches the configuration and exchanges it with peers.

    Two instances of each failure domain watch the store. All others get new objects
    from peers and call the store only to load their initial configuration.

    Parameters
    ----------
    settings
        Name and domain of this instance.
    replica
        Copy of the configuration to keep current.
    store
        Platform store.
    timers, metrics
        Timers and metrics of the process.
    send
        Sends a message to an instance, which may be lost.
    members
        Live members of the fleet, with or without this instance.
    on_change
        Called with the objects that took effect.
    rng
        Source of random choices.
    """

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        store: Store,
        timers: Timers,
        metrics: Metrics,
        send: Callable[[str, Message], None],
        members: Callable[[], Sequence[FleetMember]],
        on_change: Callable[[list[VersionedObject]], None],
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._timers = timers
        self._metrics = metrics
        self._send = send
        self._members = members
        self._on_change = on_change
        self._rng = rng or random.Random()
        self._follower = StoreFollower(store, replica, self._merge, self._push)
        self._subscriptions: list[TimerSubscription] = []
        self._load_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._reply_task: asyncio.Task[None] | None = None
        # Versions reported in heartbeats by peers whose replica differs.
        self._differing_versions: dict[str, tuple[int, int]] = {}
        self._recent_changes: deque[VersionedObject] = deque(maxlen=RECENT_CHANGES)
        self._pending_replies: dict[tuple[str, int], None] = {}
        self._store_call_failed = False
        # Time from which each peer with an older revision has differed.
        self._lagging_since: dict[str, float] = {}
        self._pull_timeout_at = [0.0] * BUCKET_COUNT
        self._digest_sent_at: dict[str, float] = {}
        self._last_change_at = 0.0
        self._last_exchange_at = 0.0

    @property
    def readiness_blockers(self) -> tuple[str, ...]:
        """What this instance lacks to become ready; empty if nothing."""
        if self._replica.revision:
            return ()
        if self._store_call_failed:
            return ("configuration: the store does not answer and no peer sent one",)
        return ("configuration: it is being loaded",)

    @property
    def watching(self) -> bool:
        """Whether this instance watches the store."""
        return self._watch_task is not None

    @property
    def _initial_load_running(self) -> bool:
        """Whether the initial load from the store is in progress; suppresses pulls."""
        return not self._replica.revision and not self._store_call_failed

    async def start(self) -> None:
        """Start loading and exchanging; returns at once."""
        self._start_load()
        # The role is selected at the first tick, after the member list has had time to
        # fill: an instance that knows no other member would become a watcher.
        self._subscriptions = [
            self._timers.every(ROLE_INTERVAL_S, self._update_role),
            self._timers.every(EXCHANGE_INTERVAL_S, self._exchange),
        ]

    async def stop(self) -> None:
        """Cancel all timers and tasks."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._subscriptions.clear()
        tasks = [
            task
            for task in (self._load_task, self._watch_task, self._reply_task)
            if task is not None
        ]
        self._load_task = self._watch_task = self._reply_task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_catalog_version(
        self, instance: str, revision: int, content_hash: int
    ) -> None:
        """Process the replica version that a peer reported in a heartbeat."""
        if content_hash == self._replica.version()[1]:
            self._replica.advance_revision(revision)
            self._differing_versions.pop(instance, None)
            self._lagging_since.pop(instance, None)
        else:
            self._differing_versions[instance] = (revision, content_hash)

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message from a peer; malformed content is counted and dropped."""
        match message:
            case CatalogObjects():
                self._handle_objects(sender, message)
            case CatalogDigest():
                self._handle_digest(sender, message)
            case CatalogPull():
                self._handle_pull(sender, message)
            case _:
                self._metrics.count("catalog_malformed", type(message).__name__)

    def _handle_objects(self, sender: str, message: CatalogObjects) -> None:
        try:
            objects = [VersionedObject.decode(data) for data in message.objects]
        except MessageMalformedError:
            self._metrics.count("catalog_malformed", "CatalogObjects")
            return
        was_complete = bool(self._replica.revision)
        changed = self._merge(objects)
        # An instance does not forward the initial configuration that it loads from a
        # peer, since its peers already have it.
        if was_complete:
            self._push(changed, sender)

    def _handle_digest(self, sender: str, message: CatalogDigest) -> None:
        if len(message.buckets) != BUCKET_COUNT:
            self._metrics.count("catalog_malformed", "CatalogDigest")
            return
        peer_digest = ReplicaDigest(message.revision, message.buckets)
        differing = self._replica.differing_buckets(peer_digest)
        if not differing:
            self._replica.advance_revision(peer_digest.revision)
            return
        if self._initial_load_running:
            return
        already_sent = sender in self._digest_sent_at
        if already_sent:
            self._pull_differing(sender, peer_digest, differing)
        if self._replica.revision:
            self._send_recent(sender, differing)
        if not already_sent:
            self._send_digest(sender)

    def _pull_differing(
        self, sender: str, peer_digest: ReplicaDigest, differing: Sequence[int]
    ) -> None:
        # There is nothing to pull from an empty bucket.
        non_empty = [index for index in differing if peer_digest.hashes[index]]
        if peer_digest.revision >= self._replica.revision:
            self._pull(sender, non_empty)
            return
        now = self._timers.now()
        since = self._lagging_since.setdefault(sender, now)
        if now - since >= LAGGING_PEER_PULL_DELAY_S and non_empty:
            self._lagging_since[sender] = now
            count = min(LAGGING_PEER_PULL_BUCKETS, len(non_empty))
            self._pull(sender, self._rng.sample(non_empty, count))

    def _send_recent(self, peer: str, buckets: Sequence[int]) -> None:
        """Send the recent changes in some buckets.

        They usually are all that the peer lacks, and are far smaller than the buckets.
        They are sent before the digest, so the peer no longer finds these differences
        and does not pull the buckets.
        """
        wanted = set(buckets)
        encoded = [
            item.encode()
            for item in self._recent_changes
            if bucket_of(item.kind, item.id) in wanted
        ]
        for message in _split_messages(encoded):
            self._send_objects(peer, message)

    def _handle_pull(self, sender: str, message: CatalogPull) -> None:
        indexes = [index for index in message.buckets if 0 <= index < BUCKET_COUNT]
        if len(indexes) != len(message.buckets):
            self._metrics.count("catalog_malformed", "CatalogPull")
        for index in indexes:
            self._pending_replies[sender, index] = None
        replying = self._reply_task is not None and not self._reply_task.done()
        if self._pending_replies and not replying and self._subscriptions:
            self._reply_task = self._spawn(self._reply())

    def _merge(self, objects: Iterable[VersionedObject]) -> list[VersionedObject]:
        changed = self._replica.merge(objects)
        if changed:
            self._recent_changes.extend(changed)
            self._last_change_at = self._timers.now()
            self._metrics.count("catalog_objects_changed", amount=len(changed))
            emit(
                Event.CATALOG_CHANGED,
                objects=len(changed),
                ticket=max(item.ticket for item in changed),
                revision=self._replica.revision,
            )
            self._on_change(changed)
        return changed

    def _push(self, changed: list[VersionedObject], source: str | None = None) -> None:
        """Send new objects to a few random members."""
        encoded = [item.encode() for item in changed]
        if not encoded or sum(map(len, encoded)) > PUSH_LIMIT_BYTES:
            return
        excluded = (self._settings.instance, source)
        others = [member.id for member in self._members() if member.id not in excluded]
        messages = list(_split_messages(encoded))
        for peer in self._rng.sample(others, min(PUSH_FANOUT, len(others))):
            for message in messages:
                self._send_objects(peer, message)

    def _send_objects(self, peer: str, message: CatalogObjects) -> None:
        self._metrics.count("catalog_objects_sent", amount=len(message.objects))
        self._metrics.count("catalog_bytes_sent", amount=sum(map(len, message.objects)))
        self._send(peer, message)

    def _pull(self, peer: str, indexes: Iterable[int]) -> None:
        now = self._timers.now()
        wanted = [index for index in indexes if self._pull_timeout_at[index] <= now]
        if not wanted:
            return
        timeout_at = now + PULL_TIMEOUT_S + PULL_TIMEOUT_PER_BUCKET_S * len(wanted)
        for index in wanted:
            self._pull_timeout_at[index] = timeout_at
        self._metrics.count("catalog_pulls", amount=len(wanted))
        self._send(peer, CatalogPull(tuple(wanted)))

    async def _reply(self) -> None:
        """Send the requested buckets in small messages with pauses in between."""
        while self._pending_replies:
            peer, index = next(iter(self._pending_replies))
            del self._pending_replies[peer, index]
            objects = self._replica.bucket(index)
            for start in range(0, len(objects), MESSAGE_LIMIT_OBJECTS):
                batch = objects[start : start + MESSAGE_LIMIT_OBJECTS]
                for message in _split_messages([item.encode() for item in batch]):
                    self._send_objects(peer, message)
                await asyncio.sleep(REPLY_INTERVAL_S)

    def _send_digest(self, peer: str) -> None:
        now = self._timers.now()
        # Without this limit, two instances that differ would reply to each other's
        # digests in a loop.
        if now - self._digest_sent_at.get(peer, -EXCHANGE_INTERVAL_S) < (
            EXCHANGE_INTERVAL_S
        ):
            return
        self._digest_sent_at[peer] = now
        digest = self._replica.digest()
        self._metrics.count("catalog_digests")
        self._send(peer, CatalogDigest(digest.revision, digest.hashes))

    def _exchange(self, now: float) -> None:
        """Send a digest to a differing peer with the highest revision."""
        self._digest_sent_at = {
            peer: sent
            for peer, sent in self._digest_sent_at.items()
            if now - sent < EXCHANGE_INTERVAL_S
        }
        differing, self._differing_versions = self._differing_versions, {}
        if self._initial_load_running:
            return
        complete = bool(self._replica.revision)
        if (
            complete
            and now - self._last_change_at < SETTLE_DELAY_S
            and now - self._last_exchange_at < MAX_SETTLE_S
        ):
            return
        members = [
            member.id
            for member in self._members()
            if member.id != self._settings.instance
        ]
        self._lagging_since = {
            peer: since
            for peer, since in self._lagging_since.items()
            if peer in members
        }
        content_hash = self._replica.version()[1]
        candidates = [
            peer
            for peer in members
            if peer in differing and differing[peer][1] != content_hash
        ]
        if candidates:
            newest = max(differing[peer][0] for peer in candidates)
            candidates = [peer for peer in candidates if differing[peer][0] == newest]
        elif not complete:
            candidates = members
        if candidates:
            self._last_exchange_at = now
            self._send_digest(self._rng.choice(candidates))

    def _update_role(self, _now: float) -> None:
        """Watch the store if this instance is one of its domain's watchers."""
        selected = select_watchers(
            self._settings.domain, [*self._members(), _LocalMember(self._settings)]
        )
        task = self._watch_task
        if self._settings.instance in selected:
            if task is None or task.done():
                if self._load_task is not None:
                    self._load_task.cancel()
                    self._load_task = None
                self._watch_task = self._spawn(self._watch())
            return
        if task is not None:
            task.cancel()
            self._watch_task = None
        self._start_load()

    def _start_load(self) -> None:
        if self._replica.revision:
            return
        if self._load_task is None or self._load_task.done():
            self._load_task = self._spawn(self._load_initial())

    async def _load_initial(self) -> None:
        """Load from the store, with retries, until there is a configuration.

        It may also come from a peer, which ends the retries.
        """
        delay = INITIAL_RETRY_S
        while not self._replica.revision:
            try:
                await self._follower.load()
            except (StoreUnavailableError, StoreReplyMalformedError) as error:
                delay = await self._back_off(delay, error)

    async def _watch(self) -> None:
        """Follow the configuration head in the store."""
        delay = INITIAL_RETRY_S
        while True:
            started_at = self._timers.now()
            try:
                await self._follower.follow(await self._follower.catch_up())
            except (
                StoreUnavailableError,
                StoreReplyMalformedError,
                StoreCompactedError,
            ) as error:
                if self._timers.now() - started_at > MAX_RETRY_S:
                    delay = INITIAL_RETRY_S
                delay = await self._back_off(delay, error)

    async def _back_off(
        self,
        delay: float,
        error: StoreUnavailableError | StoreReplyMalformedError | StoreCompactedError,
    ) -> float:
        """Wait after a failed store call; return the next delay."""
        self._store_call_failed = True
        self._metrics.count("catalog_store_failures", error.code)
        emit(Event.CATALOG_BEHIND, code=error.code, detail=str(error))
        await asyncio.sleep(self._rng.uniform(delay / 2, delay))
        return min(2 * delay, MAX_RETRY_S)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(_report_failure)
        return task


class _LocalMember:
    """Entry for this instance, which the member list may omit."""

    def __init__(self, settings: Settings) -> None:
        self.id: str = settings.instance
        self.domain: str = settings.domain


def _report_failure(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None:
        emit(Event.TASK_FAILED, task="catalog", detail=repr(error))


def _split_messages(encoded: Sequence[bytes]) -> Iterator[CatalogObjects]:
    """Yield messages of at most MESSAGE_LIMIT_BYTES, or with one larger object."""
    batch: list[bytes] = []
    size = 0
    for data in encoded:
        if batch and size + len(data) > MESSAGE_LIMIT_BYTES:
            yield CatalogObjects(tuple(batch))
            batch, size = [], 0
        batch.append(data)
        size += len(data)
    if batch:
        yield CatalogObjects(tuple(batch))
