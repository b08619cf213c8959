"""Checks which configuration version is in effect at the gateways."""

from __future__ import annotations

from collections.abc import Callable

from borageworks_emulator.soak.bounds import (
    CONFIGURATION_APPLY_BOUND_S,
    CONTACT_BOUND_S,
    ROLLBACK_TOLERANCE_S,
)
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.guarantee import Guarantee

MARKER_ROUTE_COUNT = 3


class ConfigurationChecker:
    """Checks which version is in effect, by marker routes that only some versions have.

    Parameters
    ----------
    disturbances
        Disturbed participants, for which time bounds do not apply.
    report
        Called with each violated guarantee and its details.
    """

    def __init__(
        self, disturbances: Disturbances, report: Callable[[Guarantee, str], None]
    ) -> None:
        self._disturbances = disturbances
        self._report = report
        self._sent_at: dict[int, float] = {}
        self._accepted_at: dict[int, float] = {}
        # By process: observation times and the lowest version possible from then on.
        self._min_versions: dict[tuple[str, int], list[tuple[float, int]]] = {}

    @staticmethod
    def marker_route(version: int) -> str:
        """Return the name of the route that marks a version."""
        return f"mark-{version % MARKER_ROUTE_COUNT}"

    def version_sent(self, version: int, now: float) -> None:
        """Record that a version is about to be written."""
        self._sent_at[version] = now

    def version_accepted(self, version: int, now: float) -> None:
        """Record that the store has accepted a version."""
        self._accepted_at[version] = now

    def observe(
        self,
        gateway: str,
        incarnation: int,
        marker: str,
        present: bool,
        sent_at: float,
        received_at: float,
    ) -> None:
        """Check whether a process may have, or lack, a marker route."""
        possible = [
            version
            for version, at in self._sent_at.items()
            if at <= received_at and (self.marker_route(version) == marker) is present
        ]
        min_versions = self._min_versions.setdefault((gateway, incarnation), [(0.0, 0)])
        min_version = max(
            version
            for at, version in min_versions
            if at + ROLLBACK_TOLERANCE_S <= sent_at
        )
        permitted = [version for version in possible if version >= min_version]
        observation = f"{gateway} has {'a' if present else 'no'} route {marker}"
        if not permitted:
            self._report(
                Guarantee.CONFIGURATION_FORWARD,
                f"{observation}, but was at version {min_version} before",
            )
            return
        if min(permitted) > min_versions[-1][1]:
            min_versions.append((received_at, min(permitted)))
        due_version = max(
            (
                version
                for version, at in self._accepted_at.items()
                if at + CONFIGURATION_APPLY_BOUND_S < sent_at
            ),
            default=0,
        )
        since = sent_at - CONTACT_BOUND_S - CONFIGURATION_APPLY_BOUND_S
        if (
            max(permitted) < due_version
            and self._disturbances.undisturbed(gateway, since, received_at)
            and self._disturbances.undisturbed(STORE, since, received_at)
        ):
            self._report(
                Guarantee.CONFIGURATION_APPLIED,
                f"{observation}, version {due_version} is due",
            )
