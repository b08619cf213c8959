"""Measurements of the cost per member and failure detection time of membership."""

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

CLUSTER_KEY = "5a" * 32
DOMAIN_COUNT = 9
FLEET_SIZES = (25, 100, 400, 800)
STEADY_INTERVALS = 30
# At 400 members, updates about the start are still sent 70 intervals later.
SETTLE_INTERVALS = 100
TIMEOUT_INTERVALS = 200
TICKS_PER_INTERVAL = 10
LATENCY_RANGE_S = (0.0005, 0.003)
START_SPREAD_S = 1.0
INCARNATION = 1_790_000_000_000
UDP_HEADER_BYTES = 28
AUTHENTICATION_CODE_BYTES = 16
SEED_MEMBER_COUNT = 3


@dataclass(frozen=True, slots=True)
class MembershipSlope:
    """Measurements at one size.

    Byte rates are bytes sent per member and second, with UDP/IP headers. An interval is
    one probe interval. CPU is the fraction of one core used per member. `start_` values
    cover the time from a start of all members within one second until all agree; the
    other rates are for a fleet in which nothing changes.
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
        """Median time from a death until the first member declares it."""
        return statistics.median(self.detection_intervals)

    @property
    def domain_agreed_median(self) -> float:
        """Median time from a death until all members of its domain agree on it."""
        return statistics.median(self.domain_agreed_intervals)

    @property
    def death_agreed_median(self) -> float:
        """Median time from a death until all members agree on it."""
        return statistics.median(self.death_agreed_intervals)

    @property
    def join_agreed_median(self) -> float:
        """Median time from a restart until all members agree."""
        return statistics.median(self.join_agreed_intervals)


class _SimulatedFleet:
    """Members that exchange messages in memory and in simulated time."""

    def __init__(self, size: int, domains: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._domains = domains
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        self._addresses: dict[tuple[str, int], str] = {}
        self._authenticator = Authenticator((CLUSTER_KEY,))
        self.now = 0.0
        self.running: dict[str, Membership] = {}
        self.dead: set[str] = set()
        self.counting_traffic = True
        self.measuring_cpu = False
        self.bytes_sent: Counter[str] = Counter()
        self.packets = 0
        self.max_packet_bytes = 0
        self.state_machine_ns = 0
        self.codec_ns = 0
        self.false_deaths = 0
        self.declared_dead_at: dict[str, float] = {}
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
            *settings.gossip.host_port,
            settings.peer.port,
            incarnation,
            MemberState.ALIVE,
        )
        member = Membership(
            settings, incarnation, random.Random(self._rng.random()), own
        )
        self._addresses[settings.gossip.host_port] = name
        self.running[name] = member
        self.dead.discard(name)
        self._schedule(self.now + delay, lambda: self._tick(name, member))

    def kill(self, name: str) -> None:
        """Stop a member without a leave message."""
        del self.running[name]
        self.dead.add(name)
        self.declared_dead_at.pop(name, None)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance the time by `seconds`, or until a condition holds.

        The condition is checked ten times per simulated second. Returns whether it
        holds.
        """
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
        """Whether every member considers exactly the running members alive."""
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

    def agreed_dead(self, name: str, domain: str | None = None) -> bool:
        """Whether every member (of `domain`, if given) considers `name` dead."""
        return all(
            member.members[name].state is MemberState.DEAD
            for member in self.running.values()
            if domain in (None, member.own.domain)
        )

    def _settings(self, name: str, number: int) -> Settings:
        address = {"host": f"10.{number // 250}.7.{number % 250 + 1}", "port": 7946}
        seeds = [
            {"host": f"10.{seed // 250}.7.{seed % 250 + 1}", "port": 7946}
            for seed in range(SEED_MEMBER_COUNT)
        ]
        return Settings.model_validate(
            {
                "instance": name,
                "domain": f"domain-{number % self._domains}",
                "listen": address,
                "gossip": address,
                "peer": address | {"port": 7947},
                "store": {"url": "http://127.0.0.1:1"},
                "membership": {"keys": [CLUSTER_KEY], "seeds": seeds},
            }
        )

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (at, self._event_number, event))

    def _tick(self, name: str, member: Membership) -> None:
        if self.running.get(name) is not member:
            return
        started = time.process_time_ns()
        actions = member.tick(self.now)
        if self.measuring_cpu:
            self.state_machine_ns += time.process_time_ns() - started
        self._execute(name, member, actions)
        self._schedule(
            self.now + 1 / TICKS_PER_INTERVAL, lambda: self._tick(name, member)
        )

    def _receive(
        self, target: tuple[str, int], source: tuple[str, int], message: Datagram
    ) -> None:
        name = self._addresses.get(target, "")
        member = self.running.get(name)
        if member is None:
            return
        started = time.process_time_ns()
        actions = member.receive(self.now, message, source)
        if self.measuring_cpu:
            self.state_machine_ns += time.process_time_ns() - started
        self._execute(name, member, actions)

    def _execute(self, name: str, member: Membership, actions: list[Action]) -> None:
        source = (member.own.host, member.own.port)
        for action in actions:
            match action:
                case SendTo(address=address, message=message):
                    if self.counting_traffic:
                        self._count_message(name, message)
                    at = self.now + self._rng.uniform(*LATENCY_RANGE_S)
                    self._schedule(
                        at, functools.partial(self._receive, address, source, message)
                    )
                case MemberChanged(member=changed):
                    if changed.state is MemberState.DEAD:
                        if changed.id in self.running:
                            self.false_deaths += 1
                        self.declared_dead_at.setdefault(changed.id, self.now)
                case _:
                    pass

    def _count_message(self, name: str, message: Datagram) -> None:
        started = time.process_time_ns()
        data = encode((message,))
        if self.measuring_cpu:
            code = self._authenticator.sign(b"gossip", data)
            self._authenticator.verify(b"gossip", data, code)
            decode(data)
            self.codec_ns += time.process_time_ns() - started
        size = len(data) + AUTHENTICATION_CODE_BYTES
        self.packets += 1
        self.max_packet_bytes = max(self.max_packet_bytes, size)
        self.bytes_sent[name] += size + UDP_HEADER_BYTES


def measure_size(
    members: int, *, domains: int = DOMAIN_COUNT, seed: int = 1, deaths: int = 10
) -> MembershipSlope:
    """Measure a fleet: start, steady state, then `deaths` deaths and restarts."""
    fleet = _SimulatedFleet(members, domains, seed)
    rng = random.Random(seed)
    fleet.run(START_SPREAD_S)
    if not fleet.run(TIMEOUT_INTERVALS, fleet.agreed):
        raise TimeoutError(f"{members} members did not agree after the start")
    start = fleet.now
    start_bytes = fleet.bytes_sent.total()
    fleet.counting_traffic = False
    fleet.run(SETTLE_INTERVALS)
    fleet.counting_traffic = fleet.measuring_cpu = True
    fleet.packets = 0
    fleet.bytes_sent.clear()
    fleet.run(STEADY_INTERVALS)
    fleet.counting_traffic = fleet.measuring_cpu = False
    packets, steady_bytes = fleet.packets, fleet.bytes_sent.copy()
    detection: list[float] = []
    domain_agreed: list[float] = []
    death_agreed: list[float] = []
    join_agreed: list[float] = []
    for number in range(deaths):
        name = rng.choice(fleet.names[SEED_MEMBER_COUNT:])
        fleet.run(rng.random())
        domain = fleet.running[name].own.domain
        fleet.kill(name)
        killed = fleet.now
        fleet.run(TIMEOUT_INTERVALS, functools.partial(fleet.agreed_dead, name, domain))
        domain_agreed.append(fleet.now - killed)
        if not fleet.run(TIMEOUT_INTERVALS, functools.partial(fleet.agreed_dead, name)):
            raise TimeoutError(f"{members} members did not agree on a death")
        detection.append(fleet.declared_dead_at[name] - killed)
        death_agreed.append(fleet.now - killed)
        fleet.start(name, INCARNATION + 100_000 * (number + 1))
        started = fleet.now
        if not fleet.run(TIMEOUT_INTERVALS, fleet.agreed):
            raise TimeoutError(f"{members} members did not agree on a restart")
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
        state_machine_cpu=fleet.state_machine_ns / 1e9 / per_member,
        codec_cpu=fleet.codec_ns / 1e9 / per_member,
        largest_packet_bytes=fleet.max_packet_bytes,
        false_deaths=fleet.false_deaths,
        detection_intervals=tuple(detection),
        domain_agreed_intervals=tuple(domain_agreed),
        death_agreed_intervals=tuple(death_agreed),
        join_agreed_intervals=tuple(join_agreed),
    )


def measure_membership(
    sizes: tuple[int, ...] = FLEET_SIZES, *, seed: int = 1, deaths: int = 10
) -> list[MembershipSlope]:
    """Measure fleets of several sizes, each in nine failure domains."""
    return [measure_size(size, seed=seed, deaths=deaths) for size in sizes]
