"""Decodes reports of model engines about their cached prompt parts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import orjson

from borageworks.exceptions import EndpointReplyMalformedError
from borageworks.placement.cache_update import CachedPart, CacheUpdate

EVENTS_PATH = "/kv-events"
LIST_PATH = "/kv-list"
WAIT_HEADER = "Wait-Ms"
MAX_COUNT = 2**53
# Parts that are decoded before the event loop may go on.
MAX_BLOCK_PARTS = 256


def events_target(since: int) -> str:
    """Return the request target for changes after sequence number `since`."""
    return f"{EVENTS_PATH}?since={since}"


def decode_events(data: bytes) -> Iterator[CacheUpdate]:
    """Yield the cache changes that an engine reports, some parts at a time.

    Raises
    ------
    EndpointReplyMalformedError
        If the response is malformed, which may show only at its last part.
    """
    try:
        body: Any = orjson.loads(data)
        epoch, next_sequence = _epoch(body), _count(body["next"])
        gap = bool(body["lost"])
        for rows in _blocks(body["events"]):
            # Row: sequence number, sign, unused text, part, cached tokens, model.
            changes = tuple(
                CachedPart(
                    _text(row[3]), _count(row[4]) if row[1] == "+" else 0, _text(row[5])
                )
                for row in rows
            )
            yield CacheUpdate(epoch, next_sequence, gap, False, changes)
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise EndpointReplyMalformedError(
            f"malformed cache events of an engine: {error!r}"
        ) from error


def decode_list(data: bytes) -> Iterator[CacheUpdate]:
    """Yield all parts that an engine has cached, like `decode_events`."""
    try:
        body: Any = orjson.loads(data)
        epoch, next_sequence = _epoch(body), _count(body["next"])
        for number, rows in enumerate(_blocks(body["held"])):
            # Row: unused text, part, cached tokens, model.
            cached_parts = tuple(
                CachedPart(_text(row[1]), _count(row[2]), _text(row[3])) for row in rows
            )
            # What follows the first block adds to it.
            yield CacheUpdate(epoch, next_sequence, False, number == 0, cached_parts)
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise EndpointReplyMalformedError(
            f"malformed cache list of an engine: {error!r}"
        ) from error


def _blocks(rows: Any) -> Iterator[list[Any]]:
    """Yield the rows in blocks; without rows, one empty block."""
    if not isinstance(rows, list):
        raise TypeError(f"not a list: {type(rows).__name__}")
    for start in range(0, max(len(rows), 1), MAX_BLOCK_PARTS):
        yield rows[start : start + MAX_BLOCK_PARTS]


def _count(value: Any) -> int:
    """Return a number that sums of many such numbers can hold exactly."""
    if not isinstance(value, int) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"not a count: {value!r:.50}")
    return int(value)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a text: {type(value).__name__}")
    return value


def _epoch(body: Any) -> str:
    epoch = body["epoch"]
    if not isinstance(epoch, str | int | float):
        raise TypeError(f"not an epoch: {type(epoch).__name__}")
    return str(epoch)
