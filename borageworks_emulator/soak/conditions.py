"""What a loopback proxy does to the connections that pass through it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Conditions:
    """State of one path.

    Parameters
    ----------
    delay_s
        Seconds by which bytes are held up in each direction.
    lose_sent
        Whether bytes from the side that connected get lost.
    lose_received
        Whether bytes to the side that connected get lost.
    """

    delay_s: float = 0.0
    lose_sent: bool = False
    lose_received: bool = False


CLEAR = Conditions()
CUT = Conditions(lose_sent=True, lose_received=True)
