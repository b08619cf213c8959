"""Record of one claim."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.wire.messages import ClaimState


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim as it is stored.

    Parameters
    ----------
    key_hash
        16 bytes, identity of (organisation, key).
    body_hash
        8 bytes.
    holder
        Instance and boot that claimed; see `Holder`.
    request
        Low 32 bits of the holder's request id.
    state
        State of the claimed request.
    """

    key_hash: bytes
    body_hash: bytes
    holder: str
    request: int
    state: ClaimState
