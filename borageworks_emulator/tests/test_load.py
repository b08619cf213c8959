"""Tests that the load generator repeats a load and notices wrong answers."""

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
    judge_body,
    stream_content,
)
from borageworks_emulator.service import expected_answer

CHAT = Flow("org-1", "m", "models", rate=20.0)
PLAIN = Flow("org-2", "s", "desks", engine=False, rate=20.0, keyed=True)


def _trace(*flows, seed=1):
    return Trace(flows, seed, 1.0)


def _plan(flow, *, stream):
    for plan in _trace(flow).open_loop:
        if plan.body.get("stream", False) is stream:
            return plan
    raise AssertionError("no such plan in the trace")


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
        """Guards against a baseline that runs another load than the fleet."""
        first, second = _trace(CHAT, PLAIN), _trace(CHAT, PLAIN)
        self.assertEqual(first.open_loop, second.open_loop)
        closed = [next(iter(t.closed_loop(0, 3))) for t in (first, second)]
        self.assertEqual(closed[0], closed[1])
        self.assertNotEqual(first.open_loop, _trace(CHAT, PLAIN, seed=2).open_loop)

    def test_tags_are_unique(self):
        """Guards against one request counted as another one's run."""
        tags = [plan.tag for plan in _trace(CHAT, PLAIN, CHAT).open_loop]
        self.assertEqual(len(tags), len(set(tags)))


class BalancerTest(testtools.TestCase):
    def test_down_router_gets_nothing_and_resends_move_on(self):
        """Guards against load sent to a router that the platform took out."""
        plan = _plan(Flow("org-1", "m", "models", rate=9.0, router=1), stream=True)
        balancer = Balancer(["a", "b", "c"])
        self.assertEqual([1, 2], [balancer.choose(plan, n) for n in (0, 1)])
        balancer.set_up(1, False)
        self.assertEqual(2, balancer.choose(plan, 0))


class JudgeTest(testtools.TestCase):
    def test_plain_answer(self):
        """Guards against another request's record accepted as the right one."""
        plan = _plan(PLAIN, stream=False)
        right = expected_answer("POST", plan.endpoint_path, plan.encoded)
        other = expected_answer("POST", plan.endpoint_path, b"other")
        self.assertEqual(Verdict.ANSWERED, judge_body(plan, right))
        self.assertEqual(Verdict.INCOMPLETE, judge_body(plan, right[:-3]))
        self.assertEqual(Verdict.WRONG, judge_body(plan, other))

    def test_whole_completion(self):
        """Guards against garbage or a crossed completion accepted as an answer."""
        plan = _plan(CHAT, stream=False)

        def completion(content):
            return orjson.dumps({"choices": [{"message": {"content": content}}]})

        right = expected_content(plan.body)
        self.assertEqual(Verdict.ANSWERED, judge_body(plan, completion(right)))
        self.assertEqual(Verdict.WRONG, judge_body(plan, completion("other")))
        self.assertEqual(Verdict.WRONG, judge_body(plan, b"\x00{"))

    def test_stream(self):
        """Guards against cut, crossed or repeated streams that pass as complete."""
        plan = _plan(CHAT, stream=True)
        right = expected_content(plan.body)
        self.assertEqual(Verdict.ANSWERED, judge_body(plan, _stream(right)))
        self.assertEqual(
            Verdict.INCOMPLETE, judge_body(plan, _stream(right, done=False))
        )
        self.assertEqual(Verdict.WRONG, judge_body(plan, _stream(right[:-2])))
        self.assertEqual(Verdict.WRONG, judge_body(plan, _stream(right, right)))
        self.assertEqual(Verdict.WRONG, judge_body(plan, _stream("x", done=False)))

    def test_content_after_the_end_marker_is_not_complete(self):
        """Guards against a second answer glued to the first."""
        self.assertEqual(
            ("ab", False), stream_content(_stream("a") + _stream("b", done=False))
        )


class LoadGeneratorTest(testtools.TestCase):
    def test_verdicts_of_a_faulty_router(self):
        """Guards against a refusal, a wrong or a lost answer counted as right."""
        plans = _trace(PLAIN).open_loop[:4]

        async def answer(request):
            raw = await request.read()
            tag = orjson.loads(raw)["trace"]
            path = request.path.removeprefix("/services/s")
            right = expected_answer("POST", path, raw)
            if tag == plans[0].tag:
                problem = {"code": "queue_timeout", "ran": "not_run"}
                return web.json_response(
                    problem, status=503, content_type="application/problem+json"
                )
            if tag == plans[1].tag:
                return web.Response(body=b"other", headers={"X-Request-Id": "r"})
            if tag == plans[2].tag:
                request.transport.abort()
            return web.Response(body=right)

        async def main():
            application = web.Application()
            application.router.add_post("/{path:.*}", answer)
            runner = web.AppRunner(application)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            url = f"http://127.0.0.1:{runner.addresses[0][1]}"
            try:
                return await LoadGenerator(_trace(PLAIN), Balancer([url])).run()
            finally:
                await runner.cleanup()

        calls = {call.tag: call for call in asyncio.run(main()).calls}
        self.assertEqual(
            [Verdict.REFUSED, Verdict.WRONG, Verdict.LOST, Verdict.ANSWERED],
            [calls[plan.tag].verdict for plan in plans],
        )
        refused = calls[plans[0].tag]
        self.assertEqual(("queue_timeout", "not_run"), (refused.code, refused.ran))
        self.assertEqual("r", calls[plans[1].tag].request_id)
