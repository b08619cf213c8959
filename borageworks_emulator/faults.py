"""Faults that can be injected into an emulated endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Faults:
    """Faults that a scenario sets while the endpoint runs.

    The `*_every` faults apply to each n-th request, so that runs are reproducible; 0
    turns the fault off.

    Attributes
    ----------
    crash_marker : bytes
        A request whose body contains it crashes the endpoint; empty disables this.
    down_s : float
        Seconds for which the endpoint refuses connections after a crash.
    delay_every, delay_s
        Which responses are delayed after the run, and by how many seconds.
    crossed : int
        Number of pairs of requests whose responses are still to be swapped.
    cut_every, cut_chunks
        Which streams end without an end marker, and after how many chunks.
    frozen_load : bool
        Whether `/load` keeps returning its last values.
    garbage_every : int
        Which responses violate the protocol.
    refuse_every : int
        Which requests are refused with status 503 before they run.
    slowdown : float
        Factor on every duration.
    applied : dict[str, int]
        How often each fault was applied, by name.
    """

    crash_marker: bytes = b""
    down_s: float = 2.0
    delay_every: int = 0
    delay_s: float = 5.0
    crossed: int = 0
    cut_every: int = 0
    cut_chunks: int = 3
    frozen_load: bool = False
    garbage_every: int = 0
    refuse_every: int = 0
    slowdown: float = 1.0
    applied: dict[str, int] = field(default_factory=dict)

    def count_applied(self, fault: str) -> None:
        """Count one application of a fault."""
        self.applied[fault] = self.applied.get(fault, 0) + 1
