"""Names of the store keys that hold the configuration."""

from __future__ import annotations

from dataclasses import dataclass

CATALOG_PREFIX = "catalog"

# At 4,800 tickets a day a ticket can be sent again for three days with the same result.
REPLAY_RECORDS = 16_384


@dataclass(frozen=True, slots=True)
class CatalogKeys:
    """Store keys under one prefix.

    The head and the buckets share the prefix `state`, so one range reads them at one
    revision; ticket records stand apart from them.
    """

    prefix: str = CATALOG_PREFIX

    @property
    def state(self) -> str:
        """Prefix of the head and of the buckets."""
        return f"{self.prefix}/state/"

    @property
    def head(self) -> str:
        """Key of the head."""
        return f"{self.prefix}/state/head"

    def bucket(self, index: int) -> str:
        """Return the key of a bucket."""
        return f"{self.prefix}/state/bucket/{index:02d}"

    def record(self, digest: str) -> str:
        """Return the key of the record of an accepted ticket."""
        return f"{self.prefix}/tickets/{digest}"

    def record_slot(self, count: int) -> str:
        """Return the key that names the record to delete for the `count`-th ticket."""
        return f"{self.prefix}/ticket-slots/{count % REPLAY_RECORDS:05d}"
