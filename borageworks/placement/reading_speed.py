"""Learns how long engines take until the first token."""

from __future__ import annotations

# A sample weighs half as much after this many more samples: a few seconds of traffic.
HALF_LIFE_SAMPLES = 60.0
DECAY = 0.5 ** (1.0 / HALF_LIFE_SAMPLES)
# Prior samples that the first measurements have to outweigh.
PRIOR_WEIGHT = 8.0
PRIOR_SPREAD_TOKENS = 4000.0
# Time of a short prompt on an idle engine, until measured.
PRIOR_START_S = 0.05
# Bounds of what a fit may say: a few odd samples must not stop all traffic.
SLOWEST_FACTOR = 8.0
FASTEST_FACTOR = 8.0


class ReadingSpeed:
    """Linear fit of the time to the first token over the tokens to read before it.

    Parameters
    ----------
    tokens_per_s
        Expected speed until measurements outweigh it.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self._prior_s = 1.0 / tokens_per_s
        self._samples = 0
        self._begin(self._prior_s, PRIOR_START_S)

    def _begin(self, seconds_per_token: float, start_s: float) -> None:
        self._weight = PRIOR_WEIGHT
        self._x = 0.0
        self._y = start_s
        self._xx = PRIOR_WEIGHT * PRIOR_SPREAD_TOKENS**2
        self._xy = self._xx * seconds_per_token

    @property
    def learned(self) -> bool:
        """Whether any measurement was taken or adopted."""
        return self._samples > 0

    @property
    def seconds_per_token(self) -> float:
        """Seconds to read one prompt token, under the present load."""
        slope = self._xy / self._xx
        return min(
            max(slope, self._prior_s / FASTEST_FACTOR), self._prior_s * SLOWEST_FACTOR
        )

    @property
    def start_s(self) -> float:
        """Seconds to the first token when nothing is to be read."""
        return max(self._y - self._x * self.seconds_per_token, 0.0)

    def seconds(self, tokens: float) -> float:
        """Return the seconds to the first token behind so many tokens to read."""
        return self.start_s + tokens * self.seconds_per_token

    def adopt(self, seconds_per_token: float, start_s: float) -> None:
        """Begin with what another instance has learned."""
        self._begin(seconds_per_token, start_s)
        self._samples = 1

    def record(self, tokens: float, seconds: float) -> None:
        """Take one measurement.

        Parameters
        ----------
        tokens
            Tokens that the engine had to read when it got the request, with its own.
        seconds
            Time from then to the first token.
        """
        self._samples += 1
        # Weighted form of Welford's update of means and co-moments.
        self._weight = self._weight * DECAY + 1.0
        dx = tokens - self._x
        self._x += dx / self._weight
        dy = seconds - self._y
        self._y += dy / self._weight
        self._xx = self._xx * DECAY + dx * (tokens - self._x)
        self._xy = self._xy * DECAY + dx * (seconds - self._y)
        # Without spread in the samples the slope would be noise.
        floor = PRIOR_SPREAD_TOKENS**2
        if self._xx < floor:
            self._xy += (floor - self._xx) * self.seconds_per_token
            self._xx = floor
