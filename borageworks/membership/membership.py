"""Failure detection and member list of one instance, as a state machine without I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

import xxhash

from borageworks.config.settings import Settings
from borageworks.membership.actions import (
    Action,
    Address,
    MemberChanged,
    SendTo,
)
from borageworks.membership.domain_view import DomainView, is_summary
from borageworks.membership.member import Member
from borageworks.membership.update_queue import UpdateQueue, packed_size
from borageworks.wire.messages import Ack, MemberState, MemberUpdate, Ping, PingRequest

Datagram = Ping | PingRequest | Ack

MAX_PACKET_BYTES = 1200
AUTHENTICATION_CODE_BYTES = 16  # authentication code that the transport appends
# Upper bound on the packed frame around sender, target and updates.
MAX_HEADER_BYTES = 72
PROBE_FAILURE_TIMEOUTS = 2  # one for the direct probe, one for the relayed probe
# Pending updates are also sent this often per probe interval without a probe:
# piggybacking alone took 8 to 17 intervals to disseminate a death among 100 to 400
# members.
DISSEMINATIONS_PER_INTERVAL = 5
# A member that did not itself fail to probe a suspect waits this many times longer
# before it declares the suspect dead, so that one prober with a lossy network does not
# cause false deaths.
REPORTED_SUSPICION_FACTOR = 5
MAX_BRIDGE_TRANSMISSIONS = 4  # per update and bridge
UNREACHABLE_INTERVALS = 5
MIN_UNREACHABLE_PROBES = 3
DEAD_PROBE_INTERVALS = 5
SEED_PROBE_INTERVALS = 10
MAX_SEED_PROBES = 3
SYNC_INTERVALS = 20
# Applies after a start and after a list with new updates. The backoff then doubles with
# each request, since a list of 800 members takes 50 KB and often has nothing new.
INITIAL_SYNC_INTERVALS = 1
# Once this many list packets have been sent in a probe interval, no further list is
# started. A list of 800 members takes 60.
MAX_LIST_PACKETS = 60
ANNOUNCEMENT_PACKETS = 4
MAX_CANDIDATES = 256
CANDIDATE_TIMEOUT_INTERVALS = 3  # one lost probe must not cause a false death
DEAD_RETENTION_S = 3600.0  # domains may be partitioned for up to an hour
LIST_SEQUENCE = 0  # ack that carries member list entries
UNTRACKED_SEQUENCE = 1  # ping or ack that belongs to no pending probe
FIRST_SEQUENCE = 2
SEQUENCE_COUNT = 1 << 32


def _address(update: MemberUpdate) -> Address:
    return update.host, update.port


def _precedence(update: MemberUpdate) -> tuple[int, int]:
    return update.incarnation, int(update.state)


def _member_hash(update: MemberUpdate) -> int:
    # Suspicions are short-lived, and members remove dead entries at different times.
    if update.state is MemberState.DEAD:
        return 0
    leaving = update.state is MemberState.LEAVING
    text = f"{update.instance} {update.incarnation} {leaving}".encode()
    return xxhash.xxh32_intdigest(text)


@dataclass(slots=True)
class _Probe:
    target: str
    relay_at: float
    expires_at: float
    suspect_on_timeout: bool
    incarnation: int
    relay_for: tuple[str, int] | None = None
    relays_requested: bool = False


@dataclass(slots=True)
class _Candidate:
    """A member of the own domain that only another domain reports as alive."""

    update: MemberUpdate
    reporter: str
    expires_at: float
    acknowledged_relay: bool = False


@dataclass(slots=True)
class _BridgeState:
    """Probing state of the local instance as a bridge to one domain."""

    last_ack_at: float
    sync_in_intervals: int
    probed_since_ack: set[str] = field(default_factory=set)
    queue: UpdateQueue = field(default_factory=UpdateQueue)
    last_published: bool | None = None


class Membership:
    """Member list of one instance.

    Each probe interval the instance probes one member of its own domain. Two members
    per domain and other domain, chosen by rendezvous hash, also probe the other domain
    and report to their own domain whether it is reachable.

    Parameters
    ----------
    settings
        Settings of the instance.
    incarnation
        Start time of the process, in milliseconds of the wall clock.
    rng
        Source of probe order and jitter.
    own
        Description of the instance; its incarnation is replaced.
    catalog_version
        Returns revision and hash of the instance's configuration.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        rng: random.Random,
        own: MemberUpdate,
        catalog_version: Callable[[], tuple[int, int]] = lambda: (0, 0),
    ) -> None:
        self._settings = settings.membership
        self._rng = rng
        self._own = replace(own, incarnation=incarnation, state=MemberState.ALIVE)
        self._catalog_version = catalog_version
        self._seeds = [
            seed.host_port
            for seed in self._settings.seeds
            if seed.host_port != _address(self._own)
        ]
        self._updates: dict[str, MemberUpdate] = {}
        self._members = {own.instance: Member.from_update(self._own)}
        self._live: dict[str, dict[str, None]] = {}
        self._live_count = 0
        self._digest = _member_hash(self._own)
        self._queue = UpdateQueue()
        self._probes: dict[int, _Probe] = {}
        self._sequence = rng.randrange(FIRST_SEQUENCE, SEQUENCE_COUNT)
        self._probe_order: list[str] = []
        self._suspicions: dict[str, float] = {}
        self._dead_expiry: dict[str, float] = {}
        self._candidates: dict[str, _Candidate] = {}
        self._bridges: dict[str, _BridgeState] = {}
        self._domain_view = DomainView(own.instance, own.domain)
        self._bridges_stale = False
        self._interval_count = 0
        self._interval_offset = rng.randrange(
            SEED_PROBE_INTERVALS * DEAD_PROBE_INTERVALS
        )
        self._next_interval_at: float | None = None
        self._next_dissemination_at = 0.0
        self._last_tick_at = 0.0
        self._sync_in_intervals = 1
        self._sync_backoff_intervals = INITIAL_SYNC_INTERVALS
        self._list_packets_left = MAX_LIST_PACKETS
        self._confirmed = False
        self._unconfirmed_since = 0.0
        self._unconfirmed_incarnation = incarnation

    @property
    def own(self) -> MemberUpdate:
        """State of the local instance."""
        return self._own

    @property
    def members(self) -> Mapping[str, Member]:
        """Known members by id, including the instance itself and recent dead ones."""
        return MappingProxyType(self._members)

    @property
    def unreachable_domains(self) -> frozenset[str]:
        """Other domains in which no probed member responds."""
        return self._domain_view.unreachable

    @property
    def confirmed(self) -> bool:
        """Whether the own domain has acknowledged a probe since start or last pause.

        An instance that finds no other member of its domain is confirmed after a
        failure detection time.
        """
        return self._confirmed

    def tick(self, now: float) -> list[Action]:
        """Advance the time; must be called several times per probe timeout."""
        actions: list[Action] = []
        if self._next_interval_at is None:
            self._next_interval_at = now
            self._unconfirmed_since = now
        elif now - self._last_tick_at > self._settings.probe_timeout_s:
            # Acks may be unread in the socket after a stall of this process: extend the
            # deadlines of other members by its duration.
            self._extend_deadlines(now - self._last_tick_at)
        self._last_tick_at = now
        if self._bridges_stale:
            self._choose_bridges(now, actions)
        self._check_probes(now, actions)
        self._check_suspicions(now, actions)
        self._check_candidates(now, actions)
        if now >= self._next_interval_at:
            interval = self._settings.probe_interval_s
            self._next_interval_at = max(self._next_interval_at + interval, now)
            if self._interval_count == 0:
                # Instances started together must not probe in step.
                self._next_interval_at = now + interval * self._rng.random()
            self._run_interval(now, actions)
            self._interval_count += 1
        elif now >= self._next_dissemination_at:
            dissemination_interval = (
                self._settings.probe_interval_s / DISSEMINATIONS_PER_INTERVAL
            )
            self._next_dissemination_at = max(
                self._next_dissemination_at + dissemination_interval, now
            )
            self._send_pending_updates(actions)
        return actions

    def receive(self, now: float, message: Datagram, source: Address) -> list[Action]:
        """Process an authenticated datagram.

        A datagram whose source differs from its sender's address is ignored, so that
        copies replayed from elsewhere have no effect. Replies go to that address.
        """
        sender = message.sender
        if sender.instance == self._own.instance or source != _address(sender):
            return []
        actions: list[Action] = []
        incarnation = self._own.incarnation
        known = self._updates.get(sender.instance)
        was_dead = known is not None and known.state is MemberState.DEAD
        sender_live = known is not None and not was_dead
        from_list = isinstance(message, Ack) and message.sequence == LIST_SEQUENCE
        self._apply_self_report(now, sender, actions)
        for update in message.updates:
            self._apply_update(now, update, sender, sender_live, from_list, actions)
        if was_dead and sender.state is not MemberState.DEAD:
            # Both sides of a healed partition compare their lists.
            self._request_list(sender, actions)
        match message:
            case Ping() if sender.state is not MemberState.DEAD:
                self._send_ack(sender, message.sequence, actions)
            case PingRequest(target="", sequence=digest):
                self._send_list(sender, digest, actions)
            case PingRequest():
                self._relay_probe(now, message, actions)
            case Ack():
                self._handle_ack(now, message, actions)
                if self._own.incarnation != incarnation and not from_list:
                    self._send(
                        _address(sender),
                        self._make_ack(UNTRACKED_SEQUENCE, sender),
                        actions,
                    )
            case _:
                pass
        return actions

    def leave(self, now: float) -> list[Action]:
        """Announce that the instance is about to stop."""
        return self._announce(now, MemberState.LEAVING)

    def depart(self, now: float) -> list[Action]:
        """Announce that the instance has stopped."""
        return self._announce(now, MemberState.DEAD)

    def rejoin(self, now: float, incarnation: int) -> list[Action]:
        """Set a new incarnation after a pause, during which others may have died."""
        self._update_own(max(incarnation, self._own.incarnation + 1), self._own.state)
        self._probes.clear()
        self._candidates.clear()
        for instance in self._suspicions:
            self._suspicions[instance] = now + self._reported_suspicion_s
        for bridge in self._bridges.values():
            bridge.last_ack_at = now
            bridge.probed_since_ack.clear()
        self._confirmed = False
        self._unconfirmed_since = now
        self._unconfirmed_incarnation = self._own.incarnation
        self._last_tick_at = now
        self._next_interval_at = now
        self._sync_in_intervals = 1
        self._sync_backoff_intervals = INITIAL_SYNC_INTERVALS
        return [MemberChanged(self._members[self._own.instance])]

    @property
    def _reported_suspicion_s(self) -> float:
        return self._settings.suspicion_s * REPORTED_SUSPICION_FACTOR

    @property
    def _max_transmissions(self) -> int:
        """Number of times that an update is sent in the own domain."""
        return max(3, math.ceil(3 * math.log(1 + len(self._own_domain_live()))))

    def _own_domain_live(self) -> dict[str, None]:
        return self._live.get(self._own.domain, {})

    def _extend_deadlines(self, stall_s: float) -> None:
        for probe in self._probes.values():
            probe.relay_at += stall_s
            probe.expires_at += stall_s
        for instance in self._suspicions:
            self._suspicions[instance] += stall_s
        for candidate in self._candidates.values():
            candidate.expires_at += stall_s
        for bridge in self._bridges.values():
            bridge.last_ack_at += stall_s

    # Own state

    def _update_own(self, incarnation: int, state: MemberState) -> None:
        self._digest ^= _member_hash(self._own)
        self._own = replace(self._own, incarnation=incarnation, state=state)
        self._digest ^= _member_hash(self._own)
        self._members[self._own.instance] = Member.from_update(self._own)
        self._bridges_stale = True
        self._disseminate(self._own)

    def _announce(self, now: float, state: MemberState) -> list[Action]:
        actions: list[Action] = []
        if self._own.state >= state:
            return actions
        self._update_own(self._own.incarnation, state)
        live = list(self._own_domain_live())
        for instance in self._rng.sample(live, min(ANNOUNCEMENT_PACKETS, len(live))):
            self._ping(now, self._updates[instance], actions)
        return actions

    def _refute(self, update: MemberUpdate, actions: list[Action]) -> None:
        if self._own.state is MemberState.DEAD or _precedence(update) <= _precedence(
            self._own
        ):
            return
        self._update_own(update.incarnation + 1, self._own.state)
        actions.append(MemberChanged(self._members[self._own.instance]))

    # Other members

    def _apply_self_report(
        self, now: float, update: MemberUpdate, actions: list[Action]
    ) -> None:
        """Apply the state that a member sent of itself."""
        known = self._updates.get(update.instance)
        if known is None or _precedence(update) > _precedence(known):
            self._store(now, update, actions)

    def _apply_update(
        self,
        now: float,
        update: MemberUpdate,
        sender: MemberUpdate,
        sender_live: bool,
        from_list: bool,
        actions: list[Action],
    ) -> None:
        """Apply an update that `sender` sent about another member."""
        if update.instance == self._own.instance:
            self._refute(update, actions)
            return
        if is_summary(update):
            if sender.domain == self._own.domain:
                self._apply_summary(update, actions)
            return
        known = self._updates.get(update.instance)
        if known is not None and _precedence(update) <= _precedence(known):
            return
        if update.domain != self._own.domain:
            if update.state is MemberState.SUSPECT:
                update = replace(update, state=MemberState.ALIVE)
        elif update.state is MemberState.DEAD:
            if (
                known is not None
                and known.state in (MemberState.ALIVE, MemberState.SUSPECT)
                and (from_list or not sender_live or sender.domain != self._own.domain)
            ):
                # The sender may have been on the other side of a partition.
                update = replace(update, state=MemberState.SUSPECT)
        elif sender.domain != self._own.domain and (
            known is None or known.state is MemberState.DEAD
        ):
            # It may be long dead, or partitioned from this instance only.
            self._add_candidate(now, update, sender, actions)
            return
        if known is None:
            if update.state is MemberState.DEAD and from_list:
                return  # otherwise lists would re-add dead members after their removal
        elif _precedence(update) <= _precedence(known):
            return
        bridge = self._bridges.get(sender.domain)
        if from_list:
            self._sync_backoff_intervals = INITIAL_SYNC_INTERVALS
            self._sync_in_intervals = min(
                self._sync_in_intervals, INITIAL_SYNC_INTERVALS
            )
            if bridge is not None:
                bridge.sync_in_intervals = min(
                    bridge.sync_in_intervals, INITIAL_SYNC_INTERVALS
                )
        # A list gives a new member many entries that its whole domain already knows.
        disseminate = known is not None or bridge is not None or not from_list
        self._store(now, update, actions, disseminate)

    def _store(
        self,
        now: float,
        update: MemberUpdate,
        actions: list[Action],
        disseminate: bool = True,
    ) -> None:
        instance = update.instance
        known = self._updates.get(instance)
        if known is not None:
            self._digest ^= _member_hash(known)
        self._digest ^= _member_hash(update)
        self._updates[instance] = update
        self._members[instance] = member = Member.from_update(update)
        self._suspicions.pop(instance, None)
        self._candidates.pop(instance, None)
        if known is not None and known.domain != update.domain:
            self._remove_live(known)
        if update.state is MemberState.DEAD:
            self._remove_live(update)
            self._dead_expiry[instance] = now + DEAD_RETENTION_S
        else:
            self._dead_expiry.pop(instance, None)
            self._add_live(update)
            if update.state is MemberState.SUSPECT:
                self._suspicions[instance] = now + self._reported_suspicion_s
        if update.domain == self._own.domain and (
            known is None or known.state is not update.state
        ):
            self._bridges_stale = True
        if disseminate:
            self._disseminate(update)
        actions.append(MemberChanged(member))

    def _add_live(self, update: MemberUpdate) -> None:
        live = self._live.setdefault(update.domain, {})
        if update.instance in live:
            return
        self._bridges_stale |= not live
        live[update.instance] = None
        self._live_count += 1
        if update.domain == self._own.domain:
            position = self._rng.randint(0, len(self._probe_order))
            self._probe_order.insert(position, update.instance)

    def _remove_live(self, update: MemberUpdate) -> None:
        live = self._live.get(update.domain, {})
        if update.instance in live:
            del live[update.instance]
            self._live_count -= 1
            self._bridges_stale |= not live

    def _disseminate(self, update: MemberUpdate) -> None:
        self._queue.put(update)
        if update.domain == self._own.domain and update.state != MemberState.SUSPECT:
            for bridge in self._bridges.values():
                bridge.queue.put(update)

    def _add_candidate(
        self,
        now: float,
        update: MemberUpdate,
        reporter: MemberUpdate,
        actions: list[Action],
    ) -> None:
        existing = self._candidates.get(update.instance)
        if len(self._candidates) >= MAX_CANDIDATES or (
            existing is not None and _precedence(update) <= _precedence(existing.update)
        ):
            return
        expires_at = now + self._settings.probe_interval_s * CANDIDATE_TIMEOUT_INTERVALS
        candidate = _Candidate(update, reporter.instance, expires_at)
        self._candidates[update.instance] = candidate
        if existing is None:
            self._probe_candidate(now, candidate, actions)

    def _probe_candidate(
        self, now: float, candidate: _Candidate, actions: list[Action]
    ) -> None:
        sequence = self._ping(now, candidate.update, actions)
        self._probes[sequence].relays_requested = True
        reporter = self._updates.get(candidate.reporter)
        if reporter is not None:
            request = PingRequest(sequence, self._own, candidate.update.instance)
            self._send(_address(reporter), request, actions)

    def _check_candidates(self, now: float, actions: list[Action]) -> None:
        for instance, candidate in list(self._candidates.items()):
            if candidate.expires_at > now:
                continue
            del self._candidates[instance]
            # If it acknowledges relayed probes, only this instance is partitioned from
            # it: its death would be declared and refuted until the partition heals.
            if not candidate.acknowledged_relay:
                update = replace(candidate.update, state=MemberState.DEAD)
                self._store(now, update, actions)

    def _suspect(self, now: float, instance: str, actions: list[Action]) -> None:
        update = self._updates.get(instance)
        if update is None or update.state is MemberState.DEAD:
            return
        if update.state is MemberState.ALIVE:
            update = replace(update, state=MemberState.SUSPECT)
            self._store(now, update, actions)
            # A live member refutes the suspicion on receipt.
            self._ping(now, update, actions)
        deadline = now + self._settings.suspicion_s
        self._suspicions[instance] = min(
            deadline, self._suspicions.get(instance, deadline)
        )

    def _check_suspicions(self, now: float, actions: list[Action]) -> None:
        if not self._suspicions:
            return
        for instance, deadline in list(self._suspicions.items()):
            if deadline <= now:
                update = replace(self._updates[instance], state=MemberState.DEAD)
                self._store(now, update, actions)

    def _remove_expired_dead(self, now: float) -> None:
        for instance, expires_at in list(self._dead_expiry.items()):
            if expires_at <= now:
                del self._dead_expiry[instance], self._updates[instance]
                del self._members[instance]
                self._domain_view.remove_member(instance)

    # Probes

    def _run_interval(self, now: float, actions: list[Action]) -> None:
        for candidate in self._candidates.values():
            self._probe_candidate(now, candidate, actions)
        self._list_packets_left = MAX_LIST_PACKETS
        self._remove_expired_dead(now)
        target = self._next_probe_target()
        if target is not None:
            self._ping(now, self._updates[target], actions, suspect_on_timeout=True)
        elif now - self._unconfirmed_since >= self._detection_s:
            self._confirmed = True
        for domain, bridge in self._bridges.items():
            self._probe_domain(now, domain, bridge, actions)
        interval_index = self._interval_count + self._interval_offset
        if self._dead_expiry and interval_index % DEAD_PROBE_INTERVALS == 0:
            self._probe_dead(now, actions)
        if target is None or interval_index % SEED_PROBE_INTERVALS == 0:
            self._probe_seeds(now, MAX_SEED_PROBES if target is None else 1, actions)
        self._sync_in_intervals -= 1
        if self._sync_in_intervals <= 0 and self._live_count:
            self._start_sync(actions)

    @property
    def _detection_s(self) -> float:
        settings = self._settings
        return (
            settings.probe_interval_s
            + settings.probe_timeout_s * PROBE_FAILURE_TIMEOUTS
            + settings.suspicion_s
        )

    def _next_probe_target(self) -> str | None:
        live = self._own_domain_live()
        if not live:
            return None
        while True:
            if not self._probe_order:
                self._probe_order = list(live)
                self._rng.shuffle(self._probe_order)
            instance = self._probe_order.pop()
            if instance in live:
                return instance

    def _probe_dead(self, now: float, actions: list[Action]) -> None:
        target = self._rng.choice(list(self._dead_expiry))
        update = self._updates[target]
        if update.domain == self._own.domain:
            self._ping(now, update, actions)

    def _probe_seeds(self, now: float, count: int, actions: list[Action]) -> None:
        known = {
            _address(self._updates[instance])
            for live in self._live.values()
            for instance in live
        }
        unknown = [seed for seed in self._seeds if seed not in known]
        for seed in self._rng.sample(unknown, min(count, len(unknown))):
            self._send(seed, self._make_ping(UNTRACKED_SEQUENCE, None), actions)

    def _probe_domain(
        self, now: float, domain: str, bridge: _BridgeState, actions: list[Action]
    ) -> None:
        target = self._rng.choice(list(self._live[domain]))
        unreachable_after_s = UNREACHABLE_INTERVALS * self._settings.probe_interval_s
        enough_probed = len(bridge.probed_since_ack) >= min(
            MIN_UNREACHABLE_PROBES, len(self._live[domain])
        )
        if enough_probed and now - bridge.last_ack_at >= unreachable_after_s:
            self._publish_reachability(domain, bridge, False, actions)
        bridge.probed_since_ack.add(target)
        self._ping(now, self._updates[target], actions)
        bridge.sync_in_intervals -= 1
        if (
            bridge.sync_in_intervals <= 0
            and domain not in self._domain_view.unreachable
        ):
            bridge.sync_in_intervals = self._jittered(SYNC_INTERVALS)
            self._request_list(self._updates[target], actions)

    def _check_probes(self, now: float, actions: list[Action]) -> None:
        for sequence, probe in list(self._probes.items()):
            if probe.expires_at <= now:
                del self._probes[sequence]
                if probe.suspect_on_timeout:
                    self._suspect(now, probe.target, actions)
            elif (
                probe.suspect_on_timeout
                and not probe.relays_requested
                and probe.relay_at <= now
            ):
                probe.relays_requested = True
                self._ask_relays(probe.target, sequence, actions)

    def _ask_relays(self, target: str, sequence: int, actions: list[Action]) -> None:
        relays = [
            instance
            for instance in self._own_domain_live()
            if instance != target
            and self._updates[instance].state is not MemberState.SUSPECT
        ]
        count = min(self._settings.indirect_probes, len(relays))
        for instance in self._rng.sample(relays, count):
            relay = self._updates[instance]
            free_bytes = self._free_bytes(packed_size(self._updates[target]))
            request = PingRequest(
                sequence, self._own, target, self._piggyback(relay, free_bytes)
            )
            self._send(_address(relay), request, actions)

    def _ping(
        self,
        now: float,
        target: MemberUpdate,
        actions: list[Action],
        suspect_on_timeout: bool = False,
        relay_for: tuple[str, int] | None = None,
    ) -> int:
        timeout = self._settings.probe_timeout_s
        sequence = self._sequence
        self._sequence += 1
        if self._sequence == SEQUENCE_COUNT:
            self._sequence = FIRST_SEQUENCE
        self._probes[sequence] = _Probe(
            target.instance,
            now + timeout,
            now + timeout * PROBE_FAILURE_TIMEOUTS,
            suspect_on_timeout,
            self._own.incarnation,
            relay_for,
        )
        self._send(_address(target), self._make_ping(sequence, target), actions)
        return sequence

    def _make_ping(self, sequence: int, target: MemberUpdate | None) -> Ping:
        revision, content_hash = self._catalog_version()
        return Ping(
            sequence, self._own, self._piggyback(target), revision, content_hash
        )

    def _make_ack(
        self,
        sequence: int,
        receiver: MemberUpdate,
        extra_update: MemberUpdate | None = None,
    ) -> Ack:
        revision, content_hash = self._catalog_version()
        updates = self._piggyback(receiver, extra_update=extra_update)
        return Ack(sequence, self._own, updates, revision, content_hash)

    def _send_ack(
        self, sender: MemberUpdate, sequence: int, actions: list[Action]
    ) -> None:
        self._send(_address(sender), self._make_ack(sequence, sender), actions)

    def _relay_probe(
        self, now: float, request: PingRequest, actions: list[Action]
    ) -> None:
        target = self._updates.get(request.target)
        if target is not None:
            relay_for = (request.sender.instance, request.sequence)
            self._ping(now, target, actions, relay_for=relay_for)

    def _handle_ack(self, now: float, ack: Ack, actions: list[Action]) -> None:
        probe = self._probes.pop(ack.sequence, None)
        sender = ack.sender
        if probe is None or not (
            sender.instance == probe.target or probe.relays_requested
        ):
            return
        bridge = self._bridges.get(sender.domain)
        if bridge is not None:
            bridge.last_ack_at = now
            bridge.probed_since_ack.clear()
            self._publish_reachability(sender.domain, bridge, True, actions)
        if probe.incarnation >= self._unconfirmed_incarnation and (
            sender.domain == self._own.domain or not self._own_domain_live()
        ):
            self._confirmed = True
        candidate = self._candidates.get(probe.target)
        if candidate is not None:
            candidate.acknowledged_relay = True
            return
        target = self._updates.get(probe.target)
        if target is None:
            return
        if target.state is MemberState.LEAVING:
            self._suspicions.pop(probe.target, None)
        elif probe.target in self._suspicions:
            self._suspicions[probe.target] = now + self._reported_suspicion_s
        if probe.relay_for is not None and sender.instance == probe.target:
            requester = self._updates.get(probe.relay_for[0])
            if requester is not None:
                reply = self._make_ack(
                    probe.relay_for[1], requester, extra_update=target
                )
                self._send(_address(requester), reply, actions)

    # Packets

    def _send(self, address: Address, message: Datagram, actions: list[Action]) -> None:
        actions.append(SendTo(address, message))

    def _free_bytes(self, used_bytes: int = 0) -> int:
        own = packed_size(self._own)
        return (
            MAX_PACKET_BYTES
            - AUTHENTICATION_CODE_BYTES
            - MAX_HEADER_BYTES
            - own
            - used_bytes
        )

    def _piggyback(
        self,
        receiver: MemberUpdate | None,
        free_bytes: int | None = None,
        extra_update: MemberUpdate | None = None,
    ) -> tuple[MemberUpdate, ...]:
        """Return updates for a packet to `receiver` (None for an unknown member)."""
        if free_bytes is None:
            free_bytes = self._free_bytes()
        updates: list[MemberUpdate] = []
        if receiver is not None:
            known = self._updates.get(receiver.instance)
            if known is not None and (
                known.state in (MemberState.SUSPECT, MemberState.DEAD)
                or _precedence(known) > _precedence(receiver)
            ):
                updates.append(known)  # lets the receiver refute it
        if extra_update is not None:
            updates.append(extra_update)
        free_bytes -= sum(packed_size(update) for update in updates)
        if receiver is not None and receiver.domain != self._own.domain:
            bridge = self._bridges.get(receiver.domain)
            if bridge is not None:
                updates += bridge.queue.take(free_bytes, MAX_BRIDGE_TRANSMISSIONS)
        else:
            updates += self._queue.take(free_bytes, self._max_transmissions)
        return tuple(updates)

    def _send_pending_updates(self, actions: list[Action]) -> None:
        """Send pending updates without waiting for the next probe."""
        if self._queue and (live := self._own_domain_live()):
            self._send_updates(self._rng.choice(list(live)), actions)
        for domain, bridge in self._bridges.items():
            if bridge.queue and domain not in self._domain_view.unreachable:
                live = self._live[domain]
                self._send_updates(self._rng.choice(list(live)), actions)

    def _send_updates(self, instance: str, actions: list[Action]) -> None:
        member = self._updates[instance]
        self._send(
            _address(member), self._make_ack(UNTRACKED_SEQUENCE, member), actions
        )

    # Lists

    def _jittered(self, intervals: int) -> int:
        return round(intervals * self._rng.uniform(0.5, 1.5))

    def _start_sync(self, actions: list[Action]) -> None:
        self._sync_in_intervals = self._jittered(self._sync_backoff_intervals)
        self._sync_backoff_intervals = min(
            2 * self._sync_backoff_intervals, SYNC_INTERVALS
        )
        live = self._own_domain_live() or {
            instance: None for live in self._live.values() for instance in live
        }
        self._request_list(self._updates[self._rng.choice(list(live))], actions)

    def _request_list(self, member: MemberUpdate, actions: list[Action]) -> None:
        digest = self._digest
        if member.domain == self._own.domain:
            digest ^= self._domain_view.digest(self._own_domain_live())
        request = PingRequest(digest, self._own, "", self._piggyback(member))
        self._send(_address(member), request, actions)

    def _send_list(
        self, receiver: MemberUpdate, digest: int, actions: list[Action]
    ) -> None:
        own_digest = self._digest
        updates = list(self._updates.values())
        if receiver.domain == self._own.domain:
            own_digest ^= self._domain_view.digest(self._own_domain_live())
            updates += self._domain_view.summaries
        if digest == own_digest or self._list_packets_left <= 0:
            return
        # Random start: losses at the end of a burst must not always affect the same
        # members.
        start = self._rng.randrange(len(updates) + 1)
        packet: list[MemberUpdate] = []
        free_bytes = self._free_bytes()
        for update in updates[start:] + updates[:start]:
            size = packed_size(update)
            if size > free_bytes:
                self._send_list_packet(receiver, packet, actions)
                packet = []
                free_bytes = self._free_bytes()
            packet.append(update)
            free_bytes -= size
        self._send_list_packet(receiver, packet, actions)

    def _send_list_packet(
        self, receiver: MemberUpdate, packet: list[MemberUpdate], actions: list[Action]
    ) -> None:
        if packet:
            self._list_packets_left -= 1
            message = Ack(
                LIST_SEQUENCE, self._own, tuple(packet), *self._catalog_version()
            )
            self._send(_address(receiver), message, actions)

    # Other domains

    def _choose_bridges(self, now: float, actions: list[Action]) -> None:
        self._bridges_stale = False
        usable = [
            instance
            for instance in self._own_domain_live()
            if self._updates[instance].state is not MemberState.LEAVING
        ]
        if self._own.state is MemberState.ALIVE or not usable:
            usable.append(self._own.instance)
        self._domain_view.assign_bridges(
            usable, [name for name, live in self._live.items() if live]
        )
        self._bridges = {
            domain: self._bridges.get(domain)
            or _BridgeState(now, self._rng.randint(1, SYNC_INTERVALS))
            for domain in self._domain_view.bridged_domains()
        }
        actions.extend(self._domain_view.update_reachability())

    def _publish_reachability(
        self, domain: str, bridge: _BridgeState, reachable: bool, actions: list[Action]
    ) -> None:
        if bridge.last_published is reachable:
            return
        bridge.last_published = reachable
        if reachable:
            bridge.sync_in_intervals = min(bridge.sync_in_intervals, 1)
        summary = self._domain_view.make_summary(
            domain, reachable, self._own.incarnation
        )
        self._apply_summary(summary, actions)

    def _apply_summary(self, summary: MemberUpdate, actions: list[Action]) -> None:
        if self._domain_view.apply_summary(summary):
            self._queue.put(summary)
            actions.extend(self._domain_view.update_reachability())
