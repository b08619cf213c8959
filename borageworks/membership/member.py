"""A member of the fleet."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.wire.messages import MemberState, MemberUpdate


@dataclass(frozen=True, slots=True)
class Member:
    """State of one instance as known to the local instance.

    `port` receives membership datagrams, `peer_port` accepts links. The incarnation
    increases when the process restarts, refutes a suspicion or resumes from a pause.
    """

    id: str
    domain: str
    host: str
    port: int
    peer_port: int
    incarnation: int
    state: MemberState

    @property
    def usable(self) -> bool:
        """Whether the member may own endpoints."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @classmethod
    def from_update(cls, update: MemberUpdate) -> Member:
        """Return the member that an update describes."""
        return cls(
            update.instance,
            update.domain,
            update.host,
            update.port,
            update.peer_port,
            update.incarnation,
            update.state,
        )
