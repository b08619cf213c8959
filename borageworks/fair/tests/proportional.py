"""Proportional correction, the baseline against which `DriftCorrection` is tested."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.config.settings import FairSettings

# An error from longer ago says nothing about the current trend.
RETENTION_EXCHANGES = 3


@dataclass(slots=True)
class _LastError:
    error: float
    exchange: int


class ProportionalCorrection:
    """Proportional and derivative correction of one owner and pool.

    The error of an organisation is its normalised service less the mean over the
    backlogged ones. Each owner with demand of the organisation applies an equal
    fraction, so the fleet as a whole applies the gain once. Same interface as
    `DriftCorrection`.
    """

    def __init__(self, settings: FairSettings) -> None:
        self._settings = settings
        self._last_errors: dict[str, _LastError] = {}
        self._exchange = 0

    def __len__(self) -> int:
        """Return the number of organisations with state."""
        return len(self._last_errors)

    def update(
        self, organisation: str, error: float, owners: int, expected_service: float
    ) -> float:
        """Return the correction of the organisation's virtual time in normalised units.

        Parameters
        ----------
        error
            Fleet-wide error in normalised units.
        owners
            Number of owners with demand of the organisation.
        expected_service
            Normalised units that the organisation would receive from this owner in one
            exchange interval, to which `correction_limit` is relative.
        """
        change = 0.0
        last = self._last_errors.get(organisation)
        if last is not None:
            change = (error - last.error) / max(1, self._exchange - last.exchange)
        self._last_errors[organisation] = _LastError(error, self._exchange)
        settings = self._settings
        delta = settings.correction_gain * error
        delta += settings.correction_trend_gain * change
        delta /= max(1, owners)
        limit = settings.correction_limit * max(0.0, expected_service)
        return min(max(delta, -limit), limit)

    def end_exchange(self) -> None:
        """Count an exchange and evict organisations not updated recently."""
        self._exchange += 1
        min_exchange = self._exchange - RETENTION_EXCHANGES
        self._last_errors = {
            organisation: last
            for organisation, last in self._last_errors.items()
            if last.exchange >= min_exchange
        }
