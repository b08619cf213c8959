"""Load generator: sends the requests of a trace and verifies each response."""

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
from borageworks_emulator.service import expected_response

DRAIN_TIMEOUT_S = 60.0
# Hundreds of connections opened at once overflow a listening socket's backlog, and some
# callers then wait 1 s for the retransmission of the SYN.
WORKER_RAMP_UP_S = 0.5
PROBLEM_CONTENT_TYPE = "application/problem+json"
VOCABULARY = ("timber", "quote", "depot", "order", "route", "shift", "record", "clean")


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
        Requests per second of Poisson arrivals (open loop); 0 for none.
    workers
        Number of callers that send a request when the previous one ended (closed
        loop).
    length_mean, length_sigma, length_max
        Mean, log standard deviation and upper limit of the lognormal response length in
        tokens, or of the run duration of a plain service in milliseconds.
    mean_prompt_words
        Mean prompt length in words.
    router_index
        Index of the only router that the flow uses; None for all routers.
    with_idempotency_key
        Whether requests carry an Idempotency-Key.
    resends, resend_after_s
        Number of times that each request is sent again with the same key, and the
        interval between the attempts.
    start_s, end_s
        Start and end of the flow in seconds from the start of the load; `end_s` 0 is
        the end of the load.
    marker
        Text in each body that can trigger a fault.
    max_requests
        Maximum number of requests of each worker; 0 is unlimited.
    """

    organisation: str
    service: str
    pool: str
    engine: bool = True
    rate: float = 0.0
    workers: int = 0
    length_mean: float = 8.0
    length_sigma: float = 1.0
    length_max: float = 400.0
    mean_prompt_words: float = 24.0
    router_index: int | None = None
    with_idempotency_key: bool = False
    resends: int = 0
    resend_after_s: float = 0.5
    start_s: float = 0.0
    end_s: float = 0.0
    marker: str = ""
    max_requests: int = 0


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of a trace; `at` is in seconds from the start of the load."""

    tag: str
    flow: Flow
    at: float
    body: dict[str, Any]
    router_choice: int
    encoded_body: bytes

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
    """All requests of a load, reproducible from flows, seed and duration.

    Closed-loop requests are generated on demand, in a separate sequence per worker.
    """

    def __init__(self, flows: Sequence[Flow], seed: int, duration_s: float) -> None:
        self.flows = tuple(flows)
        self.seed = seed
        self.duration_s = duration_s
        self.open_loop = list(
            heapq.merge(
                *(
                    self._arrivals(flow_index, flow)
                    for flow_index, flow in enumerate(flows)
                    if flow.rate > 0
                ),
                key=lambda planned: planned.at,
            )
        )

    def closed_loop(
        self, flow_index: int, worker_index: int
    ) -> Iterator[PlannedRequest]:
        """Yield the requests of one worker of the flow at `flow_index`."""
        flow = self.flows[flow_index]
        rng = random.Random(f"{self.seed}/{flow_index}/{worker_index}")
        index = 0
        while not flow.max_requests or index < flow.max_requests:
            yield self._plan_request(
                f"{flow_index}.{worker_index}.{index}", flow, 0.0, rng
            )
            index += 1

    def _arrivals(self, flow_index: int, flow: Flow) -> list[PlannedRequest]:
        rng = random.Random(f"{self.seed}/{flow_index}")
        planned_requests: list[PlannedRequest] = []
        at = flow.start_s
        end = min(flow.end_s or self.duration_s, self.duration_s)
        while True:
            at += rng.expovariate(flow.rate)
            if at >= end:
                return planned_requests
            planned_requests.append(
                self._plan_request(
                    f"{flow_index}.{len(planned_requests)}", flow, at, rng
                )
            )

    def _plan_request(
        self, tag: str, flow: Flow, at: float, rng: random.Random
    ) -> PlannedRequest:
        log_mean = math.log(flow.length_mean) - flow.length_sigma**2 / 2
        length = min(
            max(rng.lognormvariate(log_mean, flow.length_sigma), 1.0), flow.length_max
        )
        body: dict[str, Any]
        if flow.engine:
            body = self._chat_body(tag, flow, max(1, round(length)), rng)
        else:
            body = {"trace": tag, "organisation": flow.organisation}
            body |= {"duration_ms": round(length, 1), "text": flow.marker}
        return PlannedRequest(
            tag, flow, at, body, rng.randrange(1 << 30), orjson.dumps(body)
        )

    def _chat_body(
        self, tag: str, flow: Flow, tokens: int, rng: random.Random
    ) -> dict[str, Any]:
        # All requests of an organisation share a system prompt, which can be cached.
        system_prompt = " ".join([flow.organisation, *(VOCABULARY * 3)])
        word_count = max(1, round(rng.expovariate(1 / flow.mean_prompt_words)))
        prompt = " ".join(rng.choices(VOCABULARY, k=min(word_count, 2000)))
        return {
            "model": flow.service,
            "max_tokens": int(flow.length_max),
            "stream": rng.random() < 0.5,
            "user": flow.organisation,
            "metadata": {"trace": tag},
            "messages": [
                {"role": "system", "content": system_prompt},
                {
                    "role": "user",
                    "content": f"{prompt} {flow.marker} {tag} answer_tokens={tokens}",
                },
            ],
        }


class Balancer:
    """Chooses a router for each request, as the load balancer of the platform does."""

    def __init__(self, urls: Sequence[str]) -> None:
        self.urls = list(urls)
        self._available = [True] * len(urls)

    def set_available(self, index: int, available: bool) -> None:
        """Remove a router from the rotation, or add it again."""
        self._available[index] = available

    def choose(self, planned: PlannedRequest, attempt: int) -> int:
        """Return a router's index; resends go to another router if there is one."""
        router_count = len(self.urls)
        fixed_router = planned.flow.router_index
        first_index = (
            planned.router_choice if fixed_router is None else fixed_router
        ) + attempt
        for offset in range(router_count):
            index = (first_index + offset) % router_count
            if self._available[index]:
                return index
        return first_index % router_count


@dataclass(slots=True)
class LoadResult:
    """Calls of one load run, with its start and end on the monotonic clock."""

    started_at: float
    ends_at: float
    calls: list[CallRecord] = field(default_factory=list)


class LoadGenerator:
    """Sends a trace to routers and verifies each response; it never retries."""

    def __init__(self, trace: Trace, balancer: Balancer) -> None:
        self._trace = trace
        self._balancer = balancer
        self._session: aiohttp.ClientSession | None = None
        self._pending_tasks: set[asyncio.Task[None]] = set()
        self.result = LoadResult(0.0, 0.0)

    async def run(self) -> LoadResult:
        """Send the whole trace and return the calls as the callers saw them.

        Calls without a response `DRAIN_TIMEOUT_S` after the end of the trace are
        cancelled and count as lost.
        """
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15.0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=5.0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, cookie_jar=aiohttp.DummyCookieJar()
        ) as self._session:
            started_at = time.monotonic()
            self.result = LoadResult(started_at, started_at + self._trace.duration_s)
            for flow_index, flow in enumerate(self._trace.flows):
                for worker_index in range(flow.workers):
                    self._spawn(self._run_worker(flow_index, worker_index))
            for planned in self._trace.open_loop:
                delay = started_at + planned.at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                self._spawn(self._send_request(planned))
            await asyncio.sleep(max(0.0, self.result.ends_at - time.monotonic()))
            await self._drain()
        return self.result

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._pending_tasks.add(task)
        task.add_done_callback(self._pending_tasks.discard)

    async def _drain(self) -> None:
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while self._pending_tasks and time.monotonic() < deadline:
            await asyncio.wait(self._pending_tasks, timeout=deadline - time.monotonic())
        for task in list(self._pending_tasks):
            task.cancel()
        await asyncio.gather(*self._pending_tasks, return_exceptions=True)

    async def _run_worker(self, flow_index: int, worker_index: int) -> None:
        flow = self._trace.flows[flow_index]
        end = self.result.ends_at
        if flow.end_s:
            end = min(end, self.result.started_at + flow.end_s)
        await asyncio.sleep(
            flow.start_s + WORKER_RAMP_UP_S * worker_index / flow.workers
        )
        for planned in self._trace.closed_loop(flow_index, worker_index):
            if time.monotonic() >= end:
                return
            succeeded = await self._send_request(planned)
            if not succeeded:
                # Without a pause after each refusal or failure, callers would flood the
                # fleet with more requests than the trace intends.
                await asyncio.sleep(0.1)

    async def _send_request(self, planned: PlannedRequest) -> bool:
        key = (
            f"{int(time.time())}-{planned.tag}"
            if planned.flow.with_idempotency_key
            else ""
        )
        if not planned.flow.resends:
            return await self._send_attempt(planned, key, 0)
        attempts = [
            self._send_attempt_later(planned, key, attempt)
            for attempt in range(planned.flow.resends + 1)
        ]
        return any(await asyncio.gather(*attempts))

    async def _send_attempt_later(
        self, planned: PlannedRequest, key: str, attempt: int
    ) -> bool:
        await asyncio.sleep(attempt * planned.flow.resend_after_s)
        return await self._send_attempt(planned, key, attempt)

    async def _send_attempt(
        self, planned: PlannedRequest, key: str, attempt: int
    ) -> bool:
        assert self._session is not None
        flow = planned.flow
        router_index = self._balancer.choose(planned, attempt)
        call = CallRecord(
            planned.tag, flow.organisation, flow.pool, key, time.monotonic()
        )
        call.attempt, call.router_index = attempt, router_index
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
                self._balancer.urls[router_index] + planned.path,
                data=planned.encoded_body,
                headers=headers,
            ) as response:
                call.request_id = response.headers.get("X-Request-Id", "")
                async for chunk in response.content.iter_any():
                    call.first_byte = call.first_byte or time.monotonic()
                    received += chunk
                call.verdict = response_verdict(
                    planned, response, bytes(received), call
                )
        except aiohttp.ClientError:
            if call.first_byte is not None or call.request_id:
                call.verdict = Verdict.INCOMPLETE
        except OSError:
            call.verdict = Verdict.LOST
        finally:
            call.end = time.monotonic()
        return call.verdict is Verdict.ANSWERED


def response_verdict(
    planned: PlannedRequest,
    response: aiohttp.ClientResponse,
    body: bytes,
    call: CallRecord,
) -> Verdict:
    """Compare a complete response with the only correct one for the request."""
    if response.content_type == PROBLEM_CONTENT_TYPE:
        problem = orjson.loads(body)
        call.code, call.ran = str(problem.get("code")), str(problem.get("ran"))
        return Verdict.REFUSED
    if response.status != 200:
        call.code = f"status_{response.status}"
        return Verdict.REFUSED
    return body_verdict(planned, body)


def body_verdict(planned: PlannedRequest, body: bytes) -> Verdict:
    """Compare the body of a response with status 200 with the expected one."""
    if not planned.flow.engine:
        expected = expected_response(
            "POST", planned.endpoint_path, planned.encoded_body
        )
        if body == expected:
            return Verdict.ANSWERED
        return Verdict.INCOMPLETE if expected.startswith(body) else Verdict.WRONG
    expected_text = expected_content(planned.body)
    try:
        if planned.body["stream"]:
            content, complete = stream_content(body)
        else:
            completion = orjson.loads(body)
            content, complete = completion["choices"][0]["message"]["content"], True
    except (ValueError, KeyError, IndexError, TypeError):
        return Verdict.WRONG
    if complete:
        return Verdict.ANSWERED if content == expected_text else Verdict.WRONG
    if expected_text.startswith(content):
        return Verdict.INCOMPLETE
    return Verdict.WRONG


def stream_content(body: bytes) -> tuple[str, bool]:
    """Return the content of a stream and whether its end marker is its last event."""
    contents: list[str] = []
    done = False
    for event in body.split(b"\n\n"):
        data = event.removeprefix(b"data:").strip()
        if not event.startswith(b"data:"):
            done = done and not event.strip()
        elif data == b"[DONE]":
            done = True
        else:
            done = False
            contents.extend(
                choice["delta"].get("content") or ""
                for choice in orjson.loads(data).get("choices", ())
            )
    return "".join(contents), done
