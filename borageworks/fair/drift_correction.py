"""Correction that estimates the drift between owners."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.config.settings import FairSettings

# The demand of an organisation often returns to an owner within a minute, and its
# drift is a property of the whole fleet, so the estimate stays valid meanwhile. At 24
# owners, 3 exchanges gave a fairness gap a third larger.
RETENTION_EXCHANGES = 15
# Limit of a correction as a fraction of the service of one exchange interval.
# Cancelling drift takes all of it where owners differ in load by a factor of two.
MAX_CORRECTION_RATIO = 1.0


@dataclass(slots=True)
class _OrganisationState:
    error: float
    applied: float
    drift: float
    exchange: int


class DriftCorrection:
    """Correction of one owner and pool that cancels drift and repays debt separately.

    The drift is the change that the error would have shown without the last
    correction. Its exponential moving average, with `correction_trend_gain` as weight,
    is cancelled in full, so a constant drift leaves no error. Accumulated debt is
    repaid at no more than `correction_limit` of the expected service, so an
    organisation is still served after a long partition.
    """

    def __init__(self, settings: FairSettings) -> None:
        self._settings = settings
        self._states: dict[str, _OrganisationState] = {}
        self._exchange = 0

    def __len__(self) -> int:
        """Return the number of organisations with state."""
        return len(self._states)

    def update(
        self, organisation: str, error: float, owners: int, expected_service: float
    ) -> float:
        """Return the correction of the organisation's virtual time in normalised units.

        Parameters
        ----------
        error
            Fleet-wide error in normalised units.
        owners
            Number of owners with demand of the organisation; each applies an equal
            fraction of the correction.
        expected_service
            Normalised units that the organisation would receive from this owner in one
            exchange interval.
        """
        owners = max(1, owners)
        settings = self._settings
        expected = max(0.0, expected_service) * owners
        drift = 0.0
        state = self._states.get(organisation)
        if state is not None:
            elapsed_exchanges = max(1, self._exchange - state.exchange)
            observed_drift = (error - state.error) / elapsed_exchanges + state.applied
            # The end of a partition changes the error abruptly, which is not drift.
            observed_drift = _clamp(observed_drift, MAX_CORRECTION_RATIO * expected)
            weight = settings.correction_trend_gain
            drift = state.drift + weight * (observed_drift - state.drift)
        debt = settings.correction_gain * error
        repayment = _clamp(debt, settings.correction_limit * expected)
        applied = _clamp(repayment + drift, MAX_CORRECTION_RATIO * expected)
        self._states[organisation] = _OrganisationState(
            error, applied, drift, self._exchange
        )
        return applied / owners

    def end_exchange(self) -> None:
        """Count an exchange and evict organisations not updated recently."""
        self._exchange += 1
        min_exchange = self._exchange - RETENTION_EXCHANGES
        self._states = {
            organisation: state
            for organisation, state in self._states.items()
            if state.exchange >= min_exchange
        }


def _clamp(value: float, limit: float) -> float:
    return min(max(value, -limit), limit)
