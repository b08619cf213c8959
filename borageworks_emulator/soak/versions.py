"""Checks which configuration is in force at the gateways."""

from __future__ import annotations

from collections.abc import Callable

from borageworks_emulator.soak.bounds import (
    CONFIGURATION_S,
    CONTACT_S,
    ROLLBACK_SLACK_S,
)
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.promise import Promise

# Each version has one of so many marker routes.
MARKERS = 3


class Versions:
    """Checks which configuration is in force, by routes that only some have.

    Parameters
    ----------
    disturbances
        Tells whom bounds hold for.
    report
        Takes broken promises.
    """

    def __init__(
        self, disturbances: Disturbances, report: Callable[[Promise, str], None]
    ) -> None:
        self._disturbances = disturbances
        self._report = report
        self._sent_at: dict[int, float] = {}
        self._accepted_at: dict[int, float] = {}
        # By process: the oldest version that it can have, and since when that is known.
        self._floors: dict[tuple[str, int], list[tuple[float, int]]] = {}

    @staticmethod
    def marker(version: int) -> str:
        """Return the name of the route that marks a version."""
        return f"mark-{version % MARKERS}"

    def sending(self, version: int, now: float) -> None:
        """Note that a version is about to be written."""
        self._sent_at[version] = now

    def accepted(self, version: int, now: float) -> None:
        """Note that the store has accepted a version."""
        self._accepted_at[version] = now

    def observe(
        self,
        gateway: str,
        incarnation: int,
        marker: str,
        present: bool,
        sent_at: float,
        answered_at: float,
    ) -> None:
        """Check whether a marker route may exist at a process."""
        possible = [
            version
            for version, at in self._sent_at.items()
            if at <= answered_at and (self.marker(version) == marker) is present
        ]
        floors = self._floors.setdefault((gateway, incarnation), [(0.0, 0)])
        floor = max(
            version for at, version in floors if at + ROLLBACK_SLACK_S <= sent_at
        )
        forward = [version for version in possible if version >= floor]
        seen = f"{gateway} has {'a' if present else 'no'} route {marker}"
        if not forward:
            self._report(
                Promise.CONFIGURATION_FORWARD, f"{seen}, and was at version {floor}"
            )
            return
        if min(forward) > floors[-1][1]:
            floors.append((answered_at, min(forward)))
        due = max(
            (
                version
                for version, at in self._accepted_at.items()
                if at + CONFIGURATION_S < sent_at
            ),
            default=0,
        )
        since = sent_at - CONTACT_S - CONFIGURATION_S
        if (
            max(forward) < due
            and self._disturbances.calm(gateway, since, answered_at)
            and self._disturbances.calm(STORE, since, answered_at)
        ):
            self._report(Promise.CONFIGURATION_APPLIED, f"{seen}, version {due} is due")
