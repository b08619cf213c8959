"""Store interface used by the gateway."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from typing import Protocol

from borageworks.store.store import Store
from borageworks.store.values import WatchBatch


class FollowedStore(Store, Protocol):
    """Store that reports its availability and can be watched."""

    @property
    def failing_since(self) -> float | None:
        """Loop time of the first failure since the last success, if any."""
        ...

    @property
    def recovered_at(self) -> float | None:
        """Loop time of the first success after the last outage, if any."""
        ...

    def watch_with_progress(
        self,
        prefix: str,
        era: int,
        start_revision: int,
        wait_s: Callable[[], float | None],
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield each change under `prefix`, and empty batches in between.

        Ends with StoreRestoredError if the store is not in `era` any more.
        An empty batch confirms that its revision is current. One is yielded after at
        most `wait_s()` seconds without changes; `wait_s` is called before each call to
        the store, and None means as long as the deployment's bounds allow.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
