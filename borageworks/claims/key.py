"""Idempotency keys."""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b
from uuid import UUID

from borageworks.config.settings import ClaimSettings
from borageworks.exceptions import (
    IdempotencyKeyExpiredError,
    IdempotencyKeyMalformedError,
)

KEY_LENGTH_MAX = 255
KEY_HASH_BYTES = 16
BODY_HASH_BYTES = 8
UUID_TIME_VERSION = 7
MILLISECONDS_PER_SECOND = 1000
_VISIBLE = re.compile(r"[!-~]+")
_UUID = re.compile(r"[0-9A-Fa-f]{8}(-[0-9A-Fa-f]{4}){3}-[0-9A-Fa-f]{12}")
_SECONDS = re.compile(r"([0-9]{1,12})-.+")


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A caller's key for one request.

    Parameters
    ----------
    text
        The key; a UUID is in lower case.
    issued
        Unix time in seconds at which the caller made the key.
    """

    text: str
    issued: float

    @classmethod
    def parse(cls, text: str) -> IdempotencyKey:
        """Read a UUID of version 7 or `<unix seconds>-<text>`.

        Raises
        ------
        IdempotencyKeyMalformedError
            The key has another form, is over 255 characters or has characters other
            than visible ASCII.
        """
        if len(text) > KEY_LENGTH_MAX:
            raise IdempotencyKeyMalformedError(
                f"Idempotency-Key is over {KEY_LENGTH_MAX} characters"
            )
        if not _VISIBLE.fullmatch(text):
            raise IdempotencyKeyMalformedError(
                "Idempotency-Key must be visible ASCII characters"
            )
        if _UUID.fullmatch(text):
            value = UUID(text)
            if value.version != UUID_TIME_VERSION:
                raise IdempotencyKeyMalformedError(
                    "Idempotency-Key is a UUID of another version than 7"
                )
            return cls(str(value), (value.int >> 80) / MILLISECONDS_PER_SECOND)
        match = _SECONDS.fullmatch(text)
        if match is None:
            raise IdempotencyKeyMalformedError(
                "Idempotency-Key is neither a UUID of version 7 nor "
                "'<unix seconds>-<text>'"
            )
        return cls(text, float(match[1]))

    def check(self, wall: float, settings: ClaimSettings) -> None:
        """Refuse a key outside the claim window at Unix time `wall`.

        Raises
        ------
        IdempotencyKeyExpiredError
            The key is older than the window less the clock difference, or was issued
            later than the clock difference from now.
        """
        oldest = wall - settings.window_s + settings.clock_difference_s
        if self.issued < oldest:
            raise IdempotencyKeyExpiredError(
                f"Idempotency-Key was issued {wall - self.issued:.0f} s ago"
            )
        if self.issued > wall + settings.clock_difference_s:
            raise IdempotencyKeyExpiredError(
                f"Idempotency-Key was issued {self.issued - wall:.0f} s in the future"
            )

    def hash(self, organisation: str) -> bytes:
        """Return the identity of the key within the fleet.

        The hash is cryptographic, so no organisation can make a key that collides with
        another organisation's.
        """
        # Organisation ids have no NUL, so the concatenation is unambiguous.
        identity = f"{organisation}\0{self.text}".encode()
        return blake2b(identity, digest_size=KEY_HASH_BYTES).digest()


def body_hash(body: bytes) -> bytes:
    """Return the hash by which a key's reuse with another body is found."""
    return blake2b(body, digest_size=BODY_HASH_BYTES).digest()
