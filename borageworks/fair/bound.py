"""Bound of the fairness gap."""

from __future__ import annotations


def gap_bound(
    slots: int,
    largest: tuple[float, float],
    shares: tuple[float, float],
    *,
    interval_s: float = 0.0,
    rate: float = 0.0,
    gain: float = 1.0,
) -> float:
    """Return the bound of the gap between two backlogged organisations.

    Parameters
    ----------
    slots
        Concurrent requests: one owner's slots, or the sum of the pool's windows.
    largest
        Largest request of each organisation in service units.
    shares
        Share of each organisation.
    interval_s
        Seconds between exchanges; 0 for one owner.
    rate
        Rate of the pool in units/s divided by the smallest share.
    gain
        Integral gain of the correction.

    Notes
    -----
    `(D + 1)(L_f / s_f + L_g / s_g) + T R (1 + 1 / a)`: the first term is start-time
    fair queueing with D slots, the second the drift between owners over one exchange
    and the level at which the correction holds it (docs/design.md, section 6).
    """
    largest_f, largest_g = largest
    share_f, share_g = shares
    queueing = (slots + 1) * (largest_f / share_f + largest_g / share_g)
    return queueing + interval_s * rate * (1 + 1 / gain)
