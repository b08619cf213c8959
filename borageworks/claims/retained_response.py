"""A retained response."""

from __future__ import annotations

from dataclasses import dataclass

# Allowance for the dictionary entry, key hash and object headers.
RESPONSE_OVERHEAD_BYTES = 400


@dataclass(frozen=True, slots=True)
class RetainedResponse:
    """Complete response of a non-idempotent request."""

    status: int
    content_type: str
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Approximate memory use."""
        return RESPONSE_OVERHEAD_BYTES + len(self.content_type) + len(self.body)
