"""Input and output actions of a claim shard.

All actions are defined in one module because the claim service matches on each of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.store.values import Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A claim that awaits its outcome.

    Parameters
    ----------
    request_id
        Chosen by the holder; the low 32 bits are unique within one boot of the holder.
    key_hash, body_hash
        Hashes of the key (16 bytes) and of the request body (8 bytes).
    issued
        Unix time in seconds at which the caller created the key.
    holder
        Instance and boot id of the process that runs the request if the claim succeeds.
    deadline
        Monotonic time after which the reply to the claim is `UNAVAILABLE`.
    """

    request_id: int
    key_hash: bytes
    body_hash: bytes
    issued: float
    holder: str
    deadline: float


@dataclass(frozen=True, slots=True)
class LoadSegments:
    """Read all keys under `prefix`, then call `on_loaded` or `on_unavailable`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class CommitSegment:
    """Commit `transaction`, then report the result to the shard.

    The result is reported by `on_committed`, `on_conflict`, `on_unknown_outcome` or
    `on_unavailable`.
    """

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ReplyToClaim:
    """Reply to a claim; `holder` and `state` are those of the first claim."""

    claim: ClaimRequest
    outcome: ClaimOutcome
    holder: str = ""
    state: ClaimState = ClaimState.CLAIMED


Action = LoadSegments | CommitSegment | ReplyToClaim
