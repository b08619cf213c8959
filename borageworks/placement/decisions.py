"""What placement decides about a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from borageworks.placement.work import Work, WorkKey


class RefusalReason(IntEnum):
    """Why a request is not placed."""

    NO_ENDPOINT = 0
    NO_ROOM = 1
    WAITED = 2
    SUSPECTED = 3


@dataclass(frozen=True, slots=True)
class Placed:
    """The request is to be sent to an endpoint.

    `unread_tokens` is the part of its prompt that the endpoint is expected to read;
    `placed_by` the instance that decided, if it was another one.
    """

    key: WorkKey
    endpoint: str
    unread_tokens: int = 0
    placed_by: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is to be refused; it may come back after `retry_after_s` seconds.

    `work` is the request, None where another instance decided.
    """

    key: WorkKey
    reason: RefusalReason
    retry_after_s: float
    work: Work | None = field(default=None, compare=False)


Decision = Placed | Refused
