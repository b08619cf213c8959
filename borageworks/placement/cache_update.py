"""Updates about the prompt parts that an engine has cached."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CachedPart:
    """Cached tokens of a prompt part for a model; 0 if the part was evicted."""

    part: str
    tokens: int
    model: str


@dataclass(frozen=True, slots=True)
class CacheUpdate:
    """Changes of an engine's prompt cache, or its whole content.

    Parameters
    ----------
    epoch
        Identifies a run of the engine; changes at a restart.
    next_sequence
        Sequence number to continue from.
    gap
        Whether changes before these were lost.
    complete
        Whether `parts` are the whole content.
    parts
        Parts in the order of their changes.
    """

    epoch: str
    next_sequence: int
    gap: bool
    complete: bool
    parts: tuple[CachedPart, ...]
