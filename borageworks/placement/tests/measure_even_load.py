"""Comparison of choices with and without load reports, for docs/design/even-load.md.

Run `python -m borageworks.placement.tests.measure_even_load` at the root of the
project.
"""

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from borageworks.placement.tests.uneven_engines import Figures, measure

PROCESS_COUNT = 3
SEEDS = (3, 4)
LOADS = (0.7, 0.8, 0.9, 0.95, 1.0)
PLACERS = (1, 3, 10)
SECONDS = 8.0
WARM_S = 20.0


def report() -> None:
    """Print one line for each number of instances, load and choice."""
    write = sys.stdout.write
    write("| instances | load | reports | late | refused | again | least share |\n")
    with ProcessPoolExecutor(PROCESS_COUNT) as pool:
        for placers in PLACERS:
            for load in LOADS:
                for reports in (False, True):
                    run = partial(_run, load, placers, reports)
                    _write_row(
                        write, load, placers, reports, list(pool.map(run, SEEDS))
                    )


def _run(load: float, placers: int, reports: bool, seed: int) -> Figures:
    figures: Figures = measure(
        load, placers, reports=reports, seed=seed, seconds=SECONDS, warm_s=WARM_S
    )
    return figures


def _write_row(
    write: Callable[[str], object],
    load: float,
    placers: int,
    reports: bool,
    rows: list[Figures],
) -> None:
    late = sum(row.late for row in rows) / len(rows)
    refused = sum(row.refused for row in rows) / len(rows)
    again = sum(row.prefilled_again for row in rows) / len(rows)
    share = min(row.min_share for row in rows)
    kind = "yes" if reports else "no"
    write(
        f"| {placers} | {load} | {kind} | {late:.4f} | {refused:.4f} | {again:.0f} "
        f"| {share:.3f} |\n"
    )
    sys.stdout.flush()


if __name__ == "__main__":
    report()
