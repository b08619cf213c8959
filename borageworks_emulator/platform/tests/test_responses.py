"""Tests of the gateway: whose answer callers get, and what may run again."""

import asyncio

import aiohttp
from testtools import TestCase

from borageworks_emulator.platform.engine import (
    Behaviour,
    EmulatedEndpoint,
    event_bytes,
)
from borageworks_emulator.platform.harness import DESK, ENGINES, Harness

WHOLE_STREAM = b"".join(event_bytes(event) for event in range(5))


def first_then(first, later=None):
    """Return behaviour for the first request and for all later ones."""
    rest = iter([first])
    return lambda _request: next(rest, later or Behaviour())


def pair(behave):
    """Return two endpoints that share one behaviour."""
    return [EmulatedEndpoint("i-1", behave), EmulatedEndpoint("i-2", behave)]


def runs(endpoints):
    return [run for endpoint in endpoints for run in endpoint.runs]


class AnswerTest(TestCase):
    def play(self, service, endpoints, scenario):
        other = DESK if service == ENGINES else ENGINES
        idle = [EmulatedEndpoint("i-other")]

        async def main():
            async with Harness({service: endpoints, other: idle}) as harness:
                return await scenario(harness)

        return asyncio.run(main())

    def ask(self, service, behave, path, **headers):
        endpoints = pair(behave)
        answer = self.play(
            service, endpoints, lambda harness: harness.ask(path, **headers)
        )
        return (*answer, endpoints)

    def test_answer_is_passed_on_with_its_seal(self):
        """Guards against answers that the gateway changes."""
        plain = Behaviour(plain=True)
        status, headers, body, ends = self.ask(DESK, lambda _r: plain, "/book/a?b=c")
        (run,) = runs(ends)
        self.assertEqual(200, status)
        self.assertIn(body, (b"by i-1", b"by i-2"))
        self.assertIn("X-Borageworks-Response-Seal", headers)
        self.assertEqual(
            ("POST", "/book/a?b=c", b"x"), (run.method, run.target, run.body)
        )

    def test_endpoint_gets_the_organisation_and_no_key(self):
        """Guards against keys shown to endpoints, and headers that callers forge."""
        *_, ends = self.ask(
            DESK,
            lambda _r: Behaviour(plain=True),
            "/book/",
            X_Borageworks_Tenant="other",
            X_Borageworks_Hold="h",
            Kv_From="1.2.3.4:5/x",
        )
        (run,) = runs(ends)
        self.assertEqual("workshop", run.headers["X-Borageworks-Tenant"])
        for name in ("Authorization", "X-Borageworks-Hold", "Kv-From"):
            self.assertNotIn(name, run.headers)
        self.assertTrue(int(run.headers["X-Borageworks-Deadline-Remaining"]) > 2000)

    def test_stream_that_breaks_goes_on_at_another_endpoint(self):
        """Guards against missing or doubled events after a broken stream."""
        for torn in (False, True):
            behave = first_then(Behaviour(break_after=2, torn=torn))
            status, _, body, ends = self.ask(ENGINES, behave, "/resume/")
            self.assertEqual((200, WHOLE_STREAM), (status, body))
            first, second = sorted(runs(ends), key=lambda run: len(run.headers))
            self.assertNotIn("Last-Event-Id", first.headers)
            self.assertEqual("1", second.headers["Last-Event-Id"])

    def test_stream_that_must_not_run_twice_is_cut(self):
        """Guards against a second run, and against a cut that looks complete."""
        endpoints = pair(lambda _r: Behaviour(break_after=2))

        async def scenario(harness):
            try:
                await harness.ask("/once/")
            except aiohttp.ClientPayloadError:
                return "cut"

        self.assertEqual("cut", self.play(ENGINES, endpoints, scenario))
        self.assertEqual(1, len(runs(endpoints)))

    def test_lost_answer_of_a_non_idempotent_request_promises_nothing(self):
        """Guards against a refusal that says "not run" though it may have run."""
        behave = first_then(Behaviour(break_after=0))
        status, _, _, ends = self.ask(DESK, behave, "/book/")
        self.assertEqual((502, 1), (status, len(runs(ends))))

    def test_lost_answer_of_an_idempotent_request_is_repeated(self):
        """Guards against a failure that another endpoint could have mended."""
        behave = first_then(Behaviour(break_after=0), Behaviour(plain=True))
        status, _, _, ends = self.ask(DESK, behave, "/look/")
        self.assertEqual((200, 2), (status, len(runs(ends))))

    def test_endpoints_own_failure_is_passed_on_when_retries_fail_too(self):
        """Guards against a failure whose status or seal is changed."""
        status, headers, body, ends = self.ask(
            DESK, lambda _r: Behaviour(status=500), "/look/"
        )
        self.assertEqual((500, 2), (status, len(runs(ends))))
        self.assertEqual(
            body.decode().removeprefix("by "),
            headers["X-Borageworks-Response-Seal"].removeprefix("seal-of-"),
        )

    def test_refusal_of_an_endpoint_is_tried_at_another(self):
        """Guards against a refused caller while another endpoint has room."""
        behave = first_then(Behaviour(not_run=True), Behaviour(plain=True))
        status, _, _, ends = self.ask(DESK, behave, "/book/")
        self.assertEqual((200, 1), (status, len(runs(ends))))

    def test_busy_endpoints_give_a_true_refusal(self):
        """Guards against a refusal without a time to come back."""
        status, headers, _, ends = self.ask(
            DESK, lambda _r: Behaviour(not_run=True), "/book/"
        )
        self.assertEqual((503, []), (status, runs(ends)))
        self.assertTrue(0 < float(headers["Retry-After"]) < 3)

    def test_answer_without_a_seal_is_not_passed_on(self):
        """Guards against a success that the endpoint does not vouch for."""
        status, *_ = self.ask(
            DESK, lambda _r: Behaviour(seal=False, plain=True), "/book/"
        )
        self.assertEqual(502, status)

    def test_answer_to_another_request_is_not_passed_on(self):
        """Guards against answers that arrive where another one is due."""
        status, *_ = self.ask(
            DESK, lambda _r: Behaviour(echo="other", plain=True), "/book/"
        )
        self.assertEqual(502, status)

    def test_status_that_promises_without_the_endpoints_word_is_replaced(self):
        """Guards against passing on 503 for a request that may have run."""
        status, *_ = self.ask(DESK, lambda _r: Behaviour(status=503), "/book/")
        self.assertEqual(502, status)

    def test_answer_without_length_that_is_reset_is_not_complete(self):
        """Guards against a truncated answer that looks whole."""
        endpoints = pair(lambda _r: Behaviour(unframed=True))

        async def scenario(harness):
            try:
                return await harness.ask("/once/")
            except aiohttp.ClientPayloadError:
                return "cut"

        self.assertEqual("cut", self.play(ENGINES, endpoints, scenario))

    def test_request_that_hangs_ends_at_the_callers_deadline(self):
        """Guards against an answer that comes after the caller has given up."""
        status, *_ = self.ask(
            DESK,
            lambda _r: Behaviour(hang=True),
            "/book/",
            X_Borageworks_Deadline_Remaining="300",
        )
        self.assertEqual(504, status)

    def test_caller_that_leaves_stops_the_work(self):
        """Guards against endpoints that work for nobody."""
        endpoints = pair(lambda _r: Behaviour(pause_s=0.2))

        async def scenario(harness):
            async with harness.session.post(
                "/resume/", headers=harness.headers()
            ) as response:
                await response.content.readany()
                response.close()
            for _ in range(100):
                if any(endpoint.cancelled for endpoint in endpoints):
                    return True
                await asyncio.sleep(0.005)
            return False

        self.assertTrue(self.play(ENGINES, endpoints, scenario))

    def test_request_that_crashes_endpoints_reaches_three(self):
        """Guards against one request that takes all endpoints down."""
        ends = [
            EmulatedEndpoint(f"i-{n}", lambda _r: Behaviour(break_after=0))
            for n in range(6)
        ]

        async def scenario(harness):
            return [(await harness.ask("/look/"))[0] for _ in range(4)]

        statuses = self.play(DESK, ends, scenario)
        self.assertEqual(([502, 502, 503, 503], 3), (statuses, len(runs(ends))))

    def test_refusal_after_a_broken_attempt_promises_nothing(self):
        """Guards against a 503 for a request that may have run elsewhere."""
        behaviours = iter((Behaviour(break_after=0), Behaviour(not_run=True)))
        status, _, _, ends = self.ask(DESK, lambda _r: next(behaviours), "/look/")
        self.assertEqual((502, 1), (status, len(runs(ends))))

    def test_endpoint_that_is_gone_is_not_used(self):
        """Guards against a request at an endpoint that took over an address."""
        stranger = EmulatedEndpoint("i-new", lambda _r: Behaviour(plain=True))

        async def scenario(harness):
            gone = EmulatedEndpoint("i-gone")
            gone.address = stranger.address
            await harness.store.delete("servers/i-new")
            await harness.register(gone, DESK)
            await harness.current()
            return await harness.ask("/book/")

        status, *_ = self.play(DESK, [stranger], scenario)
        self.assertEqual((503, []), (status, stranger.runs))

    def test_unreachable_endpoint_is_passed_over(self):
        """Guards against failures while another endpoint is sound."""
        endpoints = pair(lambda _r: Behaviour(plain=True))

        async def scenario(harness):
            await endpoints[0].stop()
            return [(await harness.ask("/book/"))[0] for _ in range(6)]

        self.assertEqual([200] * 6, self.play(DESK, endpoints, scenario))
