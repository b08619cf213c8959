"""What a call received so far, over all its attempts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Progress of one call.

    Parameters
    ----------
    units
        Service units received in the current attempt.
    content_bytes
        Bytes of generated content that the caller has; a resumed stream starts there.
    sent
        Whether the request may have reached an endpoint in any attempt.
    active_at
        Monotonic time in seconds at which the endpoint last sent a byte, or at which
        the attempt began.
    """

    units: float = 0.0
    content_bytes: int = 0
    sent: bool = False
    active_at: float = 0.0
