"""Keeps the replica of one instance current; the I/O layer of the catalog."""

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

from borageworks.catalog.buckets import BUCKETS, bucket_of
from borageworks.catalog.digest import Digest
from borageworks.catalog.follower import StoreFollower
from borageworks.catalog.replica import Replica
from borageworks.catalog.versioned import Versioned
from borageworks.catalog.watchers import FleetMember, watchers
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
from borageworks.timers import Subscription, Timers
from borageworks.wire.messages import (
    CatalogDigest,
    CatalogObjects,
    CatalogPull,
    Message,
)

# Each instance passes a new object on once. With a fan-out of 3 the share x that hears
# of it this way solves x = 1 - exp(-3 x), which is 0.94; the others find the difference
# in a heartbeat.
FANOUT = 3

# Larger changes spread by digests only, since every instance would send them FANOUT
# times.
PUSH_LIMIT_BYTES = 512 * 1024

# Bounds one message, well under the 1 MiB frame that may hold several.
MESSAGE_LIMIT_BYTES = 128 * 1024

# Encoding this many objects takes about a millisecond of the event loop.
MESSAGE_LIMIT_OBJECTS = 64

REPLY_INTERVAL_S = 0.005
ROLE_INTERVAL_S = 1.0
EXCHANGE_INTERVAL_S = 0.5

# A peer with an older revision mostly holds nothing newer. If it stays behind for this
# long, a few of its buckets are fetched: it may alone have received an object before
# the store and the sender failed.
BEHIND_PULL_AFTER_S = 10.0
BEHIND_PULL_BUCKETS = 4

# A peer that missed a push lacks some of the last few changes; more than one message
# of them would not pay, since they go out whenever digests differ.
RECENT_OBJECTS = MESSAGE_LIMIT_OBJECTS

RETRY_S = 1.0
RETRY_MAX_S = 30.0

# Time in which the reply to a pull is expected, per bucket and in all; until then no
# other peer is asked for the same bucket.
PULL_TIMEOUT_S = 1.0
PULL_TIMEOUT_PER_BUCKET_S = 0.05

# Exchanges wait until pushes have settled, but not for ever under a stream of tickets.
SETTLE_S = 0.5
SETTLE_LIMIT_S = 2.0


class CatalogSync:
    """Loads, watches and exchanges the configuration.

    Two instances of each domain watch the store. All others get new objects from peers
    and call the store only to load their first configuration.

    Parameters
    ----------
    settings
        Name and domain of this instance.
    replica
        Copy of the configuration to keep current.
    store
        Platform store.
    timers, metrics
        Services of the process.
    send
        Sends a message to an instance; it may be lost.
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
        on_change: Callable[[list[Versioned]], None],
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
        self._subscriptions: list[Subscription] = []
        self._load_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._reply_task: asyncio.Task[None] | None = None
        # Version that peers reported in heartbeats, where it differs from ours.
        self._differing: dict[str, tuple[int, int]] = {}
        self._recent: deque[Versioned] = deque(maxlen=RECENT_OBJECTS)
        self._replies: dict[tuple[str, int], None] = {}
        self._store_tried = False
        # Time since when a peer with an older revision differs.
        self._behind: dict[str, float] = {}
        self._pulled_until = [0.0] * BUCKETS
        self._digest_sent: dict[str, float] = {}
        self._changed_at = 0.0
        self._exchanged_at = 0.0

    @property
    def lacking(self) -> tuple[str, ...]:
        """What this instance lacks before it is ready; empty when nothing."""
        if self._replica.revision:
            return ()
        if self._store_tried:
            return ("configuration: the store does not answer and no peer sent one",)
        return ("configuration: it is being loaded",)

    @property
    def watching(self) -> bool:
        """Whether this instance watches the store."""
        return self._watch_task is not None

    @property
    def _loading(self) -> bool:
        """Whether the first load from the store is under way, not to be doubled."""
        return not self._replica.revision and not self._store_tried

    async def start(self) -> None:
        """Begin to load and to exchange; returns at once."""
        self._start_load()
        # The role is chosen at the first tick, when the member list has had time to
        # fill: an instance that knows no other member would be a watcher.
        self._subscriptions = [
            self._timers.every(ROLE_INTERVAL_S, self._choose_role),
            self._timers.every(EXCHANGE_INTERVAL_S, self._exchange),
        ]

    async def stop(self) -> None:
        """Stop every activity."""
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

    def on_catalog_version(self, instance: str, revision: int, content: int) -> None:
        """Take the replica version that a peer reported in a heartbeat."""
        if content == self._replica.version()[1]:
            self._replica.note_revision(revision)
            self._differing.pop(instance, None)
            self._behind.pop(instance, None)
        else:
            self._differing[instance] = (revision, content)

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message of a peer; malformed content is counted and dropped."""
        match message:
            case CatalogObjects():
                self._take_objects(sender, message)
            case CatalogDigest():
                self._take_digest(sender, message)
            case CatalogPull():
                self._take_pull(sender, message)
            case _:
                self._metrics.count("catalog_malformed", type(message).__name__)

    def _take_objects(self, sender: str, message: CatalogObjects) -> None:
        try:
            objects = [Versioned.decode(data) for data in message.objects]
        except MessageMalformedError:
            self._metrics.count("catalog_malformed", "CatalogObjects")
            return
        complete = bool(self._replica.revision)
        changed = self._merge(objects)
        # An instance that loads its first configuration from a peer does not pass it
        # on: what it hears of is old.
        if complete:
            self._push(changed, sender)

    def _take_digest(self, sender: str, message: CatalogDigest) -> None:
        if len(message.buckets) != BUCKETS:
            self._metrics.count("catalog_malformed", "CatalogDigest")
            return
        theirs = Digest(message.revision, message.buckets)
        differing = self._replica.missing(theirs)
        if not differing:
            self._replica.note_revision(theirs.revision)
            return
        if self._loading:
            return
        asked = sender in self._digest_sent
        if asked:
            self._pull_differing(sender, theirs, differing)
        if self._replica.revision:
            self._send_recent(sender, differing)
        if not asked:
            self._send_digest(sender)

    def _pull_differing(
        self, sender: str, theirs: Digest, differing: Sequence[int]
    ) -> None:
        # An empty bucket has nothing to fetch.
        filled = [index for index in differing if theirs.hashes[index]]
        if theirs.revision >= self._replica.revision:
            self._pull(sender, filled)
            return
        now = self._timers.now()
        since = self._behind.setdefault(sender, now)
        if now - since >= BEHIND_PULL_AFTER_S and filled:
            self._behind[sender] = now
            count = min(BEHIND_PULL_BUCKETS, len(filled))
            self._pull(sender, self._rng.sample(filled, count))

    def _send_recent(self, peer: str, buckets: Sequence[int]) -> None:
        """Send the recent changes in some buckets.

        They are mostly all that the peer lacks, and far smaller than the buckets. They
        go before the digest, so the peer then sees no difference that it would pull.
        """
        wanted = set(buckets)
        encoded = [
            item.encode()
            for item in self._recent
            if bucket_of(item.kind, item.id) in wanted
        ]
        for message in _split(encoded):
            self._send_objects(peer, message)

    def _take_pull(self, sender: str, message: CatalogPull) -> None:
        indexes = [index for index in message.buckets if 0 <= index < BUCKETS]
        if len(indexes) != len(message.buckets):
            self._metrics.count("catalog_malformed", "CatalogPull")
        for index in indexes:
            self._replies[sender, index] = None
        replying = self._reply_task is not None and not self._reply_task.done()
        if self._replies and not replying and self._subscriptions:
            self._reply_task = self._spawn(self._reply())

    def _merge(self, objects: Iterable[Versioned]) -> list[Versioned]:
        changed = self._replica.merge(objects)
        if changed:
            self._recent.extend(changed)
            self._changed_at = self._timers.now()
            self._metrics.count("catalog_objects_changed", amount=len(changed))
            emit(
                Event.CATALOG_CHANGED,
                objects=len(changed),
                ticket=max(item.ticket for item in changed),
                revision=self._replica.revision,
            )
            self._on_change(changed)
        return changed

    def _push(self, changed: list[Versioned], source: str | None = None) -> None:
        """Send new objects to a few random members."""
        encoded = [item.encode() for item in changed]
        if not encoded or sum(map(len, encoded)) > PUSH_LIMIT_BYTES:
            return
        excluded = (self._settings.instance, source)
        others = [member.id for member in self._members() if member.id not in excluded]
        messages = list(_split(encoded))
        for peer in self._rng.sample(others, min(FANOUT, len(others))):
            for message in messages:
                self._send_objects(peer, message)

    def _send_objects(self, peer: str, message: CatalogObjects) -> None:
        self._metrics.count("catalog_objects_sent", amount=len(message.objects))
        self._metrics.count("catalog_bytes_sent", amount=sum(map(len, message.objects)))
        self._send(peer, message)

    def _pull(self, peer: str, indexes: Iterable[int]) -> None:
        now = self._timers.now()
        wanted = [index for index in indexes if self._pulled_until[index] <= now]
        if not wanted:
            return
        until = now + PULL_TIMEOUT_S + PULL_TIMEOUT_PER_BUCKET_S * len(wanted)
        for index in wanted:
            self._pulled_until[index] = until
        self._metrics.count("catalog_pulls", amount=len(wanted))
        self._send(peer, CatalogPull(tuple(wanted)))

    async def _reply(self) -> None:
        """Send requested buckets in small messages, with pauses in between."""
        while self._replies:
            peer, index = next(iter(self._replies))
            del self._replies[peer, index]
            objects = self._replica.bucket(index)
            for start in range(0, len(objects), MESSAGE_LIMIT_OBJECTS):
                part = objects[start : start + MESSAGE_LIMIT_OBJECTS]
                for message in _split([item.encode() for item in part]):
                    self._send_objects(peer, message)
                await asyncio.sleep(REPLY_INTERVAL_S)

    def _send_digest(self, peer: str) -> None:
        now = self._timers.now()
        # Without a limit two instances that differ would answer each other's digests
        # back and forth.
        if now - self._digest_sent.get(peer, -EXCHANGE_INTERVAL_S) < (
            EXCHANGE_INTERVAL_S
        ):
            return
        self._digest_sent[peer] = now
        digest = self._replica.digest()
        self._metrics.count("catalog_digests")
        self._send(peer, CatalogDigest(digest.revision, digest.hashes))

    def _exchange(self, now: float) -> None:
        """Send a digest to the most advanced peer that differs."""
        self._digest_sent = {
            peer: sent
            for peer, sent in self._digest_sent.items()
            if now - sent < EXCHANGE_INTERVAL_S
        }
        differing, self._differing = self._differing, {}
        if self._loading:
            return
        complete = bool(self._replica.revision)
        if (
            complete
            and now - self._changed_at < SETTLE_S
            and now - self._exchanged_at < SETTLE_LIMIT_S
        ):
            return
        members = [
            member.id
            for member in self._members()
            if member.id != self._settings.instance
        ]
        self._behind = {p: t for p, t in self._behind.items() if p in members}
        content = self._replica.version()[1]
        candidates = [
            peer
            for peer in members
            if peer in differing and differing[peer][1] != content
        ]
        if candidates:
            newest = max(differing[peer][0] for peer in candidates)
            candidates = [peer for peer in candidates if differing[peer][0] == newest]
        elif not complete:
            candidates = members
        if candidates:
            self._exchanged_at = now
            self._send_digest(self._rng.choice(candidates))

    def _choose_role(self, _now: float) -> None:
        """Watch the store if this instance is one of its domain's watchers."""
        chosen = watchers(
            self._settings.domain, [*self._members(), _OwnMember(self._settings)]
        )
        task = self._watch_task
        if self._settings.instance in chosen:
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
            self._load_task = self._spawn(self._load_first())

    async def _load_first(self) -> None:
        """Load from the store until there is a configuration, also from peers."""
        delay = RETRY_S
        while not self._replica.revision:
            try:
                await self._follower.load()
            except (StoreUnavailableError, StoreReplyMalformedError) as error:
                delay = await self._pause(delay, error)

    async def _watch(self) -> None:
        """Follow the head in the store."""
        delay = RETRY_S
        while True:
            opened = self._timers.now()
            try:
                await self._follower.follow(await self._follower.catch_up())
            except (
                StoreUnavailableError,
                StoreReplyMalformedError,
                StoreCompactedError,
            ) as error:
                if self._timers.now() - opened > RETRY_MAX_S:
                    delay = RETRY_S
                delay = await self._pause(delay, error)

    async def _pause(
        self,
        delay: float,
        error: StoreUnavailableError | StoreReplyMalformedError | StoreCompactedError,
    ) -> float:
        """Wait after a failed call; return the next delay."""
        self._store_tried = True
        self._metrics.count("catalog_store_failures", error.code)
        emit(Event.CATALOG_BEHIND, code=error.code, detail=str(error))
        await asyncio.sleep(self._rng.uniform(delay / 2, delay))
        return min(2 * delay, RETRY_MAX_S)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(_report_failure)
        return task


class _OwnMember:
    """Own instance, which the member list may leave out."""

    def __init__(self, settings: Settings) -> None:
        self.id: str = settings.instance
        self.domain: str = settings.domain


def _report_failure(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None:
        emit(Event.TASK_FAILED, task="catalog", detail=repr(error))


def _split(encoded: Sequence[bytes]) -> Iterator[CatalogObjects]:
    """Yield messages within MESSAGE_LIMIT_BYTES, or with one larger object."""
    part: list[bytes] = []
    size = 0
    for data in encoded:
        if part and size + len(data) > MESSAGE_LIMIT_BYTES:
            yield CatalogObjects(tuple(part))
            part, size = [], 0
        part.append(data)
        size += len(data)
    if part:
        yield CatalogObjects(tuple(part))
