"""All slopes from which docs/CAPACITY.md is worked out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import Any

from borageworks_emulator.slopes_catalog import measure_catalog
from borageworks_emulator.slopes_fair import measure_aggregator, measure_queue
from borageworks_emulator.slopes_membership import measure_membership
from borageworks_emulator.slopes_wire import measure_messages, measure_tokens

# 800 members take several minutes; `measure_size(800)` measures them.
MEMBERS = (25, 50, 100, 200)
DEATHS = 4

MEASUREMENTS: dict[str, Callable[[int], Sequence[Any]]] = {
    "catalog": lambda seed: measure_catalog(seed=seed),
    "membership": lambda seed: measure_membership(MEMBERS, seed=seed, deaths=DEATHS),
    "fair queue": lambda seed: measure_queue(seed=seed),
    "aggregator": lambda _: measure_aggregator(),
    "messages": lambda _: measure_messages(),
    "tokens": lambda _: measure_tokens(),
}


def measure_slopes(
    seed: int, progress: Callable[[str], None]
) -> dict[str, list[dict[str, Any]]]:
    """Return every slope's rows by name; `progress` is told each name before."""
    slopes = {}
    for name, measurement in MEASUREMENTS.items():
        progress(name)
        slopes[name] = [asdict(row) for row in measurement(seed)]
    return slopes


def render(rows: list[dict[str, Any]]) -> list[str]:
    """Return one slope as lines of a table."""
    names = [name for name, value in rows[0].items() if not isinstance(value, tuple)]
    lines = ["  ".join(names)]
    for row in rows:
        cells = (_cell(row[name]).rjust(len(name)) for name in names)
        lines.append("  ".join(cells))
    return lines


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
