"""Estimate of the prompt parts that one engine has cached."""

from __future__ import annotations

from collections import OrderedDict

from borageworks.gateway.caller_request import Prompt
from borageworks.placement.cache_update import CacheUpdate
from borageworks.placement.part_index import PartIndex, PartKey


class PromptCache:
    """Estimate of the prompt parts that one engine has cached, in LRU order.

    Parts of a placed prompt count as cached at once, since the engine has prefilled
    them before it starts the next prompt. Updates from the engine correct the estimate,
    also for evicted parts.

    Parameters
    ----------
    capacity_tokens
        Total tokens cached by the engine.
    endpoint
        Id of the engine.
    index
        Index of the parts that all engines have cached.
    """

    def __init__(self, capacity_tokens: int, endpoint: str, index: PartIndex) -> None:
        self._capacity_tokens = capacity_tokens
        self._endpoint = endpoint
        self._index = index
        self._parts: OrderedDict[PartKey, int] = OrderedDict()
        self._tokens = 0
        self._epoch: str | None = None

    @property
    def tokens(self) -> int:
        """Total tokens of the cached parts."""
        return self._tokens

    @property
    def epoch(self) -> str | None:
        """Epoch of the last update, None before the first."""
        return self._epoch

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the number of tokens in the longest cached prefix of the prompt."""
        cached = 0
        for part in prompt.parts:
            tokens = min(self._parts.get((prompt.model, part.id), 0), part.tokens)
            cached += tokens
            if tokens < part.tokens:
                break
        return cached

    def record_use(self, prompt: Prompt) -> None:
        """Mark the prompt's parts as cached and most recently used."""
        for part in prompt.parts:
            self._insert((prompt.model, part.id), part.tokens)
        self._evict()

    def apply(self, update: CacheUpdate) -> None:
        """Apply an update from the engine."""
        if update.complete or update.epoch != self._epoch:
            self._remove_all()
        self._epoch = update.epoch
        for cached in update.parts:
            key = cached.model, cached.part
            if cached.tokens:
                self._insert(key, cached.tokens)
            else:
                self._remove(key)
        self._evict()

    def clear(self) -> None:
        """Remove all parts, after a restart of the engine."""
        self._remove_all()
        self._epoch = None

    def _remove_all(self) -> None:
        for key in self._parts:
            self._index.discard(key, self._endpoint)
        self._parts.clear()
        self._tokens = 0

    def _insert(self, key: PartKey, tokens: int) -> None:
        if key not in self._parts:
            self._index.add(key, self._endpoint)
        self._tokens += tokens - self._parts.get(key, 0)
        self._parts[key] = tokens
        self._parts.move_to_end(key)

    def _remove(self, key: PartKey) -> None:
        if key in self._parts:
            self._tokens -= self._parts.pop(key)
            self._index.discard(key, self._endpoint)

    def _evict(self) -> None:
        while self._tokens > self._capacity_tokens and self._parts:
            self._remove(next(iter(self._parts)))
