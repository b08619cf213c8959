"""Names of the store keys that hold the configuration."""

from __future__ import annotations

from dataclasses import dataclass

CATALOG_PREFIX = "catalog"

# At 4,800 tickets per day, a ticket can be applied again for three days with the same
# result.
TICKET_RECORD_COUNT = 16_384


@dataclass(frozen=True, slots=True)
class CatalogKeys:
    """Store keys under one prefix.

    The head and the buckets share the prefix `state`, so one range call reads them at
    one revision. Ticket records have a prefix of their own.
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

    def ticket_record(self, digest: str) -> str:
        """Return the key of the record of an accepted ticket."""
        return f"{self.prefix}/tickets/{digest}"

    def ticket_record_slot(self, count: int) -> str:
        """Return the key that names the record to delete for the `count`-th ticket."""
        return f"{self.prefix}/ticket-slots/{count % TICKET_RECORD_COUNT:05d}"
