"""Actions that the membership state machine returns for its caller to execute."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.membership.member import Member
from borageworks.wire.messages import Ack, Ping, PingRequest

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send one datagram."""

    address: Address
    message: Ping | PingRequest | Ack


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member is new, or its state, incarnation or address has changed."""

    member: Member


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Another domain has become reachable or unreachable."""

    domain: str
    reachable: bool


Action = SendTo | MemberChanged | ReachabilityChanged
