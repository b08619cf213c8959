"""Index of the endpoints that have cached a prompt part."""

from __future__ import annotations

from collections.abc import Iterable

# Model, and id of the part.
PartKey = tuple[str, str]


class PartIndex:
    """Ids of the endpoints that have cached each prompt part."""

    def __init__(self) -> None:
        self._holders: dict[PartKey, set[str]] = {}

    def holders(self, key: PartKey) -> Iterable[str]:
        """Return the endpoints that have cached a part."""
        return self._holders.get(key, ())

    def add(self, key: PartKey, endpoint: str) -> None:
        """Record that an endpoint has cached a part."""
        holders = self._holders.get(key)
        if holders is None:
            self._holders[key] = {endpoint}
        else:
            holders.add(endpoint)

    def discard(self, key: PartKey, endpoint: str) -> None:
        """Record that an endpoint has evicted a part."""
        holders = self._holders.get(key)
        if holders is None:
            return
        holders.discard(endpoint)
        if not holders:
            del self._holders[key]
