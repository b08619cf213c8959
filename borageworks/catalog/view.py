"""Whole configuration state that a ticket is checked against."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from borageworks.catalog.versioned import Versioned


@dataclass(frozen=True, slots=True)
class CatalogView:
    """Configuration at one store revision.

    Parameters
    ----------
    objects
        Objects and tombstones by (kind, id).
    applied
        Store revision of accepted tickets by ticket digest, for replays.
    domains
        Failure domains that endpoints may name, or None to accept any.
    """

    objects: Mapping[tuple[str, str], Versioned] = field(default_factory=dict)
    applied: Mapping[str, int] = field(default_factory=dict)
    domains: Collection[str] | None = None
