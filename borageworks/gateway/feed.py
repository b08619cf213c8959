"""Passes the store's changes from the readers of a failure domain to the others."""

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

# Parts of the time in which a change has to be in force. A reader asks the store after
# the first at the latest; whoever has heard nothing for the second reads it directly,
# which leaves a third of the time for that.
VOUCH_RATIO = 0.25
SILENCE_RATIO = 0.65


class Feed:
    """Passes the store's changes from the readers of a failure domain to the others.

    Parameters
    ----------
    settings
        Settings of the process.
    fleet
        The other instances.
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
        self._vouch_s = settings.apply_s * VOUCH_RATIO
        self._silence_s = settings.apply_s * SILENCE_RATIO
        self._fleet = fleet
        self._timers = timers
        self._metrics = metrics
        self._vouched_at = -self._silence_s
        self._fed = False

    @property
    def reading(self) -> bool:
        """Whether this instance reads the store for others."""
        return self._fleet.instance in self._fleet.readers()

    @property
    def fed(self) -> bool:
        """Whether others tell this instance what the store holds, without a gap."""
        fed = (
            self._timers.now() - self._vouched_at < self._silence_s and not self.reading
        )
        if fed is not self._fed:
            self._fed = fed
            self._metrics.gauge("fed_by_readers", float(fed))
            emit(Event.FEED_CHANGED, fed=fed, readers=self._fleet.readers())
        return fed

    @property
    def silence_s(self) -> float:
        """Seconds without news after which the store is read directly."""
        return self._silence_s

    def watch_wait_s(self) -> float | None:
        """Return how long a watch may wait for a change, None for the usual time."""
        return self._vouch_s if self.reading else None

    def publish(
        self, after: int, revision: int, change: ReplicaChange, lapse_grace_s: float
    ) -> None:
        """Tell the other instances of the failure domain, if this one reads for them.

        Parameters
        ----------
        after, revision
            Revisions of the own copy before and after the change.
        change
            What changed; nothing if the store just vouches for the revision.
        lapse_grace_s
            Seconds for which endpoints whose entry is gone are still used.
        """
        if not self.reading:
            return
        news = ReplicaNews(
            after=after,
            revision=revision,
            age_s=0.0,
            lapse_grace_s=lapse_grace_s,
            items=tuple(
                ReplicaItem(key, item.value, item.mod_revision)
                for key, item in change.puts.items()
            ),
            deletes=change.deletes,
        )
        for instance in self._fleet.neighbours:
            self._fleet.send(instance, news)

    def take(self, news: ReplicaNews, revision: int) -> WatchBatch | None:
        """Return what news change in a copy that has reached a revision.

        None if the copy lacks something before them: then they say nothing of it.
        """
        if news.after > revision:
            self._metrics.count("feed_gaps")
            return None
        self._vouched_at = max(self._vouched_at, self._timers.now() - news.age_s)
        puts = {item.key: StoredValue(item.value, item.revision) for item in news.items}
        return WatchBatch(news.revision, puts, news.deletes)

    async def wait_for_silence(self) -> None:
        """Return when others do not tell this instance any more."""
        while self.fed:
            left = self._vouched_at + self._silence_s - self._timers.now()
            await asyncio.sleep(max(left, 0.0) + self._vouch_s / 10)
