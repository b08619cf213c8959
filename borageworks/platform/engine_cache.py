"""Decodes reports of model engines about their cached prompt parts."""

from __future__ import annotations

from typing import Any

import orjson

from borageworks.exceptions import EndpointReplyMalformedError
from borageworks.placement.cache_update import CachedPart, CacheUpdate

EVENTS_PATH = "/kv-events"
LIST_PATH = "/kv-list"
WAIT_HEADER = "Wait-Ms"


def events_target(since: int) -> str:
    """Return the request target for changes after sequence number `since`."""
    return f"{EVENTS_PATH}?since={since}"


def decode_events(data: bytes) -> CacheUpdate:
    """Return the cache changes that an engine reports.

    Raises
    ------
    EndpointReplyMalformedError
        If the response is malformed.
    """
    try:
        body: Any = orjson.loads(data)
        # Row: sequence number, sign, unused text, part, cached tokens, model.
        changes = tuple(
            CachedPart(str(row[3]), int(row[4]) if row[1] == "+" else 0, str(row[5]))
            for row in body["events"]
        )
        return CacheUpdate(
            str(body["epoch"]), int(body["next"]), bool(body["lost"]), False, changes
        )
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise EndpointReplyMalformedError(
            f"malformed cache events of an engine: {error!r}"
        ) from error


def decode_list(data: bytes) -> CacheUpdate:
    """Return all parts that an engine has cached; raises like `decode_events`."""
    try:
        body: Any = orjson.loads(data)
        # Row: unused text, part, cached tokens, model.
        cached_parts = tuple(
            CachedPart(str(row[1]), int(row[2]), str(row[3])) for row in body["held"]
        )
        return CacheUpdate(
            str(body["epoch"]), int(body["next"]), False, True, cached_parts
        )
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise EndpointReplyMalformedError(
            f"malformed cache list of an engine: {error!r}"
        ) from error
