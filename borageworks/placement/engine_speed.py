"""Lasting speed of one engine relative to the others of its service."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Quantile of the samples that the estimate follows. Queues, cold caches and other work
# on the machine only make samples longer, so that the quantile is below the median.
QUANTILE = 0.4
# Changes of the logarithm of the estimate by a sample: the first, and the least.
FIRST_STEP = 0.25
MIN_STEP = 0.02
# Samples after which the step has halved.
STEP_HALVING_SAMPLES = 8.0
# Samples that the estimate of another instance counts as.
ADOPTED_SAMPLES = 40
# Bounds of the estimate, so that faulty samples cannot exclude an engine.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
# Bounds of the estimate before it is related to the other engines: an overload makes
# the samples of all engines several times as long.
MIN_RAW_RATIO = 1e-3
MAX_RAW_RATIO = 1e3
# Prompts with fewer tokens to prefill are no samples: the delay of messages outweighs
# their prefill.
MIN_SAMPLE_TOKENS = 500


@dataclass(slots=True)
class EngineSpeed:
    """Learns how long an engine takes for prefill, relative to its service.

    The estimate does not decay with time, as it belongs to the machine: an engine that
    gets no requests is as fast afterwards as it was before.

    Parameters
    ----------
    ratio
        Prefill time relative to the mean of the service's engines, 1 at first.
    samples
        Number of samples taken in; 0 if nothing is known.
    """

    ratio: float = 1.0
    samples: int = 0
    _raw: float = 1.0

    @property
    def known_ratio(self) -> float:
        """Estimate, 0 if nothing is known."""
        return self.ratio if self.samples else 0.0

    def adopt(self, ratio: float) -> None:
        """Take over the estimate of the instance that placed last."""
        if math.isfinite(ratio) and ratio > 0.0:
            self._raw = self.ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
            self.samples = max(self.samples, ADOPTED_SAMPLES)

    def record(self, measured_s: float, expected_s: float) -> None:
        """Add the prefill time of one prompt, and the one at an average engine."""
        self.samples += 1
        step = FIRST_STEP / (1.0 + self.samples / STEP_HALVING_SAMPLES)
        step = max(step, MIN_STEP)
        longer = measured_s > expected_s * self._raw
        change = step * QUANTILE if longer else -step * (1.0 - QUANTILE)
        raw = self._raw * math.exp(change)
        self._raw = min(max(raw, MIN_RAW_RATIO), MAX_RAW_RATIO)


def normalise(speeds: Iterable[EngineSpeed]) -> None:
    """Relate the estimates to the mean speed of the engines that have samples.

    What makes all engines slower alike is part of the service's prefill time and not
    of the estimates. While few engines are known, as at a new owner, what was told of
    them stays: their own mean is not that of the service.
    """
    known = list(speeds)
    learned = [speed for speed in known if speed.samples]
    if 2 * len(learned) <= len(known):
        return
    mean = sum(1.0 / speed._raw for speed in learned) / len(learned)
    for speed in learned:
        speed.ratio = min(max(speed._raw * mean, MIN_RATIO), MAX_RATIO)
