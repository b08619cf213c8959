"""Rendezvous hashing: which member is responsible for a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def _score(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def rendezvous(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest score for `key`, None if there is none."""
    return max(members, key=lambda member: (_score(key, member), member), default=None)


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending score for `key`."""
    return sorted(
        members, key=lambda member: (_score(key, member), member), reverse=True
    )
