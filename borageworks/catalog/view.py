"""Complete configuration that a ticket is checked against."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from borageworks.catalog.versioned_object import VersionedObject


@dataclass(frozen=True, slots=True)
class CatalogView:
    """Configuration at one store revision.

    Parameters
    ----------
    objects
        Objects and tombstones by (kind, id).
    accepted_revisions
        Store revision of each accepted ticket by ticket digest, to detect replays.
    domains
        Failure domains that endpoints may name, or None to accept any.
    """

    objects: Mapping[tuple[str, str], VersionedObject] = field(default_factory=dict)
    accepted_revisions: Mapping[str, int] = field(default_factory=dict)
    domains: Collection[str] | None = None
