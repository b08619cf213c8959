"""UDP transport of the membership state machine."""

from __future__ import annotations

import asyncio
import functools
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import cast

from borageworks.config.settings import Settings
from borageworks.events import Event, emit
from borageworks.exceptions import (
    BorageworksError,
    MessageMalformedError,
    MessageUnauthenticError,
)
from borageworks.membership.actions import (
    Action,
    Address,
    MemberChanged,
    ReachabilityChanged,
    SendTo,
)
from borageworks.membership.member import Member
from borageworks.membership.membership import MAX_PACKET_BYTES, Datagram, Membership
from borageworks.metrics import Metrics
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.authenticator import AUTHENTICATION_CODE_BYTES, Authenticator
from borageworks.wire.codec import decode, encode
from borageworks.wire.messages import Ack, MemberState, MemberUpdate, Ping, PingRequest

UDP_HEADER_BYTES = 28  # IPv4 (20) and UDP (8)
AUTHENTICATION_CONTEXT = b"gossip"
TICKS_PER_PROBE_TIMEOUT = 3
TICKS_PER_PROBE_INTERVAL = 10
REJECTION_LOG_INTERVAL_S = 1.0  # bounds the log volume of a flood of forged datagrams
NANOSECONDS_PER_MILLISECOND = 1_000_000


class Gossip(asyncio.DatagramProtocol):
    """Exchanges membership datagrams with other instances.

    Parameters
    ----------
    settings
        Settings of the instance; `gossip` is the address to bind, which is also
        advertised to other instances.
    incarnation
        Start time of the process, in milliseconds of the wall clock.
    timers
        Timers of the process.
    metrics
        Counts rejected datagrams, state changes and pauses.
    rng
        Source of probe order and jitter.
    peer_address
        Address that the instance's peer links listen on.
    catalog_version
        Returns revision and hash of the instance's configuration.
    on_member
        Called with each new or changed member, the instance itself included.
    on_domain
        Called with a domain and whether it is reachable, when that changes.
    on_catalog_version
        Called with instance, revision and hash for each datagram that carries them.
    on_paused
        Called when the process did not run for longer than `pause_limit_s`, before
        anything else is processed. `confirmed` is False from then on until another
        instance has acknowledged a probe.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        timers: Timers,
        metrics: Metrics,
        rng: random.Random,
        peer_address: Address,
        catalog_version: Callable[[], tuple[int, int]],
        on_member: Callable[[Member], None],
        on_domain: Callable[[str, bool], None],
        on_catalog_version: Callable[[str, int, int], None],
        on_paused: Callable[[], None] = lambda: None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._metrics = metrics
        self._on_member = on_member
        self._on_domain = on_domain
        self._on_catalog_version = on_catalog_version
        self._on_paused = on_paused
        self._authenticator = Authenticator(settings.membership.keys)
        self._transport: asyncio.DatagramTransport | None = None
        self._tick_subscription: TimerSubscription | None = None
        self._last_tick_at = timers.now()
        self._next_rejection_log_at = 0.0
        self._bytes_sent = 0
        self._bytes_received = 0
        self._create_membership_at = functools.partial(
            self._create_membership, incarnation, rng, peer_address[1], catalog_version
        )
        self._membership = self._create_membership_at(settings.gossip.host_port)

    @property
    def address(self) -> Address:
        """Address that the instance receives datagrams on."""
        own = self._membership.own
        return own.host, own.port

    @property
    def incarnation(self) -> int:
        """Current incarnation of the instance."""
        return self._membership.own.incarnation

    @property
    def members(self) -> Mapping[str, Member]:
        """Known members by id, including the instance itself and recent dead ones."""
        return self._membership.members

    @property
    def unreachable_domains(self) -> frozenset[str]:
        """Other domains in which no probed member responds."""
        return self._membership.unreachable_domains

    @property
    def confirmed(self) -> bool:
        """Whether the instance may own endpoints: it is confirmed and not paused."""
        return self._membership.confirmed and not self._is_paused()

    @property
    def bytes_sent(self) -> int:
        """Bytes sent, with UDP/IP headers."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """Bytes received, with UDP/IP headers."""
        return self._bytes_received

    async def start(self) -> None:
        """Bind the socket and start probing."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._settings.gossip.host_port
        )
        host, port = transport.get_extra_info("sockname")[:2]
        if port != self._settings.gossip.port:
            self._membership = self._create_membership_at((str(host), int(port)))
        membership = self._settings.membership
        self._last_tick_at = self._timers.now()
        self._tick_subscription = self._timers.every(
            min(
                membership.probe_timeout_s / TICKS_PER_PROBE_TIMEOUT,
                membership.probe_interval_s / TICKS_PER_PROBE_INTERVAL,
            ),
            lambda _now: self._tick(),
        )
        self._tick()

    async def stop(self) -> None:
        """Close the socket; after `leave`, announce the stop first."""
        if self._tick_subscription is not None:
            self._tick_subscription.cancel()
        if self._membership.own.state is MemberState.LEAVING:
            self._execute(self._membership.depart(self._timers.now()))
        if self._transport is not None:
            self._transport.close()

    def leave(self) -> None:
        """Announce that the instance is about to stop."""
        self._execute(self._membership.leave(self._timers.now()))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process one datagram."""
        self._bytes_received += len(data) + UDP_HEADER_BYTES
        self._handle_pause()
        try:
            message = self._verify_and_decode(data)
        except (MessageMalformedError, MessageUnauthenticError) as error:
            self._reject(error, addr)
            return
        source = (addr[0], addr[1])
        if source != (message.sender.host, message.sender.port):
            # A copy replayed from another address.
            self._metrics.count("gossip_rejected", "source_mismatch")
            return
        self._execute(self._membership.receive(self._timers.now(), message, source))
        if isinstance(message, Ping | Ack):
            self._on_catalog_version(
                message.sender.instance, message.catalog_revision, message.catalog_hash
            )

    def error_received(self, exc: Exception) -> None:
        """Count a socket error; failed probes detect the cause."""
        self._metrics.count("gossip_errors")

    def _create_membership(
        self,
        incarnation: int,
        rng: random.Random,
        peer_port: int,
        catalog_version: Callable[[], tuple[int, int]],
        address: Address,
    ) -> Membership:
        own = MemberUpdate(
            self._settings.instance,
            self._settings.domain,
            *address,
            peer_port,
            incarnation,
            MemberState.ALIVE,
        )
        return Membership(self._settings, incarnation, rng, own, catalog_version)

    def _is_paused(self) -> bool:
        elapsed = self._timers.now() - self._last_tick_at
        return elapsed > self._settings.membership.pause_limit_s

    def _handle_pause(self) -> None:
        if not self._is_paused():
            return
        now = self._timers.now()
        elapsed, self._last_tick_at = now - self._last_tick_at, now
        self._metrics.count("pauses")
        emit(Event.INSTANCE_PAUSED, seconds=elapsed)
        incarnation = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        actions = self._membership.rejoin(now, incarnation)
        self._on_paused()
        self._execute(actions)

    def _tick(self) -> None:
        self._handle_pause()
        self._last_tick_at = self._timers.now()
        self._execute(self._membership.tick(self._last_tick_at))

    def _verify_and_decode(self, data: bytes) -> Datagram:
        if len(data) > MAX_PACKET_BYTES:
            raise MessageMalformedError(
                f"datagram of {len(data)} bytes exceeds the maximum"
            )
        body = data[:-AUTHENTICATION_CODE_BYTES]
        self._authenticator.verify(
            AUTHENTICATION_CONTEXT, body, data[-AUTHENTICATION_CODE_BYTES:]
        )
        match decode(body):
            case [Ping() | PingRequest() | Ack() as message]:
                return message
        raise MessageMalformedError(
            "datagram must contain exactly one membership message"
        )

    def _reject(self, error: BorageworksError, addr: tuple[str, int]) -> None:
        self._metrics.count("gossip_rejected", error.code)
        now = self._timers.now()
        if now < self._next_rejection_log_at:
            return
        self._next_rejection_log_at = now + REJECTION_LOG_INTERVAL_S
        emit(
            Event.PEER_REJECTED,
            instance=None,
            code=error.code,
            reason=f"datagram from {addr[0]}:{addr[1]}: {error}",
        )

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendTo(address=address, message=message):
                    self._send(address, message)
                case MemberChanged(member=member):
                    self._metrics.count("member_changes", member.state.name.lower())
                    emit(
                        Event.MEMBER_CHANGED,
                        instance=member.id,
                        domain=member.domain,
                        state=member.state.name.lower(),
                        incarnation=member.incarnation,
                    )
                    self._on_member(member)
                case ReachabilityChanged(domain=domain, reachable=reachable):
                    emit(Event.DOMAIN_REACHABILITY, domain=domain, reachable=reachable)
                    self._on_domain(domain, reachable)

    def _send(self, address: Address, message: Datagram) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        body = encode((message,))
        data = body + self._authenticator.sign(AUTHENTICATION_CONTEXT, body)
        if len(data) > MAX_PACKET_BYTES:
            self._metrics.count("gossip_dropped", "too_large")
            return
        self._bytes_sent += len(data) + UDP_HEADER_BYTES
        self._transport.sendto(data, address)
