"""Retry budget, which limits retries to a fraction of first attempts."""

from __future__ import annotations

from collections import OrderedDict

from borageworks.config.settings import RetrySettings

MAX_BUCKETS = 4096


class RetryBudget:
    """Token bucket per (organisation, service), filled by first attempts.

    Each first attempt adds `ratio` tokens up to `burst`; each retry takes one.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record_first_attempt(self, organisation: str, service: str) -> None:
        """Add the tokens for one new request."""
        key = organisation, service
        tokens = self._tokens.get(key, self._settings.burst) + self._settings.ratio
        self._tokens[key] = min(tokens, self._settings.burst)
        self._tokens.move_to_end(key)
        if len(self._tokens) > MAX_BUCKETS:
            self._tokens.popitem(last=False)

    def take_retry(self, organisation: str, service: str) -> bool:
        """Take one token; return False if the budget is used up."""
        key = organisation, service
        tokens = self._tokens.get(key, self._settings.burst)
        if tokens < 1.0:
            return False
        self._tokens[key] = tokens - 1.0
        return True
