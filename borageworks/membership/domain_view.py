"""Which other domains can be reached from the own domain."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

import xxhash

from borageworks.membership.actions import DomainReachable
from borageworks.wire.messages import MemberState, MemberUpdate

BRIDGES = 2  # members per domain that probe another domain
SUMMARY_PREFIX = "@"  # not allowed in an instance id


def is_summary(update: MemberUpdate) -> bool:
    """Whether an update is a bridge's summary of a domain instead of a member."""
    return update.instance.startswith(SUMMARY_PREFIX)


class DomainView:
    """Chooses the bridges to other domains and combines their summaries.

    A bridge reports changes of what it observes as a summary: an update whose instance
    is the bridge's id after a prefix, whose domain is the observed one, and whose
    incarnation is a version. A domain can be reached if any of its bridges says so.

    Parameters
    ----------
    instance, domain
        The instance itself.
    """

    def __init__(self, instance: str, domain: str) -> None:
        self._instance = instance
        self._domain = domain
        self._bridges: dict[str, tuple[str, ...]] = {}
        self._summaries: dict[tuple[str, str], MemberUpdate] = {}
        self._unreachable: set[str] = set()

    @property
    def unreachable(self) -> frozenset[str]:
        """Domains that cannot be reached."""
        return frozenset(self._unreachable)

    @property
    def summaries(self) -> Collection[MemberUpdate]:
        """Latest summary of each bridge and domain."""
        return self._summaries.values()

    def bridged(self) -> list[str]:
        """Return the domains to which the instance itself is a bridge."""
        return [
            domain
            for domain, bridges in self._bridges.items()
            if self._instance in bridges
        ]

    def choose(self, members: Sequence[str], domains: Iterable[str]) -> None:
        """Choose the bridges to each domain among members of the own domain."""
        self._bridges = {
            domain: tuple(sorted(members, key=self._weight(domain))[:BRIDGES])
            for domain in domains
            if domain != self._domain
        }

    def summarise(self, domain: str, reachable: bool, version: int) -> MemberUpdate:
        """Return a summary that is newer than all earlier ones of the instance."""
        known = self._summaries.get((self._instance, domain))
        if known is not None:
            version = max(version, known.incarnation + 1)
        state = MemberState.ALIVE if reachable else MemberState.DEAD
        instance = SUMMARY_PREFIX + self._instance
        return MemberUpdate(instance, domain, "", 0, 0, version, state)

    def hear(self, summary: MemberUpdate) -> bool:
        """Take a summary; return whether it is new."""
        key = (summary.instance[len(SUMMARY_PREFIX) :], summary.domain)
        known = self._summaries.get(key)
        if known is not None and known.incarnation >= summary.incarnation:
            return False
        self._summaries[key] = summary
        return True

    def forget(self, instance: str) -> None:
        """Forget the summaries of a member that is gone."""
        for key in [key for key in self._summaries if key[0] == instance]:
            del self._summaries[key]

    def review(self) -> list[DomainReachable]:
        """Return the domains whose reachability has changed."""
        changed: list[DomainReachable] = []
        for domain, bridges in self._bridges.items():
            verdicts = [
                summary.state is MemberState.ALIVE
                for bridge in bridges
                if (summary := self._summaries.get((bridge, domain))) is not None
            ]
            # New bridges have not said anything yet.
            if verdicts and any(verdicts) == (domain in self._unreachable):
                self._unreachable ^= {domain}
                changed.append(DomainReachable(domain, any(verdicts)))
        return changed

    def digest(self, live: Collection[str]) -> int:
        """Return a hash of the summaries of live bridges, in no order."""
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
