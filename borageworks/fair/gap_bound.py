"""Upper bound of the fairness gap."""

from __future__ import annotations


def gap_bound(
    slots: int,
    max_units: tuple[float, float],
    shares: tuple[float, float],
    *,
    interval_s: float = 0.0,
    normalised_rate: float = 0.0,
    gain: float = 1.0,
) -> float:
    """Return the maximum gap between two backlogged organisations.

    The gap is the largest change over time of the difference between their normalised
    service (units divided by share).

    Parameters
    ----------
    slots
        Concurrent requests: one owner's slots, or the sum of the pool's windows.
    max_units
        Service units of the largest request of each organisation.
    shares
        Share of each organisation.
    interval_s
        Seconds between exchanges of the owners; 0 for one owner.
    normalised_rate
        Rate of the pool in units/s divided by the smallest share.
    gain
        Integral gain of the correction.

    Notes
    -----
    `(D + 1)(L_f / s_f + L_g / s_g) + T R (1 + 1 / a)`: the first term is the bound of
    start-time fair queueing with D slots. The second is the drift between owners in
    one exchange interval and its steady-state error under the correction
    (docs/design.md, section 6).
    """
    max_units_f, max_units_g = max_units
    share_f, share_g = shares
    queueing = (slots + 1) * (max_units_f / share_f + max_units_g / share_g)
    return queueing + interval_s * normalised_rate * (1 + 1 / gain)
