"""Emulated language model engine with continuous batching."""

from __future__ import annotations

import asyncio
import re
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

import orjson
import xxhash
from aiohttp import web

from borageworks_emulator.endpoint import (
    IDEMPOTENCY_KEY,
    ORGANISATION,
    REQUEST_ID,
    RESUME_OFFSET,
    EmulatedEndpoint,
)
from borageworks_emulator.faults import Faults
from borageworks_emulator.recording import Recording, Run, RunOutcome

DEFAULT_MAX_TOKENS = 256
UNGUIDED_MAX_TOKENS = 64
CACHE_BLOCK_TOKENS = 16
PROMPT_TOKEN_UNITS = 0.1
GENERATED_TOKEN_UNITS = 1.0
# After a stall of the emulator's own process the scheduler catches up, so that capacity
# does not depend on how busy the machine is; a longer stall is skipped.
MAX_LATENESS_S = 0.25
_LENGTH = re.compile(r"answer_tokens=(\d+)")


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and limits of an engine.

    The token interval is `base_ms + per_slot_ms * running`, times `time_scale`.
    `batch_limit` requests run at most; `best_batch` of them give the most tokens per
    second within the token interval target.
    """

    base_ms: float = 20.0
    per_slot_ms: float = 1.6
    prompt_token_ms: float = 0.05
    batch_limit: int = 16
    cache_tokens: int = 32_768
    time_scale: float = 1.0

    @property
    def best_batch(self) -> int:
        """Batch that the central baseline holds."""
        return self.batch_limit

    @property
    def capacity(self) -> float:
        """Service units per second at the best batch, without prompts."""
        interval_ms = self.base_ms + self.per_slot_ms * self.best_batch
        return self.best_batch * 1000.0 / (interval_ms * self.time_scale)


def prompt_words(body: dict[str, Any]) -> list[str]:
    """Return the prompt tokens of a request: its words."""
    words: list[str] = []
    for message in body.get("messages", ()):
        content = message.get("content", "")
        if isinstance(content, list):
            content = " ".join(str(part.get("text", "")) for part in content)
        words.append(str(message.get("role", "")))
        words.extend(str(content).split())
    return words


def expected_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens of the only right answer to a request body.

    A text `answer_tokens=N` in the messages sets the length, which `max_tokens` limits;
    otherwise the length follows from a hash of the messages.
    """
    limit = int(
        body.get("max_tokens")
        or body.get("max_completion_tokens")
        or DEFAULT_MAX_TOKENS
    )
    source = orjson.dumps([body.get("messages"), limit], option=orjson.OPT_SORT_KEYS)
    seed = xxhash.xxh64_intdigest(source)
    marker = _LENGTH.search(source.decode())
    wanted = int(marker[1]) if marker else 1 + seed % UNGUIDED_MAX_TOKENS
    count = max(1, min(wanted, limit))
    state = seed | 1
    return [f"{(state * (2 * i + 1) >> 20) & 0xFFFFFF:06x} " for i in range(count)]


def expected_content(body: dict[str, Any]) -> str:
    """Return the content of the only right answer to a request body."""
    return "".join(expected_tokens(body))


class PrefixCache:
    """Least recently used blocks of prompt tokens, within a size in tokens."""

    def __init__(self, tokens: int) -> None:
        self._limit = tokens // CACHE_BLOCK_TOKENS
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def lookup(self, words: list[str]) -> int:
        """Return how many leading tokens are cached, and cache the whole prompt."""
        cached, chain, unbroken = 0, 0, True
        for start in range(0, len(words) - CACHE_BLOCK_TOKENS + 1, CACHE_BLOCK_TOKENS):
            block = " ".join(words[start : start + CACHE_BLOCK_TOKENS])
            chain = xxhash.xxh64_intdigest(block.encode(), chain)
            if chain in self._blocks:
                self._blocks.move_to_end(chain)
                cached += CACHE_BLOCK_TOKENS if unbroken else 0
            else:
                unbroken = False
                self._blocks[chain] = None
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return cached


@dataclass(slots=True, eq=False)
class _Job:
    run: Run
    words: list[str]
    tokens: list[str]
    first_token: int
    head: str
    limited: bool
    produced: int = 0
    cached: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    crashed: bool = False

    @property
    def finished(self) -> bool:
        return self.first_token + self.produced >= len(self.tokens)

    @property
    def usage(self) -> dict[str, object]:
        return {
            "prompt_tokens": len(self.words),
            "completion_tokens": len(self.tokens),
            "total_tokens": len(self.words) + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached},
        }

    def text(self, index: int) -> str:
        """Return the part of a produced token that the caller has not received."""
        token = self.tokens[self.first_token + index]
        return self.head if index == 0 and self.head else token


class EmulatedEngine(EmulatedEndpoint):
    """An engine that speaks chat completions.

    Parameters
    ----------
    name, pool
        Names for the recording.
    profile
        Speed and limits.
    faults
        Switches, which may be changed while the engine runs.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        profile: EngineProfile | None = None,
        faults: Faults | None = None,
    ) -> None:
        self.profile = profile or EngineProfile()
        super().__init__(Recording(name, pool, self.profile.capacity), faults)
        self._cache = PrefixCache(self.profile.cache_tokens)
        self._running: list[_Job] = []
        self._waiting: deque[_Job] = deque()
        self._arrival = asyncio.Event()
        self._prompt_tokens = 0
        self._interval_s = self._token_interval_s()

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a place in the batch."""
        return len(self._waiting)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen and start the scheduler."""
        await super().start(host, port)
        self._background.append(asyncio.create_task(self._schedule()))

    def _add_routes(self, application: web.Application) -> None:
        application.router.add_post("/v1/chat/completions", self._post_chat)

    def _load_report(self) -> dict[str, object]:
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "token_interval_ms": self._interval_s * 1000.0,
            "incarnation": self.incarnation,
        }

    def _end_all_runs(self) -> None:
        for job in (*self._running, *self._waiting):
            job.crashed = True
            job.changed.set()
            self.recording.finish(job.run, RunOutcome.CRASHED)
        self._running.clear()
        self._waiting.clear()
        self._cache = PrefixCache(self.profile.cache_tokens)

    def _token_interval_s(self) -> float:
        profile = self.profile
        milliseconds = profile.base_ms + profile.per_slot_ms * len(self._running)
        return milliseconds * profile.time_scale * self.faults.slowdown / 1000.0

    def _admit(self) -> None:
        """Move waiting requests into the free places of the batch.

        The prompt's service units are recorded at admission; its cost falls into the
        next step.
        """
        now = time.monotonic()
        while self._waiting and len(self._running) < self.profile.batch_limit:
            job = self._waiting.popleft()
            job.run.started = now
            job.cached = self._cache.lookup(job.words)
            tokens = len(job.words) - job.cached + job.first_token
            self._prompt_tokens += tokens
            self.recording.serve(job.run, now, tokens * PROMPT_TOKEN_UNITS)
            self._running.append(job)
            self._arrival.set()

    def _prompt_s(self) -> float:
        """Return the seconds that newly admitted prompts take, and forget them."""
        tokens, self._prompt_tokens = self._prompt_tokens, 0
        scale = self.profile.time_scale * self.faults.slowdown / 1000.0
        return tokens * self.profile.prompt_token_ms * scale

    async def _schedule(self) -> None:
        due = time.monotonic()
        while True:
            if not self._running:
                self._arrival.clear()
                await self._arrival.wait()
                due = time.monotonic()
            # Requests admitted during a step join the next one.
            batch = list(self._running)
            self._interval_s = self._token_interval_s()
            due += self._interval_s + self._prompt_s()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            now = time.monotonic()
            due = max(due, now - MAX_LATENESS_S)
            for job in batch:
                if job.run.outcome is not RunOutcome.OPEN:
                    continue
                job.produced += 1
                self.recording.serve(job.run, now, GENERATED_TOKEN_UNITS)
                if job.finished:
                    self.recording.finish(job.run, RunOutcome.COMPLETE)
                job.changed.set()
            self._running = [job for job in self._running if not job.finished]
            self._admit()

    def _cancel(self, job: _Job) -> None:
        if job in self._running:
            self._running.remove(job)
            self._admit()
        elif job in self._waiting:
            self._waiting.remove(job)
        self.recording.finish(job.run, RunOutcome.CANCELLED)

    async def _post_chat(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        number = self._next_request()
        request_id = request.headers.get(
            REQUEST_ID, f"{self.recording.endpoint}-{number}"
        )
        if self._hit(self.faults.refuse_every, number, "refuse"):
            return _error(503, "overloaded", request_id)
        try:
            body = orjson.loads(raw)
            tokens = expected_tokens(body)
            words = prompt_words(body)
            offset = int(request.headers.get(RESUME_OFFSET, "0"))
        except (ValueError, AttributeError, TypeError):
            return _error(400, "malformed request", request_id)
        first, head = _resume_point(tokens, offset)
        run = self.recording.arrive(
            request.headers.get(ORGANISATION, str(body.get("user", ""))),
            request_id,
            request.headers.get(IDEMPOTENCY_KEY, ""),
            str((body.get("metadata") or {}).get("trace", "")),
        )
        run.resumed = offset > 0
        if self.faults.crash_marker and self.faults.crash_marker in raw:
            run.started = time.monotonic()
            self.recording.finish(run, RunOutcome.CRASHED)
            self.crash()
            await asyncio.sleep(self.faults.down_s)
            return _error(500, "crashed", request_id)
        limit = body.get("max_tokens") or body.get("max_completion_tokens")
        job = _Job(run, words, tokens, first, head, len(tokens) == limit)
        if not job.finished:
            self._waiting.append(job)
            self._admit()
        else:
            self.recording.finish(run, RunOutcome.COMPLETE)
        answered = job
        try:
            answered = await self._exchange(job)
            if self._hit(self.faults.late_every, number, "late"):
                await asyncio.sleep(self.faults.late_s)
            if self._hit(self.faults.garbage_every, number, "garbage"):
                return web.Response(
                    body=b"\x00\xff{not an answer",
                    content_type="application/json",
                    headers={REQUEST_ID: request_id},
                )
            if body.get("stream"):
                return await self._stream(request, body, answered, number)
            return await self._whole(body, answered)
        finally:
            self._cancel(answered)

    async def _whole(self, body: dict[str, Any], job: _Job) -> web.Response:
        while not job.finished:
            job.changed.clear()
            await job.changed.wait()
            if job.crashed:
                # The connection is broken, so this answer is never written.
                return web.Response()
        content = "".join(job.text(i) for i in range(job.produced))
        answer = {
            "id": job.run.request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": body.get("model", ""),
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": content},
                    "finish_reason": "length" if job.limited else "stop",
                }
            ],
            "usage": job.usage,
        }
        return web.Response(
            body=orjson.dumps(answer),
            content_type="application/json",
            headers={REQUEST_ID: job.run.request_id},
        )

    async def _stream(
        self, request: web.Request, body: dict[str, Any], job: _Job, number: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                REQUEST_ID: job.run.request_id,
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
            }
        )
        if RESUME_OFFSET in request.headers:
            # The echo tells the router that the stream starts at this byte.
            response.headers[RESUME_OFFSET] = request.headers[RESUME_OFFSET]
        await response.prepare(request)
        cut = self.faults.cut_every > 0 and number % self.faults.cut_every == 0
        chunk: dict[str, Any] = {
            "id": job.run.request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": body.get("model", ""),
        }
        start, end = _chunk_frame(chunk)
        sent = 0
        while True:
            job.changed.clear()
            batch = bytearray()
            while sent < job.produced:
                if cut and sent >= self.faults.cut_chunks:
                    await response.write(bytes(batch))
                    return self._cut(request, response, job)
                batch += start + job.text(sent).encode() + end
                sent += 1
            if batch:
                await response.write(bytes(batch))
            if job.finished:
                break
            await job.changed.wait()
            if job.crashed:
                # The connection is broken, so this answer is never written.
                return web.Response()
        reason = "length" if job.limited else "stop"
        chunk["choices"] = [{"index": 0, "delta": {}, "finish_reason": reason}]
        tail = b"data: " + orjson.dumps(chunk) + b"\n\n"
        if (body.get("stream_options") or {}).get("include_usage"):
            chunk["choices"], chunk["usage"] = [], job.usage
            tail += b"data: " + orjson.dumps(chunk) + b"\n\n"
        await response.write(tail + b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _cut(
        self, request: web.Request, response: web.StreamResponse, job: _Job
    ) -> web.StreamResponse:
        """Break the connection without the stream's end marker."""
        self.faults.note("cut")
        self.recording.finish(job.run, RunOutcome.CUT)
        if request.transport is not None:
            request.transport.close()
        return response


def _chunk_frame(chunk: dict[str, Any]) -> tuple[bytes, bytes]:
    """Return the bytes around a token; tokens need no JSON escapes."""
    choices = [{"index": 0, "delta": {"content": "@"}, "finish_reason": None}]
    start, end = orjson.dumps({**chunk, "choices": choices}).rsplit(b"@", 1)
    return b"data: " + start, end + b"\n\n"


def _resume_point(tokens: list[str], offset: int) -> tuple[int, str]:
    """Return the first token to send and its part after a byte offset."""
    for index, token in enumerate(tokens):
        if offset < len(token):
            return index, token[offset:] if offset else ""
        offset -= len(token)
    return len(tokens), ""


def _error(status: int, message: str, request_id: str) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps({"error": {"message": message, "type": "engine_error"}}),
        content_type="application/json",
        headers={REQUEST_ID: request_id},
    )
