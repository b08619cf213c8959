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
    IDEMPOTENCY_KEY_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    RESUME_OFFSET_HEADER,
    EmulatedEndpoint,
)
from borageworks_emulator.faults import Faults
from borageworks_emulator.recording import Recording, Run, RunOutcome

DEFAULT_MAX_TOKENS = 256
HASHED_LENGTH_MAX_TOKENS = 64
CACHE_BLOCK_TOKENS = 16
PROMPT_TOKEN_UNITS = 0.1
GENERATED_TOKEN_UNITS = 1.0
# After a stall of the emulator process the scheduler catches up, so that capacity does
# not depend on the load of the machine. Time beyond this limit is skipped.
MAX_CATCH_UP_S = 0.25
_LENGTH_PATTERN = re.compile(r"answer_tokens=(\d+)")


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and limits of an engine.

    The token interval is `base_ms + per_slot_ms * running`, times `time_scale`.
    At most `batch_limit` requests run; `best_batch` of them give the most tokens per
    second within the token interval target. `cache_tokens` limits the prefix cache.
    """

    base_ms: float = 20.0
    per_slot_ms: float = 1.6
    prefill_token_ms: float = 0.05
    batch_limit: int = 16
    cache_tokens: int = 32_768
    time_scale: float = 1.0

    @property
    def best_batch(self) -> int:
        """Batch size that the central baseline uses as the window."""
        return self.batch_limit

    @property
    def capacity(self) -> float:
        """Service units per second at the best batch size, without prefill."""
        interval_ms = self.base_ms + self.per_slot_ms * self.best_batch
        return self.best_batch * 1000.0 / (interval_ms * self.time_scale)


def prompt_words(body: dict[str, Any]) -> list[str]:
    """Return the prompt tokens of a request; each word is one token."""
    words: list[str] = []
    for message in body.get("messages", ()):
        content = message.get("content", "")
        if isinstance(content, list):
            content = " ".join(str(part.get("text", "")) for part in content)
        words.append(str(message.get("role", "")))
        words.extend(str(content).split())
    return words


def expected_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens of the only correct response to a request body.

    The text `answer_tokens=N` in the messages sets the length, up to `max_tokens`.
    Without it the length is derived from a hash of the messages.
    """
    limit = int(
        body.get("max_tokens")
        or body.get("max_completion_tokens")
        or DEFAULT_MAX_TOKENS
    )
    encoded_messages = orjson.dumps(
        [body.get("messages"), limit], option=orjson.OPT_SORT_KEYS
    )
    seed = xxhash.xxh64_intdigest(encoded_messages)
    length_match = _LENGTH_PATTERN.search(encoded_messages.decode())
    length = (
        int(length_match[1]) if length_match else 1 + seed % HASHED_LENGTH_MAX_TOKENS
    )
    count = max(1, min(length, limit))
    state = seed | 1
    return [f"{(state * (2 * i + 1) >> 20) & 0xFFFFFF:06x} " for i in range(count)]


def expected_content(body: dict[str, Any]) -> str:
    """Return the content of the only correct response to a request body."""
    return "".join(expected_tokens(body))


class PrefixCache:
    """LRU cache of prompt token blocks, limited to a number of tokens."""

    def __init__(self, tokens: int) -> None:
        self._max_blocks = tokens // CACHE_BLOCK_TOKENS
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def lookup(self, words: list[str]) -> int:
        """Return the number of cached leading tokens and cache the whole prompt."""
        cached_tokens, chained_hash, contiguous = 0, 0, True
        for start in range(0, len(words) - CACHE_BLOCK_TOKENS + 1, CACHE_BLOCK_TOKENS):
            block = " ".join(words[start : start + CACHE_BLOCK_TOKENS])
            chained_hash = xxhash.xxh64_intdigest(block.encode(), chained_hash)
            if chained_hash in self._blocks:
                self._blocks.move_to_end(chained_hash)
                cached_tokens += CACHE_BLOCK_TOKENS if contiguous else 0
            else:
                contiguous = False
                self._blocks[chained_hash] = None
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return cached_tokens


@dataclass(slots=True, eq=False)
class _Job:
    run: Run
    words: list[str]
    tokens: list[str]
    first_token_index: int
    first_token_rest: str
    at_token_limit: bool
    generated_count: int = 0
    cached_tokens: int = 0
    progressed: asyncio.Event = field(default_factory=asyncio.Event)
    crashed: bool = False

    @property
    def finished(self) -> bool:
        return self.first_token_index + self.generated_count >= len(self.tokens)

    @property
    def usage(self) -> dict[str, object]:
        return {
            "prompt_tokens": len(self.words),
            "completion_tokens": len(self.tokens),
            "total_tokens": len(self.words) + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def unsent_text(self, index: int) -> str:
        """Return the text of a generated token that the caller has not received."""
        token = self.tokens[self.first_token_index + index]
        return self.first_token_rest if index == 0 and self.first_token_rest else token


class EmulatedEngine(EmulatedEndpoint):
    """Language model engine with the chat completions API.

    Parameters
    ----------
    name, pool
        Names for the recording.
    profile
        Speed and limits.
    faults
        Fault switches, which may be changed while the engine runs.
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
        self._pending_prefill_tokens = 0
        self._last_token_interval_s = self._token_interval_s()

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot in the batch."""
        return len(self._waiting)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen and start the scheduler."""
        await super().start(host, port)
        self._background_tasks.append(asyncio.create_task(self._schedule()))

    def _add_routes(self, application: web.Application) -> None:
        application.router.add_post("/v1/chat/completions", self._post_chat)

    def _load_report(self) -> dict[str, object]:
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "token_interval_ms": self._last_token_interval_s * 1000.0,
            "incarnation": self.incarnation,
        }

    def _drop_all_requests(self) -> None:
        for job in (*self._running, *self._waiting):
            job.crashed = True
            job.progressed.set()
            self.recording.record_end(job.run, RunOutcome.CRASHED)
        self._running.clear()
        self._waiting.clear()
        self._cache = PrefixCache(self.profile.cache_tokens)

    def _token_interval_s(self) -> float:
        profile = self.profile
        milliseconds = profile.base_ms + profile.per_slot_ms * len(self._running)
        return milliseconds * profile.time_scale * self.faults.slowdown / 1000.0

    def _admit(self) -> None:
        """Move waiting requests into the free slots of the batch.

        The service units of prefill are recorded at admission; its duration is added to
        the next step.
        """
        now = time.monotonic()
        while self._waiting and len(self._running) < self.profile.batch_limit:
            job = self._waiting.popleft()
            job.run.started = now
            job.cached_tokens = self._cache.lookup(job.words)
            prefill_tokens = len(job.words) - job.cached_tokens + job.first_token_index
            self._pending_prefill_tokens += prefill_tokens
            self.recording.record_units(
                job.run, now, prefill_tokens * PROMPT_TOKEN_UNITS
            )
            self._running.append(job)
            self._arrival.set()

    def _take_pending_prefill_s(self) -> float:
        """Return the prefill time of newly admitted prompts and reset it."""
        tokens, self._pending_prefill_tokens = self._pending_prefill_tokens, 0
        scale = self.profile.time_scale * self.faults.slowdown / 1000.0
        return tokens * self.profile.prefill_token_ms * scale

    async def _schedule(self) -> None:
        step_end = time.monotonic()
        while True:
            if not self._running:
                self._arrival.clear()
                await self._arrival.wait()
                step_end = time.monotonic()
            # Requests admitted during a step join the next one.
            batch = list(self._running)
            self._last_token_interval_s = self._token_interval_s()
            step_end += self._last_token_interval_s + self._take_pending_prefill_s()
            await asyncio.sleep(max(0.0, step_end - time.monotonic()))
            now = time.monotonic()
            step_end = max(step_end, now - MAX_CATCH_UP_S)
            for job in batch:
                if job.run.outcome is not RunOutcome.OPEN:
                    continue
                job.generated_count += 1
                self.recording.record_units(job.run, now, GENERATED_TOKEN_UNITS)
                if job.finished:
                    self.recording.record_end(job.run, RunOutcome.COMPLETE)
                job.progressed.set()
            self._running = [job for job in self._running if not job.finished]
            self._admit()

    def _cancel(self, job: _Job) -> None:
        if job in self._running:
            self._running.remove(job)
            self._admit()
        elif job in self._waiting:
            self._waiting.remove(job)
        self.recording.record_end(job.run, RunOutcome.CANCELLED)

    async def _post_chat(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        number = self._next_request_number()
        request_id = request.headers.get(
            REQUEST_ID_HEADER, f"{self.recording.endpoint}-{number}"
        )
        if self._fault_due(self.faults.refuse_every, number, "refuse"):
            return _error(503, "overloaded", request_id)
        try:
            body = orjson.loads(raw)
            tokens = expected_tokens(body)
            words = prompt_words(body)
            offset = int(request.headers.get(RESUME_OFFSET_HEADER, "0"))
        except (ValueError, AttributeError, TypeError):
            return _error(400, "malformed request", request_id)
        first_token_index, first_token_rest = _resume_point(tokens, offset)
        run = self.recording.record_arrival(
            request.headers.get(ORGANISATION_HEADER, str(body.get("user", ""))),
            request_id,
            request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            str((body.get("metadata") or {}).get("trace", "")),
        )
        run.resumed = offset > 0
        if self.faults.crash_marker and self.faults.crash_marker in raw:
            run.started = time.monotonic()
            self.recording.record_end(run, RunOutcome.CRASHED)
            self.crash()
            await asyncio.sleep(self.faults.down_s)
            return _error(500, "crashed", request_id)
        limit = body.get("max_tokens") or body.get("max_completion_tokens")
        job = _Job(
            run,
            words,
            tokens,
            first_token_index,
            first_token_rest,
            len(tokens) == limit,
        )
        if not job.finished:
            self._waiting.append(job)
            self._admit()
        else:
            self.recording.record_end(run, RunOutcome.COMPLETE)
        served_job = job
        try:
            served_job = await self._exchange_response(job)
            if self._fault_due(self.faults.delay_every, number, "late"):
                await asyncio.sleep(self.faults.delay_s)
            if self._fault_due(self.faults.garbage_every, number, "garbage"):
                return web.Response(
                    body=b"\x00\xff{not an answer",
                    content_type="application/json",
                    headers={REQUEST_ID_HEADER: request_id},
                )
            if body.get("stream"):
                return await self._respond_stream(request, body, served_job, number)
            return await self._respond_complete(body, served_job)
        finally:
            self._cancel(served_job)

    async def _respond_complete(self, body: dict[str, Any], job: _Job) -> web.Response:
        while not job.finished:
            job.progressed.clear()
            await job.progressed.wait()
            if job.crashed:
                # The connection is aborted, so this response is never written.
                return web.Response()
        content = "".join(job.unsent_text(i) for i in range(job.generated_count))
        completion = {
            "id": job.run.request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": body.get("model", ""),
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": content},
                    "finish_reason": "length" if job.at_token_limit else "stop",
                }
            ],
            "usage": job.usage,
        }
        return web.Response(
            body=orjson.dumps(completion),
            content_type="application/json",
            headers={REQUEST_ID_HEADER: job.run.request_id},
        )

    async def _respond_stream(
        self, request: web.Request, body: dict[str, Any], job: _Job, number: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                REQUEST_ID_HEADER: job.run.request_id,
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
            }
        )
        if RESUME_OFFSET_HEADER in request.headers:
            # The echoed header confirms that the stream starts at this byte.
            response.headers[RESUME_OFFSET_HEADER] = request.headers[
                RESUME_OFFSET_HEADER
            ]
        await response.prepare(request)
        cut = self.faults.cut_every > 0 and number % self.faults.cut_every == 0
        chunk: dict[str, Any] = {
            "id": job.run.request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": body.get("model", ""),
        }
        frame_start, frame_end = _chunk_frame(chunk)
        sent_count = 0
        while True:
            job.progressed.clear()
            pending_events = bytearray()
            while sent_count < job.generated_count:
                if cut and sent_count >= self.faults.cut_chunks:
                    await response.write(bytes(pending_events))
                    return self._cut_stream(request, response, job)
                pending_events += (
                    frame_start + job.unsent_text(sent_count).encode() + frame_end
                )
                sent_count += 1
            if pending_events:
                await response.write(bytes(pending_events))
            if job.finished:
                break
            await job.progressed.wait()
            if job.crashed:
                # The connection is aborted, so this response is never written.
                return web.Response()
        finish_reason = "length" if job.at_token_limit else "stop"
        chunk["choices"] = [{"index": 0, "delta": {}, "finish_reason": finish_reason}]
        final_events = b"data: " + orjson.dumps(chunk) + b"\n\n"
        if (body.get("stream_options") or {}).get("include_usage"):
            chunk["choices"], chunk["usage"] = [], job.usage
            final_events += b"data: " + orjson.dumps(chunk) + b"\n\n"
        await response.write(final_events + b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _cut_stream(
        self, request: web.Request, response: web.StreamResponse, job: _Job
    ) -> web.StreamResponse:
        """Close the connection before the stream's end marker."""
        self.faults.count_applied("cut")
        self.recording.record_end(job.run, RunOutcome.CUT)
        if request.transport is not None:
            request.transport.close()
        return response


def _chunk_frame(chunk: dict[str, Any]) -> tuple[bytes, bytes]:
    """Return the bytes around a token; tokens need no JSON escaping."""
    choices = [{"index": 0, "delta": {"content": "@"}, "finish_reason": None}]
    start, end = orjson.dumps({**chunk, "choices": choices}).rsplit(b"@", 1)
    return b"data: " + start, end + b"\n\n"


def _resume_point(tokens: list[str], offset: int) -> tuple[int, str]:
    """Return the index of the first token to send and its text after the offset."""
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
        headers={REQUEST_ID_HEADER: request_id},
    )
