"""The store as the gateway uses it."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from typing import Protocol

from borageworks.store.store import Store
from borageworks.store.values import Lease, WatchBatch


class FollowedStore(Store, Protocol):
    """Store that tells whether it answers."""

    @property
    def failing_since(self) -> float | None:
        """Loop time of the first failure since the last success, None after one."""
        ...

    @property
    def regained_at(self) -> float | None:
        """Loop time of the first success after a failure, None without one."""
        ...

    def follow(
        self,
        prefix: str,
        start_revision: int,
        wait_s: Callable[[], float | None],
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield each change under `prefix`, and a batch without changes now and then.

        A batch without changes tells that the store vouches for its revision. It comes
        after `wait_s` seconds at the latest, asked before each call; None stands for
        as long as the deployment's bounds allow.
        """
        ...

    async def end_lease(self, lease: Lease) -> None:
        """Remove `lease` and the keys attached to it."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
