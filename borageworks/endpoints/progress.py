"""Progress of a call across its attempts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Progress of one call across its attempts.

    Parameters
    ----------
    units
        Service units received in the current attempt.
    content_bytes
        Bytes of generated content sent to the caller; a resumed stream starts at this
        offset.
    software
        Version of the software that generated the content, empty if not stated.
    sent
        Whether the request may have reached an endpoint in any attempt.
    last_received_at
        Monotonic time in seconds of the last bytes from the endpoint, or of the start
        of the attempt.
    """

    units: float = 0.0
    content_bytes: int = 0
    sent: bool = False
    last_received_at: float = 0.0
    software: str = ""
