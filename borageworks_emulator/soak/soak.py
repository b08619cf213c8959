"""Runs gateway processes under series of faults and checks their promises."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import orjson

from borageworks_emulator.platform.harness import DESK, ENGINES
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.ports import HOST
from borageworks_emulator.soak.balancer import Balancer
from borageworks_emulator.soak.bounds import RECOVERY_S
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.caller import Caller, Habit
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.endpoints import SoakEndpoint
from borageworks_emulator.soak.fairness import unfair_organisations
from borageworks_emulator.soak.gateway_process import GatewayProcess
from borageworks_emulator.soak.injector import Injector
from borageworks_emulator.soak.network import Network
from borageworks_emulator.soak.operator import Operator
from borageworks_emulator.soak.plan import Plan, PlannedFault
from borageworks_emulator.soak.promise import Promise
from borageworks_emulator.soak.promises import Promises
from borageworks_emulator.soak.report import SoakReport
from borageworks_emulator.soak.settings import SoakSettings
from borageworks_emulator.soak.versions import Versions

DOMAINS = ("zone-a", "zone-b", "zone-c")
PEER = "peer"
RELAY = "relay"
SERVICE = "service"
START_LIMIT_S = 60.0
POLL_S = 0.1
ROUTES = {"resume": 5.0, "once": 2.0, "book": 2.0, "look": 1.0, "open": 1.0}
PAUSE_S = 0.25
FLOOD_PAUSE_S = 0.1
FLOOD_ADDRESS = "flood"
# Time that the gateways need to learn of the last changes before the flood begins.
SETTLE_S = 1.0


class Soak:
    """One soak: processes, paths, endpoints, callers and faults.

    Parameters
    ----------
    settings
        What is run.
    """

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._clock: Callable[[], float] = asyncio.get_running_loop().time
        self._disturbances = Disturbances(self._clock)
        self._promises = Promises(self._disturbances, self._clock)
        self._store = EmulatedPlatformStore()
        self._network = Network()
        self._gateways = {
            f"edge-{i}": GatewayProcess(
                f"edge-{i}", DOMAINS[i % len(DOMAINS)], settings.directory
            )
            for i in range(settings.gateways)
        }
        self._endpoints = [
            *(self._endpoint(f"engine-{i}", ENGINES) for i in range(settings.engines)),
            *(self._endpoint(f"desk-{i}", DESK) for i in range(settings.desks)),
        ]
        self._paths = [endpoint.name for endpoint in self._endpoints]
        self._keys = {f"org-{i}": f"secret-{i}" for i in range(settings.organisations)}
        self._versions = Versions(self._disturbances, self._promises.report)
        self._operator = Operator(
            self._store, self._versions, self._keys, random.Random(self._rng.random())
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
            self._promises,
            self._register,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _endpoint(self, name: str, service: str) -> SoakEndpoint:
        return SoakEndpoint(name, service, service == ENGINES, self._promises)

    def plan(self) -> list[PlannedFault]:
        """Return the faults of the settings' seed."""
        settings = self._settings
        domains = {name: gateway.domain for name, gateway in self._gateways.items()}
        rng = random.Random(settings.seed)
        return Plan(rng, domains, self._paths).draw(settings.duration_s)

    async def run(self) -> SoakReport:
        """Run the soak; every process that it started has ended afterwards."""
        plan = self.plan()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._end)
            await self._start()
            self._start_callers()
            await self._injector.run(plan)
            recovery_s = await self._recover()
            await asyncio.sleep(SETTLE_S)
            await self._flood()
        self._check_logs()
        return SoakReport(
            self._settings,
            plan,
            self._promises.calls,
            recovery_s,
            self._promises.broken,
        )

    async def _start(self) -> None:
        await self._store.start()
        for endpoint in self._endpoints:
            await endpoint.start()
        for name, gateway in self._gateways.items():
            await self._open_paths(name, gateway)
        for endpoint in self._endpoints:
            await self._register(endpoint)
        await self._operator.change()
        for gateway in self._gateways.values():
            await gateway.start()
        async with asyncio.timeout(START_LIMIT_S), aiohttp.ClientSession() as session:
            for gateway in self._gateways.values():
                while not await _ready(session, gateway):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)

    async def _open_paths(self, name: str, gateway: GatewayProcess) -> None:
        view = await self._store.open_view(
            lambda key, value: self._translate(name, key, value)
        )
        address = await self._network.open(name, STORE, STORE, lambda: view)
        gateway.write_settings(address)
        for other, process in self._gateways.items():
            if other != name:
                _, _, relay, peer = process.ports
                await self._network.open(name, other, PEER, _fixed(peer))
                await self._network.open(name, other, RELAY, _fixed(relay))
        for path, endpoint in zip(self._paths, self._endpoints, strict=True):
            await self._network.open(name, path, SERVICE, _address_of(endpoint))

    def _translate(self, reader: str, key: str, value: bytes) -> bytes:
        """Replace addresses in a value of the store by the reader's paths to them."""
        kind, _, name = key.rpartition("/")
        path = name.split(".")[0]
        service = self._network.address(reader, path, SERVICE)
        if kind == "servers" and service is not None:
            entry = orjson.loads(value)
            entry["address"] = f"{service[0]}:{service[1]}"
            return orjson.dumps(entry)
        peer = self._network.address(reader, name, PEER)
        relay = self._network.address(reader, name, RELAY)
        if kind.endswith("/instances") and peer is not None and relay is not None:
            record = orjson.loads(value)
            record["peer_port"], record["relay_port"] = peer[1], relay[1]
            return orjson.dumps(record)
        return value

    async def _register(self, endpoint: SoakEndpoint) -> None:
        await self._store.put(
            f"servers/{endpoint.name}",
            endpoint.entry(endpoint.service, slots=endpoint.slots),
        )

    def _start_callers(self) -> None:
        self._spawn(self._balancer.run())
        self._spawn(self._injector.watch_ends())
        for gateway in self._gateways.values():
            self._spawn(self._operator.probe(gateway))
        for organisation, key in self._keys.items():
            for number in range(self._settings.callers):
                habit = Habit(organisation, key, ROUTES, PAUSE_S, number % 2 == 0)
                self._spawn(self._caller(f"{organisation}-{number}", habit).run())

    def _caller(self, name: str, habit: Habit, address: str | None = None) -> Caller:
        return Caller(
            name,
            address or name,
            habit,
            {name: gateway.url for name, gateway in self._gateways.items()},
            self._balancer,
            self._promises,
            random.Random(self._rng.random()),
        )

    async def _recover(self) -> float | None:
        """Return the seconds until all gateways serve all routes again."""
        loop = asyncio.get_running_loop()
        ended_at = loop.time()
        habit = Habit(*next(iter(self._keys.items())), ROUTES, PAUSE_S, patient=False)
        caller = self._caller("recovery", habit)
        missing = [(name, route) for name in self._gateways for route in ROUTES]
        while missing and loop.time() < ended_at + RECOVERY_S:
            calls = await asyncio.gather(*(caller.ask(*pair) for pair in missing))
            missing = [
                (call.gateway, call.route)
                for call in calls
                if call.ending is not Ending.ANSWERED
            ]
            await asyncio.sleep(POLL_S)
        if missing:
            self._promises.report(
                Promise.RECOVERY, f"not served for {RECOVERY_S} s: {sorted(missing)}"
            )
            return None
        return loop.time() - ended_at

    async def _flood(self) -> None:
        """Let one organisation flood the engines, and check what the others get.

        All its callers are behind one address, so that they reach one gateway.
        """
        organisation, key = next(iter(self._keys.items()))
        since = self._clock()
        for number in range(self._settings.flooding):
            habit = Habit(
                organisation, key, {"resume": 1.0}, FLOOD_PAUSE_S, number % 2 == 0
            )
            caller = self._caller(f"flood-{number}", habit, FLOOD_ADDRESS)
            self._spawn(caller.run())
        await asyncio.sleep(self._settings.calm_s)
        unfair = unfair_organisations(
            self._promises.calls, self._ran, since, self._clock()
        )
        for line in unfair:
            self._promises.report(Promise.FAIRNESS, line)

    def _ran(self, call: Call) -> bool:
        return self._promises.runs(call) > 0

    def _check_logs(self) -> None:
        for name, gateway in self._gateways.items():
            for line in gateway.internal_errors():
                self._promises.report(Promise.NO_INTERNAL_ERROR, f"{name}: {line}")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(gateway.end() for gateway in self._gateways.values()))
        for endpoint in self._endpoints:
            await endpoint.stop()
        await self._network.close()
        await self._store.stop()


def _fixed(port: int) -> Callable[[], tuple[str, int]]:
    return lambda: (HOST, port)


def _address_of(endpoint: SoakEndpoint) -> Callable[[], tuple[str, int]]:
    return lambda: endpoint.address


async def _ready(session: aiohttp.ClientSession, gateway: GatewayProcess) -> bool:
    try:
        async with session.get(f"{gateway.status_url}/ready") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
