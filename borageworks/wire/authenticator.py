"""Message authentication codes with keys that can be rotated."""

from __future__ import annotations

import hashlib
import hmac

from borageworks.exceptions import MessageUnauthenticError

AUTHENTICATION_CODE_BYTES = 16


class Authenticator:
    """Signs with the first key and accepts codes of all keys.

    To rotate a key without interruption, configure all instances with (old, new), then
    with (new, old), then with (new).

    Parameters
    ----------
    keys
        Keys in hexadecimal.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keyed_hashes = [_keyed_hash(key) for key in keys]

    def add_key(self, key: str) -> None:
        """Sign with another key from now on; the former ones stay accepted."""
        self._keyed_hashes.insert(0, _keyed_hash(key))

    def sign(self, context: bytes, payload: bytes) -> bytes:
        """Return the authentication code of `payload`, valid only in `context`."""
        return self._compute_code(self._keyed_hashes[0], context, payload)

    def verify(self, context: bytes, payload: bytes, code: bytes) -> None:
        """Check the authentication code of `payload`.

        Raises
        ------
        MessageUnauthenticError
            If the code matches none of the keys.
        """
        for keyed_hash in self._keyed_hashes:
            if hmac.compare_digest(
                self._compute_code(keyed_hash, context, payload), code
            ):
                return
        raise MessageUnauthenticError("authentication code matches none of the keys")

    @staticmethod
    def _compute_code(
        keyed_hash: hashlib.blake2b, context: bytes, payload: bytes
    ) -> bytes:
        code_hash = keyed_hash.copy()
        # The length prefix separates context and payload unambiguously.
        code_hash.update(len(context).to_bytes(2, "big") + context)
        code_hash.update(payload)
        return code_hash.digest()


def _keyed_hash(key: str) -> hashlib.blake2b:
    return hashlib.blake2b(
        digest_size=AUTHENTICATION_CODE_BYTES, key=bytes.fromhex(key)
    )
