"""Record of one claim."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.wire.messages import ClaimState


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Stored form of a claim.

    Parameters
    ----------
    key_hash
        Hash of organisation and key, 16 bytes.
    body_hash
        Hash of the request body, 8 bytes.
    holder
        Instance and boot id of the claiming process, as text; see `Holder`.
    request_id_low
        Low 32 bits of the holder's request id.
    state
        State of the claimed request.
    """

    key_hash: bytes
    body_hash: bytes
    holder: str
    request_id_low: int
    state: ClaimState
