"""Runs gateway processes under injected faults and checks their guarantees."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import orjson

from borageworks_emulator.platform.harness import ENGINE_SERVICE, PLAIN_SERVICE
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.ports import HOST
from borageworks_emulator.soak.balancer import Balancer
from borageworks_emulator.soak.bounds import MAX_RECOVERY_S
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.caller import Caller, CallerProfile
from borageworks_emulator.soak.configuration_checker import ConfigurationChecker
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.endpoints import SoakEndpoint
from borageworks_emulator.soak.fairness import underserved_organisations
from borageworks_emulator.soak.fault_planner import FaultPlanner, PlannedFault
from borageworks_emulator.soak.gateway_process import GatewayProcess
from borageworks_emulator.soak.guarantee import Guarantee
from borageworks_emulator.soak.guarantee_checker import GuaranteeChecker
from borageworks_emulator.soak.injector import Injector
from borageworks_emulator.soak.network import Network
from borageworks_emulator.soak.operator import Operator
from borageworks_emulator.soak.report import SoakReport
from borageworks_emulator.soak.settings import SoakSettings

DOMAINS = ("zone-a", "zone-b", "zone-c")
PEER = "peer"
RELAY = "relay"
SERVICE = "service"
START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
ROUTE_WEIGHTS = {"resume": 5.0, "once": 2.0, "book": 2.0, "look": 1.0, "open": 1.0}
MEAN_PAUSE_S = 0.25
FLOOD_MEAN_PAUSE_S = 0.1
FLOOD_ADDRESS = "flood"
# Time in which the gateways receive the last changes before the flood starts.
SETTLE_TIME_S = 1.0


class Soak:
    """One run of gateways, network paths, endpoints, callers and faults.

    Parameters
    ----------
    settings
        Settings of the run.
    """

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._clock: Callable[[], float] = asyncio.get_running_loop().time
        self._disturbances = Disturbances(self._clock)
        self._checker = GuaranteeChecker(self._disturbances, self._clock)
        self._store = EmulatedPlatformStore()
        self._network = Network()
        self._gateways = {
            f"edge-{i}": GatewayProcess(
                f"edge-{i}", DOMAINS[i % len(DOMAINS)], settings.directory
            )
            for i in range(settings.gateways)
        }
        self._endpoints = [
            *(
                self._endpoint(f"engine-{i}", ENGINE_SERVICE)
                for i in range(settings.engines)
            ),
            *(
                self._endpoint(f"desk-{i}", PLAIN_SERVICE)
                for i in range(settings.plain_endpoints)
            ),
        ]
        self._paths = [endpoint.name for endpoint in self._endpoints]
        self._keys = {f"org-{i}": f"secret-{i}" for i in range(settings.organisations)}
        self._configuration_checker = ConfigurationChecker(
            self._disturbances, self._checker.report
        )
        self._operator = Operator(
            self._store,
            self._configuration_checker,
            self._keys,
            random.Random(self._rng.random()),
        )
        self._balancer = Balancer(
            {name: gateway.status_url for name, gateway in self._gateways.items()},
            random.Random(self._rng.random()),
        )
        self._injector = Injector(
            self._gateways,
            self._endpoints,
            self._paths,
            self._store,
            self._network,
            self._operator,
            self._disturbances,
            self._checker,
            self._register,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _endpoint(self, name: str, service: str) -> SoakEndpoint:
        domain = DOMAINS[int(name.rpartition("-")[2]) % len(DOMAINS)]
        engine = service == ENGINE_SERVICE
        return SoakEndpoint(name, service, engine, self._checker, domain)

    def plan(self) -> list[PlannedFault]:
        """Return the faults drawn from the seed."""
        settings = self._settings
        domains = {name: gateway.domain for name, gateway in self._gateways.items()}
        rng = random.Random(settings.seed)
        return FaultPlanner(rng, domains, self._paths).draw(settings.duration_s)

    async def run(self) -> SoakReport:
        """Run the soak and end every process that it started."""
        plan = self.plan()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._shut_down)
            await self._start()
            self._start_callers()
            await self._injector.run(plan)
            recovery_s = await self._recover()
            await asyncio.sleep(SETTLE_TIME_S)
            await self._flood()
        self._check_logs()
        return SoakReport(
            self._settings,
            plan,
            self._checker.calls,
            recovery_s,
            self._checker.violations,
        )

    async def _start(self) -> None:
        await self._store.start()
        for endpoint in self._endpoints:
            await endpoint.start()
        for name, gateway in self._gateways.items():
            await self._open_paths(name, gateway)
        for endpoint in self._endpoints:
            await self._register(endpoint)
        await self._operator.write_next_version()
        for gateway in self._gateways.values():
            await gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
            for gateway in self._gateways.values():
                while not await _ready(session, gateway):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def _open_paths(self, name: str, gateway: GatewayProcess) -> None:
        view_address = await self._store.open_view(
            lambda key, value: self._replace_addresses(name, key, value)
        )
        address = await self._network.open(name, STORE, STORE, lambda: view_address)
        gateway.write_settings(address)
        for other_name, process in self._gateways.items():
            if other_name != name:
                _, _, relay_port, peer_port = process.ports
                await self._network.open(
                    name, other_name, PEER, _loopback_address(peer_port)
                )
                await self._network.open(
                    name, other_name, RELAY, _loopback_address(relay_port)
                )
        for path, endpoint in zip(self._paths, self._endpoints, strict=True):
            await self._network.open(name, path, SERVICE, _endpoint_address(endpoint))

    def _replace_addresses(self, reader: str, key: str, value: bytes) -> bytes:
        """Replace addresses in a value of the store by those of the reader's paths."""
        kind, _, name = key.rpartition("/")
        path = name.split(".")[0]
        service_address = self._network.address(reader, path, SERVICE)
        if kind == "servers" and service_address is not None:
            entry = orjson.loads(value)
            entry["address"] = f"{service_address[0]}:{service_address[1]}"
            return orjson.dumps(entry)
        peer_address = self._network.address(reader, name, PEER)
        relay_address = self._network.address(reader, name, RELAY)
        if (
            kind.endswith("/instances")
            and peer_address is not None
            and relay_address is not None
        ):
            record = orjson.loads(value)
            record["peer_port"], record["relay_port"] = (
                peer_address[1],
                relay_address[1],
            )
            return orjson.dumps(record)
        return value

    async def _register(self, endpoint: SoakEndpoint) -> None:
        await self._store.put(
            f"servers/{endpoint.name}",
            endpoint.entry(endpoint.service, slots=endpoint.slots),
        )

    def _start_callers(self) -> None:
        self._spawn(self._balancer.run())
        self._spawn(self._injector.watch_exits())
        for gateway in self._gateways.values():
            self._spawn(self._operator.probe(gateway))
        for organisation, key in self._keys.items():
            for number in range(self._settings.callers_per_organisation):
                profile = CallerProfile(
                    organisation, key, ROUTE_WEIGHTS, MEAN_PAUSE_S, number % 2 == 0
                )
                self._spawn(self._caller(f"{organisation}-{number}", profile).run())

    def _caller(
        self, name: str, profile: CallerProfile, address: str | None = None
    ) -> Caller:
        return Caller(
            name,
            address or name,
            profile,
            {name: gateway.url for name, gateway in self._gateways.items()},
            self._balancer,
            self._checker,
            random.Random(self._rng.random()),
        )

    async def _recover(self) -> float | None:
        """Return the seconds until all gateways serve all routes, None if too many."""
        loop = asyncio.get_running_loop()
        faults_ended_at = loop.time()
        profile = CallerProfile(
            *next(iter(self._keys.items())),
            ROUTE_WEIGHTS,
            MEAN_PAUSE_S,
            honours_retry_after=False,
        )
        caller = self._caller("recovery", profile)
        unserved = [(name, route) for name in self._gateways for route in ROUTE_WEIGHTS]
        while unserved and loop.time() < faults_ended_at + MAX_RECOVERY_S:
            calls = await asyncio.gather(*(caller.send_one(*pair) for pair in unserved))
            unserved = [
                (call.gateway, call.route)
                for call in calls
                if call.ending is not Ending.ANSWERED
            ]
            await asyncio.sleep(POLL_INTERVAL_S)
        if unserved:
            self._checker.report(
                Guarantee.RECOVERY,
                f"not served after {MAX_RECOVERY_S} s: {sorted(unserved)}",
            )
            return None
        return loop.time() - faults_ended_at

    async def _flood(self) -> None:
        """Let one organisation flood the engines and check what others are served.

        All its callers share one address, so that they reach the same gateway.
        """
        organisation, key = next(iter(self._keys.items()))
        since = self._clock()
        for number in range(self._settings.flood_callers):
            profile = CallerProfile(
                organisation, key, {"resume": 1.0}, FLOOD_MEAN_PAUSE_S, number % 2 == 0
            )
            caller = self._caller(f"flood-{number}", profile, FLOOD_ADDRESS)
            self._spawn(caller.run())
        await asyncio.sleep(self._settings.flood_duration_s)
        underserved = underserved_organisations(
            self._checker.calls, self._has_run, since, self._clock()
        )
        for finding in underserved:
            self._checker.report(Guarantee.FAIRNESS, finding)

    def _has_run(self, call: Call) -> bool:
        return self._checker.run_count(call) > 0

    def _check_logs(self) -> None:
        for name, gateway in self._gateways.items():
            for line in gateway.internal_errors():
                self._checker.report(Guarantee.NO_INTERNAL_ERROR, f"{name}: {line}")

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _shut_down(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(gateway.kill() for gateway in self._gateways.values()))
        for endpoint in self._endpoints:
            await endpoint.stop()
        await self._network.close()
        await self._store.stop()


def _loopback_address(port: int) -> Callable[[], tuple[str, int]]:
    return lambda: (HOST, port)


def _endpoint_address(endpoint: SoakEndpoint) -> Callable[[], tuple[str, int]]:
    return lambda: endpoint.address


async def _ready(session: aiohttp.ClientSession, gateway: GatewayProcess) -> bool:
    try:
        async with session.get(f"{gateway.status_url}/ready") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
