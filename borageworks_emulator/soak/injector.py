"""Injects the faults of a plan."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence

from borageworks_emulator.platform.store import EmulatedPlatformStore, StoreFault
from borageworks_emulator.soak.bounds import DRAIN_BOUND_S, SHUTDOWN_GRACE_S
from borageworks_emulator.soak.conditions import UNIMPAIRED
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.endpoints import MISBEHAVIOURS, SoakEndpoint, regular
from borageworks_emulator.soak.fault_planner import PlannedFault
from borageworks_emulator.soak.faults import (
    ChangeConfiguration,
    CrashEndpoint,
    DrainEndpoint,
    EvacuateDomain,
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
from borageworks_emulator.soak.guarantee import Guarantee
from borageworks_emulator.soak.guarantee_checker import GuaranteeChecker
from borageworks_emulator.soak.network import Network
from borageworks_emulator.soak.operator import Operator

RESTART_PAUSE_S = 0.3
# An endpoint keeps serving for this time after its drain bound.
POST_DRAIN_S = 0.5
MALFORMED_ENTRY_KEYS = (
    "servers/rogue",
    "servers/",
    "op/other",
    "borageworks/instances/rogue",
)


class Injector:
    """Injects the faults of a plan, except into participants that are already down.

    Parameters
    ----------
    gateways, endpoints, paths
        Participants: gateways by name, endpoints, and the name of each endpoint's path,
        which all its incarnations share.
    store, network, operator, disturbances, checker
        Components of the soak.
    register
        Writes an endpoint's entry to the store.
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
        checker: GuaranteeChecker,
        register: Callable[[SoakEndpoint], Awaitable[None]],
    ) -> None:
        self._gateways = gateways
        self._endpoints = endpoints
        self._paths = paths
        self._store = store
        self._network = network
        self._operator = operator
        self._disturbances = disturbances
        self._checker = checker
        self._register = register
        self._busy: set[str] = set()
        self._incarnation_count = 0

    async def run(self, plan: Sequence[PlannedFault]) -> None:
        """Inject all faults and wait until the last one is over."""
        async with asyncio.TaskGroup() as group:
            for planned in plan:
                group.create_task(self._inject_when_due(planned))

    async def watch_exits(self) -> None:
        """Report and restart processes that exit unexpectedly, until cancelled."""
        while True:
            await asyncio.sleep(RESTART_PAUSE_S)
            for name, gateway in self._gateways.items():
                if name not in self._busy and not gateway.alive:
                    self._checker.report(
                        Guarantee.NO_OWN_END, f"{name}: {gateway.output_tail()[-500:]}"
                    )
                    await gateway.start()

    async def _inject_when_due(self, planned: PlannedFault) -> None:
        await asyncio.sleep(planned.at_s)
        await self.inject(planned.fault)

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and wait until it is over."""
        match fault:
            case KillGateways(names, down_s):
                await self._for_available(
                    names, lambda gateway: self._kill_and_restart(gateway, down_s)
                )
            case StopGateways(names):
                await self._for_available(names, self._stop_and_restart)
            case PauseGateways(names, for_s):
                await self._for_available(
                    names, lambda gateway: self._pause(gateway, for_s)
                )
            case ReloadSettings(name, with_signal):
                self._reload(self._gateways[name], with_signal)
            case StepClock(name, step_s):
                self._gateways[name].step_clock(step_s)
                await self._for_available(
                    (name,),
                    lambda gateway: self._kill_and_restart(gateway, RESTART_PAUSE_S),
                )
            case HarmPaths():
                await self._impair_paths(fault)
            case ResetPaths(sources, targets):
                self._reset_paths(sources, targets)
            case HarmStore(kind, for_s):
                await self._impair_store(kind, for_s)
            case ForgetHistory():
                self._disturbances.record_instant(STORE)
                await self._store.compact()
            case CrashEndpoint(number, down_s):
                await self._crash_endpoint(number, down_s)
            case DrainEndpoint(number):
                await self._drain_endpoint(number)
            case TroubleEndpoint(number, misbehaviour, for_s):
                await self._misbehave(number, misbehaviour, for_s)
            case ChangeConfiguration():
                await self._operator.write_next_version()
            case EvacuateDomain(domain, for_s):
                await self._evacuate(domain, for_s)
            case RogueEntry():
                for key in MALFORMED_ENTRY_KEYS:
                    await self._store.put(key, b"\xff{")

    async def _for_available(
        self,
        names: Sequence[str],
        action: Callable[[GatewayProcess], Awaitable[None]],
    ) -> None:
        available = [name for name in names if name not in self._busy]
        self._busy.update(available)
        try:
            await asyncio.gather(*(action(self._gateways[name]) for name in available))
        finally:
            self._busy.difference_update(available)

    async def _kill_and_restart(self, gateway: GatewayProcess, down_s: float) -> None:
        self._disturbances.begin(gateway.name)
        await gateway.kill()
        await asyncio.sleep(down_s)
        await gateway.start()
        self._disturbances.end(gateway.name)

    async def _stop_and_restart(self, gateway: GatewayProcess) -> None:
        self._checker.gateway_stopping(gateway.name)
        gateway.send_signal(signal.SIGTERM)
        try:
            await gateway.wait_exit(SHUTDOWN_GRACE_S)
        except TimeoutError:
            await gateway.kill()
        self._disturbances.begin(gateway.name)
        await asyncio.sleep(RESTART_PAUSE_S)
        await gateway.start()
        self._disturbances.end(gateway.name)

    async def _pause(self, gateway: GatewayProcess, for_s: float) -> None:
        self._disturbances.begin(gateway.name)
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        gateway.send_signal(signal.SIGCONT)
        self._disturbances.end(gateway.name)

    def _reload(self, gateway: GatewayProcess, with_signal: bool) -> None:
        address = self._network.address(gateway.name, STORE, STORE)
        assert address is not None
        gateway.write_settings(address)
        if with_signal and gateway.name not in self._busy:
            gateway.send_signal(signal.SIGHUP)

    async def _impair_paths(self, fault: HarmPaths) -> None:
        sources, targets = set(fault.sources), set(fault.targets)
        # Faults between gateways disturb both sides, others only the connecting side.
        disturbed = sources | (targets & set(self._gateways))
        for name in disturbed:
            self._disturbances.begin(name)
        directions = ((sources, targets), (targets, sources))
        for direction in directions:
            self._network.set_conditions(*direction, fault.conditions)
        await asyncio.sleep(fault.for_s)
        for direction in directions:
            self._network.set_conditions(*direction, UNIMPAIRED)
        for name in disturbed:
            self._disturbances.end(name)

    def _reset_paths(self, sources: Sequence[str], targets: Sequence[str]) -> None:
        for name in {*sources, *targets}:
            self._disturbances.record_instant(name)
        self._network.reset(set(sources), set(targets))

    async def _impair_store(self, kind: StoreFault, for_s: float) -> None:
        self._disturbances.begin(STORE)
        self._store.fault = kind
        await asyncio.sleep(for_s)
        if self._store.fault is kind:
            self._store.fault = StoreFault.NONE
        self._disturbances.end(STORE)

    async def _crash_endpoint(self, number: int, down_s: float) -> None:
        path = self._paths[number]
        if path in self._busy:
            return
        self._busy.add(path)
        endpoint, old_name = self._endpoints[number], self._endpoints[number].name
        self._disturbances.begin(old_name)
        await self._network.close_ports(path)
        await endpoint.stop()
        await asyncio.sleep(down_s)
        await self._store.delete(f"servers/{old_name}")
        await self._start_new_incarnation(path, endpoint)
        self._disturbances.end(old_name)
        self._busy.discard(path)

    async def _drain_endpoint(self, number: int) -> None:
        path = self._paths[number]
        if path in self._busy:
            return
        self._busy.add(path)
        endpoint, old_name = self._endpoints[number], self._endpoints[number].name
        await self._store.put(
            f"servers/{old_name}", endpoint.entry(endpoint.service, state="draining")
        )
        self._checker.endpoint_draining(old_name)
        await asyncio.sleep(DRAIN_BOUND_S + POST_DRAIN_S)
        self._disturbances.begin(old_name)
        await self._store.delete(f"servers/{old_name}")
        await self._network.close_ports(path)
        await endpoint.stop()
        await self._start_new_incarnation(path, endpoint)
        self._disturbances.end(old_name)
        self._busy.discard(path)

    async def _evacuate(self, domain: str, for_s: float) -> None:
        key = f"op/evacuate/{domain}"
        await self._store.put(key, b"{}")
        self._checker.domain_evacuated(domain)
        await asyncio.sleep(for_s)
        self._checker.domain_returning(domain)
        await self._store.delete(key)

    async def _start_new_incarnation(self, path: str, endpoint: SoakEndpoint) -> None:
        self._incarnation_count += 1
        endpoint.restart_as(f"{endpoint.name.split('.')[0]}.{self._incarnation_count}")
        await endpoint.start()
        await self._network.open_ports(path)
        await self._register(endpoint)

    async def _misbehave(self, number: int, kind: str, for_s: float) -> None:
        endpoint, name = self._endpoints[number], self._endpoints[number].name
        self._disturbances.begin(name)
        endpoint.misbehaviour = MISBEHAVIOURS[kind]
        await asyncio.sleep(for_s)
        if endpoint.misbehaviour is MISBEHAVIOURS[kind]:
            endpoint.misbehaviour = regular
        self._disturbances.end(name)
