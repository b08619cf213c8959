"""Queue of waiting requests at one entry instance."""

from __future__ import annotations

from collections import Counter, deque

from borageworks.config.settings import QueueSettings
from borageworks.exceptions import InstanceQueueFullError, OrganisationQueueFullError
from borageworks.routing.drain_rate import DrainRate
from borageworks.routing.waiting import WaitingRequest

QueueKey = tuple[str, str]


class EntryQueue:
    """Waiting requests per (pool, organisation), in order of arrival.

    Parameters
    ----------
    settings
        Maximum lengths per organisation and in total.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._queues: dict[QueueKey, deque[WaitingRequest]] = {}
        self._waiting: dict[int, WaitingRequest] = {}
        self._per_organisation: Counter[str] = Counter()
        self._per_pool: Counter[str] = Counter()
        self._drain_rate = DrainRate()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def waiting(self, pool: str, organisation: str) -> int:
        """Return the number of an organisation's requests that wait for a pool."""
        return len(self._queues.get((pool, organisation), ()))

    def has_waiting(self, pool: str) -> bool:
        """Return whether any request waits for a pool."""
        return pool in self._per_pool

    def check_bounds(self, now: float, organisation: str) -> None:
        """Check whether the queue has room for a request.

        Raises
        ------
        OrganisationQueueFullError, InstanceQueueFullError
            If a maximum is reached; `retry_after` is the time in which half of the
            queue drains at the recent rate.
        """
        count = self._per_organisation[organisation]
        if count >= self._settings.per_organisation:
            raise OrganisationQueueFullError(
                f"{count} requests of organisation {organisation!r} are waiting",
                retry_after=self._drain_rate.drain_time_s(now, organisation, count / 2),
            )
        if len(self._waiting) >= self._settings.total:
            raise InstanceQueueFullError(
                f"{len(self._waiting)} requests are waiting",
                retry_after=self._drain_rate.drain_time_s(
                    now, None, len(self._waiting) / 2
                ),
            )

    def add(self, now: float, request: WaitingRequest) -> None:
        """Append a request; raises like `check_bounds`."""
        self.check_bounds(now, request.organisation)
        self._queue_of(request).append(request)
        self._register(request)

    def add_first(self, request: WaitingRequest) -> None:
        """Prepend a retried request, without a check since it was admitted before."""
        self._queue_of(request).appendleft(request)
        self._register(request)

    def pop(self, now: float, pool: str, organisation: str) -> WaitingRequest | None:
        """Remove and return the organisation's oldest request, None if none waits."""
        queue = self._queues.get((pool, organisation))
        if not queue:
            return None
        request = queue[0]
        self.remove(request.request_id)
        self._drain_rate.record(now, organisation)
        return request

    def remove(self, request_id: int) -> bool:
        """Remove a request; return whether it waited."""
        request = self._waiting.pop(request_id, None)
        if request is None:
            return False
        key = request.pool, request.organisation
        queue = self._queues[key]
        queue.remove(request)
        if not queue:
            del self._queues[key]
        _decrement(self._per_organisation, request.organisation)
        _decrement(self._per_pool, request.pool)
        return True

    def keys(self) -> list[QueueKey]:
        """Return each (pool, organisation) with waiting requests."""
        return list(self._queues)

    def _queue_of(self, request: WaitingRequest) -> deque[WaitingRequest]:
        return self._queues.setdefault((request.pool, request.organisation), deque())

    def _register(self, request: WaitingRequest) -> None:
        self._waiting[request.request_id] = request
        self._per_organisation[request.organisation] += 1
        self._per_pool[request.pool] += 1


def _decrement(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if not counts[name]:
        del counts[name]
