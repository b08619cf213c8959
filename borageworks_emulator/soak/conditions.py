"""Network conditions that a loopback proxy applies to its connections."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Conditions:
    """Network conditions of one path.

    Parameters
    ----------
    delay_s
        Delay of bytes in each direction.
    lose_sent
        Whether bytes from the connecting side are lost.
    lose_received
        Whether bytes to the connecting side are lost.
    """

    delay_s: float = 0.0
    lose_sent: bool = False
    lose_received: bool = False


UNIMPAIRED = Conditions()
CUT = Conditions(lose_sent=True, lose_received=True)
