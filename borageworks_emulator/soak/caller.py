"""A caller that sends requests on connections that it keeps open."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from borageworks_emulator.platform.engine import REQUEST_ID, SEAL
from borageworks_emulator.platform.harness import HOST
from borageworks_emulator.soak.balancer import Balancer
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.endpoints import events_of
from borageworks_emulator.soak.promises import PROMISED, Promises

PATIENCE_S = 3.0
CONNECT_S = 1.0
# A caller opens a new connection after so many requests at most.
REQUESTS_PER_CONNECTION = 30
SHARED_PARTS = 6
SHARED_TOKENS = 800
OWN_TOKENS = (100, 400)
GENERATED_TOKENS = (12, 60)
# Part of the callers' requests that they leave before the answer is complete.
LEAVING_RATIO = 0.05


@dataclass(frozen=True, slots=True)
class Habit:
    """How a caller behaves.

    Parameters
    ----------
    organisation, key
        Its organisation and API key.
    routes
        Weight of each route that it uses.
    pause_s
        Mean pause between two requests.
    patient
        Whether it waits as long as a refusal asks it to.
    """

    organisation: str
    key: str
    routes: Mapping[str, float]
    pause_s: float
    patient: bool


class Caller:
    """A caller that sends requests on connections that it keeps open.

    It goes on using a connection until that is closed, also when the balancer sends
    new ones elsewhere.

    Parameters
    ----------
    name
        Prefix of the ids of its requests.
    address
        What the balancer picks its gateway by; callers may share one.
    habit
        How it behaves.
    urls
        Address for callers by gateway.
    balancer, promises, rng
        Parts of the soak.
    """

    def __init__(
        self,
        name: str,
        address: str,
        habit: Habit,
        urls: Mapping[str, str],
        balancer: Balancer,
        promises: Promises,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._address = address
        self._habit = habit
        self._urls = urls
        self._balancer = balancer
        self._promises = promises
        self._rng = rng
        self._number = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            gateway = self._balancer.pick(self._address)
            async with _session() as session:
                for _ in range(self._rng.randint(1, REQUESTS_PER_CONNECTION)):
                    leaves = self._rng.random() < LEAVING_RATIO
                    call = await self._call(
                        session, self._next_call(gateway, self._route()), leaves
                    )
                    await asyncio.sleep(self._pause(call))
                    if call.ending in (Ending.CUT, Ending.CLOSED, Ending.UNCONNECTED):
                        break

    async def ask(self, gateway: str, route: str) -> Call:
        """Send one request to a gateway, on a connection of its own."""
        async with _session() as session:
            return await self._call(session, self._next_call(gateway, route), False)

    def _route(self) -> str:
        routes = self._habit.routes
        return self._rng.choices(list(routes), list(routes.values()))[0]

    def _pause(self, call: Call) -> float:
        pause = self._rng.expovariate(1.0 / self._habit.pause_s)
        if call.ending is Ending.REFUSED and self._habit.patient and call.detail:
            return max(pause, float(call.detail))
        return pause

    async def _call(
        self,
        session: aiohttp.ClientSession,
        request: tuple[Call, dict[str, str]],
        leaves: bool,
    ) -> Call:
        call, headers = request
        self._promises.sent(call)
        connected = False
        loop = asyncio.get_running_loop()
        part = bytearray()
        try:
            async with session.post(
                self._urls[call.gateway] + call.target, data=call.body, headers=headers
            ) as response:
                connected = True
                call.status = response.status
                if leaves:
                    response.close()
                    call.ending = Ending.LEFT
                else:
                    async for data, _ in response.content.iter_chunks():
                        if call.first_part_at is None:
                            call.first_part_at = loop.time()
                        part += data
                    self._take_answer(call, response, bytes(part))
        except aiohttp.ClientConnectorError:
            call.ending = Ending.UNCONNECTED
        except TimeoutError:
            call.ending = Ending.WAITED
        except (aiohttp.ClientError, OSError) as error:
            call.ending = Ending.CUT if connected else Ending.CLOSED
            call.detail = repr(error)
            if connected and call.status == 200:
                self._promises.check_part(call, bytes(part))
        call.ended_at = loop.time()
        self._promises.ended(call)
        return call

    def _take_answer(
        self, call: Call, response: aiohttp.ClientResponse, body: bytes
    ) -> None:
        if response.status in PROMISED:
            call.ending = Ending.REFUSED
            call.detail = response.headers.get("Retry-After", "")
            return
        call.ending = Ending.ANSWERED if response.status == 200 else Ending.FAILED
        call.detail = str(response.status)
        if call.ending is Ending.ANSWERED:
            headers = response.headers
            self._promises.check_answer(
                call, headers.get(SEAL, ""), headers.get(REQUEST_ID, ""), body
            )

    def _next_call(self, gateway: str, route: str) -> tuple[Call, dict[str, str]]:
        self._number += 1
        habit, rng = self._habit, self._rng
        stream = route in ("resume", "once")
        own, generated = rng.randint(*OWN_TOKENS), rng.randint(*GENERATED_TOKENS)
        shared = rng.randrange(SHARED_PARTS)
        identity = f"{self._name}-{self._number}"
        call = Call(
            id=identity,
            route=route,
            organisation="" if route == "open" else habit.organisation,
            gateway=gateway,
            tokens=SHARED_TOKENS + own + 2 * generated if stream else 0,
            events=events_of(generated) if stream else 0,
            sent_at=asyncio.get_running_loop().time(),
        )
        headers = {
            "Host": HOST,
            REQUEST_ID: identity,
            "X-Borageworks-Deadline-Remaining": str(int(PATIENCE_S * 1000)),
        }
        if route != "open":
            headers["Authorization"] = f"Token {habit.key}"
        if stream:
            headers["X-Borageworks-Model"] = "m"
            headers["X-Borageworks-Token-Count"] = f"{SHARED_TOKENS + own},{generated}"
            headers["X-Borageworks-Prompt-Prefix"] = (
                f"aa{shared:02x}:{SHARED_TOKENS},{abs(hash(identity)):x}:{own}"
            )
        return call, headers


def _session() -> aiohttp.ClientSession:
    """Return a session with one connection."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1),
        timeout=aiohttp.ClientTimeout(total=PATIENCE_S, sock_connect=CONNECT_S),
    )
