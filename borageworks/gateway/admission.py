"""Decides which requests an overloaded instance takes."""

from __future__ import annotations

import math
from dataclasses import dataclass

from borageworks.events import Event, emit
from borageworks.gateway.loop_lag import INTERVAL_S, LoopLag
from borageworks.timers import Subscription, Timers

# The limit is lowered to this part while the loop lags, and not again before this time
# has passed: what was taken before has to be worked off first.
LOWERED_PART = 0.7
LOWERING_PAUSE_S = 0.3
# It is doubled in this time while the loop keeps up. A limit that is too low costs
# callers more than a short overshoot.
DOUBLING_S = 0.5
# Rates are means over about this time, long enough to see organisations that ask for
# one request a second.
RATE_MEMORY_S = 1.0
# Requests that an organisation may send at once, as a time at its limit. Those that
# came while the loop was late are taken together.
BURST_S = 0.5
# No organisation is held to less, in requests a second.
LEAST_LEVEL = 0.05
# A limit that is this many times the largest rate asked for limits nobody.
RELEASE_RATIO = 1.5
# An overload or refusals of this length are no burst: only fewer callers help.
LASTING_S = 1.0
# Pauses up to this length do not end it: each refusal relieves the loop for a moment.
CALM_S = 1.0
# Refusing less than this part of the requests is no reason to send callers elsewhere.
REFUSED_PART = 0.05
# Organisations that ask for less, in requests a second, are forgotten.
FORGOTTEN_RATE = 0.001


@dataclass(slots=True)
class _Use:
    """Requests of one organisation: asked for lately, and what it may send at once."""

    asked: float = 0.0
    taken: float = 0.0
    refused: float = 0.0
    at: float = -math.inf
    tokens: float = 1.0

    def advance(self, now: float, level: float) -> None:
        """Let time pass at a limit in requests a second."""
        passed = now - self.at
        faded = math.exp(-passed / RATE_MEMORY_S)
        self.asked *= faded
        self.taken *= faded
        self.refused *= faded
        self.at = now
        burst = max(level * BURST_S, 1.0)
        refilled = level * passed if math.isfinite(level) else burst
        self.tokens = min(self.tokens + refilled, burst)


class Admission:
    """Decides which requests an overloaded instance takes.

    While the loop lags, all organisations share one limit on their requests a second,
    which falls until the loop keeps up. An organisation that asks for less than the
    limit loses nothing, the others get equal parts: the max-min share of what the
    instance can do.

    Parameters
    ----------
    lag
        Measures the loop.
    """

    def __init__(self, lag: LoopLag) -> None:
        self._lag = lag
        self._level = math.inf
        self._uses: dict[str, _Use] = {}
        self._measured_at = -math.inf
        self._lowered_at = -math.inf
        # Refusals since the last measurement.
        self._refused = 0
        self._pressed_since: float | None = None
        self._pressed_at = -math.inf
        self._crowded = False
        self._subscription: Subscription | None = None

    @property
    def level(self) -> float:
        """Requests a second that an organisation may send, infinite without limit."""
        return self._level

    @property
    def crowded(self) -> bool:
        """Whether the overload lasts, so that new callers should go elsewhere."""
        return self._crowded

    def start(self, timers: Timers) -> None:
        """Begin to follow the loop's lag."""
        self._subscription = timers.every(INTERVAL_S, self.measure)

    def stop(self) -> None:
        """Stop following it."""
        if self._subscription is not None:
            self._subscription.cancel()

    def admit(self, now: float, organisation: str) -> bool:
        """Return whether a request is taken, and count it."""
        use = self._uses.get(organisation)
        if use is None:
            use = self._uses[organisation] = _Use()
        use.advance(now, self._level)
        use.asked += 1.0
        if math.isfinite(self._level):
            if use.tokens < 1.0:
                use.refused += 1.0
                self._refused += 1
                return False
            use.tokens -= 1.0
        use.taken += 1.0
        return True

    def measure(self, now: float) -> None:
        """Adapt the limit to the loop's lag."""
        passed = now - self._measured_at
        self._measured_at = now
        if self._lag.late:
            if now - self._lowered_at >= LOWERING_PAUSE_S:
                self._lowered_at = now
                self._lower()
        elif math.isfinite(self._level):
            self._raise(min(passed, DOUBLING_S))
        for use in self._uses.values():
            use.advance(now, self._level)
        self._follow_pressure(now)
        self._uses = {
            name: use
            for name, use in self._uses.items()
            if use.asked > FORGOTTEN_RATE * RATE_MEMORY_S
        }

    def _lower(self) -> None:
        if not self._uses:
            return
        if math.isinf(self._level):
            taken = {name: use.taken for name, use in self._uses.items()}
            largest = max(taken, key=lambda name: taken[name])
            self._level = taken[largest] / RATE_MEMORY_S
            emit(
                Event.ADMISSION_LIMITED,
                level=round(self._level, 2),
                lag_s=round(self._lag.seconds, 4),
                largest=largest,
                organisations=len(taken),
            )
        self._level = max(self._level * LOWERED_PART, LEAST_LEVEL)

    def _raise(self, passed: float) -> None:
        self._level *= 2.0 ** (passed / DOUBLING_S)
        asked = max((use.asked for use in self._uses.values()), default=0.0)
        if self._level > RELEASE_RATIO * max(asked, 1.0) / RATE_MEMORY_S:
            self._level = math.inf
            emit(Event.ADMISSION_OPENED, lag_s=round(self._lag.seconds, 4))

    def _follow_pressure(self, now: float) -> None:
        asked = sum(use.asked for use in self._uses.values())
        refused = sum(use.refused for use in self._uses.values())
        refusing = self._refused > 0 and refused > REFUSED_PART * asked
        self._refused = 0
        if self._lag.late or refusing:
            self._pressed_at = now
            if self._pressed_since is None:
                self._pressed_since = now
        elif now - self._pressed_at > CALM_S:
            self._pressed_since = None
        since = self._pressed_since
        crowded = since is not None and self._pressed_at - since >= LASTING_S
        if crowded != self._crowded:
            self._crowded = crowded
            emit(
                Event.CROWDING_BEGAN if crowded else Event.CROWDING_ENDED,
                asked_per_s=round(asked / RATE_MEMORY_S, 1),
                refused_per_s=round(refused / RATE_MEMORY_S, 1),
                lag_s=round(self._lag.seconds, 4),
            )
