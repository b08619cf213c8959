"""Failure detection and member list of one instance, without input or output."""

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

PACKET_BYTES = 1200
CODE_BYTES = 16  # authentication code that the shell appends
HEADER_BYTES = 72  # upper bound of the packed frame around sender, target and updates
FAILED_AFTER_TIMEOUTS = 2  # one for the direct probe, one for the relayed probe
# Fresh updates are sent this often per probe interval besides the probes, which alone
# took 8 to 17 intervals to spread a death at 100 to 400 members.
SPREADS_PER_INTERVAL = 5
# A member that only heard of a suspicion waits this many times longer for the verdict
# of those whose own probe failed, which keeps one lossy prober from spreading deaths.
HEARSAY_FACTOR = 5
BRIDGE_TRANSMISSIONS = 4  # per update and bridge
UNREACHABLE_INTERVALS = 5
UNREACHABLE_PROBES = 3
DEAD_PROBE_INTERVALS = 5
SEED_INTERVALS = 10
SEEDS_AT_ONCE = 3
SYNC_INTERVALS = 20
# After a start and after a list that brought news; the pause then doubles with each
# request, since a list of 800 members takes 50 KB and often brings nothing.
SYNC_SOON = 1
# After this many packets in a probe interval no further list is begun: 60 hold one list
# of 800 members.
LIST_PACKETS = 60
LEAVE_PACKETS = 4
CANDIDATES = 256
CANDIDATE_INTERVALS = 3  # one lost probe must not let a live member be taken for dead
FORGET_S = 3600.0  # domains lose contact for up to an hour
LIST_SEQUENCE = 0
SPREAD_SEQUENCE = 1
FIRST_SEQUENCE = 2
SEQUENCES = 1 << 32


def _address(update: MemberUpdate) -> Address:
    return update.host, update.port


def _rank(update: MemberUpdate) -> tuple[int, int]:
    return update.incarnation, int(update.state)


def _digest(update: MemberUpdate) -> int:
    # Suspicions pass quickly, and the dead are forgotten at different times.
    if update.state is MemberState.DEAD:
        return 0
    leaving = update.state is MemberState.LEAVING
    text = f"{update.instance} {update.incarnation} {leaving}".encode()
    return xxhash.xxh32_intdigest(text)


@dataclass(slots=True)
class _Probe:
    target: str
    relays_at: float
    fails_at: float
    suspects: bool
    incarnation: int
    relay_for: tuple[str, int] | None = None
    relays_asked: bool = False


@dataclass(slots=True)
class _Candidate:
    """A member of the own domain that only another domain says is alive."""

    update: MemberUpdate
    teller: str
    expires: float
    answers_others: bool = False


@dataclass(slots=True)
class _Bridge:
    answered: float
    sync_in: int
    probed: set[str] = field(default_factory=set)
    queue: UpdateQueue = field(default_factory=UpdateQueue)
    published: bool | None = None


class Membership:
    """Member list of one instance.

    Each probe interval the instance probes one member of its own domain. Two members
    per domain and other domain, chosen by rendezvous hash, also probe the other domain
    and tell their own domain whether it answers.

    Parameters
    ----------
    settings
        Settings of the instance.
    incarnation
        Milliseconds of the wall clock when the process started.
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
            seed.pair
            for seed in self._settings.seeds
            if seed.pair != _address(self._own)
        ]
        self._updates: dict[str, MemberUpdate] = {}
        self._members = {own.instance: Member.from_update(self._own)}
        self._live: dict[str, dict[str, None]] = {}
        self._others = 0
        self._digest = _digest(self._own)
        self._queue = UpdateQueue()
        self._probes: dict[int, _Probe] = {}
        self._sequence = rng.randrange(FIRST_SEQUENCE, SEQUENCES)
        self._order: list[str] = []
        self._suspicions: dict[str, float] = {}
        self._buried: dict[str, float] = {}
        self._candidates: dict[str, _Candidate] = {}
        self._bridges: dict[str, _Bridge] = {}
        self._view = DomainView(own.instance, own.domain)
        self._bridges_stale = False
        self._intervals = 0
        self._phase = rng.randrange(SEED_INTERVALS * DEAD_PROBE_INTERVALS)
        self._next_interval: float | None = None
        self._next_spread = 0.0
        self._last_tick = 0.0
        self._sync_in = 1
        self._sync_pause = SYNC_SOON
        self._list_packets = LIST_PACKETS
        self._acknowledged = False
        self._unconfirmed_since = 0.0
        self._unconfirmed_incarnation = incarnation

    @property
    def own(self) -> MemberUpdate:
        """The instance's own state."""
        return self._own

    @property
    def members(self) -> Mapping[str, Member]:
        """All known members by id, with the instance itself and the remembered dead."""
        return MappingProxyType(self._members)

    @property
    def unreachable_domains(self) -> frozenset[str]:
        """Other domains of which no probed member answers."""
        return self._view.unreachable

    @property
    def confirmed(self) -> bool:
        """Whether the own domain has answered since the start or the last pause.

        An instance that finds no other member of its domain is confirmed after a
        failure detection time.
        """
        return self._acknowledged

    def tick(self, now: float) -> list[Action]:
        """Advance the time; to be called several times a probe timeout."""
        actions: list[Action] = []
        if self._next_interval is None:
            self._next_interval = now
            self._unconfirmed_since = now
        elif now - self._last_tick > self._settings.probe_timeout_s:
            # Answers may wait unread when the process was slow: others get the time
            # that this instance has lost.
            self._postpone(now - self._last_tick)
        self._last_tick = now
        if self._bridges_stale:
            self._choose_bridges(now, actions)
        self._check_probes(now, actions)
        self._check_suspicions(now, actions)
        self._check_candidates(now, actions)
        if now >= self._next_interval:
            interval = self._settings.probe_interval_s
            self._next_interval = max(self._next_interval + interval, now)
            if self._intervals == 0:
                # Instances that start together do not probe at the same moments.
                self._next_interval = now + interval * self._rng.random()
            self._run_interval(now, actions)
            self._intervals += 1
        elif now >= self._next_spread:
            pause = self._settings.probe_interval_s / SPREADS_PER_INTERVAL
            self._next_spread = max(self._next_spread + pause, now)
            self._send_fresh(actions)
        return actions

    def receive(self, now: float, message: Datagram, source: Address) -> list[Action]:
        """Take a datagram that was authenticated.

        A datagram that did not come from its sender's address is ignored, which makes
        copies that are replayed from elsewhere harmless. Answers go to that address.
        """
        sender = message.sender
        if sender.instance == self._own.instance or source != _address(sender):
            return []
        actions: list[Action] = []
        incarnation = self._own.incarnation
        known = self._updates.get(sender.instance)
        was_dead = known is not None and known.state is MemberState.DEAD
        trusted = known is not None and not was_dead
        listed = isinstance(message, Ack) and message.sequence == LIST_SEQUENCE
        self._learn(now, sender, actions)
        for update in message.updates:
            self._hear(now, update, sender, trusted, listed, actions)
        if was_dead and sender.state is not MemberState.DEAD:
            # Both sides of a healed partition compare their lists.
            self._request_list(sender, actions)
        match message:
            case Ping() if sender.state is not MemberState.DEAD:
                self._acknowledge(sender, message.sequence, actions)
            case PingRequest(target="", sequence=digest):
                self._send_list(sender, digest, actions)
            case PingRequest():
                self._relay(now, message, actions)
            case Ack():
                self._acknowledged_by(now, message, actions)
                if self._own.incarnation != incarnation and not listed:
                    self._send(
                        _address(sender), self._ack(SPREAD_SEQUENCE, sender), actions
                    )
            case _:
                pass
        return actions

    def leave(self, now: float) -> list[Action]:
        """Announce that the instance is about to stop."""
        return self._announce(now, MemberState.LEAVING)

    def depart(self, now: float) -> list[Action]:
        """Announce that the instance stops now."""
        return self._announce(now, MemberState.DEAD)

    def renew(self, now: float, incarnation: int) -> list[Action]:
        """Take a new incarnation after a pause, in which members may have died."""
        self._set_own(max(incarnation, self._own.incarnation + 1), self._own.state)
        self._probes.clear()
        self._candidates.clear()
        for instance in self._suspicions:
            self._suspicions[instance] = now + self._hearsay_s
        for bridge in self._bridges.values():
            bridge.answered = now
            bridge.probed.clear()
        self._acknowledged = False
        self._unconfirmed_since = now
        self._unconfirmed_incarnation = self._own.incarnation
        self._last_tick = now
        self._next_interval = now
        self._sync_in = 1
        self._sync_pause = SYNC_SOON
        return [MemberChanged(self._members[self._own.instance])]

    @property
    def _hearsay_s(self) -> float:
        return self._settings.suspicion_s * HEARSAY_FACTOR

    @property
    def _transmissions(self) -> int:
        """How often an update is passed on in the own domain."""
        return max(3, math.ceil(3 * math.log(1 + len(self._own_live()))))

    def _own_live(self) -> dict[str, None]:
        return self._live.get(self._own.domain, {})

    def _postpone(self, lost: float) -> None:
        for probe in self._probes.values():
            probe.relays_at += lost
            probe.fails_at += lost
        for instance in self._suspicions:
            self._suspicions[instance] += lost
        for candidate in self._candidates.values():
            candidate.expires += lost
        for bridge in self._bridges.values():
            bridge.answered += lost

    # Own state

    def _set_own(self, incarnation: int, state: MemberState) -> None:
        self._digest ^= _digest(self._own)
        self._own = replace(self._own, incarnation=incarnation, state=state)
        self._digest ^= _digest(self._own)
        self._members[self._own.instance] = Member.from_update(self._own)
        self._bridges_stale = True
        self._spread(self._own)

    def _announce(self, now: float, state: MemberState) -> list[Action]:
        actions: list[Action] = []
        if self._own.state >= state:
            return actions
        self._set_own(self._own.incarnation, state)
        live = list(self._own_live())
        for instance in self._rng.sample(live, min(LEAVE_PACKETS, len(live))):
            self._ping(now, self._updates[instance], actions)
        return actions

    def _refute(self, update: MemberUpdate, actions: list[Action]) -> None:
        if self._own.state is MemberState.DEAD or _rank(update) <= _rank(self._own):
            return
        self._set_own(update.incarnation + 1, self._own.state)
        actions.append(MemberChanged(self._members[self._own.instance]))

    # Other members

    def _learn(self, now: float, update: MemberUpdate, actions: list[Action]) -> None:
        """Take a member's word about itself."""
        known = self._updates.get(update.instance)
        if known is None or _rank(update) > _rank(known):
            self._store(now, update, actions)

    def _hear(
        self,
        now: float,
        update: MemberUpdate,
        sender: MemberUpdate,
        trusted: bool,
        listed: bool,
        actions: list[Action],
    ) -> None:
        """Take what `sender` says about another member."""
        if update.instance == self._own.instance:
            self._refute(update, actions)
            return
        if is_summary(update):
            if sender.domain == self._own.domain:
                self._hear_summary(update, actions)
            return
        known = self._updates.get(update.instance)
        if known is not None and _rank(update) <= _rank(known):
            return
        if update.domain != self._own.domain:
            if update.state is MemberState.SUSPECT:
                update = replace(update, state=MemberState.ALIVE)
        elif update.state is MemberState.DEAD:
            if (
                known is not None
                and known.state in (MemberState.ALIVE, MemberState.SUSPECT)
                and (listed or not trusted or sender.domain != self._own.domain)
            ):
                # The sender may have been on the other side of a partition.
                update = replace(update, state=MemberState.SUSPECT)
        elif sender.domain != self._own.domain and (
            known is None or known.state is MemberState.DEAD
        ):
            # It may be long dead, or cut off from this instance but not from others.
            self._try_candidate(now, update, sender, actions)
            return
        if known is None:
            if update.state is MemberState.DEAD and listed:
                return  # otherwise lists would keep the dead from being forgotten
        elif _rank(update) <= _rank(known):
            return
        bridge = self._bridges.get(sender.domain)
        if listed:
            self._sync_pause = SYNC_SOON
            self._sync_in = min(self._sync_in, SYNC_SOON)
            if bridge is not None:
                bridge.sync_in = min(bridge.sync_in, SYNC_SOON)
        # A list tells a new member of many that its whole domain already knows.
        spread = known is not None or bridge is not None or not listed
        self._store(now, update, actions, spread)

    def _store(
        self,
        now: float,
        update: MemberUpdate,
        actions: list[Action],
        spread: bool = True,
    ) -> None:
        instance = update.instance
        known = self._updates.get(instance)
        if known is not None:
            self._digest ^= _digest(known)
        self._digest ^= _digest(update)
        self._updates[instance] = update
        self._members[instance] = member = Member.from_update(update)
        self._suspicions.pop(instance, None)
        self._candidates.pop(instance, None)
        if known is not None and known.domain != update.domain:
            self._drop_live(known)
        if update.state is MemberState.DEAD:
            self._drop_live(update)
            self._buried[instance] = now + FORGET_S
        else:
            self._buried.pop(instance, None)
            self._add_live(update)
            if update.state is MemberState.SUSPECT:
                self._suspicions[instance] = now + self._hearsay_s
        if update.domain == self._own.domain and (
            known is None or known.state is not update.state
        ):
            self._bridges_stale = True
        if spread:
            self._spread(update)
        actions.append(MemberChanged(member))

    def _add_live(self, update: MemberUpdate) -> None:
        live = self._live.setdefault(update.domain, {})
        if update.instance in live:
            return
        self._bridges_stale |= not live
        live[update.instance] = None
        self._others += 1
        if update.domain == self._own.domain:
            position = self._rng.randint(0, len(self._order))
            self._order.insert(position, update.instance)

    def _drop_live(self, update: MemberUpdate) -> None:
        live = self._live.get(update.domain, {})
        if update.instance in live:
            del live[update.instance]
            self._others -= 1
            self._bridges_stale |= not live

    def _spread(self, update: MemberUpdate) -> None:
        self._queue.put(update)
        if update.domain == self._own.domain and update.state != MemberState.SUSPECT:
            for bridge in self._bridges.values():
                bridge.queue.put(update)

    def _try_candidate(
        self,
        now: float,
        update: MemberUpdate,
        teller: MemberUpdate,
        actions: list[Action],
    ) -> None:
        tried = self._candidates.get(update.instance)
        if len(self._candidates) >= CANDIDATES or (
            tried is not None and _rank(update) <= _rank(tried.update)
        ):
            return
        expires = now + self._settings.probe_interval_s * CANDIDATE_INTERVALS
        candidate = _Candidate(update, teller.instance, expires)
        self._candidates[update.instance] = candidate
        if tried is None:
            self._probe_candidate(now, candidate, actions)

    def _probe_candidate(
        self, now: float, candidate: _Candidate, actions: list[Action]
    ) -> None:
        sequence = self._ping(now, candidate.update, actions)
        self._probes[sequence].relays_asked = True
        teller = self._updates.get(candidate.teller)
        if teller is not None:
            request = PingRequest(sequence, self._own, candidate.update.instance)
            self._send(_address(teller), request, actions)

    def _check_candidates(self, now: float, actions: list[Action]) -> None:
        for instance, candidate in list(self._candidates.items()):
            if candidate.expires > now:
                continue
            del self._candidates[instance]
            # If it answers other domains, this instance is cut off from it, and its
            # death would be refuted and declared again for as long as that lasts.
            if not candidate.answers_others:
                update = replace(candidate.update, state=MemberState.DEAD)
                self._store(now, update, actions)

    def _suspect(self, now: float, instance: str, actions: list[Action]) -> None:
        update = self._updates.get(instance)
        if update is None or update.state is MemberState.DEAD:
            return
        if update.state is MemberState.ALIVE:
            update = replace(update, state=MemberState.SUSPECT)
            self._store(now, update, actions)
            # If it is alive, it refutes at once.
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

    def _forget(self, now: float) -> None:
        for instance, forget_at in list(self._buried.items()):
            if forget_at <= now:
                del self._buried[instance], self._updates[instance]
                del self._members[instance]
                self._view.forget(instance)

    # Probes

    def _run_interval(self, now: float, actions: list[Action]) -> None:
        for candidate in self._candidates.values():
            self._probe_candidate(now, candidate, actions)
        self._list_packets = LIST_PACKETS
        self._forget(now)
        target = self._next_target()
        if target is not None:
            self._ping(now, self._updates[target], actions, suspects=True)
        elif now - self._unconfirmed_since >= self._detection_s:
            self._acknowledged = True
        for domain, bridge in self._bridges.items():
            self._probe_domain(now, domain, bridge, actions)
        turn = self._intervals + self._phase
        if self._buried and turn % DEAD_PROBE_INTERVALS == 0:
            self._probe_dead(now, actions)
        if target is None or turn % SEED_INTERVALS == 0:
            self._probe_seeds(now, SEEDS_AT_ONCE if target is None else 1, actions)
        self._sync_in -= 1
        if self._sync_in <= 0 and self._others:
            self._synchronise(actions)

    @property
    def _detection_s(self) -> float:
        settings = self._settings
        return (
            settings.probe_interval_s
            + settings.probe_timeout_s * FAILED_AFTER_TIMEOUTS
            + settings.suspicion_s
        )

    def _next_target(self) -> str | None:
        live = self._own_live()
        if not live:
            return None
        while True:
            if not self._order:
                self._order = list(live)
                self._rng.shuffle(self._order)
            instance = self._order.pop()
            if instance in live:
                return instance

    def _probe_dead(self, now: float, actions: list[Action]) -> None:
        dead = self._rng.choice(list(self._buried))
        update = self._updates[dead]
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
            self._send(seed, self._make_ping(SPREAD_SEQUENCE, None), actions)

    def _probe_domain(
        self, now: float, domain: str, bridge: _Bridge, actions: list[Action]
    ) -> None:
        target = self._rng.choice(list(self._live[domain]))
        silent_s = UNREACHABLE_INTERVALS * self._settings.probe_interval_s
        enough = len(bridge.probed) >= min(UNREACHABLE_PROBES, len(self._live[domain]))
        if enough and now - bridge.answered >= silent_s:
            self._publish(domain, bridge, False, actions)
        bridge.probed.add(target)
        self._ping(now, self._updates[target], actions)
        bridge.sync_in -= 1
        if bridge.sync_in <= 0 and domain not in self._view.unreachable:
            bridge.sync_in = self._jittered(SYNC_INTERVALS)
            self._request_list(self._updates[target], actions)

    def _check_probes(self, now: float, actions: list[Action]) -> None:
        for sequence, probe in list(self._probes.items()):
            if probe.fails_at <= now:
                del self._probes[sequence]
                if probe.suspects:
                    self._suspect(now, probe.target, actions)
            elif probe.suspects and not probe.relays_asked and probe.relays_at <= now:
                probe.relays_asked = True
                self._ask_relays(probe.target, sequence, actions)

    def _ask_relays(self, target: str, sequence: int, actions: list[Action]) -> None:
        relays = [
            instance
            for instance in self._own_live()
            if instance != target
            and self._updates[instance].state is not MemberState.SUSPECT
        ]
        count = min(self._settings.indirect_probes, len(relays))
        for instance in self._rng.sample(relays, count):
            relay = self._updates[instance]
            room = self._room(packed_size(self._updates[target]))
            request = PingRequest(
                sequence, self._own, target, self._piggyback(relay, room)
            )
            self._send(_address(relay), request, actions)

    def _ping(
        self,
        now: float,
        target: MemberUpdate,
        actions: list[Action],
        suspects: bool = False,
        relay_for: tuple[str, int] | None = None,
    ) -> int:
        timeout = self._settings.probe_timeout_s
        sequence = self._sequence
        self._sequence += 1
        if self._sequence == SEQUENCES:
            self._sequence = FIRST_SEQUENCE
        self._probes[sequence] = _Probe(
            target.instance,
            now + timeout,
            now + timeout * FAILED_AFTER_TIMEOUTS,
            suspects,
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

    def _ack(
        self, sequence: int, receiver: MemberUpdate, about: MemberUpdate | None = None
    ) -> Ack:
        revision, content_hash = self._catalog_version()
        updates = self._piggyback(receiver, about=about)
        return Ack(sequence, self._own, updates, revision, content_hash)

    def _acknowledge(
        self, sender: MemberUpdate, sequence: int, actions: list[Action]
    ) -> None:
        self._send(_address(sender), self._ack(sequence, sender), actions)

    def _relay(self, now: float, request: PingRequest, actions: list[Action]) -> None:
        target = self._updates.get(request.target)
        if target is not None:
            relay_for = (request.sender.instance, request.sequence)
            self._ping(now, target, actions, relay_for=relay_for)

    def _acknowledged_by(self, now: float, ack: Ack, actions: list[Action]) -> None:
        probe = self._probes.pop(ack.sequence, None)
        sender = ack.sender
        if probe is None or not (sender.instance == probe.target or probe.relays_asked):
            return
        bridge = self._bridges.get(sender.domain)
        if bridge is not None:
            bridge.answered = now
            bridge.probed.clear()
            self._publish(sender.domain, bridge, True, actions)
        if probe.incarnation >= self._unconfirmed_incarnation and (
            sender.domain == self._own.domain or not self._own_live()
        ):
            self._acknowledged = True
        candidate = self._candidates.get(probe.target)
        if candidate is not None:
            candidate.answers_others = True
            return
        target = self._updates.get(probe.target)
        if target is None:
            return
        if target.state is MemberState.LEAVING:
            self._suspicions.pop(probe.target, None)
        elif probe.target in self._suspicions:
            self._suspicions[probe.target] = now + self._hearsay_s
        if probe.relay_for is not None and sender.instance == probe.target:
            requester = self._updates.get(probe.relay_for[0])
            if requester is not None:
                answer = self._ack(probe.relay_for[1], requester, about=target)
                self._send(_address(requester), answer, actions)

    # Packets

    def _send(self, address: Address, message: Datagram, actions: list[Action]) -> None:
        actions.append(SendTo(address, message))

    def _room(self, used: int = 0) -> int:
        own = packed_size(self._own)
        return PACKET_BYTES - CODE_BYTES - HEADER_BYTES - own - used

    def _piggyback(
        self,
        receiver: MemberUpdate | None,
        room: int | None = None,
        about: MemberUpdate | None = None,
    ) -> tuple[MemberUpdate, ...]:
        """Return updates for a packet to `receiver`, None for an unknown one."""
        if room is None:
            room = self._room()
        updates: list[MemberUpdate] = []
        if receiver is not None:
            known = self._updates.get(receiver.instance)
            if known is not None and (
                known.state in (MemberState.SUSPECT, MemberState.DEAD)
                or _rank(known) > _rank(receiver)
            ):
                updates.append(known)  # so that it can refute
        if about is not None:
            updates.append(about)
        room -= sum(packed_size(update) for update in updates)
        if receiver is not None and receiver.domain != self._own.domain:
            bridge = self._bridges.get(receiver.domain)
            if bridge is not None:
                updates += bridge.queue.take(room, BRIDGE_TRANSMISSIONS)
        else:
            updates += self._queue.take(room, self._transmissions)
        return tuple(updates)

    def _send_fresh(self, actions: list[Action]) -> None:
        """Send waiting updates without waiting for the next probe."""
        if self._queue and (live := self._own_live()):
            self._send_spread(self._rng.choice(list(live)), actions)
        for domain, bridge in self._bridges.items():
            if bridge.queue and domain not in self._view.unreachable:
                live = self._live[domain]
                self._send_spread(self._rng.choice(list(live)), actions)

    def _send_spread(self, instance: str, actions: list[Action]) -> None:
        member = self._updates[instance]
        self._send(_address(member), self._ack(SPREAD_SEQUENCE, member), actions)

    # Lists

    def _jittered(self, intervals: int) -> int:
        return round(intervals * self._rng.uniform(0.5, 1.5))

    def _synchronise(self, actions: list[Action]) -> None:
        self._sync_in = self._jittered(self._sync_pause)
        self._sync_pause = min(2 * self._sync_pause, SYNC_INTERVALS)
        live = self._own_live() or {
            instance: None for live in self._live.values() for instance in live
        }
        self._request_list(self._updates[self._rng.choice(list(live))], actions)

    def _request_list(self, member: MemberUpdate, actions: list[Action]) -> None:
        digest = self._digest
        if member.domain == self._own.domain:
            digest ^= self._view.digest(self._own_live())
        request = PingRequest(digest, self._own, "", self._piggyback(member))
        self._send(_address(member), request, actions)

    def _send_list(
        self, receiver: MemberUpdate, digest: int, actions: list[Action]
    ) -> None:
        own_digest = self._digest
        updates = list(self._updates.values())
        if receiver.domain == self._own.domain:
            own_digest ^= self._view.digest(self._own_live())
            updates += self._view.summaries
        if digest == own_digest or self._list_packets <= 0:
            return
        # With a different start each time, losses at the end of a burst do not always
        # hit the same members.
        start = self._rng.randrange(len(updates) + 1)
        packet: list[MemberUpdate] = []
        room = self._room()
        for update in updates[start:] + updates[:start]:
            size = packed_size(update)
            if size > room:
                self._send_list_packet(receiver, packet, actions)
                packet = []
                room = self._room()
            packet.append(update)
            room -= size
        self._send_list_packet(receiver, packet, actions)

    def _send_list_packet(
        self, receiver: MemberUpdate, packet: list[MemberUpdate], actions: list[Action]
    ) -> None:
        if packet:
            self._list_packets -= 1
            message = Ack(
                LIST_SEQUENCE, self._own, tuple(packet), *self._catalog_version()
            )
            self._send(_address(receiver), message, actions)

    # Other domains

    def _choose_bridges(self, now: float, actions: list[Action]) -> None:
        self._bridges_stale = False
        usable = [
            instance
            for instance in self._own_live()
            if self._updates[instance].state is not MemberState.LEAVING
        ]
        if self._own.state is MemberState.ALIVE or not usable:
            usable.append(self._own.instance)
        self._view.choose(usable, [name for name, live in self._live.items() if live])
        self._bridges = {
            domain: self._bridges.get(domain)
            or _Bridge(now, self._rng.randint(1, SYNC_INTERVALS))
            for domain in self._view.bridged()
        }
        actions.extend(self._view.review())

    def _publish(
        self, domain: str, bridge: _Bridge, reachable: bool, actions: list[Action]
    ) -> None:
        if bridge.published is reachable:
            return
        bridge.published = reachable
        if reachable:
            bridge.sync_in = min(bridge.sync_in, 1)
        summary = self._view.summarise(domain, reachable, self._own.incarnation)
        self._hear_summary(summary, actions)

    def _hear_summary(self, summary: MemberUpdate, actions: list[Action]) -> None:
        if self._view.hear(summary):
            self._queue.put(summary)
            actions.extend(self._view.review())
