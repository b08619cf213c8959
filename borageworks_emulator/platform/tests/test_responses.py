"""Tests of the gateway: which responses callers get, and what may be retried."""

import asyncio

import aiohttp
from testtools import TestCase

from borageworks_emulator.platform.endpoint import (
    Behaviour,
    EmulatedEndpoint,
    event_bytes,
)
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
    configuration,
)

COMPLETE_STREAM = b"".join(event_bytes(event) for event in range(5))


def first_then(first, later=None):
    """Return a function that handles the first request differently from later ones."""
    remaining = iter([first])
    return lambda _request: next(remaining, later or Behaviour())


def endpoint_pair(behaviour_of):
    """Return two endpoints that handle requests alike."""
    return [
        EmulatedEndpoint("i-1", behaviour_of),
        EmulatedEndpoint("i-2", behaviour_of),
    ]


def all_runs(endpoints):
    return [run for endpoint in endpoints for run in endpoint.runs]


class ResponseTest(TestCase):
    def run_scenario(self, service, endpoints, scenario):
        other = PLAIN_SERVICE if service == ENGINE_SERVICE else ENGINE_SERVICE
        idle = [EmulatedEndpoint("i-other")]

        async def main():
            async with Harness({service: endpoints, other: idle}) as harness:
                return await scenario(harness)

        return asyncio.run(main())

    def send_request(self, service, behaviour_of, path, **headers):
        endpoints = endpoint_pair(behaviour_of)
        response = self.run_scenario(
            service, endpoints, lambda harness: harness.send_request(path, **headers)
        )
        return (*response, endpoints)

    def test_response_is_passed_on_unaltered_with_its_seal(self):
        """Guards against a gateway that alters responses."""
        behaviour = Behaviour(plain_body=True)
        status, headers, body, endpoints = self.send_request(
            PLAIN_SERVICE, lambda _request: behaviour, "/book/a?b=c"
        )
        (run,) = all_runs(endpoints)
        self.assertEqual(200, status)
        self.assertIn(body, (b"by i-1", b"by i-2"))
        self.assertIn("X-Borageworks-Response-Seal", headers)
        self.assertEqual(
            ("POST", "/book/a?b=c", b"x"), (run.method, run.target, run.body)
        )

    def test_endpoint_gets_the_organisation_and_no_key(self):
        """Guards against leaking API keys to endpoints and accepting forged headers."""
        *_, endpoints = self.send_request(
            PLAIN_SERVICE,
            lambda _request: Behaviour(plain_body=True),
            "/book/",
            X_Borageworks_Tenant="other",
            X_Borageworks_Hold="h",
            Kv_From="1.2.3.4:5/x",
        )
        (run,) = all_runs(endpoints)
        self.assertEqual("workshop", run.headers["X-Borageworks-Tenant"])
        for name in ("Authorization", "X-Borageworks-Hold", "Kv-From"):
            self.assertNotIn(name, run.headers)
        self.assertTrue(int(run.headers["X-Borageworks-Deadline-Remaining"]) > 2000)

    def test_broken_stream_is_resumed_at_another_endpoint(self):
        """Guards against missing or duplicate events after a broken stream."""
        for ends_mid_event in (False, True):
            behaviour_of = first_then(
                Behaviour(reset_after_events=2, ends_mid_event=ends_mid_event)
            )
            status, _, body, endpoints = self.send_request(
                ENGINE_SERVICE, behaviour_of, "/resume/"
            )
            self.assertEqual((200, COMPLETE_STREAM), (status, body))
            first, second = sorted(
                all_runs(endpoints), key=lambda run: len(run.headers)
            )
            self.assertNotIn("Last-Event-Id", first.headers)
            self.assertEqual("1", second.headers["Last-Event-Id"])

    def test_stream_that_must_not_run_twice_is_cut(self):
        """Guards against a second run, and a truncated stream that looks complete."""
        endpoints = endpoint_pair(lambda _request: Behaviour(reset_after_events=2))

        async def scenario(harness):
            try:
                await harness.send_request("/once/")
            except aiohttp.ClientPayloadError:
                return "cut"

        self.assertEqual("cut", self.run_scenario(ENGINE_SERVICE, endpoints, scenario))
        self.assertEqual(1, len(all_runs(endpoints)))

    def test_lost_response_of_a_non_idempotent_request_gives_502(self):
        """Guards against a "not run" refusal of a request that may have run."""
        behaviour_of = first_then(Behaviour(reset_after_events=0))
        status, _, _, endpoints = self.send_request(
            PLAIN_SERVICE, behaviour_of, "/book/"
        )
        self.assertEqual((502, 1), (status, len(all_runs(endpoints))))

    def test_idempotent_request_is_retried_after_a_lost_response(self):
        """Guards against a failure where a retry would have succeeded."""
        behaviour_of = first_then(
            Behaviour(reset_after_events=0), Behaviour(plain_body=True)
        )
        status, _, _, endpoints = self.send_request(
            PLAIN_SERVICE, behaviour_of, "/look/"
        )
        self.assertEqual((200, 2), (status, len(all_runs(endpoints))))

    def test_endpoints_own_failure_is_passed_on_when_retries_fail_too(self):
        """Guards against altering the status or seal of an endpoint's failure."""
        status, headers, body, endpoints = self.send_request(
            PLAIN_SERVICE, lambda _request: Behaviour(status=500), "/look/"
        )
        self.assertEqual((500, 2), (status, len(all_runs(endpoints))))
        self.assertEqual(
            body.decode().removeprefix("by "),
            headers["X-Borageworks-Response-Seal"].removeprefix("seal-of-"),
        )

    def test_refused_request_is_retried_at_another_endpoint(self):
        """Guards against refusing a request while another endpoint has a free slot."""
        behaviour_of = first_then(Behaviour(not_run=True), Behaviour(plain_body=True))
        status, _, _, endpoints = self.send_request(
            PLAIN_SERVICE, behaviour_of, "/book/"
        )
        self.assertEqual((200, 1), (status, len(all_runs(endpoints))))

    def test_refusal_by_all_endpoints_gives_503_with_retry_after(self):
        """Guards against a refusal without a usable Retry-After."""
        status, headers, _, endpoints = self.send_request(
            PLAIN_SERVICE, lambda _request: Behaviour(not_run=True), "/book/"
        )
        self.assertEqual((503, []), (status, all_runs(endpoints)))
        self.assertTrue(0 < float(headers["Retry-After"]) < 3)

    def test_response_without_a_seal_is_not_passed_on(self):
        """Guards against a success that the endpoint has not sealed."""
        status, *_ = self.send_request(
            PLAIN_SERVICE,
            lambda _request: Behaviour(sealed=False, plain_body=True),
            "/book/",
        )
        self.assertEqual(502, status)

    def test_response_to_another_request_is_not_passed_on(self):
        """Guards against passing on the response to another request."""
        status, *_ = self.send_request(
            PLAIN_SERVICE,
            lambda _request: Behaviour(stated_request_id="other", plain_body=True),
            "/book/",
        )
        self.assertEqual(502, status)

    def test_503_without_not_executed_header_is_replaced(self):
        """Guards against passing on 503 for a request that may have run."""
        status, *_ = self.send_request(
            PLAIN_SERVICE, lambda _request: Behaviour(status=503), "/book/"
        )
        self.assertEqual(502, status)

    def test_response_without_length_that_is_reset_is_truncated(self):
        """Guards against a truncated response that looks complete."""
        endpoints = endpoint_pair(lambda _request: Behaviour(without_length=True))

        async def scenario(harness):
            try:
                return await harness.send_request("/once/")
            except aiohttp.ClientPayloadError:
                return "cut"

        self.assertEqual("cut", self.run_scenario(ENGINE_SERVICE, endpoints, scenario))

    def test_stream_that_is_closed_within_an_event_is_truncated(self):
        """Guards against an orderly close that makes half an event look complete."""
        for path in ("/once/", "/resume/"):
            with self.assertRaises(aiohttp.ClientPayloadError):
                self.send_request(
                    ENGINE_SERVICE,
                    lambda _request: Behaviour(
                        without_length=True, closes_orderly=True, ends_mid_event=True
                    ),
                    path,
                )

    def test_slow_stream_with_long_pauses_is_complete(self):
        """Guards against cutting a slow but sound stream."""
        status, _, body, _ = self.send_request(
            ENGINE_SERVICE, lambda _request: Behaviour(event_interval_s=0.5), "/once/"
        )
        self.assertEqual((200, COMPLETE_STREAM), (status, body))

    def test_stalled_stream_that_sends_a_byte_now_and_then_ends(self):
        """Guards against a stream that never ends because it is never silent."""

        async def scenario(harness):
            started = asyncio.get_running_loop().time()
            try:
                await harness.send_request(
                    "/once/", X_Borageworks_Deadline_Remaining="1000"
                )
            except aiohttp.ClientPayloadError:
                return asyncio.get_running_loop().time() - started
            return None

        duration_s = self.run_scenario(
            ENGINE_SERVICE,
            endpoint_pair(
                lambda _request: Behaviour(event_interval_s=0.2, dribbles=True)
            ),
            scenario,
        )
        self.assertTrue(0.9 < duration_s < 1.5, duration_s)

    def test_hanging_request_ends_at_the_callers_deadline(self):
        """Guards against responding after the caller's deadline."""
        status, *_ = self.send_request(
            PLAIN_SERVICE,
            lambda _request: Behaviour(hang=True),
            "/book/",
            X_Borageworks_Deadline_Remaining="300",
        )
        self.assertEqual(504, status)

    def test_caller_disconnect_cancels_the_run(self):
        """Guards against endpoints that go on working after the caller has left."""
        endpoints = endpoint_pair(lambda _request: Behaviour(event_interval_s=0.2))

        async def scenario(harness):
            async with harness.session.post(
                "/resume/", headers=harness.request_headers()
            ) as response:
                await response.content.readany()
                response.close()
            for _ in range(100):
                if any(endpoint.cancelled for endpoint in endpoints):
                    return True
                await asyncio.sleep(0.005)
            return False

        self.assertTrue(self.run_scenario(ENGINE_SERVICE, endpoints, scenario))

    def test_crashing_request_reaches_at_most_three_endpoints(self):
        """Guards against one request that crashes all endpoints through retries."""
        endpoints = [
            EmulatedEndpoint(f"i-{n}", lambda _request: Behaviour(reset_after_events=0))
            for n in range(6)
        ]

        async def scenario(harness):
            return [(await harness.send_request("/look/"))[0] for _ in range(4)]

        statuses = self.run_scenario(PLAIN_SERVICE, endpoints, scenario)
        self.assertEqual(
            ([502, 502, 503, 503], 3), (statuses, len(all_runs(endpoints)))
        )

    def test_refusal_after_a_broken_attempt_gives_502(self):
        """Guards against 503 for a request that an earlier attempt may have run."""
        behaviours = iter((Behaviour(reset_after_events=0), Behaviour(not_run=True)))
        status, _, _, endpoints = self.send_request(
            PLAIN_SERVICE, lambda _request: next(behaviours), "/look/"
        )
        self.assertEqual((502, 1), (status, len(all_runs(endpoints))))

    def test_replaced_endpoint_gets_no_requests(self):
        """Guards against sending a request to an endpoint that reuses an address."""
        successor = EmulatedEndpoint(
            "i-new", lambda _request: Behaviour(plain_body=True)
        )

        async def scenario(harness):
            replaced = EmulatedEndpoint("i-gone")
            replaced.address = successor.address
            await harness.store.delete("servers/i-new")
            await harness.register(replaced, PLAIN_SERVICE)
            await harness.wait_until_current()
            return await harness.send_request("/book/")

        status, *_ = self.run_scenario(PLAIN_SERVICE, [successor], scenario)
        self.assertEqual((503, []), (status, successor.runs))

    def test_unreachable_endpoint_is_skipped(self):
        """Guards against failures while another endpoint is available."""
        endpoints = endpoint_pair(lambda _request: Behaviour(plain_body=True))

        async def scenario(harness):
            await endpoints[0].stop()
            return [(await harness.send_request("/book/"))[0] for _ in range(6)]

        self.assertEqual(
            [200] * 6, self.run_scenario(PLAIN_SERVICE, endpoints, scenario)
        )

    def test_route_without_a_target_and_with_weights_of_zero(self):
        """Guards against an internal error while the service of a request is chosen."""
        endpoints = endpoint_pair(lambda _request: Behaviour(plain_body=True))

        async def scenario(harness):
            body = configuration(2)
            for route in body["routes"]:
                del route["service"]
            weights = [{"service": PLAIN_SERVICE, "weight": 0}]
            body["routes"][-1]["traffic_split"] = weights
            await harness.configure(body)
            await harness.wait_until_current()
            return [(await harness.send_request(p))[0] for p in ("/look/", "/open/")]

        statuses = self.run_scenario(PLAIN_SERVICE, endpoints, scenario)
        self.assertEqual([503, 200], statuses)
