"""Message authentication codes under keys that can be rolled over."""

from __future__ import annotations

import hashlib
import hmac

from borageworks.exceptions import MessageUnauthenticError

CODE_BYTES = 16


class Authenticator:
    """Signs with the first key and verifies with all of them.

    A key is replaced without interruption in three steps: give every instance
    (old, new), then (new, old), then (new).

    Parameters
    ----------
    keys
        Keys as hexadecimal text.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._states = [
            hashlib.blake2b(digest_size=CODE_BYTES, key=bytes.fromhex(key))
            for key in keys
        ]

    def sign(self, context: bytes, payload: bytes) -> bytes:
        """Return the code of `payload`, valid only in `context`."""
        return self._code(self._states[0], context, payload)

    def verify(self, context: bytes, payload: bytes, code: bytes) -> None:
        """Check the code of `payload`.

        Raises
        ------
        MessageUnauthenticError
            If no key gives this code.
        """
        for state in self._states:
            if hmac.compare_digest(self._code(state, context, payload), code):
                return
        raise MessageUnauthenticError("no key verifies the authentication code")

    @staticmethod
    def _code(state: hashlib.blake2b, context: bytes, payload: bytes) -> bytes:
        copy = state.copy()
        # The length keeps a context's end apart from the payload's start.
        copy.update(len(context).to_bytes(2, "big") + context)
        copy.update(payload)
        return copy.digest()
