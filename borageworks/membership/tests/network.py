"""Simulated members that exchange messages over a network with injected faults."""

import random
from collections.abc import Callable, Mapping
from typing import Any

from borageworks.config.settings import Settings
from borageworks.membership.actions import (
    Action,
    Address,
    MemberChanged,
    ReachabilityChanged,
    SendTo,
)
from borageworks.membership.membership import Datagram, Membership
from borageworks.wire.codec import decode, encode
from borageworks.wire.messages import MemberState, MemberUpdate

KEY = "11" * 32
STEP_S = 0.1
INITIAL_INCARNATION = 1_000_000
INCARNATION_STEP = 100_000


def make_settings(
    instance: str, domain: str, address: Address, **membership: Any
) -> Settings:
    """Return the settings of one instance."""
    host, port = address
    address_settings = {"host": host, "port": port}
    return Settings.model_validate(
        {
            "instance": instance,
            "domain": domain,
            "listen": address_settings,
            "gossip": address_settings,
            "peer": address_settings,
            "store": {"url": "http://127.0.0.1:1"},
            "membership": {"keys": [KEY]} | membership,
        }
    )


def make_update(
    instance: str,
    domain: str = "d0",
    incarnation: int = INITIAL_INCARNATION,
    state: MemberState = MemberState.ALIVE,
    host: str = "10.0.0.1",
    port: int = 7946,
) -> MemberUpdate:
    """Return an update of one instance."""
    return MemberUpdate(instance, domain, host, port, 7947, incarnation, state)


class Network:
    """Simulated network; `link_up` returns whether two members can communicate.

    Parameters
    ----------
    domains
        Domain of each member by name.
    seed
        Seed of all random choices.
    """

    def __init__(self, domains: Mapping[str, str], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.domains = dict(domains)
        self.names = list(domains)
        self.now = 0.0
        self.loss_ratio = self.duplicate_ratio = self.max_delay_s = 0.0
        self.link_up: Callable[[str, str], bool] = lambda _source, _target: True
        self.running: dict[str, Membership] = {}
        self.start_count = 0
        self.action_log: list[tuple[str, Action]] = []
        self.first_death_observers: dict[tuple[str, int], str] = {}
        self.max_packet_bytes = 0
        self._in_flight: list[tuple[float, float, str, str, bytes]] = []
        for name in self.names:
            self.start(name)

    def address(self, name: str) -> Address:
        """Return the address of a member."""
        return f"10.1.0.{self.names.index(name) + 1}", 7946

    def start(self, name: str) -> None:
        """Start a member, or restart it as a new process."""
        seeds = [
            {"host": host, "port": port} for host, port in map(self.address, self.names)
        ]
        settings = make_settings(
            name, self.domains[name], self.address(name), seeds=seeds[:4]
        )
        incarnation = INITIAL_INCARNATION + INCARNATION_STEP * self.start_count
        self.start_count += 1
        host, port = self.address(name)
        own = make_update(name, self.domains[name], incarnation, host=host, port=port)
        rng = random.Random(self.rng.random())
        self.running[name] = Membership(
            settings, incarnation, rng, own, lambda: (incarnation, 7)
        )

    def kill(self, name: str) -> None:
        """Stop a member without an announcement."""
        self.running.pop(name, None)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name, member in list(self.running.items()):
                self.execute(name, member.tick(self.now))
            self._deliver()

    def run_until(
        self, condition: Callable[[], bool], timeout_s: float = 300.0
    ) -> bool:
        """Advance the time until a condition holds; return False after `timeout_s`."""
        end = self.now + timeout_s
        while not condition():
            if self.now >= end:
                return False
            self.run(STEP_S)
        return True

    def execute(self, name: str, actions: list[Action]) -> None:
        """Execute the actions of a member."""
        for action in actions:
            self.action_log.append((name, action))
            match action:
                case SendTo(address=address, message=message):
                    self._send(name, address, message)
                case MemberChanged(member=changed):
                    if changed.state is MemberState.DEAD:
                        key = (changed.id, changed.incarnation)
                        self.first_death_observers.setdefault(key, name)
                case ReachabilityChanged():
                    pass

    def states(self, name: str) -> dict[str, MemberState]:
        """Return the states of all members as known to one of them."""
        members = self.running[name].members.values()
        return {member.id: member.state for member in members}

    def agreed(self) -> bool:
        """Whether each member knows exactly the running ones and their states."""
        expected = {
            name: (member.own.incarnation, member.own.state)
            for name, member in self.running.items()
        }
        return all(
            not member.unreachable_domains
            and expected
            == {
                other.id: (other.incarnation, other.state)
                for other in member.members.values()
                if other.state is not MemberState.DEAD
            }
            for member in self.running.values()
        )

    def changes_of(self, name: str, since: int = 0) -> list[tuple[str, MemberState]]:
        """Return the state changes of `name` that other members have observed."""
        return [
            (observer, action.member.state)
            for observer, action in self.action_log[since:]
            if isinstance(action, MemberChanged)
            and action.member.id == name
            and observer != name
        ]

    def _send(self, source: str, address: Address, message: Datagram) -> None:
        target = next(
            (name for name in self.names if self.address(name) == address), None
        )
        if target is None or not self.link_up(source, target):
            return
        data = encode((message,))
        self.max_packet_bytes = max(self.max_packet_bytes, len(data))
        copies = 2 if self.rng.random() < self.duplicate_ratio else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss_ratio:
                delay = self.rng.random() * self.max_delay_s
                self._in_flight.append(
                    (self.now + delay, self.rng.random(), source, target, data)
                )

    def _deliver(self) -> None:
        while due := sorted(item for item in self._in_flight if item[0] <= self.now):
            self._in_flight = [item for item in self._in_flight if item[0] > self.now]
            for _, _, source, target, data in due:
                member = self.running.get(target)
                if member is not None and self.link_up(source, target):
                    (message,) = decode(data)
                    assert isinstance(message, Datagram)
                    self.execute(
                        target,
                        member.receive(self.now, message, self.address(source)),
                    )
