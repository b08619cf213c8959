"""Measurements of how costs grow with size, the basis of docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import Any

from borageworks_emulator.slopes_catalog import measure_catalog
from borageworks_emulator.slopes_fair import measure_aggregator, measure_queue
from borageworks_emulator.slopes_membership import measure_membership
from borageworks_emulator.slopes_wire import measure_messages, measure_tokens

# A fleet of 800 members takes several minutes: run `measure_size(800)` for it.
FLEET_SIZES = (25, 50, 100, 200)
DEATH_COUNT = 4

MEASUREMENTS: dict[str, Callable[[int], Sequence[Any]]] = {
    "catalog": lambda seed: measure_catalog(seed=seed),
    "membership": lambda seed: measure_membership(
        FLEET_SIZES, seed=seed, deaths=DEATH_COUNT
    ),
    "fair queue": lambda seed: measure_queue(seed=seed),
    "aggregator": lambda _: measure_aggregator(),
    "messages": lambda _: measure_messages(),
    "tokens": lambda _: measure_tokens(),
}


def measure_slopes(
    seed: int, progress: Callable[[str], None]
) -> dict[str, list[dict[str, Any]]]:
    """Return the rows of every measurement by name.

    `progress` is called with each name before its measurement starts.
    """
    slopes = {}
    for name, measurement in MEASUREMENTS.items():
        progress(name)
        slopes[name] = [asdict(row) for row in measurement(seed)]
    return slopes


def render_rows(rows: list[dict[str, Any]]) -> list[str]:
    """Return the rows of one measurement as lines of a table."""
    names = [name for name, value in rows[0].items() if not isinstance(value, tuple)]
    lines = ["  ".join(names)]
    for row in rows:
        cells = (_cell(row[name]).rjust(len(name)) for name in names)
        lines.append("  ".join(cells))
    return lines


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
