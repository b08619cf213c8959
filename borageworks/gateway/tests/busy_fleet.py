"""Instances whose messages take time to process, with simulated engines."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

from borageworks.exceptions import RefusalError
from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.fleet import Fleet
from borageworks.gateway.placer import Placer
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.gateway.tests.test_fleet import FakeInstances
from borageworks.metrics import Metrics
from borageworks.placement.decisions import Decision
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import engines, prompt, work
from borageworks.placement.work import Work
from borageworks.timers import TimerCallback, Timers, TimerSubscription
from borageworks.wire.messages import Message

SERVICE = "engines"
SHARD = f"{SERVICE}/0"
LINK_S = 0.002
# Time to read a message.
READ_S = 0.0003
TOKENS_PER_S = 50_000.0
SLOTS = 24
RESPONSE_S = 0.5
# Callers leave after this time without a first event.
GIVE_UP_S = 4.0
OWN_TOKENS = 2_000
SAMPLE_S = 0.01


class BusyTimers(Timers):
    """Timers of an instance whose callbacks wait until it is idle."""

    def __init__(self, process: BusyProcess) -> None:
        super().__init__()
        self._process = process

    def after(self, delay: float, callback: TimerCallback) -> TimerSubscription:
        """Call `callback(now)` once, not before the instance is idle."""
        return super().after(max(delay, self._process.busy_s), callback)


class BusyProcess:
    """Received messages of an instance, which it reads when it is idle.

    Like an event loop it reads all that has arrived, then lets timers fire. What it
    sends leaves when the work before it is done.
    """

    def __init__(self, receive: Callable[[str, Message], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._receive = receive
        self._messages: deque[tuple[str, Message]] = deque()
        self._free_at = 0.0
        self._reading = False

    @property
    def busy_s(self) -> float:
        """Seconds until it is idle."""
        return max(self._free_at - self._loop.time(), 0.0)

    def work(self, seconds: float) -> None:
        """Be busy for some seconds more."""
        self._free_at = max(self._free_at, self._loop.time()) + seconds

    def deliver(self, sender: str, message: Message) -> None:
        """Receive a message."""
        self._messages.append((sender, message))
        self._schedule()

    def _schedule(self) -> None:
        if self._messages and not self._reading:
            self._reading = True
            self._loop.call_later(self.busy_s, self._read)

    def _read(self) -> None:
        self._reading = False
        if self.busy_s:
            self._schedule()
            return
        messages, self._messages = self._messages, deque()
        for sender, message in messages:
            self.work(READ_S)
            self._receive(sender, message)
        self._schedule()


@dataclass
class BusyFleet:
    """Placers of several instances whose messages and decisions take time.

    Parameters
    ----------
    count
        Number of instances.
    engine_count
        Number of engines, which prefill prompts in order of arrival.
    decision_s
        Seconds in which an instance decides a request.
    delays_s
        Seconds by which an instance reads its messages late.
    cut, deaf
        Instances that neither send nor receive messages, and that only send.
    """

    count: int
    engine_count: int
    decision_s: float = 0.0
    delays_s: dict[str, float] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)
    results: Counter[str] = field(default_factory=Counter)
    late_refusals: int = 0
    got: Counter[str] = field(default_factory=Counter)
    owner_changes: int = 0
    engine_waits_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the instances, which know each other."""
        self.names = [f"i{number:02}" for number in range(self.count)]
        self.placers: dict[str, Placer] = {}
        self.fleets: dict[str, Fleet] = {}
        self._metrics: dict[str, Metrics] = {}
        self._processes: dict[str, BusyProcess] = {}
        self._engine_free_at: dict[str, float] = {}
        self._owners: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        for name in self.names:
            self._start(name)
        self.owner = self.fleets[self.names[0]].owner(SHARD)

    @property
    def placed_alone(self) -> int:
        """Number of requests that were placed beside the owner."""
        return sum(item.value("placements_alone") for item in self._metrics.values())

    def _start(self, name: str) -> None:
        process = BusyProcess(lambda sender, msg: self._deliver(sender, name, msg))
        self._processes[name] = process
        timers, metrics = BusyTimers(process), Metrics()
        instances: Any = FakeInstances({n: 1.0 for n in self.names if n != name})
        store: Any = None
        fleet = Fleet(
            replace(GATEWAY, instance=name),
            1,
            instances,
            "key",
            store,
            timers,
            metrics,
            lambda _sender, _message: None,
            lambda _instance: None,
            lambda instance: self.placers[name].instance_lost(instance),
        )
        links: Any = SimpleNamespace(
            send=lambda receiver, message: self._send(name, receiver, message)
        )
        fleet._links = links
        listed = engines(self.engine_count, slots=SLOTS)
        profile = ServiceProfile(SERVICE, EngineProfile(8, 400_000))
        deployment = SimpleNamespace(
            services={SERVICE: profile},
            tokens_per_s=self.engine_count * TOKENS_PER_S / 2,
        )
        directory: Any = SimpleNamespace(
            deployment=deployment, endpoints_of=lambda _service: listed
        )
        notices = EndpointNotices(fleet, timers, metrics)
        placer = Placer(fleet, directory, notices, timers, metrics, PlacementSettings())
        placer.update()
        for dispatcher in placer.dispatchers.values():
            self._charge_decisions(process, dispatcher)
        self.fleets[name], self.placers[name] = fleet, placer
        self._metrics[name] = metrics

    def _charge_decisions(self, process: BusyProcess, dispatcher: Dispatcher) -> None:
        submit = dispatcher.submit

        def charged(now: float, request: Work) -> list[Decision]:
            process.work(self.decision_s)
            return submit(now, request)

        patch: Any = dispatcher
        patch.submit = charged

    def _send(self, sender: str, receiver: str, message: Message) -> bool:
        unreachable = self.cut | self.deaf
        if sender not in self.cut and receiver not in unreachable:
            delay_s = self._processes[sender].busy_s + LINK_S
            delay_s += self.delays_s.get(receiver, 0.0)
            self._loop.call_later(delay_s, self._arrive, sender, receiver, message)
        return True

    def _arrive(self, sender: str, receiver: str, message: Message) -> None:
        self._processes[receiver].deliver(sender, message)

    def _deliver(self, sender: str, receiver: str, message: Message) -> None:
        self.fleets[receiver].record_message(sender)
        self.placers[receiver].receive(sender, message)

    async def run(self, seconds: float, requests_per_s: dict[str, float]) -> None:
        """Send requests of organisations at all instances but the owner in turn."""
        callers = [name for name in self.names if name != self.owner]
        due = dict.fromkeys(requests_per_s, 0.0)
        sent = 0
        for _ in range(round(seconds / SAMPLE_S)):
            for organisation, rate in requests_per_s.items():
                due[organisation] += rate * SAMPLE_S
                while due[organisation] >= 1.0:
                    due[organisation] -= 1.0
                    self._call(callers[sent % len(callers)], organisation)
                    sent += 1
            await asyncio.sleep(SAMPLE_S)
            for name, fleet in self.fleets.items():
                owner = fleet.owner(SHARD)
                self.owner_changes += self._owners.setdefault(name, owner) != owner
                self._owners[name] = owner

    async def drain(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._tasks)

    def _call(self, name: str, organisation: str) -> None:
        task = self._loop.create_task(self._request(name, organisation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, name: str, organisation: str) -> None:
        placer = self.placers[name]
        request = work(prompt(own=OWN_TOKENS), organisation, instance=name)
        request = replace(request, key=placer.new_key())
        called_at = self._loop.time()
        try:
            placed = await placer.place(SERVICE, "r", request)
        except RefusalError:
            self.results["refused"] += 1
            waited_s = self._loop.time() - called_at
            self.late_refusals += waited_s > request.remaining_target_s
            return
        now = self._loop.time()
        free_at = max(self._engine_free_at.get(placed.endpoint, 0.0), now)
        wait_s = free_at - now
        self.engine_waits_s.append(wait_s)
        if wait_s > GIVE_UP_S:
            await asyncio.sleep(GIVE_UP_S)
            self.results["left"] += 1
            placer.record_end(request.key, WorkOutcome.CALLER_DISCONNECTED)
            return
        starts_at = free_at + OWN_TOKENS / TOKENS_PER_S
        self._engine_free_at[placed.endpoint] = starts_at
        await asyncio.sleep(starts_at - now)
        in_time = self._loop.time() - called_at <= request.remaining_target_s
        self.results["in_time" if in_time else "late"] += 1
        self.got[organisation] += 1
        placer.record_start(request.key)
        await asyncio.sleep(RESPONSE_S)
        placer.record_end(request.key, WorkOutcome.SERVED)
