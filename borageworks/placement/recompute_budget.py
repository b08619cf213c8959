"""Limits how much prefill goes into prompt parts that another engine has cached."""

from __future__ import annotations

import math


class RecomputeBudget:
    """Fraction of the recent prefill that may be spent on cached parts.

    Engines that prefill parts again have less capacity for all organisations. Beyond
    the fraction, the backlog of each engine grows, more requests would move away from
    the engine that has their part, and most of the capacity would be lost.

    Amounts fade exponentially, and one request is always allowed after a while.

    Parameters
    ----------
    window_s
        Time constant of the amounts in seconds.
    ratio
        Fraction of all prefilled tokens that may be prefilled again.
    """

    def __init__(self, window_s: float, ratio: float) -> None:
        self._window_s = window_s
        self._ratio = ratio
        self._prefilled = 0.0
        self._recomputed = 0.0
        self._updated_at = -math.inf

    def record(self, now: float, prefilled: int, recomputed: int) -> None:
        """Add the prompt tokens of a placed request.

        Parameters
        ----------
        now
            Time in seconds.
        prefilled
            Tokens that its engine has to prefill.
        recomputed
            Those of them that another engine has cached.
        """
        self._fade(now)
        self._prefilled += prefilled
        self._recomputed += recomputed

    def allows(self, now: float) -> bool:
        """Return whether cached parts may be prefilled again."""
        self._fade(now)
        return self._recomputed <= self._ratio * self._prefilled

    def _fade(self, now: float) -> None:
        decay = math.exp((self._updated_at - now) / self._window_s)
        self._prefilled *= decay
        self._recomputed *= decay
        self._updated_at = now
