"""Measurement of correction rules; the tables of docs/fairness.md.

Run with `python -c "from borageworks.fair.tests.measure_correction import report;
report()"` at the root of the project.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import median

from borageworks.fair.drift import DriftCorrection
from borageworks.fair.tests.fleet_model import FleetModel, Rule, Scenario, compare

PROCESSES = 6
SEEDS = range(1, 9)
SCENARIOS = {
    "8 owners, reach 3": Scenario(),
    "8, reach 6": Scenario(reach=6),
    "8, reach 3, redraw 30 s": Scenario(redraw_s=30.0),
    "24, reach 8": Scenario(owners=24, reach=8, organisations=32),
    "60, reach 16": Scenario(owners=60, reach=16),
    "8, reach 3, mean 0.2 s": Scenario(mean_cost=20.0, seconds=120),
    "8, reach 3, lag 3.9 s": Scenario(lag_s=3.9),
}
PARTITION_END_S = 180
PARTITION = Scenario(reach=6, seconds=500, partition=(60.0, float(PARTITION_END_S)))
RULES = {
    "none": None,
    "0.3 only, limit 0.25": Rule(0.3, 0.0),
    "trend 0.5, limit 0.25": Rule(0.3, 0.5),
    "trend 1.0, limit 0.25": Rule(0.3, 1.0),
    "0.3 only, limit 1": Rule(0.3, 0.0, 1.0),
    "trend 0.5, limit 1": Rule(0.3, 0.5, 1.0),
    "trend 1.0, limit 1": Rule(0.3, 1.0, 1.0),
    "1.0 only, limit 1": Rule(1.0, 0.0, 1.0),
    "drift 0.5, limit 0.25": Rule(0.3, 0.5, 0.25, DriftCorrection),
    "drift 0.8, limit 0.25": Rule(0.3, 0.8, 0.25, DriftCorrection),
    "trend 0.5, limit 0.25, divided": Rule(0.3, 0.5, divided=True),
    "drift 0.8, limit 0.25, divided": Rule(0.3, 0.8, 0.25, DriftCorrection, True),
}


def ratios(scenario, rule):
    """Return the gaps as multiples of the central queue's, one per seed."""
    return [compare(scenario, rule, seed)[0] for seed in SEEDS]


def recovery(rule, seed):
    """Return how debt from a partition is repaid.

    Returns
    -------
    tuple
        Seconds until half of it is repaid (None: not within 320 s), and the service of
        the indebted organisations in the first minute, as a part of the mean.
    """
    model = FleetModel(PARTITION, rule, seed)
    levels = model.run().levels
    indebted = model.names[: len(model.names) // 4]

    def mean(second):
        return sum(levels[second].values()) / len(levels[second])

    def owed(second):
        return sum(levels[second][name] for name in indebted) / len(indebted) - mean(
            second
        )

    end = PARTITION_END_S
    served = mean(end + 60) + owed(end + 60) - mean(end) - owed(end)
    half = next(
        (at - end for at in range(end, len(levels)) if owed(at) < owed(end) / 2), None
    )
    return half, served / (mean(end + 60) - mean(end))


def report():
    """Write both tables as Markdown."""
    write = sys.stdout.write
    with ProcessPoolExecutor(PROCESSES) as pool:
        gaps = {
            (name, rule): pool.submit(ratios, scenario, RULES[rule])
            for rule in RULES
            for name, scenario in SCENARIOS.items()
        }
        debts = {
            rule: list(pool.map(partial(recovery, RULES[rule]), SEEDS))
            for rule in RULES
            if RULES[rule]
        }
    write("| rule | " + " | ".join(SCENARIOS) + " |\n")
    write("|---" * (len(SCENARIOS) + 1) + "|\n")
    for rule in RULES:
        cells = [gaps[name, rule].result() for name in SCENARIOS]
        row = [f"{median(values):.2f} ({max(values):.2f})" for values in cells]
        write(f"| {rule} | " + " | ".join(row) + " |\n")
    write("\n| rule | half of the debt repaid, s | service in the first minute |\n")
    write("|---|---|---|\n")
    for rule, results in debts.items():
        halves = sorted(half or 999 for half, _ in results)
        parts = [part for _, part in results]
        write(
            f"| {rule} | {halves[len(halves) // 2]} | "
            f"{median(parts):.2f} (least {min(parts):.2f}) |\n"
        )
