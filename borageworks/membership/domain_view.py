"""Reachability of other failure domains from the own domain."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

import xxhash

from borageworks.membership.actions import ReachabilityChanged
from borageworks.wire.messages import MemberState, MemberUpdate

BRIDGE_COUNT = 2  # members per domain that probe another domain
SUMMARY_PREFIX = "@"  # not allowed in an instance id


def is_summary(update: MemberUpdate) -> bool:
    """Return whether an update is a summary of a domain, not a member's state."""
    return update.instance.startswith(SUMMARY_PREFIX)


class DomainView:
    """Assigns bridges to other domains and combines their summaries.

    A bridge is a member that probes another domain on behalf of its own. It reports
    each change of reachability as a summary: an update whose instance is the bridge's
    id after a prefix, whose domain is the probed one, and whose incarnation is a
    version. A domain is reachable if at least one of its bridges reports it as such.

    Parameters
    ----------
    instance, domain
        Id and failure domain of the local instance.
    """

    def __init__(self, instance: str, domain: str) -> None:
        self._instance = instance
        self._domain = domain
        self._bridges: dict[str, tuple[str, ...]] = {}
        self._summaries: dict[tuple[str, str], MemberUpdate] = {}
        self._unreachable: set[str] = set()

    @property
    def unreachable(self) -> frozenset[str]:
        """Other domains that all reporting bridges found unreachable."""
        return frozenset(self._unreachable)

    @property
    def summaries(self) -> Collection[MemberUpdate]:
        """Latest summary of each bridge and domain."""
        return self._summaries.values()

    def bridged_domains(self) -> list[str]:
        """Return the domains that the local instance probes as a bridge."""
        return [
            domain
            for domain, bridges in self._bridges.items()
            if self._instance in bridges
        ]

    def assign_bridges(self, members: Sequence[str], domains: Iterable[str]) -> None:
        """Assign members of the own domain as bridges, by rendezvous hash."""
        self._bridges = {
            domain: tuple(sorted(members, key=self._weight(domain))[:BRIDGE_COUNT])
            for domain in domains
            if domain != self._domain
        }

    def make_summary(self, domain: str, reachable: bool, version: int) -> MemberUpdate:
        """Return a summary whose version exceeds all earlier ones of the instance."""
        known = self._summaries.get((self._instance, domain))
        if known is not None:
            version = max(version, known.incarnation + 1)
        state = MemberState.ALIVE if reachable else MemberState.DEAD
        instance = SUMMARY_PREFIX + self._instance
        return MemberUpdate(instance, domain, "", 0, 0, version, state)

    def apply_summary(self, summary: MemberUpdate) -> bool:
        """Store a summary unless it is outdated; return whether it was stored."""
        key = (summary.instance[len(SUMMARY_PREFIX) :], summary.domain)
        known = self._summaries.get(key)
        if known is not None and known.incarnation >= summary.incarnation:
            return False
        self._summaries[key] = summary
        return True

    def remove_member(self, instance: str) -> None:
        """Remove the summaries of a member."""
        for key in [key for key in self._summaries if key[0] == instance]:
            del self._summaries[key]

    def update_reachability(self) -> list[ReachabilityChanged]:
        """Update the unreachable domains; return those that have changed."""
        changed: list[ReachabilityChanged] = []
        for domain, bridges in self._bridges.items():
            reports = [
                summary.state is MemberState.ALIVE
                for bridge in bridges
                if (summary := self._summaries.get((bridge, domain))) is not None
            ]
            # A newly assigned bridge has not sent a summary yet.
            if reports and any(reports) == (domain in self._unreachable):
                self._unreachable ^= {domain}
                changed.append(ReachabilityChanged(domain, any(reports)))
        return changed

    def digest(self, live: Collection[str]) -> int:
        """Return an order-independent hash of the summaries of live bridges."""
        digest = 0
        for (bridge, domain), summary in self._summaries.items():
            if bridge in live or bridge == self._instance:
                text = f"{bridge} {domain} {summary.incarnation}"
                digest ^= xxhash.xxh32_intdigest(text.encode())
        return digest

    def _weight(self, domain: str) -> Callable[[str], int]:
        return lambda member: xxhash.xxh64_intdigest(
            f"{self._domain} {domain} {member}".encode()
        )
