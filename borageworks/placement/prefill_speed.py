"""Online estimate of the time that engines take to the first token."""

from __future__ import annotations

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


class PrefillSpeed:
    """Linear regression of the time to the first token on the tokens to prefill.

    Parameters
    ----------
    tokens_per_s
        Prior for the prefill throughput.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self._prior_s = 1.0 / tokens_per_s
        self._samples = 0
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
        slope = self._co_moment / self._tokens_moment
        return min(
            max(slope, self._prior_s / MAX_SPEEDUP_RATIO),
            self._prior_s * MAX_SLOWDOWN_RATIO,
        )

    @property
    def start_s(self) -> float:
        """Seconds to the first token if nothing is to be prefilled."""
        return max(self._mean_s - self._mean_tokens * self.seconds_per_token, 0.0)

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
            self._co_moment += (
                min_moment - self._tokens_moment
            ) * self.seconds_per_token
            self._tokens_moment = min_moment
