"""Decodes the load that endpoints report in their responses."""

from __future__ import annotations

import re

from multidict import CIMultiDictProxy

from borageworks.placement.engine_load import EngineLoad
from borageworks.platform import protocol_names

# Fields of a report: running, waiting, slots, and for some services the pace.
MIN_FIELDS = 3
PACE_FIELD = 3
PERCENT = 100.0
# `int` also accepts digits of other scripts, signs and underscores. The length keeps
# every number within the fields of messages between instances.
_COUNT = re.compile(r"[0-9]{1,9}", re.ASCII)
_PACE = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,9})?", re.ASCII)


def decode_load(headers: CIMultiDictProxy[str]) -> tuple[EngineLoad | None, bool]:
    """Return the load that a response reports, and whether it cannot be read.

    Fields after the fourth are ignored, so that the platform can add some.
    """
    values = {text.strip() for text in headers.getall(protocol_names.ENGINE_LOAD, ())}
    if not values:
        return None, False
    load = _parse(values.pop()) if len(values) == 1 else None
    return load, load is None


def _parse(text: str) -> EngineLoad | None:
    fields = [field.strip() for field in text.split(",")]
    if len(fields) < MIN_FIELDS:
        return None
    if not all(_COUNT.fullmatch(field) for field in fields[:MIN_FIELDS]):
        return None
    running, waiting, slots = (int(field) for field in fields[:MIN_FIELDS])
    if len(fields) == MIN_FIELDS:
        return EngineLoad(running, waiting, slots)
    if not _PACE.fullmatch(fields[PACE_FIELD]):
        return None
    pace = float(fields[PACE_FIELD]) / PERCENT
    # Work that takes no time is not a statement about a machine.
    return EngineLoad(running, waiting, slots, pace) if pace > 0.0 else None
