"""Injects the faults of a plan."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence

from borageworks_emulator.platform.store import EmulatedPlatformStore, StoreFault
from borageworks_emulator.soak.bounds import DRAIN_S, GRACE_S
from borageworks_emulator.soak.conditions import CLEAR
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.endpoints import TROUBLES, SoakEndpoint, sound
from borageworks_emulator.soak.faults import (
    ChangeConfiguration,
    CrashEndpoint,
    DrainEndpoint,
    Fault,
    ForgetHistory,
    HarmPaths,
    HarmStore,
    KillGateways,
    PauseGateways,
    ReloadSettings,
    ResetPaths,
    RogueEntry,
    StepClock,
    StopGateways,
    TroubleEndpoint,
)
from borageworks_emulator.soak.gateway_process import GatewayProcess
from borageworks_emulator.soak.network import Network
from borageworks_emulator.soak.operator import Operator
from borageworks_emulator.soak.plan import PlannedFault
from borageworks_emulator.soak.promise import Promise
from borageworks_emulator.soak.promises import Promises

RESTART_S = 0.3
# An endpoint serves on for a moment after the delay that it promises.
AFTER_DRAIN_S = 0.5
ROGUE_KEYS = ("servers/rogue", "servers/", "op/other", "borageworks/instances/rogue")


class Injector:
    """Injects the faults of a plan; a participant that is down is left alone.

    Parameters
    ----------
    gateways, endpoints, paths
        Participants: gateways by name, endpoints, and the name of each endpoint's path,
        which stays when the endpoint becomes another one.
    store, network, operator, disturbances, promises
        Parts of the soak.
    register
        Writes an endpoint's entry.
    """

    def __init__(
        self,
        gateways: Mapping[str, GatewayProcess],
        endpoints: Sequence[SoakEndpoint],
        paths: Sequence[str],
        store: EmulatedPlatformStore,
        network: Network,
        operator: Operator,
        disturbances: Disturbances,
        promises: Promises,
        register: Callable[[SoakEndpoint], Awaitable[None]],
    ) -> None:
        self._gateways = gateways
        self._endpoints = endpoints
        self._paths = paths
        self._store = store
        self._network = network
        self._operator = operator
        self._disturbances = disturbances
        self._promises = promises
        self._register = register
        self._busy: set[str] = set()
        self._names = 0

    async def run(self, plan: Sequence[PlannedFault]) -> None:
        """Inject all faults; return when the last one is over."""
        async with asyncio.TaskGroup() as group:
            for planned in plan:
                group.create_task(self._later(planned))

    async def watch_ends(self) -> None:
        """Report processes that end without being told to, until cancelled."""
        while True:
            await asyncio.sleep(RESTART_S)
            for name, gateway in self._gateways.items():
                if name not in self._busy and not gateway.alive:
                    self._promises.report(
                        Promise.NO_OWN_END, f"{name}: {gateway.output_tail()[-500:]}"
                    )
                    await gateway.start()

    async def _later(self, planned: PlannedFault) -> None:
        await asyncio.sleep(planned.at_s)
        await self.inject(planned.fault)

    async def inject(self, fault: Fault) -> None:
        """Inject a fault; return when it is over."""
        match fault:
            case KillGateways(names, down_s):
                await self._each(names, lambda gateway: self._kill(gateway, down_s))
            case StopGateways(names):
                await self._each(names, self._stop)
            case PauseGateways(names, for_s):
                await self._each(names, lambda gateway: self._pause(gateway, for_s))
            case ReloadSettings(name, with_signal):
                self._reload(self._gateways[name], with_signal)
            case StepClock(name, step_s):
                self._gateways[name].step_clock(step_s)
                await self._each(
                    (name,), lambda gateway: self._kill(gateway, RESTART_S)
                )
            case HarmPaths():
                await self._harm_paths(fault)
            case ResetPaths(sources, targets):
                self._reset_paths(sources, targets)
            case HarmStore(kind, for_s):
                await self._harm_store(kind, for_s)
            case ForgetHistory():
                self._disturbances.note(STORE)
                await self._store.compact()
            case CrashEndpoint(number, down_s):
                await self._crash(number, down_s)
            case DrainEndpoint(number):
                await self._drain(number)
            case TroubleEndpoint(number, trouble, for_s):
                await self._trouble(number, trouble, for_s)
            case ChangeConfiguration():
                await self._operator.change()
            case RogueEntry():
                for key in ROGUE_KEYS:
                    await self._store.put(key, b"\xff{")

    async def _each(
        self,
        names: Sequence[str],
        work: Callable[[GatewayProcess], Awaitable[None]],
    ) -> None:
        free = [name for name in names if name not in self._busy]
        self._busy.update(free)
        try:
            await asyncio.gather(*(work(self._gateways[name]) for name in free))
        finally:
            self._busy.difference_update(free)

    async def _kill(self, gateway: GatewayProcess, down_s: float) -> None:
        self._disturbances.begin(gateway.name)
        await gateway.end()
        await asyncio.sleep(down_s)
        await gateway.start()
        self._disturbances.end(gateway.name)

    async def _stop(self, gateway: GatewayProcess) -> None:
        self._promises.stopping(gateway.name)
        gateway.send(signal.SIGTERM)
        try:
            await gateway.wait_exit(GRACE_S)
        except TimeoutError:
            await gateway.end()
        self._disturbances.begin(gateway.name)
        await asyncio.sleep(RESTART_S)
        await gateway.start()
        self._disturbances.end(gateway.name)

    async def _pause(self, gateway: GatewayProcess, for_s: float) -> None:
        self._disturbances.begin(gateway.name)
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        gateway.send(signal.SIGCONT)
        self._disturbances.end(gateway.name)

    def _reload(self, gateway: GatewayProcess, with_signal: bool) -> None:
        address = self._network.address(gateway.name, STORE, STORE)
        assert address is not None
        gateway.write_settings(address)
        if with_signal and gateway.name not in self._busy:
            gateway.send(signal.SIGHUP)

    async def _harm_paths(self, fault: HarmPaths) -> None:
        sources, targets = set(fault.sources), set(fault.targets)
        # A cut between gateways disturbs both sides; others disturb those that connect.
        harmed = sources | (targets & set(self._gateways))
        for name in harmed:
            self._disturbances.begin(name)
        both_ways = ((sources, targets), (targets, sources))
        for ends in both_ways:
            self._network.set_conditions(*ends, fault.conditions)
        await asyncio.sleep(fault.for_s)
        for ends in both_ways:
            self._network.set_conditions(*ends, CLEAR)
        for name in harmed:
            self._disturbances.end(name)

    def _reset_paths(self, sources: Sequence[str], targets: Sequence[str]) -> None:
        for name in {*sources, *targets}:
            self._disturbances.note(name)
        self._network.reset(set(sources), set(targets))

    async def _harm_store(self, kind: StoreFault, for_s: float) -> None:
        self._disturbances.begin(STORE)
        self._store.fault = kind
        await asyncio.sleep(for_s)
        if self._store.fault is kind:
            self._store.fault = StoreFault.NONE
        self._disturbances.end(STORE)

    async def _crash(self, number: int, down_s: float) -> None:
        path = self._paths[number]
        if path in self._busy:
            return
        self._busy.add(path)
        endpoint, old = self._endpoints[number], self._endpoints[number].name
        self._disturbances.begin(old)
        await self._network.close_ports(path)
        await endpoint.stop()
        await asyncio.sleep(down_s)
        await self._store.delete(f"servers/{old}")
        await self._return(path, endpoint)
        self._disturbances.end(old)
        self._busy.discard(path)

    async def _drain(self, number: int) -> None:
        path = self._paths[number]
        if path in self._busy:
            return
        self._busy.add(path)
        endpoint, old = self._endpoints[number], self._endpoints[number].name
        await self._store.put(
            f"servers/{old}", endpoint.entry(endpoint.service, state="draining")
        )
        self._promises.drained(old)
        await asyncio.sleep(DRAIN_S + AFTER_DRAIN_S)
        self._disturbances.begin(old)
        await self._store.delete(f"servers/{old}")
        await self._network.close_ports(path)
        await endpoint.stop()
        await self._return(path, endpoint)
        self._disturbances.end(old)
        self._busy.discard(path)

    async def _return(self, path: str, endpoint: SoakEndpoint) -> None:
        self._names += 1
        endpoint.rename(f"{endpoint.name.split('.')[0]}.{self._names}")
        await endpoint.start()
        await self._network.open_ports(path)
        await self._register(endpoint)

    async def _trouble(self, number: int, trouble: str, for_s: float) -> None:
        endpoint, name = self._endpoints[number], self._endpoints[number].name
        self._disturbances.begin(name)
        endpoint.trouble = TROUBLES[trouble]
        await asyncio.sleep(for_s)
        if endpoint.trouble is TROUBLES[trouble]:
            endpoint.trouble = sound
        self._disturbances.end(name)
