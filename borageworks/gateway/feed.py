"""Distribution of store changes within a failure domain.

A few instances (readers) watch the store and forward each change to the others.
"""

from __future__ import annotations

import asyncio

from borageworks.events import Event, emit
from borageworks.gateway.fleet import Fleet
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.settings import GatewaySettings
from borageworks.metrics import Metrics
from borageworks.store.values import StoredValue, WatchBatch
from borageworks.timers import Timers
from borageworks.wire.messages import ReplicaItem, ReplicaNews

# Fractions of the time within which a change must take effect. A reader queries the
# store at least once per READ_INTERVAL_RATIO of it. An instance without updates for
# FEED_TIMEOUT_RATIO of it reads the store directly; a third remains for that read.
READ_INTERVAL_RATIO = 0.25
FEED_TIMEOUT_RATIO = 0.65


class Feed:
    """Forwards store changes from the readers of a failure domain to its other members.

    Parameters
    ----------
    settings
        Settings of the process.
    fleet
        Other instances and messages to them.
    timers, metrics
        Services of the process.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: Fleet,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        apply_s = min(settings.config_apply_s, settings.evacuate_s)
        self._read_interval_s = apply_s * READ_INTERVAL_RATIO
        self._timeout_s = apply_s * FEED_TIMEOUT_RATIO
        self._fleet = fleet
        self._timers = timers
        self._metrics = metrics
        self._confirmed_at = -self._timeout_s
        self._updated_by_readers = False

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store for others."""
        return self._fleet.instance in self._fleet.readers()

    @property
    def updated_by_readers(self) -> bool:
        """Whether readers keep this instance up to date, without missing changes."""
        updated_by_readers = (
            self._timers.now() - self._confirmed_at < self._timeout_s
            and not self.is_reader
        )
        if updated_by_readers is not self._updated_by_readers:
            self._updated_by_readers = updated_by_readers
            self._metrics.gauge("fed_by_readers", float(updated_by_readers))
            emit(
                Event.FEED_CHANGED,
                fed=updated_by_readers,
                readers=self._fleet.readers(),
            )
        return updated_by_readers

    @property
    def timeout_s(self) -> float:
        """Seconds without an update after which the store is read directly."""
        return self._timeout_s

    def watch_wait_s(self) -> float | None:
        """Return how long a watch may wait for a change, None for the default."""
        return self._read_interval_s if self.is_reader else None

    def publish(
        self,
        era: int,
        after: int,
        revision: int,
        change: ReplicaChange,
        grace_s: float,
    ) -> None:
        """Send a change to the domain's other instances if this one is a reader.

        Parameters
        ----------
        era, after, revision
            Era of the local replica, and its revisions before and after the change.
        change
            Changed items; empty if the store only confirmed the revision.
        grace_s
            Seconds for which endpoints whose entry was deleted stay in use.
        """
        if not self.is_reader:
            return
        update = ReplicaNews(
            after=after,
            revision=revision,
            age_s=0.0,
            lapse_grace_s=grace_s,
            items=tuple(
                ReplicaItem(key, item.value, item.mod_revision)
                for key, item in change.puts.items()
            ),
            deletes=change.deletes,
            era=era,
        )
        for instance in self._fleet.domain_peers:
            self._fleet.send(instance, update)

    def receive(
        self, update: ReplicaNews, era: int, revision: int
    ) -> WatchBatch | None:
        """Return the changes that an update makes to a replica at `revision` of `era`.

        None if changes before the update are missing from the replica; the update then
        does not confirm that the replica is current.
        """
        if update.era != era or update.after > revision:
            self._metrics.count("feed_gaps")
            return None
        self._confirmed_at = max(self._confirmed_at, self._timers.now() - update.age_s)
        puts = {
            item.key: StoredValue(item.value, item.revision) for item in update.items
        }
        return WatchBatch(update.revision, puts, update.deletes, era)

    async def wait_until_stale(self) -> None:
        """Wait until readers no longer keep this instance up to date."""
        while self.updated_by_readers:
            remaining_s = self._confirmed_at + self._timeout_s - self._timers.now()
            await asyncio.sleep(max(remaining_s, 0.0) + self._read_interval_s / 10)
