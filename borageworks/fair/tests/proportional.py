"""Former proportional correction rule, the baseline of `DriftCorrection`."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.config.settings import FairSettings

# A change of the error over more exchanges says nothing about the present trend.
FORGET_EXCHANGES = 3


@dataclass(slots=True)
class _LastError:
    error: float
    exchange: int


class Correction:
    """Proportional and trend rule of one owner and pool.

    The error of an organisation is its normalised service less the mean over the
    backlogged ones. Each owner that holds demand of the organisation applies an equal
    part, so the fleet as a whole applies the gain once.
    """

    def __init__(self, settings: FairSettings) -> None:
        self._settings = settings
        self._last: dict[str, _LastError] = {}
        self._exchange = 0

    def __len__(self) -> int:
        """Return the number of organisations remembered."""
        return len(self._last)

    def update(
        self, organisation: str, error: float, owners: int, expected_service: float
    ) -> float:
        """Return the change of the organisation's virtual time in normalised units.

        Parameters
        ----------
        error
            Fleet-wide error in normalised units.
        owners
            Owners that hold demand of the organisation.
        expected_service
            Normalised units that the organisation would receive from this owner in one
            interval; it limits the result.
        """
        change = 0.0
        last = self._last.get(organisation)
        if last is not None:
            change = (error - last.error) / max(1, self._exchange - last.exchange)
        self._last[organisation] = _LastError(error, self._exchange)
        settings = self._settings
        delta = settings.correction_gain * error
        delta += settings.correction_trend_gain * change
        delta /= max(1, owners)
        limit = settings.correction_limit * max(0.0, expected_service)
        return min(max(delta, -limit), limit)

    def end_exchange(self) -> None:
        """Count an exchange and forget organisations absent from the last few."""
        self._exchange += 1
        oldest = self._exchange - FORGET_EXCHANGES
        self._last = {
            organisation: last
            for organisation, last in self._last.items()
            if last.exchange >= oldest
        }
