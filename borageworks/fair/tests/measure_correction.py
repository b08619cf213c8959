"""Comparison of correction rules, for the tables of docs/fairness.md.

Run with `python -c "from borageworks.fair.tests.measure_correction import report;
report()"` at the root of the project. In the table headings, reach is
`owners_per_entry`, redraw is `mean_move_interval_s` and lag is `exchange_lag_s`.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import median

from borageworks.fair.drift_correction import DriftCorrection
from borageworks.fair.tests.fleet_model import (
    CorrectionRule,
    FleetModel,
    Scenario,
    compare,
)

PROCESS_COUNT = 6
SEEDS = range(1, 9)
SCENARIOS = {
    "8 owners, reach 3": Scenario(),
    "8, reach 6": Scenario(owners_per_entry=6),
    "8, reach 3, redraw 30 s": Scenario(mean_move_interval_s=30.0),
    "24, reach 8": Scenario(owners=24, owners_per_entry=8, organisations=32),
    "60, reach 16": Scenario(owners=60, owners_per_entry=16),
    "8, reach 3, mean 0.2 s": Scenario(mean_cost=20.0, duration_s=120),
    "8, reach 3, lag 3.9 s": Scenario(exchange_lag_s=3.9),
}
PARTITION_END_S = 180
PARTITION = Scenario(
    owners_per_entry=6, duration_s=500, partition=(60.0, float(PARTITION_END_S))
)
RULES = {
    "none": None,
    "0.3 only, limit 0.25": CorrectionRule(0.3, 0.0),
    "trend 0.5, limit 0.25": CorrectionRule(0.3, 0.5),
    "trend 1.0, limit 0.25": CorrectionRule(0.3, 1.0),
    "0.3 only, limit 1": CorrectionRule(0.3, 0.0, 1.0),
    "trend 0.5, limit 1": CorrectionRule(0.3, 0.5, 1.0),
    "trend 1.0, limit 1": CorrectionRule(0.3, 1.0, 1.0),
    "1.0 only, limit 1": CorrectionRule(1.0, 0.0, 1.0),
    "drift 0.5, limit 0.25": CorrectionRule(0.3, 0.5, 0.25, DriftCorrection),
    "drift 0.8, limit 0.25": CorrectionRule(0.3, 0.8, 0.25, DriftCorrection),
    "trend 0.5, limit 0.25, divided": CorrectionRule(0.3, 0.5, divide_shares=True),
    "drift 0.8, limit 0.25, divided": CorrectionRule(
        0.3, 0.8, 0.25, DriftCorrection, True
    ),
}


def gap_ratios(scenario, rule):
    """Return the ratio of the gap to that of the central queue, for each seed."""
    return [compare(scenario, rule, seed)[0] for seed in SEEDS]


def recovery(rule, seed):
    """Return how fast debt from a partition is repaid.

    Returns
    -------
    tuple
        Seconds until half of it is repaid (None if not within 320 s), and the ratio of
        the service of the indebted organisations in the first minute to the mean.
    """
    model = FleetModel(PARTITION, rule, seed)
    samples = model.run().samples
    indebted = model.names[: len(model.names) // 4]

    def mean_service(second):
        return sum(samples[second].values()) / len(samples[second])

    def mean_debt(second):
        return sum(samples[second][name] for name in indebted) / len(
            indebted
        ) - mean_service(second)

    end = PARTITION_END_S
    served = (
        mean_service(end + 60)
        + mean_debt(end + 60)
        - mean_service(end)
        - mean_debt(end)
    )
    half_repaid_s = next(
        (
            at - end
            for at in range(end, len(samples))
            if mean_debt(at) < mean_debt(end) / 2
        ),
        None,
    )
    return half_repaid_s, served / (mean_service(end + 60) - mean_service(end))


def report():
    """Write both tables to stdout as Markdown."""
    write = sys.stdout.write
    with ProcessPoolExecutor(PROCESS_COUNT) as pool:
        gaps = {
            (name, rule): pool.submit(gap_ratios, scenario, RULES[rule])
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
        half_repaid_times_s = sorted(
            half_repaid_s or 999 for half_repaid_s, _ in results
        )
        service_ratios = [service_ratio for _, service_ratio in results]
        write(
            f"| {rule} | {half_repaid_times_s[len(half_repaid_times_s) // 2]} | "
            f"{median(service_ratios):.2f} "
            f"(least {min(service_ratios):.2f}) |\n"
        )
