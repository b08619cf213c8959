"""Measurements of how fair queueing cost grows with organisations and owners."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass

from borageworks.fair.aggregator import Aggregator
from borageworks.fair.queue import FairQueue
from borageworks.wire.messages import ServiceReport

QUEUE_ORGANISATION_COUNTS = (280, 1_000, 2_800, 28_000)
AGGREGATOR_ORGANISATION_COUNTS = (280, 1_000, 2_800, 10_000)
# Owners of one pool in one failure domain of a fleet of 800 instances.
OWNER_COUNT = 22
# Entry instances that report demand of one organisation.
ENTRY_INSTANCE_COUNT = 4
ROUNDS = 20_000


@dataclass(frozen=True, slots=True)
class QueueSlope:
    """Cost of one fair queue.

    Parameters
    ----------
    organisations
        Number of backlogged organisations.
    bytes_each
        Memory per organisation.
    round_us
        CPU microseconds of one `take` with its `charge`.
    """

    organisations: int
    bytes_each: float
    round_us: float


@dataclass(frozen=True, slots=True)
class AggregatorSlope:
    """Cost of the aggregator of one pool in one failure domain.

    Parameters
    ----------
    organisations, owners
        Number of backlogged organisations and of owners, which each report all of them.
    bytes_per_counter
        Memory per counter.
    report_us, error_us
        CPU microseconds to process one report and to compute one organisation's error.
    """

    organisations: int
    owners: int
    bytes_per_counter: float
    report_us: float
    error_us: float


def measure_queue(
    sizes: Sequence[int] = QUEUE_ORGANISATION_COUNTS, seed: int = 1
) -> list[QueueSlope]:
    """Measure a fair queue in which all organisations are backlogged."""
    return [_measure_queue_size(size, random.Random(seed)) for size in sizes]


def measure_aggregator(
    sizes: Sequence[int] = AGGREGATOR_ORGANISATION_COUNTS, owners: int = OWNER_COUNT
) -> list[AggregatorSlope]:
    """Measure an aggregator whose organisations have demand at every owner."""
    return [_measure_aggregator_size(size, owners) for size in sizes]


def _measure_queue_size(size: int, rng: random.Random) -> QueueSlope:
    gc.collect()
    tracemalloc.start()
    queue = FairQueue()
    for number in range(size):
        for _ in range(ENTRY_INSTANCE_COUNT):
            queue.set_demand(0.0, f"entry-{rng.randrange(800)}", f"org-{number}", 1000)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(ROUNDS):
        pick = queue.take(0.0)
        assert pick is not None
        queue.charge(pick.organisation, rng.paretovariate(1.5))
    elapsed = time.process_time() - started
    return QueueSlope(size, traced_bytes / size, elapsed / ROUNDS * 1e6)


def _measure_aggregator_size(size: int, owners: int) -> AggregatorSlope:
    reports = [
        ServiceReport(
            "pool", f"org-{number}", f"owner-{owner}", 1, 1.0 + owner, True, "d", 1
        )
        for number in range(size)
        for owner in range(owners)
    ]
    gc.collect()
    tracemalloc.start()
    aggregator = Aggregator("pool", "d", 10.0)
    for report in reports:
        aggregator.report(0.0, report)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    aggregator.errors(0.0, {})
    started = time.process_time()
    for report in reports:
        aggregator.report(4.0, report)
    report_elapsed = time.process_time() - started
    started = time.process_time()
    aggregator.errors(4.0, {})
    errors_elapsed = time.process_time() - started
    return AggregatorSlope(
        size,
        owners,
        traced_bytes / len(reports),
        report_elapsed / len(reports) * 1e6,
        errors_elapsed / size * 1e6,
    )
