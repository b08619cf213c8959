"""How the placement requests of this instance reach the owners of shards."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.events import Event, emit
from borageworks.metrics import Metrics
from borageworks.placement.shards import Shard


@dataclass(slots=True)
class _Counts:
    sent: int = 0
    acknowledged: int = 0
    late: int = 0
    slowest_s: float = 0.0
    late_replies: int = 0
    alone: int = 0
    undecided: int = 0


class PlacementPaths:
    """Counts what becomes of placement requests, for a periodic log line.

    Parameters
    ----------
    metrics
        Records the duration `placement_ack` and counts late replies.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._counts: dict[Shard, _Counts] = {}

    def record_sent(self, shard: Shard) -> None:
        """Count a request that is sent to the owner of a shard."""
        self._of(shard).sent += 1

    def record_acknowledged(self, shard: Shard, seconds: float, *, late: bool) -> None:
        """Count an acknowledgement.

        Parameters
        ----------
        shard
            Shard of the request.
        seconds
            Time since the request was sent.
        late
            Whether the owner should have acknowledged it earlier.
        """
        counts = self._of(shard)
        counts.acknowledged += 1
        counts.late += late
        counts.slowest_s = max(counts.slowest_s, seconds)
        self._metrics.observe("placement_ack", seconds)

    def record_late_reply(self, shard: Shard) -> None:
        """Count a reply of an instance that is not asked any more."""
        self._of(shard).late_replies += 1
        self._metrics.count("placement_replies_late")

    def record_alone(self, shard: Shard) -> None:
        """Count a request that this instance places beside the owner."""
        self._of(shard).alone += 1

    def record_undecided(self, shard: Shard) -> None:
        """Count a request that is refused, as the owner does not decide in time."""
        self._of(shard).undecided += 1

    def report(self, owners: dict[Shard, str], lag_s: float) -> None:
        """Log the shards whose owners were late or passed over since the last report.

        Parameters
        ----------
        owners
            Instances that are asked at present.
        lag_s
            Mean loop lag of this instance, part of the time of an acknowledgement.
        """
        counts, self._counts = self._counts, {}
        for shard, item in counts.items():
            if not (item.late or item.late_replies or item.alone or item.undecided):
                continue
            emit(
                Event.PLACEMENT_PATHS,
                service=shard[0],
                shard=shard[1],
                owner=owners.get(shard),
                sent=item.sent,
                acknowledged=item.acknowledged,
                late=item.late,
                slowest_s=round(item.slowest_s, 3),
                late_replies=item.late_replies,
                alone=item.alone,
                undecided=item.undecided,
                lag_s=round(lag_s, 3),
            )

    def _of(self, shard: Shard) -> _Counts:
        counts = self._counts.get(shard)
        if counts is None:
            counts = self._counts[shard] = _Counts()
        return counts
