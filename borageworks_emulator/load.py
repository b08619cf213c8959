"""Load generator: organisations' requests from a precomputed trace, each verified."""

from __future__ import annotations

import asyncio
import heapq
import math
import random
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson

from borageworks_emulator.analysis import CallRecord, Verdict
from borageworks_emulator.engine import expected_content
from borageworks_emulator.service import expected_answer

DRAIN_LIMIT_S = 60.0
# Hundreds of connections opened in one instant overflow a listening socket's queue, and
# some callers then wait a second for TCP to repeat its first segment.
RAMP_S = 0.5
PROBLEM_TYPE = "application/problem+json"
WORDS = ("timber", "quote", "depot", "order", "route", "shift", "record", "clean")


def api_key(organisation: str) -> str:
    """Return the API key that the load generator uses for an organisation."""
    return f"key-{organisation}"


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one organisation for one service.

    Parameters
    ----------
    organisation, service, pool
        Ids of the configuration objects.
    engine
        Whether the service is a model; otherwise it is a plain service.
    rate
        Requests per second of Poisson arrivals (open loop); 0 without.
    workers
        Callers that send their next request when the last one ended (closed loop).
    mean, sigma, largest
        Lognormal length of an answer: tokens, or milliseconds of a plain run.
    prompt_words
        Mean prompt length.
    router
        Index of the only router that the flow uses; None spreads it over all.
    keyed
        Whether requests carry an Idempotency-Key.
    resends, resend_after_s
        Every request is sent again so often, with the same key, after each interval.
    start_s, end_s
        Span of the flow in seconds of the load; `end_s` 0 is the end of the load.
    marker
        Text in each body, for faults that react to it.
    limit
        Largest number of requests of each worker; 0 is unlimited.
    """

    organisation: str
    service: str
    pool: str
    engine: bool = True
    rate: float = 0.0
    workers: int = 0
    mean: float = 8.0
    sigma: float = 1.0
    largest: float = 400.0
    prompt_words: float = 24.0
    router: int | None = None
    keyed: bool = False
    resends: int = 0
    resend_after_s: float = 0.5
    start_s: float = 0.0
    end_s: float = 0.0
    marker: str = ""
    limit: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """One request of a trace; `at` is in seconds from the start of the load."""

    tag: str
    flow: Flow
    at: float
    body: dict[str, Any]
    spread: int
    encoded: bytes

    @property
    def path(self) -> str:
        """Path of the request at the router."""
        if self.flow.engine:
            return "/v1/chat/completions"
        return f"/services/{self.flow.service}{self.endpoint_path}"

    @property
    def endpoint_path(self) -> str:
        """Path of a plain request at the endpoint."""
        return f"/orders/{self.tag}"


class Trace:
    """All requests of a load, the same for the same flows, seed and duration.

    Closed-loop requests are generated on demand, in an order of their own per worker.
    """

    def __init__(self, flows: Sequence[Flow], seed: int, duration_s: float) -> None:
        self.flows = tuple(flows)
        self.seed = seed
        self.duration_s = duration_s
        self.open_loop = list(
            heapq.merge(
                *(
                    self._arrivals(number, flow)
                    for number, flow in enumerate(flows)
                    if flow.rate > 0
                ),
                key=lambda plan: plan.at,
            )
        )

    def closed_loop(self, number: int, worker: int) -> Iterator[Plan]:
        """Yield the requests of one worker of flow `number`."""
        flow = self.flows[number]
        source = random.Random(f"{self.seed}/{number}/{worker}")
        index = 0
        while not flow.limit or index < flow.limit:
            yield self._plan(f"{number}.{worker}.{index}", flow, 0.0, source)
            index += 1

    def _arrivals(self, number: int, flow: Flow) -> list[Plan]:
        source = random.Random(f"{self.seed}/{number}")
        plans: list[Plan] = []
        at = flow.start_s
        end = min(flow.end_s or self.duration_s, self.duration_s)
        while True:
            at += source.expovariate(flow.rate)
            if at >= end:
                return plans
            plans.append(self._plan(f"{number}.{len(plans)}", flow, at, source))

    def _plan(self, tag: str, flow: Flow, at: float, source: random.Random) -> Plan:
        median = math.log(flow.mean) - flow.sigma**2 / 2
        length = min(max(source.lognormvariate(median, flow.sigma), 1.0), flow.largest)
        body: dict[str, Any]
        if flow.engine:
            body = self._chat(tag, flow, max(1, round(length)), source)
        else:
            body = {"trace": tag, "organisation": flow.organisation}
            body |= {"duration_ms": round(length, 1), "text": flow.marker}
        return Plan(tag, flow, at, body, source.randrange(1 << 30), orjson.dumps(body))

    def _chat(
        self, tag: str, flow: Flow, tokens: int, source: random.Random
    ) -> dict[str, Any]:
        # The system prompt is common to the organisation, so that prefixes are cached.
        system = " ".join([flow.organisation, *(WORDS * 3)])
        count = max(1, round(source.expovariate(1 / flow.prompt_words)))
        text = " ".join(source.choices(WORDS, k=min(count, 2000)))
        return {
            "model": flow.service,
            "max_tokens": int(flow.largest),
            "stream": source.random() < 0.5,
            "user": flow.organisation,
            "metadata": {"trace": tag},
            "messages": [
                {"role": "system", "content": system},
                {
                    "role": "user",
                    "content": f"{text} {flow.marker} {tag} answer_tokens={tokens}",
                },
            ],
        }


class Balancer:
    """Chooses a router for each request, as the platform's balancer does."""

    def __init__(self, urls: Sequence[str]) -> None:
        self.urls = list(urls)
        self._up = [True] * len(urls)

    def set_up(self, index: int, up: bool) -> None:
        """Take a router out, or put it back."""
        self._up[index] = up

    def choose(self, plan: Plan, attempt: int) -> int:
        """Return a router's index; resends go to another router when there is one."""
        count = len(self.urls)
        pinned = plan.flow.router
        first = (plan.spread if pinned is None else pinned) + attempt
        for offset in range(count):
            index = (first + offset) % count
            if self._up[index]:
                return index
        return first % count


@dataclass(slots=True)
class LoadResult:
    """Calls of one load and its span in seconds of the monotonic clock."""

    began: float
    until: float
    calls: list[CallRecord] = field(default_factory=list)


class LoadGenerator:
    """Sends a trace to routers and verifies each answer; it never retries by itself."""

    def __init__(self, trace: Trace, balancer: Balancer) -> None:
        self._trace = trace
        self._balancer = balancer
        self._session: aiohttp.ClientSession | None = None
        self._pending: set[asyncio.Task[None]] = set()
        self.result = LoadResult(0.0, 0.0)

    async def run(self) -> LoadResult:
        """Send the whole trace and return what the callers saw.

        Calls that have no answer `DRAIN_LIMIT_S` after the last arrival are given up
        and count as lost.
        """
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15.0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=5.0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, cookie_jar=aiohttp.DummyCookieJar()
        ) as self._session:
            began = time.monotonic()
            self.result = LoadResult(began, began + self._trace.duration_s)
            for number, flow in enumerate(self._trace.flows):
                for worker in range(flow.workers):
                    self._spawn(self._work(number, worker))
            for plan in self._trace.open_loop:
                delay = began + plan.at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                self._spawn(self._request(plan))
            await asyncio.sleep(max(0.0, self.result.until - time.monotonic()))
            await self._drain()
        return self.result

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _drain(self) -> None:
        deadline = time.monotonic() + DRAIN_LIMIT_S
        while self._pending and time.monotonic() < deadline:
            await asyncio.wait(self._pending, timeout=deadline - time.monotonic())
        for task in list(self._pending):
            task.cancel()
        await asyncio.gather(*self._pending, return_exceptions=True)

    async def _work(self, number: int, worker: int) -> None:
        flow = self._trace.flows[number]
        end = self.result.until
        if flow.end_s:
            end = min(end, self.result.began + flow.end_s)
        await asyncio.sleep(flow.start_s + RAMP_S * worker / flow.workers)
        for plan in self._trace.closed_loop(number, worker):
            if time.monotonic() >= end:
                return
            answered = await self._request(plan)
            if not answered:
                # A caller that is refused pauses, as a loop without delay would flood
                # the fleet with requests that were never part of the trace.
                await asyncio.sleep(0.1)

    async def _request(self, plan: Plan) -> bool:
        key = f"{int(time.time())}-{plan.tag}" if plan.flow.keyed else ""
        if not plan.flow.resends:
            return await self._attempt(plan, key, 0)
        attempts = [
            self._resend(plan, key, attempt) for attempt in range(plan.flow.resends + 1)
        ]
        return any(await asyncio.gather(*attempts))

    async def _resend(self, plan: Plan, key: str, attempt: int) -> bool:
        await asyncio.sleep(attempt * plan.flow.resend_after_s)
        return await self._attempt(plan, key, attempt)

    async def _attempt(self, plan: Plan, key: str, attempt: int) -> bool:
        assert self._session is not None
        flow = plan.flow
        target = self._balancer.choose(plan, attempt)
        call = CallRecord(plan.tag, flow.organisation, flow.pool, key, time.monotonic())
        call.attempt, call.target = attempt, target
        self.result.calls.append(call)
        headers = {
            "Authorization": f"Bearer {api_key(flow.organisation)}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        received = bytearray()
        try:
            async with self._session.post(
                self._balancer.urls[target] + plan.path,
                data=plan.encoded,
                headers=headers,
            ) as response:
                call.request_id = response.headers.get("X-Request-Id", "")
                async for part in response.content.iter_any():
                    call.first_byte = call.first_byte or time.monotonic()
                    received += part
                call.verdict = judge(plan, response, bytes(received), call)
        except aiohttp.ClientError:
            if call.first_byte is not None or call.request_id:
                call.verdict = Verdict.INCOMPLETE
        except OSError:
            call.verdict = Verdict.LOST
        finally:
            call.end = time.monotonic()
        return call.verdict is Verdict.ANSWERED


def judge(
    plan: Plan, response: aiohttp.ClientResponse, body: bytes, call: CallRecord
) -> Verdict:
    """Compare a whole response with the only right answer to the request."""
    if response.content_type == PROBLEM_TYPE:
        problem = orjson.loads(body)
        call.code, call.ran = str(problem.get("code")), str(problem.get("ran"))
        return Verdict.REFUSED
    if response.status != 200:
        call.code = f"status_{response.status}"
        return Verdict.REFUSED
    return judge_body(plan, body)


def judge_body(plan: Plan, body: bytes) -> Verdict:
    """Compare the body of a response with status 200 with the right answer."""
    if not plan.flow.engine:
        right = expected_answer("POST", plan.endpoint_path, plan.encoded)
        if body == right:
            return Verdict.ANSWERED
        return Verdict.INCOMPLETE if right.startswith(body) else Verdict.WRONG
    right_content = expected_content(plan.body)
    try:
        if plan.body["stream"]:
            content, complete = stream_content(body)
        else:
            answer = orjson.loads(body)
            content, complete = answer["choices"][0]["message"]["content"], True
    except (ValueError, KeyError, IndexError, TypeError):
        return Verdict.WRONG
    if complete:
        return Verdict.ANSWERED if content == right_content else Verdict.WRONG
    if right_content.startswith(content):
        return Verdict.INCOMPLETE
    return Verdict.WRONG


def stream_content(body: bytes) -> tuple[str, bool]:
    """Return the content of a stream and whether its end marker is its last event."""
    parts: list[str] = []
    done = False
    for event in body.split(b"\n\n"):
        data = event.removeprefix(b"data:").strip()
        if not event.startswith(b"data:"):
            done = done and not event.strip()
        elif data == b"[DONE]":
            done = True
        else:
            done = False
            parts.extend(
                choice["delta"].get("content") or ""
                for choice in orjson.loads(data).get("choices", ())
            )
    return "".join(parts), done
