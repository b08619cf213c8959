"""Measures what membership costs per member, and how fast it detects failures."""

from __future__ import annotations

import functools
import heapq
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from borageworks.config.settings import Settings
from borageworks.membership.actions import Action, MemberChanged, SendTo
from borageworks.membership.membership import Datagram, Membership
from borageworks.wire.authenticator import Authenticator
from borageworks.wire.codec import decode, encode
from borageworks.wire.messages import MemberState, MemberUpdate

KEY = "5a" * 32
DOMAINS = 9
SIZES = (25, 100, 400, 800)
STEADY_INTERVALS = 30
SETTLE_INTERVALS = 100  # at 400 members, updates of the start are sent for 70 intervals
LIMIT_INTERVALS = 200
TICKS_PER_INTERVAL = 10
LATENCY_S = (0.0005, 0.003)
START_SPREAD_S = 1.0
INCARNATION = 1_790_000_000_000
UDP_HEADER_BYTES = 28
CODE_BYTES = 16
SEED_MEMBERS = 3


@dataclass(frozen=True, slots=True)
class MembershipSlope:
    """Measurements at one size.

    Bytes are sent by one member in a second, with UDP/IP headers; an interval is one
    probe interval. CPU is in parts of one core per member. `start_` values are for all
    members starting within one second, until all agree; the other rates are for a
    fleet in which nothing changes.
    """

    members: int
    domains: int
    seed: int
    start_intervals: float
    start_bytes_per_s: float
    packets_per_s: float
    bytes_per_s: float
    busiest_bytes_per_s: float
    state_machine_cpu: float
    codec_cpu: float
    largest_packet_bytes: int
    false_deaths: int
    detection_intervals: tuple[float, ...]
    domain_agreed_intervals: tuple[float, ...]
    death_agreed_intervals: tuple[float, ...]
    join_agreed_intervals: tuple[float, ...]

    @property
    def detection_median(self) -> float:
        """Median time from a death to the first member that declares it."""
        return statistics.median(self.detection_intervals)

    @property
    def domain_agreed_median(self) -> float:
        """Median time from a death until every member of its domain knows of it."""
        return statistics.median(self.domain_agreed_intervals)

    @property
    def death_agreed_median(self) -> float:
        """Median time from a death until every member knows of it."""
        return statistics.median(self.death_agreed_intervals)

    @property
    def join_agreed_median(self) -> float:
        """Median time from a start until all members agree."""
        return statistics.median(self.join_agreed_intervals)


class _Fleet:
    """Members that exchange messages in memory, in simulated time."""

    def __init__(self, size: int, domains: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._domains = domains
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        self._addresses: dict[tuple[str, int], str] = {}
        self._authenticator = Authenticator((KEY,))
        self.now = 0.0
        self.running: dict[str, Membership] = {}
        self.dead: set[str] = set()
        self.accounting = True
        self.measuring = False
        self.bytes_sent: Counter[str] = Counter()
        self.packets = 0
        self.largest_packet = 0
        self.machine_ns = 0
        self.codec_ns = 0
        self.false_deaths = 0
        self.declared: dict[str, float] = {}
        self.names = [f"instance-{number:03}" for number in range(size)]
        for name in self.names:
            self.start(name, INCARNATION, self._rng.random() * START_SPREAD_S)

    @property
    def size(self) -> int:
        """Number of running members."""
        return len(self.running)

    def start(self, name: str, incarnation: int, delay: float = 0.0) -> None:
        """Start a member."""
        number = self.names.index(name)
        settings = self._settings(name, number)
        own = MemberUpdate(
            name,
            settings.domain,
            *settings.gossip.pair,
            settings.peer.port,
            incarnation,
            MemberState.ALIVE,
        )
        member = Membership(
            settings, incarnation, random.Random(self._rng.random()), own
        )
        self._addresses[settings.gossip.pair] = name
        self.running[name] = member
        self.dead.discard(name)
        self._at(self.now + delay, lambda: self._tick(name, member))

    def kill(self, name: str) -> None:
        """Stop a member without a word."""
        del self.running[name]
        self.dead.add(name)
        self.declared.pop(name, None)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance the time, or until a condition that is checked ten times a second."""
        end = self.now + seconds
        check = self.now
        while self._events and self._events[0][0] <= end:
            if until is not None and self._events[0][0] > check:
                if until():
                    return True
                check = self._events[0][0] + 1 / TICKS_PER_INTERVAL
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end
        return until is not None and until()

    def agreed(self) -> bool:
        """Whether every member holds exactly the running members as alive."""
        expected = {
            (name, member.own.incarnation) for name, member in self.running.items()
        }
        return all(
            expected
            == {
                (other.id, other.incarnation)
                for other in member.members.values()
                if other.state is MemberState.ALIVE
            }
            for member in self.running.values()
        )

    def known_dead(self, name: str, domain: str | None = None) -> bool:
        """Whether every member (of a domain) holds `name` as dead."""
        return all(
            member.members[name].state is MemberState.DEAD
            for member in self.running.values()
            if domain in (None, member.own.domain)
        )

    def _settings(self, name: str, number: int) -> Settings:
        address = {"host": f"10.{number // 250}.7.{number % 250 + 1}", "port": 7946}
        seeds = [
            {"host": f"10.{seed // 250}.7.{seed % 250 + 1}", "port": 7946}
            for seed in range(SEED_MEMBERS)
        ]
        return Settings.model_validate(
            {
                "instance": name,
                "domain": f"domain-{number % self._domains}",
                "listen": address,
                "gossip": address,
                "peer": address | {"port": 7947},
                "store": {"url": "http://127.0.0.1:1"},
                "membership": {"keys": [KEY], "seeds": seeds},
            }
        )

    def _at(self, at: float, event: Callable[[], None]) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (at, self._event_number, event))

    def _tick(self, name: str, member: Membership) -> None:
        if self.running.get(name) is not member:
            return
        started = time.process_time_ns()
        actions = member.tick(self.now)
        if self.measuring:
            self.machine_ns += time.process_time_ns() - started
        self._execute(name, member, actions)
        self._at(self.now + 1 / TICKS_PER_INTERVAL, lambda: self._tick(name, member))

    def _receive(
        self, target: tuple[str, int], source: tuple[str, int], message: Datagram
    ) -> None:
        name = self._addresses.get(target, "")
        member = self.running.get(name)
        if member is None:
            return
        started = time.process_time_ns()
        actions = member.receive(self.now, message, source)
        if self.measuring:
            self.machine_ns += time.process_time_ns() - started
        self._execute(name, member, actions)

    def _execute(self, name: str, member: Membership, actions: list[Action]) -> None:
        source = (member.own.host, member.own.port)
        for action in actions:
            match action:
                case SendTo(address=address, message=message):
                    if self.accounting:
                        self._account(name, message)
                    at = self.now + self._rng.uniform(*LATENCY_S)
                    self._at(
                        at, functools.partial(self._receive, address, source, message)
                    )
                case MemberChanged(member=changed):
                    if changed.state is MemberState.DEAD:
                        if changed.id in self.running:
                            self.false_deaths += 1
                        self.declared.setdefault(changed.id, self.now)
                case _:
                    pass

    def _account(self, name: str, message: Datagram) -> None:
        started = time.process_time_ns()
        data = encode((message,))
        if self.measuring:
            code = self._authenticator.sign(b"gossip", data)
            self._authenticator.verify(b"gossip", data, code)
            decode(data)
            self.codec_ns += time.process_time_ns() - started
        size = len(data) + CODE_BYTES
        self.packets += 1
        self.largest_packet = max(self.largest_packet, size)
        self.bytes_sent[name] += size + UDP_HEADER_BYTES


def measure_size(
    members: int, *, domains: int = DOMAINS, seed: int = 1, deaths: int = 10
) -> MembershipSlope:
    """Measure one fleet: start, steady state, then `deaths` deaths and restarts."""
    fleet = _Fleet(members, domains, seed)
    rng = random.Random(seed)
    fleet.run(START_SPREAD_S)
    if not fleet.run(LIMIT_INTERVALS, fleet.agreed):
        raise TimeoutError(f"{members} members do not agree after the start")
    start = fleet.now
    start_bytes = fleet.bytes_sent.total()
    fleet.accounting = False
    fleet.run(SETTLE_INTERVALS)
    fleet.accounting = fleet.measuring = True
    fleet.packets = 0
    fleet.bytes_sent.clear()
    fleet.run(STEADY_INTERVALS)
    fleet.accounting = fleet.measuring = False
    packets, steady_bytes = fleet.packets, fleet.bytes_sent.copy()
    detection: list[float] = []
    domain_agreed: list[float] = []
    death_agreed: list[float] = []
    join_agreed: list[float] = []
    for number in range(deaths):
        name = rng.choice(fleet.names[SEED_MEMBERS:])
        fleet.run(rng.random())
        domain = fleet.running[name].own.domain
        fleet.kill(name)
        killed = fleet.now
        fleet.run(LIMIT_INTERVALS, functools.partial(fleet.known_dead, name, domain))
        domain_agreed.append(fleet.now - killed)
        if not fleet.run(LIMIT_INTERVALS, functools.partial(fleet.known_dead, name)):
            raise TimeoutError(f"{members} members do not agree on a death")
        detection.append(fleet.declared[name] - killed)
        death_agreed.append(fleet.now - killed)
        fleet.start(name, INCARNATION + 100_000 * (number + 1))
        started = fleet.now
        if not fleet.run(LIMIT_INTERVALS, fleet.agreed):
            raise TimeoutError(f"{members} members do not agree on a restart")
        join_agreed.append(fleet.now - started)
    per_member = members * STEADY_INTERVALS
    return MembershipSlope(
        members=members,
        domains=domains,
        seed=seed,
        start_intervals=start,
        start_bytes_per_s=start_bytes / members / start,
        packets_per_s=packets / per_member,
        bytes_per_s=steady_bytes.total() / per_member,
        busiest_bytes_per_s=max(steady_bytes.values()) / STEADY_INTERVALS,
        state_machine_cpu=fleet.machine_ns / 1e9 / per_member,
        codec_cpu=fleet.codec_ns / 1e9 / per_member,
        largest_packet_bytes=fleet.largest_packet,
        false_deaths=fleet.false_deaths,
        detection_intervals=tuple(detection),
        domain_agreed_intervals=tuple(domain_agreed),
        death_agreed_intervals=tuple(death_agreed),
        join_agreed_intervals=tuple(join_agreed),
    )


def measure_membership(
    sizes: tuple[int, ...] = SIZES, *, seed: int = 1, deaths: int = 10
) -> list[MembershipSlope]:
    """Measure fleets of several sizes in nine domains."""
    return [measure_size(size, seed=seed, deaths=deaths) for size in sizes]
