"""Correction that estimates the drift between owners."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.config.settings import FairSettings

# The demand of an organisation often comes back to an owner within a minute, and its
# drift is a property of the fleet rather than of this owner: with 3 exchanges the gap
# was a third larger at 24 owners.
FORGET_EXCHANGES = 15
# Largest part of one interval's service that the whole correction moves. Cancelling
# drift needs this much where owners differ in load by a factor of two.
DRIFT_LIMIT = 1.0


@dataclass(slots=True)
class _State:
    error: float
    applied: float
    drift: float
    exchange: int


class DriftCorrection:
    """Rule of one owner and pool that cancels drift and repays debt separately.

    The drift is what the error would have changed by without the last correction; its
    moving average is cancelled in full, so a constant drift leaves no error. Debt that
    has built up is repaid at `correction_limit` of the expected service, so an
    organisation keeps being served after a long partition. `correction_trend_gain` is
    the weight of the moving average. Interface as `Correction`.
    """

    def __init__(self, settings: FairSettings) -> None:
        self._settings = settings
        self._states: dict[str, _State] = {}
        self._exchange = 0

    def __len__(self) -> int:
        """Return the number of organisations remembered."""
        return len(self._states)

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
            interval.
        """
        owners = max(1, owners)
        settings = self._settings
        expected = max(0.0, expected_service) * owners
        drift = 0.0
        state = self._states.get(organisation)
        if state is not None:
            elapsed = max(1, self._exchange - state.exchange)
            seen = (error - state.error) / elapsed + state.applied
            # A partition that ends changes the error at once; that is no drift.
            seen = _limited(seen, DRIFT_LIMIT * expected)
            weight = settings.correction_trend_gain
            drift = state.drift + weight * (seen - state.drift)
        debt = settings.correction_gain * error
        repaid = _limited(debt, settings.correction_limit * expected)
        applied = _limited(repaid + drift, DRIFT_LIMIT * expected)
        self._states[organisation] = _State(error, applied, drift, self._exchange)
        return applied / owners

    def end_exchange(self) -> None:
        """Count an exchange and forget organisations absent from the last few."""
        self._exchange += 1
        oldest = self._exchange - FORGET_EXCHANGES
        self._states = {
            organisation: state
            for organisation, state in self._states.items()
            if state.exchange >= oldest
        }


def _limited(value: float, limit: float) -> float:
    return min(max(value, -limit), limit)
