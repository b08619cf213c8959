"""Retained responses of non-idempotent requests."""

from __future__ import annotations

from collections import OrderedDict

from borageworks.claims.retained import RetainedAnswer
from borageworks.wire.messages import HeldAnswer


class HeldAnswers:
    """Responses by key hash in bounded memory; the least recently used go first.

    Parameters
    ----------
    limit_bytes
        Bound of the retained responses together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit = limit_bytes
        self._running: set[bytes] = set()
        self._held: OrderedDict[bytes, RetainedAnswer] = OrderedDict()
        self._bytes = 0

    @property
    def size(self) -> int:
        """Bytes of all retained responses."""
        return self._bytes

    def start(self, key_hash: bytes) -> None:
        """Note that a claimed request waits or runs here."""
        self._running.add(key_hash)

    def discard(self, key_hash: bytes) -> None:
        """Forget a request that ended without a response."""
        self._running.discard(key_hash)

    def hold(self, key_hash: bytes, answer: RetainedAnswer) -> None:
        """Retain the response of a request; one over the bound is not retained."""
        self._running.discard(key_hash)
        previous = self._held.pop(key_hash, None)
        if previous is not None:
            self._bytes -= previous.size
        if answer.size > self._limit:
            return
        self._held[key_hash] = answer
        self._bytes += answer.size
        while self._bytes > self._limit:
            _, dropped = self._held.popitem(last=False)
            self._bytes -= dropped.size

    def find(self, key_hash: bytes) -> tuple[HeldAnswer, RetainedAnswer | None]:
        """Return what is known of a request, and its response if it is retained."""
        if key_hash in self._running:
            return HeldAnswer.RUNNING, None
        answer = self._held.get(key_hash)
        if answer is None:
            return HeldAnswer.GONE, None
        self._held.move_to_end(key_hash)
        return HeldAnswer.HELD, answer
