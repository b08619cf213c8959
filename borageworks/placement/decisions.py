"""Decisions of placement about a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from borageworks.placement.work import Work, WorkKey


class RefusalReason(IntEnum):
    """Why a request is not placed."""

    NO_ENDPOINT = 0
    NO_CAPACITY = 1
    WAIT_TIMEOUT = 2
    SUSPECTED = 3
    STREAM_UNKNOWN = 4
    VERSION_GONE = 5


@dataclass(frozen=True, slots=True)
class Placed:
    """Sends the request to an endpoint.

    `uncached_tokens` is the number of prompt tokens that the endpoint is expected to
    prefill; `placed_by` is the instance that decided, if it was another one, and
    `software_version` the version of the endpoint as known to it. `speed` is the
    prefill time of the endpoint's `incarnation` relative to the others, 0 if unknown.
    `cold` tells that the placement is within the limit of a cold endpoint, and
    `share_reached` that the organisation has got what it is owed of the shard.
    """

    key: WorkKey
    endpoint: str
    uncached_tokens: int = 0
    placed_by: str = ""
    software_version: str = ""
    incarnation: str = field(default="", compare=False)
    speed: float = field(default=0.0, compare=False)
    cold: bool = False
    share_reached: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuses the request; the caller may retry after `retry_after_s` seconds.

    `work` is the request, None if another instance decided. `share_reached` tells that
    the organisation has got what it is owed of the shard.
    """

    key: WorkKey
    reason: RefusalReason
    retry_after_s: float
    work: Work | None = field(default=None, compare=False)
    share_reached: bool = field(default=False, compare=False)


Decision = Placed | Refused
