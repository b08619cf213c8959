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

MAX_KEY_CHARACTERS = 255
KEY_HASH_BYTES = 16
BODY_HASH_BYTES = 8
UUID_VERSION = 7
MILLISECONDS_PER_SECOND = 1000
_VISIBLE_ASCII = re.compile(r"[!-~]+")
_UUID = re.compile(r"[0-9A-Fa-f]{8}(-[0-9A-Fa-f]{4}){3}-[0-9A-Fa-f]{12}")
_TIMESTAMPED = re.compile(r"([0-9]{1,12})-.+")


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A caller's key for one request.

    Parameters
    ----------
    text
        The key; a UUID is normalised to lower case.
    issued
        Unix time in seconds at which the caller created the key.
    """

    text: str
    issued: float

    @classmethod
    def parse(cls, text: str) -> IdempotencyKey:
        """Parse a UUID of version 7 or `<unix seconds>-<text>`.

        Raises
        ------
        IdempotencyKeyMalformedError
            The key has another format, is longer than 255 characters or contains
            characters other than visible ASCII.
        """
        if len(text) > MAX_KEY_CHARACTERS:
            raise IdempotencyKeyMalformedError(
                f"Idempotency-Key is longer than {MAX_KEY_CHARACTERS} characters"
            )
        if not _VISIBLE_ASCII.fullmatch(text):
            raise IdempotencyKeyMalformedError(
                "Idempotency-Key must consist of visible ASCII characters"
            )
        if _UUID.fullmatch(text):
            value = UUID(text)
            if value.version != UUID_VERSION:
                raise IdempotencyKeyMalformedError(
                    "Idempotency-Key is a UUID, but not of version 7"
                )
            return cls(str(value), (value.int >> 80) / MILLISECONDS_PER_SECOND)
        match = _TIMESTAMPED.fullmatch(text)
        if match is None:
            raise IdempotencyKeyMalformedError(
                "Idempotency-Key is neither a UUID of version 7 nor "
                "'<unix seconds>-<text>'"
            )
        return cls(text, float(match[1]))

    def check_window(self, unix_time: float, settings: ClaimSettings) -> None:
        """Raise an error if the key is outside the claim window at `unix_time`.

        Raises
        ------
        IdempotencyKeyExpiredError
            The key is older than the window minus the clock difference, or was issued
            further in the future than the clock difference.
        """
        oldest = unix_time - settings.window_s + settings.clock_difference_s
        if self.issued < oldest:
            raise IdempotencyKeyExpiredError(
                f"Idempotency-Key expired: issued {unix_time - self.issued:.0f} s ago"
            )
        if self.issued > unix_time + settings.clock_difference_s:
            raise IdempotencyKeyExpiredError(
                f"Idempotency-Key issued {self.issued - unix_time:.0f} s in the future"
            )

    def hash(self, organisation: str) -> bytes:
        """Return a hash that identifies the organisation and key in the fleet.

        The hash is cryptographic, so that no organisation can construct a key that
        collides with a key of another organisation.
        """
        # Organisation ids do not contain NUL, so the concatenation is unambiguous.
        identity = f"{organisation}\0{self.text}".encode()
        return blake2b(identity, digest_size=KEY_HASH_BYTES).digest()


def body_hash(body: bytes) -> bytes:
    """Return the hash that detects reuse of a key with a different body."""
    return blake2b(body, digest_size=BODY_HASH_BYTES).digest()
