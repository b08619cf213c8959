"""Tests of the emulated engine."""

import asyncio

import aiohttp
import orjson
import testtools

from borageworks.commands.loop import run_loop
from borageworks_emulator.engine import (
    EmulatedEngine,
    EngineProfile,
    PrefixCache,
    expected_content,
)
from borageworks_emulator.recording import RunOutcome
from borageworks_emulator.tests.waiting import wait_until

FAST_PROFILE = EngineProfile(base_ms=0.5, per_slot_ms=0.1, prefill_token_ms=0.0)


def _chat(text, **fields):
    return {
        "model": "m",
        "max_tokens": 50,
        "user": "org-1",
        "metadata": {"trace": "7"},
        "messages": [{"role": "user", "content": text}],
        **fields,
    }


def _events(raw):
    return [
        line.removeprefix(b"data: ")
        for line in raw.split(b"\n\n")
        if line.startswith(b"data: ")
    ]


def _stream_content(raw):
    chunks = [orjson.loads(event) for event in _events(raw) if event != b"[DONE]"]
    return "".join(
        choice["delta"].get("content", "") for c in chunks for choice in c["choices"]
    )


def _run_with_engine(case, profile=FAST_PROFILE):
    async def main():
        engine = EmulatedEngine("e1", "models", profile)
        await engine.start()
        try:
            async with aiohttp.ClientSession(
                f"http://127.0.0.1:{engine.port}"
            ) as session:
                return await case(engine, session)
        finally:
            await engine.stop()

    # The commands run on uvloop, whose transports differ from those of asyncio.
    return run_loop(main())


async def _post(session, body, **headers):
    async with session.post(
        "/v1/chat/completions", json=body, headers=headers
    ) as response:
        return response, await response.read()


class EngineTest(testtools.TestCase):
    def test_complete_response_has_the_expected_content(self):
        """Guards against a response that the load generator cannot verify."""
        body = _chat("hello answer_tokens=9")

        async def case(engine, session):
            response, raw = await _post(session, body, **{"X-Request-Id": "r1"})
            return response.headers["X-Request-Id"], orjson.loads(raw), engine

        request_id, completion, engine = _run_with_engine(case)
        self.assertEqual("r1", request_id)
        content = completion["choices"][0]["message"]["content"]
        self.assertEqual(expected_content(body), content)
        self.assertEqual(9, completion["usage"]["completion_tokens"])
        [run] = engine.recording.runs
        self.assertEqual(
            ("org-1", "r1", "7"), (run.organisation, run.request_id, run.tag)
        )
        self.assertEqual(RunOutcome.COMPLETE, run.outcome)
        self.assertAlmostEqual(9 + 0.1 * 3, run.units)

    def test_stream_has_one_token_per_chunk_and_an_end_marker(self):
        """Guards against a stream whose end a router cannot detect."""
        body = _chat(
            "s answer_tokens=5", stream=True, stream_options={"include_usage": True}
        )
        raw = _run_with_engine(lambda engine, session: _post(session, body))[1]
        self.assertEqual(b"[DONE]", _events(raw)[-1])
        self.assertEqual(5 + 3, len(_events(raw)))
        self.assertEqual(expected_content(body), _stream_content(raw))

    def test_resume_sends_the_rest_from_any_byte(self):
        """Guards against lost or repeated bytes when a stream is resumed."""
        body = _chat("resume answer_tokens=6", stream=True)
        content = expected_content(body)

        async def case(engine, session):
            return [
                _stream_content(
                    (await _post(session, body, **{"Resume-Offset": str(offset)}))[1]
                )
                for offset in range(len(content) + 1)
            ]

        remainders = _run_with_engine(case)
        self.assertEqual(
            [content[offset:] for offset in range(len(content) + 1)], remainders
        )

    def test_batch_limit_makes_requests_wait_in_arrival_order(self):
        """Guards against exceeding the batch limit and reordering of requests."""
        profile = EngineProfile(
            base_ms=0.5, per_slot_ms=0.1, prefill_token_ms=0.0, batch_limit=2
        )

        async def case(engine, session):
            max_running = 0

            async def watch():
                nonlocal max_running
                while True:
                    max_running = max(max_running, engine.running)
                    await asyncio.sleep(0)

            watcher = asyncio.create_task(watch())
            await asyncio.gather(
                *(_post(session, _chat(f"{i} answer_tokens=4")) for i in range(8))
            )
            watcher.cancel()
            return max_running, engine.recording.runs

        max_running, runs = _run_with_engine(case, profile)
        self.assertEqual(2, max_running)
        starts = [run.started for run in runs]
        self.assertEqual(sorted(starts), starts)

    def test_request_with_a_free_slot_is_not_waiting(self):
        """Guards against load reports that make routers shrink a window needlessly."""

        async def case(engine, session):
            calls = [
                asyncio.create_task(_post(session, _chat(f"{i} answer_tokens=2")))
                for i in range(3)
            ]
            await wait_until(lambda: len(engine.recording.runs) == 3)
            seen = (engine.running, engine.waiting)
            await asyncio.gather(*calls)
            return seen

        slow_profile = EngineProfile(base_ms=200.0, batch_limit=2)
        self.assertEqual((2, 1), _run_with_engine(case, slow_profile))

    def test_disconnect_cancels_the_run(self):
        """Guards against service units spent on responses that nobody reads."""

        async def case(engine, session):
            body = _chat("long answer_tokens=50", stream=True)
            response = await session.post("/v1/chat/completions", json=body)
            await response.content.readany()
            response.close()
            await wait_until(lambda: not engine.running)
            return engine.recording.runs

        slow_profile = EngineProfile(base_ms=20.0)
        [run] = _run_with_engine(case, slow_profile)
        self.assertEqual(RunOutcome.CANCELLED, run.outcome)

    def test_crash_marker_breaks_all_connections_and_changes_the_incarnation(self):
        """Guards against a crash that affects only the request that caused it."""

        async def case(engine, session):
            engine.faults.crash_marker = b"poison"
            engine.faults.down_s = 0.05
            before = engine.incarnation
            running_request = asyncio.create_task(
                _post(session, _chat("long answer_tokens=50", stream=True))
            )
            await wait_until(lambda: engine.running)
            results = await asyncio.gather(
                running_request, _post(session, _chat("poison")), return_exceptions=True
            )
            await wait_until(lambda: not engine.down)
            later_response = await _post(session, _chat("fine answer_tokens=2"))
            return results, before, engine.incarnation, later_response[0].status, engine

        results, before, after, status, engine = _run_with_engine(
            case, EngineProfile(base_ms=20.0)
        )
        for result in results:
            self.assertIsInstance(result, aiohttp.ClientError)
        self.assertNotEqual(before, after)
        self.assertEqual(200, status)
        self.assertEqual(
            [RunOutcome.CRASHED, RunOutcome.CRASHED, RunOutcome.COMPLETE],
            [run.outcome for run in engine.recording.runs],
        )

    def test_crossed_responses_carry_the_other_request_id(self):
        """Guards against crossed responses that routers cannot detect by request id."""

        async def case(engine, session):
            engine.faults.crossed = 1
            return await asyncio.gather(
                *(
                    _post(
                        session,
                        _chat(f"{name} answer_tokens=3", stream=True),
                        **{"X-Request-Id": name},
                    )
                    for name in ("a", "b")
                )
            )

        (first, first_raw), (second, second_raw) = _run_with_engine(case)
        self.assertEqual("b", first.headers["X-Request-Id"])
        self.assertEqual("a", second.headers["X-Request-Id"])
        self.assertEqual(
            expected_content(_chat("b answer_tokens=3")), _stream_content(first_raw)
        )
        self.assertEqual(
            expected_content(_chat("a answer_tokens=3")), _stream_content(second_raw)
        )

    def test_cut_stream_has_no_end_marker(self):
        """Guards against a cut stream that looks like a complete response."""

        async def case(engine, session):
            engine.faults.cut_every = 1
            engine.faults.cut_chunks = 2
            response = await session.post(
                "/v1/chat/completions", json=_chat("c answer_tokens=9", stream=True)
            )
            raw = b""
            try:
                async for chunk in response.content.iter_any():
                    raw += chunk
            except aiohttp.ClientPayloadError:
                return raw
            return None

        raw = _run_with_engine(case)
        self.assertEqual(2, len(_events(raw)))

    def test_refused_request_does_not_run(self):
        """Guards against a refused request that is recorded as run."""

        async def case(engine, session):
            engine.faults.refuse_every = 1
            response, _ = await _post(session, _chat("x"))
            return response.status, engine.recording.runs

        self.assertEqual((503, []), _run_with_engine(case))

    def test_frozen_load_report_does_not_change(self):
        """Guards against a frozen report that still follows the engine."""

        async def case(engine, session):
            engine.faults.frozen_load = True
            async with session.get("/load") as response:
                before = await response.json()
            engine.incarnation = "other"
            await asyncio.sleep(0.3)
            async with session.get("/load") as response:
                return before, await response.json()

        before, after = _run_with_engine(case)
        self.assertEqual(before, after)
        self.assertEqual(
            {"running", "waiting", "token_interval_ms", "incarnation"}, set(after)
        )


class PrefixCacheTest(testtools.TestCase):
    def test_only_contiguous_prefixes_count_and_size_is_bounded(self):
        """Guards against cache hits that ignore token order, and an unbounded cache."""
        cache = PrefixCache(64)
        words = [str(i) for i in range(32)]
        self.assertEqual(0, cache.lookup(words))
        self.assertEqual(32, cache.lookup(words))
        self.assertEqual(0, cache.lookup(["x", *words[1:]]))
        self.assertEqual(16, cache.lookup([*words[:16], *["y"] * 16]))
        cache.lookup([f"z{i}" for i in range(64)])
        self.assertEqual(0, cache.lookup(words))
