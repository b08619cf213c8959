"""Max-min fair division of a capacity."""

from __future__ import annotations

import math
from collections.abc import Iterable


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Return the level at which demands, cut off there, add up to the capacity.

    Each demand up to the level is met, each larger one gets the level. It is infinite
    if the capacity meets all demands.

    Parameters
    ----------
    demands
        Amounts that are asked for, each at least 0.
    capacity
        Amount that can be given out, in the same unit.
    """
    ordered = sorted(demands)
    remaining = capacity
    for index, demand in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if demand > level:
            return max(level, 0.0)
        remaining -= demand
    return math.inf
