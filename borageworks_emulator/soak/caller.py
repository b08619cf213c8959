"""Emulated caller that sends requests over persistent connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, replace

import aiohttp

from borageworks_emulator.platform.endpoint import ATTEMPT_ID_HEADER, SEAL_HEADER
from borageworks_emulator.platform.harness import HOST
from borageworks_emulator.soak.balancer import Balancer
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.endpoints import event_count
from borageworks_emulator.soak.guarantee_checker import (
    NOT_RUN_STATUSES,
    GuaranteeChecker,
)

REQUEST_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
MAX_REQUESTS_PER_CONNECTION = 30
SHARED_PART_COUNT = 6
SHARED_PART_TOKENS = 800
UNIQUE_PART_TOKENS_RANGE = (100, 400)
GENERATED_TOKENS_RANGE = (12, 60)
# Fraction of requests whose caller disconnects before the response is complete.
DISCONNECT_RATIO = 0.05
# Tries to resume a stream, and pauses between them.
MAX_RESUMPTIONS = 4
RESUMPTION_PAUSE_RANGE_S = (0.05, 0.8)


@dataclass(frozen=True, slots=True)
class CallerProfile:
    """Behaviour of a caller.

    Parameters
    ----------
    organisation, key
        Its organisation and API key.
    route_weights
        Weight of each route that it uses.
    mean_pause_s
        Mean pause between two requests.
    honours_retry_after
        Whether it waits for the `Retry-After` of a refusal.
    """

    organisation: str
    key: str
    route_weights: Mapping[str, float]
    mean_pause_s: float
    honours_retry_after: bool


class Caller:
    """Emulated caller that sends requests over persistent connections.

    It uses a connection until that is closed, even when the balancer sends new ones to
    another gateway.

    Parameters
    ----------
    name
        Prefix of the ids of its requests.
    address
        Address that the balancer hashes to pick a gateway; callers may share one.
    profile
        Its behaviour.
    urls
        Base URL by gateway.
    balancer, checker, rng
        Components of the soak.
    """

    def __init__(
        self,
        name: str,
        address: str,
        profile: CallerProfile,
        urls: Mapping[str, str],
        balancer: Balancer,
        checker: GuaranteeChecker,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._address = address
        self._profile = profile
        self._urls = urls
        self._balancer = balancer
        self._checker = checker
        self._rng = rng
        self._request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            gateway = self._balancer.pick(self._address)
            async with _session() as session:
                for _ in range(self._rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                    disconnects = self._rng.random() < DISCONNECT_RATIO
                    request = self._next_call(gateway, self._pick_route())
                    call = await self._send(session, request, disconnects)
                    if call.ending is Ending.CUT and call.route == "resume":
                        await self._resume(*request)
                    await asyncio.sleep(self._pause_s(call))
                    if call.ending in (Ending.CUT, Ending.CLOSED, Ending.UNCONNECTED):
                        break

    async def send_one(self, gateway: str, route: str) -> Call:
        """Send one request to a gateway over a new connection."""
        async with _session() as session:
            return await self._send(session, self._next_call(gateway, route), False)

    async def _resume(self, call: Call, headers: Mapping[str, str]) -> None:
        """Resume a stream that has broken off, at the gateway that the balancer picks.

        A few tries are made, and only if the caller has an event of the stream.
        """
        for _ in range(MAX_RESUMPTIONS):
            next_event = call.first_event + call.received
            if not next_event:
                return
            self._request_count += 1
            call = replace(
                call,
                id=f"{self._name}-{self._request_count}",
                gateway=self._balancer.pick(self._address),
                sent_at=asyncio.get_running_loop().time(),
                first_event=next_event,
                origin=call.origin or call.id,
                received=0,
                ended_at=None,
                first_bytes_at=None,
                ending=None,
                status=None,
                detail="",
            )
            headers = {
                **headers,
                ATTEMPT_ID_HEADER: call.id,
                "Resumes": call.origin,
                "Last-Event-Id": str(next_event - 1),
            }
            async with _session() as session:
                call = await self._send(session, (call, headers), False)
            if call.ending in (Ending.ANSWERED, Ending.FAILED, Ending.WAITED):
                return
            await asyncio.sleep(self._rng.uniform(*RESUMPTION_PAUSE_RANGE_S))

    def _pick_route(self) -> str:
        weights = self._profile.route_weights
        return self._rng.choices(list(weights), list(weights.values()))[0]

    def _pause_s(self, call: Call) -> float:
        pause_s = self._rng.expovariate(1.0 / self._profile.mean_pause_s)
        if (
            call.ending is Ending.REFUSED
            and self._profile.honours_retry_after
            and call.detail
        ):
            return max(pause_s, float(call.detail))
        return pause_s

    async def _send(
        self,
        session: aiohttp.ClientSession,
        request: tuple[Call, Mapping[str, str]],
        disconnects: bool,
    ) -> Call:
        call, headers = request
        self._checker.request_sent(call)
        connected = False
        loop = asyncio.get_running_loop()
        received = bytearray()
        try:
            async with session.post(
                self._urls[call.gateway] + call.target, data=call.body, headers=headers
            ) as response:
                connected = True
                call.status = response.status
                if disconnects:
                    response.close()
                    call.ending = Ending.LEFT
                else:
                    async for data, _ in response.content.iter_chunks():
                        if call.first_bytes_at is None:
                            call.first_bytes_at = loop.time()
                        received += data
                    self._record_response(call, response, bytes(received))
        except aiohttp.ClientConnectorError:
            call.ending = Ending.UNCONNECTED
        except TimeoutError:
            call.ending = Ending.WAITED
        except (aiohttp.ClientError, OSError) as error:
            call.ending = Ending.CUT if connected else Ending.CLOSED
            call.detail = repr(error)
            if connected and call.status == 200:
                self._checker.check_partial_response(call, bytes(received))
        call.ended_at = loop.time()
        self._checker.request_ended(call)
        return call

    def _record_response(
        self, call: Call, response: aiohttp.ClientResponse, body: bytes
    ) -> None:
        if response.status in NOT_RUN_STATUSES:
            call.ending = Ending.REFUSED
            call.detail = response.headers.get("Retry-After", "")
            return
        call.ending = Ending.ANSWERED if response.status == 200 else Ending.FAILED
        call.detail = str(response.status)
        if call.ending is Ending.ANSWERED:
            headers = response.headers
            self._checker.check_response(
                call,
                headers.get(SEAL_HEADER, ""),
                headers.get(ATTEMPT_ID_HEADER, ""),
                body,
            )

    def _next_call(self, gateway: str, route: str) -> tuple[Call, dict[str, str]]:
        self._request_count += 1
        profile, rng = self._profile, self._rng
        is_stream = route in ("resume", "once")
        unique_tokens, generated_tokens = (
            rng.randint(*UNIQUE_PART_TOKENS_RANGE),
            rng.randint(*GENERATED_TOKENS_RANGE),
        )
        shared_part = rng.randrange(SHARED_PART_COUNT)
        request_id = f"{self._name}-{self._request_count}"
        call = Call(
            id=request_id,
            route=route,
            organisation="" if route == "open" else profile.organisation,
            gateway=gateway,
            tokens=SHARED_PART_TOKENS + unique_tokens + 2 * generated_tokens
            if is_stream
            else 0,
            events=event_count(generated_tokens) if is_stream else 0,
            sent_at=asyncio.get_running_loop().time(),
        )
        headers = {
            "Host": HOST,
            ATTEMPT_ID_HEADER: request_id,
            "X-Borageworks-Deadline-Remaining": str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        if route != "open":
            headers["Authorization"] = f"Token {profile.key}"
        if is_stream:
            headers["X-Borageworks-Model"] = "m"
            headers["X-Borageworks-Token-Count"] = (
                f"{SHARED_PART_TOKENS + unique_tokens},{generated_tokens}"
            )
            headers["X-Borageworks-Prompt-Prefix"] = (
                f"aa{shared_part:02x}:{SHARED_PART_TOKENS},{abs(hash(request_id)):x}:{unique_tokens}"
            )
        return call, headers


def _session() -> aiohttp.ClientSession:
    """Return a session limited to one connection."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1),
        timeout=aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        ),
    )
