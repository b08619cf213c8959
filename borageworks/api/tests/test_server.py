"""Tests of the HTTP server for callers."""

import asyncio
import contextlib
import hashlib
import json
import socket
from typing import Any

import aiohttp
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.api.completion import parse_completion
from borageworks.api.server import Server
from borageworks.catalog.objects import Organisation, Pool, PoolKind, Service
from borageworks.catalog.replica import Replica
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.endpoints.stream import StreamDecoder
from borageworks.exceptions import (
    BodyMalformedError,
    EndpointReplyMalformedError,
    OutcomeUnknownError,
    QueueTimeoutError,
)
from borageworks.metrics import Metrics
from borageworks.router.tests.fake_network import settings_for

KEY = "key-a"
HEADERS = {"Authorization": f"Bearer {KEY}"}
COMPLETION = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


class FakeBackend:
    """Responds to each call with a fixed body, or raises `error`."""

    def __init__(self):
        self.error = None
        self.calls = []
        self.not_ready_reasons = []

    async def run(self, call, sink):
        self.calls.append(call)
        if call.stream:
            await sink.start(200, (("Content-Type", "text/event-stream"),))
            await sink.write(b"data: {}\n\n")
        if self.error is not None:
            raise self.error
        await sink.start(200, (("Content-Type", "application/json"),))
        await sink.write(b"{}")
        await sink.finish()

    def readiness_blockers(self):
        return self.not_ready_reasons

    def status(self):
        return {"instance": "x"}


def replica():
    filled = Replica()
    objects: list[Any] = [
        Organisation(id="a", share=1, keys=(hashlib.sha256(KEY.encode()).hexdigest(),)),
        Pool(id="engines", endpoints=PoolKind.ENGINE),
        Pool(id="desks", endpoints=PoolKind.PLAIN),
        Service(id="m", pool="engines", max_body_bytes=200),
        Service(id="other", pool="engines", organisations=("b",)),
        Service(id="desk", pool="desks"),
    ]
    filled.merge(VersionedObject(item.kind, item.id, 1, item) for item in objects)
    return filled


class ServerFixture:
    """A server on a loopback address with a client session."""

    async def __aenter__(self):
        self.backend = FakeBackend()
        self.metrics = Metrics()
        self.server = Server(settings_for("x"), replica(), self.backend, self.metrics)
        await self.server.start()
        host, port = self.server.address
        self.url = f"http://{host}:{port}"
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *args):
        await self.session.close()
        await self.server.stop()

    async def refusal(self, method, path, **options):
        options.setdefault("headers", HEADERS)
        async with self.session.request(method, self.url + path, **options) as response:
            body = json.loads(await response.read())
            return response.status, body["code"], body["ran"]


class ServerTest(testtools.TestCase):
    def run_scenario(self, scenario):
        async def run():
            async with ServerFixture() as fixture:
                await scenario(fixture)

        asyncio.run(run())

    def test_bad_requests_get_typed_refusals_that_are_counted(self):
        """Guards against untyped errors and a server that fails on bad input."""
        cases: list[tuple[str, str, Any, int, str]] = [
            ("POST", "/v1/chat/completions", {"data": b"{"}, 400, "body_malformed"),
            ("POST", "/v1/chat/completions", {"json": []}, 400, "body_malformed"),
            (
                "POST",
                "/v1/chat/completions",
                {"json": {**COMPLETION, "model": "none"}},
                404,
                "service_unknown",
            ),
            (
                "POST",
                "/v1/chat/completions",
                {"json": {**COMPLETION, "model": "desk"}},
                404,
                "service_unknown",
            ),
            (
                "POST",
                "/v1/chat/completions",
                {"json": {**COMPLETION, "model": "other"}},
                403,
                "service_forbidden",
            ),
            (
                "POST",
                "/v1/chat/completions",
                {"json": {**COMPLETION, "user": "u" * 300}},
                413,
                "body_too_large",
            ),
            (
                "POST",
                "/v1/chat/completions",
                {"json": COMPLETION, "headers": {"Authorization": "Bearer wrong"}},
                401,
                "key_unknown",
            ),
            (
                "POST",
                "/v1/chat/completions",
                {"json": COMPLETION, "headers": {}},
                401,
                "key_unknown",
            ),
            ("GET", "/v1/chat/completions", {}, 405, "method_forbidden"),
            ("GET", "/nowhere", {}, 404, "route_unknown"),
            ("GET", "/services/none/x", {}, 404, "service_unknown"),
        ]

        async def scenario(fixture):
            for method, path, options, status, code in cases:
                before = fixture.metrics.value("refusals", code)
                refusal = await fixture.refusal(method, path, **options)
                self.assertEqual((status, code, "not_run"), refusal)
                self.assertEqual(before + 1, fixture.metrics.value("refusals", code))
            self.assertEqual([], fixture.backend.calls)

        self.run_scenario(scenario)

    def test_oversized_header_is_refused_and_counted(self):
        """Guards against unbounded headers and a server that fails on them."""

        async def scenario(fixture):
            headers = {**HEADERS, "X-Flood": "x" * 100_000}
            refusal = await fixture.refusal(
                "POST", "/v1/chat/completions", json=COMPLETION, headers=headers
            )
            self.assertEqual((400, "request_malformed", "not_run"), refusal)
            self.assertEqual(1, fixture.metrics.value("refusals", "request_malformed"))
            async with fixture.session.get(fixture.url + "/livez") as response:
                self.assertEqual(200, response.status)

        self.run_scenario(scenario)

    def test_data_that_is_not_http_is_refused(self):
        """Guards against a server that fails on a connection that is not HTTP."""

        async def scenario(fixture):
            reader, writer = await asyncio.open_connection(*fixture.server.address)
            writer.write(b"\x00\xff garbage\r\n\r\n")
            response = await reader.read()
            writer.close()
            self.assertIn(b"request_malformed", response)

        self.run_scenario(scenario)

    def test_refusals_carry_ran_and_retry_after(self):
        """Guards against callers that do not know whether a retry is safe."""

        async def scenario(fixture):
            fixture.backend.error = QueueTimeoutError("no slot", retry_after=2.3)
            url = fixture.url + "/v1/chat/completions"
            async with fixture.session.post(
                url, json=COMPLETION, headers=HEADERS
            ) as response:
                self.assertEqual("3", response.headers["Retry-After"])
                self.assertEqual("application/problem+json", response.content_type)
                self.assertEqual(
                    "not_run", (await response.json(content_type=None))["ran"]
                )

        self.run_scenario(scenario)

    def test_aborted_stream_has_no_end_marker(self):
        """Guards against a truncated response that looks complete."""

        async def scenario(fixture):
            fixture.backend.error = OutcomeUnknownError("endpoint lost")
            url = fixture.url + "/v1/chat/completions"
            received = b""
            payload_error = None
            try:
                async with fixture.session.post(
                    url, json={**COMPLETION, "stream": True}, headers=HEADERS
                ) as response:
                    async for chunk in response.content.iter_any():
                        received += chunk
            except aiohttp.ClientPayloadError as error:
                payload_error = error
            self.assertIsNotNone(payload_error)
            self.assertIn(b"outcome_unknown", received)
            self.assertNotIn(b"[DONE]", received)

        self.run_scenario(scenario)

    def test_plain_service_path_and_models(self):
        """Guards against rewritten paths and listed models that may not be used."""

        async def scenario(fixture):
            url = fixture.url + "/services/desk/orders/7%2F8?full=1"
            async with fixture.session.put(url, data=b"x", headers=HEADERS) as response:
                self.assertEqual(200, response.status)
            (call,) = fixture.backend.calls
            self.assertEqual("/orders/7%2F8?full=1", call.path)
            self.assertNotIn(
                "authorization", {name.lower() for name, _ in call.headers}
            )
            async with fixture.session.get(
                fixture.url + "/v1/models", headers=HEADERS
            ) as response:
                models = [model["id"] for model in (await response.json())["data"]]
            self.assertEqual(["m"], models)

        self.run_scenario(scenario)

    def test_readiness_reports_reasons(self):
        """Guards against a load balancer that uses an unconfigured instance."""

        async def scenario(fixture):
            fixture.backend.not_ready_reasons = ["no configuration yet"]
            async with fixture.session.get(fixture.url + "/readyz") as response:
                self.assertEqual(503, response.status)
                self.assertIn("no configuration yet", await response.text())

        self.run_scenario(scenario)

    def test_unconfigured_instance_does_not_refuse_keys_as_unknown(self):
        """Guards against valid keys being refused during a store outage."""

        async def scenario(fixture):
            fixture.server._replica = Replica()
            fixture.backend.not_ready_reasons = ["no configuration yet"]
            refusal = await fixture.refusal("GET", "/v1/models")
            self.assertEqual((503, "instance_not_ready", "not_run"), refusal)

        self.run_scenario(scenario)

    def test_disconnected_caller_cancels_its_call(self):
        """Guards against slots that stay in use for disconnected callers."""

        async def scenario(fixture):
            cancelled = asyncio.Event()

            async def run_until_cancelled(call, sink):
                try:
                    await asyncio.sleep(3600)
                finally:
                    cancelled.set()

            fixture.backend.run = run_until_cancelled
            body = json.dumps(COMPLETION).encode()
            sock = socket.create_connection(fixture.server.address)
            sock.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer key-a\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
            await asyncio.sleep(0.2)
            sock.close()
            await asyncio.wait_for(cancelled.wait(), 10)

        self.run_scenario(scenario)


class DecoderTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    def test_arbitrary_bodies_are_parsed_or_refused(self, body):
        """Guards against a body that raises anything but BodyMalformedError."""
        with contextlib.suppress(BodyMalformedError):
            parse_completion(body)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=60),
                st.recursive(
                    st.none() | st.integers() | st.text(max_size=5),
                    lambda children: (
                        st.lists(children, max_size=3)
                        | st.dictionaries(
                            st.sampled_from(["choices", "delta", "content", "usage"]),
                            children,
                            max_size=3,
                        )
                    ),
                    max_leaves=8,
                ).map(lambda value: b"data: " + json.dumps(value).encode() + b"\n\n"),
            ),
            max_size=5,
        )
    )
    def test_arbitrary_events_are_decoded_or_refused(self, chunks):
        """Guards against endpoint data that raises an untyped error."""
        decoder = StreamDecoder()
        with contextlib.suppress(EndpointReplyMalformedError):
            for chunk in chunks:
                decoder.feed(chunk)
