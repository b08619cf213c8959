"""Online estimate of the time that engines take to the first token."""

from __future__ import annotations

import math

# The weight of a sample halves after this many samples, a few seconds of traffic.
HALF_LIFE_SAMPLES = 60.0
DECAY_PER_SAMPLE = 0.5 ** (1.0 / HALF_LIFE_SAMPLES)
# Number of samples that the prior counts as.
PRIOR_SAMPLES = 8.0
PRIOR_SPREAD_TOKENS = 4000.0
# Time to the first token of a short prompt on an idle engine.
PRIOR_START_S = 0.05
# Bounds of the fit relative to the prior, so that outliers cannot stop all traffic.
MAX_SLOWDOWN_RATIO = 8.0
MAX_SPEEDUP_RATIO = 8.0
# The start takes no longer than the fastest response by this factor. A longer delay is
# a queue of prompts that placement does not know of.
MAX_START_RATIO = 3.0
# The fastest response is forgotten at this rate, in case engines have become slower.
FASTEST_DOUBLING_SAMPLES = 10_000.0
FASTEST_GROWTH_PER_SAMPLE = 2.0 ** (1.0 / FASTEST_DOUBLING_SAMPLES)


class PrefillSpeed:
    """Linear regression of the time to the first token on the tokens to prefill.

    Delays that the known prompts do not explain count as slower prefill: after a change
    of owner, engines may have more to prefill than placement knows of. As a longer
    start, they would make prompts look cheap, and placement would go on overloading.

    Parameters
    ----------
    tokens_per_s
        Prior for the prefill throughput.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self._prior_s = 1.0 / tokens_per_s
        self._samples = 0
        self._fastest_s = math.inf
        self._reset(self._prior_s, PRIOR_START_S)

    def _reset(self, seconds_per_token: float, start_s: float) -> None:
        self._weight = PRIOR_SAMPLES
        self._mean_tokens = 0.0
        self._mean_s = start_s
        self._tokens_moment = PRIOR_SAMPLES * PRIOR_SPREAD_TOKENS**2
        self._co_moment = self._tokens_moment * seconds_per_token

    @property
    def learned(self) -> bool:
        """Whether any sample or another instance's estimate was taken in."""
        return self._samples > 0

    @property
    def seconds_per_token(self) -> float:
        """Seconds to prefill one prompt token under the present load."""
        slope = self._slope
        max_start_s = MAX_START_RATIO * self._fastest_s
        if self._mean_s - self._mean_tokens * slope > max_start_s:
            slope = (self._mean_s - max_start_s) / max(self._mean_tokens, 1.0)
        return min(slope, self._prior_s * MAX_SLOWDOWN_RATIO)

    @property
    def start_s(self) -> float:
        """Seconds to the first token if nothing is to be prefilled."""
        start_s = self._mean_s - self._mean_tokens * self.seconds_per_token
        return min(max(start_s, 0.0), MAX_START_RATIO * self._fastest_s)

    @property
    def _slope(self) -> float:
        """Slope of the regression, within its bounds."""
        return min(
            max(
                self._co_moment / self._tokens_moment,
                self._prior_s / MAX_SPEEDUP_RATIO,
            ),
            self._prior_s * MAX_SLOWDOWN_RATIO,
        )

    def first_token_s(self, tokens: float) -> float:
        """Return the seconds to the first token behind `tokens` tokens to prefill."""
        return self.start_s + tokens * self.seconds_per_token

    def set_prior(self, tokens_per_s: float) -> None:
        """Change the prior; an estimate from samples is kept within its new bounds."""
        self._prior_s = 1.0 / tokens_per_s
        if not self.learned:
            self._reset(self._prior_s, PRIOR_START_S)

    def adopt(self, seconds_per_token: float, start_s: float) -> None:
        """Start from the estimate of another instance."""
        self._reset(seconds_per_token, start_s)
        self._samples = 1

    def record(self, tokens: float, first_token_s: float) -> None:
        """Add one sample.

        Parameters
        ----------
        tokens
            Tokens that the engine had to prefill at placement, the request's included.
        first_token_s
            Time from placement to the first token.
        """
        self._samples += 1
        self._fastest_s = min(
            first_token_s, self._fastest_s * FASTEST_GROWTH_PER_SAMPLE
        )
        # Welford's update of means and co-moments, with exponential weights.
        self._weight = self._weight * DECAY_PER_SAMPLE + 1.0
        tokens_delta = tokens - self._mean_tokens
        self._mean_tokens += tokens_delta / self._weight
        seconds_delta = first_token_s - self._mean_s
        self._mean_s += seconds_delta / self._weight
        self._tokens_moment = self._tokens_moment * DECAY_PER_SAMPLE + tokens_delta * (
            tokens - self._mean_tokens
        )
        self._co_moment = self._co_moment * DECAY_PER_SAMPLE + tokens_delta * (
            first_token_s - self._mean_s
        )
        # Without spread in the samples, noise would determine the slope.
        min_moment = PRIOR_SPREAD_TOKENS**2
        if self._tokens_moment < min_moment:
            self._co_moment += (min_moment - self._tokens_moment) * self._slope
            self._tokens_moment = min_moment
