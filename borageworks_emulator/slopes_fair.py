"""Measures how the cost of fair queueing grows with organisations and owners."""

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

QUEUE_SIZES = (280, 1_000, 2_800, 28_000)
AGGREGATOR_SIZES = (280, 1_000, 2_800, 10_000)
OWNERS = 22  # owners of one pool in one domain at 800 nodes
ENTRIES = 4  # entry instances that hold one organisation's demand
ROUNDS = 20_000


@dataclass(frozen=True, slots=True)
class QueueSlope:
    """Cost of one fair queue.

    Parameters
    ----------
    organisations
        Backlogged organisations.
    bytes_each
        Memory of one of them.
    round_us
        Microseconds of one `take` with its `charge`.
    """

    organisations: int
    bytes_each: float
    round_us: float


@dataclass(frozen=True, slots=True)
class AggregatorSlope:
    """Cost of one pool's aggregator in one domain.

    Parameters
    ----------
    organisations, owners
        Backlogged organisations, each reported by every owner.
    bytes_per_counter
        Memory of one counter.
    report_us, error_us
        Microseconds to take one report and to derive one organisation's error.
    """

    organisations: int
    owners: int
    bytes_per_counter: float
    report_us: float
    error_us: float


def measure_queue(
    sizes: Sequence[int] = QUEUE_SIZES, seed: int = 1
) -> list[QueueSlope]:
    """Measure a fair queue with all organisations backlogged."""
    return [_queue(size, random.Random(seed)) for size in sizes]


def measure_aggregator(
    sizes: Sequence[int] = AGGREGATOR_SIZES, owners: int = OWNERS
) -> list[AggregatorSlope]:
    """Measure an aggregator whose organisations have demand at every owner."""
    return [_aggregator(size, owners) for size in sizes]


def _queue(size: int, rng: random.Random) -> QueueSlope:
    gc.collect()
    tracemalloc.start()
    queue = FairQueue()
    for number in range(size):
        for _ in range(ENTRIES):
            queue.set_demand(0.0, f"entry-{rng.randrange(800)}", f"org-{number}", 1000)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.process_time()
    for _ in range(ROUNDS):
        pick = queue.take(0.0)
        assert pick is not None
        queue.charge(pick.organisation, rng.paretovariate(1.5))
    spent = time.process_time() - began
    return QueueSlope(size, held / size, spent / ROUNDS * 1e6)


def _aggregator(size: int, owners: int) -> AggregatorSlope:
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
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    aggregator.errors(0.0, {})
    began = time.process_time()
    for report in reports:
        aggregator.report(4.0, report)
    reported = time.process_time() - began
    began = time.process_time()
    aggregator.errors(4.0, {})
    derived = time.process_time() - began
    return AggregatorSlope(
        size,
        owners,
        held / len(reports),
        reported / len(reports) * 1e6,
        derived / size * 1e6,
    )
