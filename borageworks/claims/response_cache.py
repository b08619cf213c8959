"""Retained responses of non-idempotent requests."""

from __future__ import annotations

from collections import OrderedDict

from borageworks.claims.retained_response import RetainedResponse
from borageworks.wire.messages import HeldAnswer


class ResponseCache:
    """Size-bounded LRU cache of responses by key hash.

    Parameters
    ----------
    limit_bytes
        Maximum total size of the retained responses.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._running: set[bytes] = set()
        self._responses: OrderedDict[bytes, RetainedResponse] = OrderedDict()
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Total size of the retained responses."""
        return self._size_bytes

    def mark_running(self, key_hash: bytes) -> None:
        """Mark a claimed request as queued or running on this instance."""
        self._running.add(key_hash)

    def discard(self, key_hash: bytes) -> None:
        """Remove a request that ended without a response to retain."""
        self._running.discard(key_hash)

    def store(self, key_hash: bytes, response: RetainedResponse) -> None:
        """Retain the response of a request unless it alone exceeds the limit."""
        self._running.discard(key_hash)
        previous = self._responses.pop(key_hash, None)
        if previous is not None:
            self._size_bytes -= previous.size_bytes
        if response.size_bytes > self._limit_bytes:
            return
        self._responses[key_hash] = response
        self._size_bytes += response.size_bytes
        while self._size_bytes > self._limit_bytes:
            _, dropped = self._responses.popitem(last=False)
            self._size_bytes -= dropped.size_bytes

    def find(self, key_hash: bytes) -> tuple[HeldAnswer, RetainedResponse | None]:
        """Return the status of a request, and its response if it is retained."""
        if key_hash in self._running:
            return HeldAnswer.RUNNING, None
        response = self._responses.get(key_hash)
        if response is None:
            return HeldAnswer.GONE, None
        self._responses.move_to_end(key_hash)
        return HeldAnswer.HELD, response
