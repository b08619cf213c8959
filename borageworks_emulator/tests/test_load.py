"""Tests that the load generator reproduces a load and detects wrong responses."""

import asyncio

import orjson
import testtools
from aiohttp import web

from borageworks_emulator.analysis import Verdict
from borageworks_emulator.engine import expected_content
from borageworks_emulator.load import (
    Balancer,
    Flow,
    LoadGenerator,
    Trace,
    body_verdict,
    stream_content,
)
from borageworks_emulator.service import expected_response

CHAT_FLOW = Flow("org-1", "m", "models", rate=20.0)
PLAIN_FLOW = Flow(
    "org-2", "s", "desks", engine=False, rate=20.0, with_idempotency_key=True
)


def _trace(*flows, seed=1):
    return Trace(flows, seed, 1.0)


def _planned_request(flow, *, stream):
    for planned in _trace(flow).open_loop:
        if planned.body.get("stream", False) is stream:
            return planned
    raise AssertionError("no such request in the trace")


def _stream(*contents, done=True):
    events = [
        b"data: " + orjson.dumps({"choices": [{"index": 0, "delta": {"content": c}}]})
        for c in contents
    ]
    if done:
        events.append(b"data: [DONE]")
    return b"".join(event + b"\n\n" for event in events)


class TraceTest(testtools.TestCase):
    def test_same_seed_gives_the_same_requests(self):
        """Guards against a baseline that runs a different load from the fleet."""
        first, second = _trace(CHAT_FLOW, PLAIN_FLOW), _trace(CHAT_FLOW, PLAIN_FLOW)
        self.assertEqual(first.open_loop, second.open_loop)
        closed = [next(iter(trace.closed_loop(0, 3))) for trace in (first, second)]
        self.assertEqual(closed[0], closed[1])
        self.assertNotEqual(
            first.open_loop, _trace(CHAT_FLOW, PLAIN_FLOW, seed=2).open_loop
        )

    def test_tags_are_unique(self):
        """Guards against a request that is matched with the run of another one."""
        tags = [
            planned.tag
            for planned in _trace(CHAT_FLOW, PLAIN_FLOW, CHAT_FLOW).open_loop
        ]
        self.assertEqual(len(tags), len(set(tags)))


class BalancerTest(testtools.TestCase):
    def test_unavailable_router_gets_no_requests_and_resends_change_router(self):
        """Guards against load sent to a router that was removed from the rotation."""
        planned = _planned_request(
            Flow("org-1", "m", "models", rate=9.0, router_index=1), stream=True
        )
        balancer = Balancer(["a", "b", "c"])
        self.assertEqual([1, 2], [balancer.choose(planned, n) for n in (0, 1)])
        balancer.set_available(1, False)
        self.assertEqual(2, balancer.choose(planned, 0))


class BodyVerdictTest(testtools.TestCase):
    def test_plain_response(self):
        """Guards against accepting the response of another request."""
        planned = _planned_request(PLAIN_FLOW, stream=False)
        expected = expected_response(
            "POST", planned.endpoint_path, planned.encoded_body
        )
        other = expected_response("POST", planned.endpoint_path, b"other")
        self.assertEqual(Verdict.ANSWERED, body_verdict(planned, expected))
        self.assertEqual(Verdict.INCOMPLETE, body_verdict(planned, expected[:-3]))
        self.assertEqual(Verdict.WRONG, body_verdict(planned, other))

    def test_unstreamed_completion(self):
        """Guards against accepting garbage or a crossed completion."""
        planned = _planned_request(CHAT_FLOW, stream=False)

        def completion(content):
            return orjson.dumps({"choices": [{"message": {"content": content}}]})

        expected = expected_content(planned.body)
        self.assertEqual(Verdict.ANSWERED, body_verdict(planned, completion(expected)))
        self.assertEqual(Verdict.WRONG, body_verdict(planned, completion("other")))
        self.assertEqual(Verdict.WRONG, body_verdict(planned, b"\x00{"))

    def test_streamed_completion(self):
        """Guards against accepting cut, crossed or repeated streams as complete."""
        planned = _planned_request(CHAT_FLOW, stream=True)
        expected = expected_content(planned.body)
        self.assertEqual(Verdict.ANSWERED, body_verdict(planned, _stream(expected)))
        self.assertEqual(
            Verdict.INCOMPLETE, body_verdict(planned, _stream(expected, done=False))
        )
        self.assertEqual(Verdict.WRONG, body_verdict(planned, _stream(expected[:-2])))
        self.assertEqual(
            Verdict.WRONG, body_verdict(planned, _stream(expected, expected))
        )
        self.assertEqual(Verdict.WRONG, body_verdict(planned, _stream("x", done=False)))

    def test_content_after_the_end_marker_is_not_complete(self):
        """Guards against accepting a second response appended to the first."""
        self.assertEqual(
            ("ab", False), stream_content(_stream("a") + _stream("b", done=False))
        )


class LoadGeneratorTest(testtools.TestCase):
    def test_verdicts_of_a_faulty_router(self):
        """Guards against counting a refusal, a wrong or a lost response as correct."""
        planned_requests = _trace(PLAIN_FLOW).open_loop[:4]

        async def respond(request):
            raw = await request.read()
            tag = orjson.loads(raw)["trace"]
            path = request.path.removeprefix("/services/s")
            expected = expected_response("POST", path, raw)
            if tag == planned_requests[0].tag:
                problem = {"code": "queue_timeout", "ran": "not_run"}
                return web.json_response(
                    problem, status=503, content_type="application/problem+json"
                )
            if tag == planned_requests[1].tag:
                return web.Response(body=b"other", headers={"X-Request-Id": "r"})
            if tag == planned_requests[2].tag:
                request.transport.abort()
            return web.Response(body=expected)

        async def main():
            application = web.Application()
            application.router.add_post("/{path:.*}", respond)
            runner = web.AppRunner(application)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            url = f"http://127.0.0.1:{runner.addresses[0][1]}"
            try:
                return await LoadGenerator(_trace(PLAIN_FLOW), Balancer([url])).run()
            finally:
                await runner.cleanup()

        calls = {call.tag: call for call in asyncio.run(main()).calls}
        self.assertEqual(
            [Verdict.REFUSED, Verdict.WRONG, Verdict.LOST, Verdict.ANSWERED],
            [calls[planned.tag].verdict for planned in planned_requests],
        )
        refused = calls[planned_requests[0].tag]
        self.assertEqual(("queue_timeout", "not_run"), (refused.code, refused.ran))
        self.assertEqual("r", calls[planned_requests[1].tag].request_id)
