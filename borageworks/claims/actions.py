"""Input and actions of a claim shard.

The closed set stands in one file, since the claim service matches on all of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.store.values import Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A claim that waits for its outcome.

    Parameters
    ----------
    request_id
        Chosen by the holder; unique for one boot of it in its low 32 bits.
    key_hash, body_hash
        16 and 8 bytes.
    issued
        Unix time in seconds at which the caller made the key.
    holder
        Instance and boot that run the request if the claim succeeds.
    deadline
        Monotonic time at which the claim is answered `UNAVAILABLE`.
    """

    request_id: int
    key_hash: bytes
    body_hash: bytes
    issued: float
    holder: str
    deadline: float


@dataclass(frozen=True, slots=True)
class LoadSegments:
    """Read all keys under `prefix`, then call `loaded` or `unavailable`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class CommitSegment:
    """Commit, then call `committed`, `conflicted`, `unknown` or `unavailable`."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of one claim; `holder` and `state` are those of the first claim."""

    claim: ClaimRequest
    outcome: ClaimOutcome
    holder: str = ""
    state: ClaimState = ClaimState.CLAIMED


Action = LoadSegments | CommitSegment | Answer
