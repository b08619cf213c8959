"""Tests of the callers' HTTP interface against bad input."""

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
from borageworks.catalog.versioned import Versioned
from borageworks.endpoints.stream import StreamDecoder
from borageworks.exceptions import (
    BodyMalformedError,
    EndpointReplyMalformedError,
    OutcomeUnknownError,
    QueueTimeoutError,
)
from borageworks.metrics import Metrics
from borageworks.router.tests.harness import settings_for

KEY = "key-a"
HEADERS = {"Authorization": f"Bearer {KEY}"}
COMPLETION = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


class FakeFrontend:
    """Answers each call with a fixed body, or raises."""

    def __init__(self):
        self.error = None
        self.calls = []
        self.missing = []

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

    def lacking(self):
        return self.missing

    def status(self):
        return {"instance": "x"}


def replica():
    made = Replica()
    objects: list[Any] = [
        Organisation(id="a", share=1, keys=(hashlib.sha256(KEY.encode()).hexdigest(),)),
        Pool(id="engines", endpoints=PoolKind.ENGINE),
        Pool(id="desks", endpoints=PoolKind.PLAIN),
        Service(id="m", pool="engines", max_body_bytes=200),
        Service(id="other", pool="engines", organisations=("b",)),
        Service(id="desk", pool="desks"),
    ]
    made.merge(Versioned(item.kind, item.id, 1, item) for item in objects)
    return made


class Interface:
    """A server on loopback with a client session."""

    async def __aenter__(self):
        self.frontend = FakeFrontend()
        self.metrics = Metrics()
        self.server = Server(settings_for("x"), replica(), self.frontend, self.metrics)
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
        async with self.session.request(method, self.url + path, **options) as answer:
            body = json.loads(await answer.read())
            return answer.status, body["code"], body["ran"]


class ServerTest(testtools.TestCase):
    def run_with(self, scenario):
        async def wrapped():
            async with Interface() as interface:
                await scenario(interface)

        asyncio.run(wrapped())

    def test_bad_requests_get_typed_refusals_that_are_counted(self):
        """Guards against untyped errors and against bad input stopping the server."""
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

        async def scenario(interface):
            for method, path, options, status, code in cases:
                before = interface.metrics.value("refusals", code)
                got = await interface.refusal(method, path, **options)
                self.assertEqual((status, code, "not_run"), got)
                self.assertEqual(before + 1, interface.metrics.value("refusals", code))
            self.assertEqual([], interface.frontend.calls)

        self.run_with(scenario)

    def test_header_flood_is_refused_and_counted(self):
        """Guards against unbounded headers, and against the server stopping."""

        async def scenario(interface):
            headers = {**HEADERS, "X-Flood": "x" * 100_000}
            got = await interface.refusal(
                "POST", "/v1/chat/completions", json=COMPLETION, headers=headers
            )
            self.assertEqual((400, "request_malformed", "not_run"), got)
            self.assertEqual(
                1, interface.metrics.value("refusals", "request_malformed")
            )
            async with interface.session.get(interface.url + "/livez") as answer:
                self.assertEqual(200, answer.status)

        self.run_with(scenario)

    def test_garbage_bytes_are_refused(self):
        """Guards against a connection that is not HTTP stopping the server."""

        async def scenario(interface):
            reader, writer = await asyncio.open_connection(*interface.server.address)
            writer.write(b"\x00\xff garbage\r\n\r\n")
            answer = await reader.read()
            writer.close()
            self.assertIn(b"request_malformed", answer)

        self.run_with(scenario)

    def test_refusals_carry_ran_and_retry_after(self):
        """Guards against callers that cannot tell whether to send again."""

        async def scenario(interface):
            interface.frontend.error = QueueTimeoutError("no slot", retry_after=2.3)
            url = interface.url + "/v1/chat/completions"
            async with interface.session.post(
                url, json=COMPLETION, headers=HEADERS
            ) as answer:
                self.assertEqual("3", answer.headers["Retry-After"])
                self.assertEqual("application/problem+json", answer.content_type)
                self.assertEqual(
                    "not_run", (await answer.json(content_type=None))["ran"]
                )

        self.run_with(scenario)

    def test_broken_stream_has_no_end_marker(self):
        """Guards against a caller that takes a part of an answer for the whole."""

        async def scenario(interface):
            interface.frontend.error = OutcomeUnknownError("endpoint lost")
            url = interface.url + "/v1/chat/completions"
            received = b""
            cut = None
            try:
                async with interface.session.post(
                    url, json={**COMPLETION, "stream": True}, headers=HEADERS
                ) as answer:
                    async for part in answer.content.iter_any():
                        received += part
            except aiohttp.ClientPayloadError as error:
                cut = error
            self.assertIsNotNone(cut)
            self.assertIn(b"outcome_unknown", received)
            self.assertNotIn(b"[DONE]", received)

        self.run_with(scenario)

    def test_plain_service_path_and_models(self):
        """Guards against changed paths and against models that may not be used."""

        async def scenario(interface):
            url = interface.url + "/services/desk/orders/7%2F8?full=1"
            async with interface.session.put(url, data=b"x", headers=HEADERS) as answer:
                self.assertEqual(200, answer.status)
            (call,) = interface.frontend.calls
            self.assertEqual("/orders/7%2F8?full=1", call.path)
            self.assertNotIn("authorization", {n.lower() for n, _ in call.headers})
            async with interface.session.get(
                interface.url + "/v1/models", headers=HEADERS
            ) as answer:
                models = [model["id"] for model in (await answer.json())["data"]]
            self.assertEqual(["m"], models)

        self.run_with(scenario)

    def test_readiness_tells_what_is_lacking(self):
        """Guards against a balancer that sends to an empty instance."""

        async def scenario(interface):
            interface.frontend.missing = ["no configuration yet"]
            async with interface.session.get(interface.url + "/readyz") as answer:
                self.assertEqual(503, answer.status)
                self.assertIn("no configuration yet", await answer.text())

        self.run_with(scenario)

    def test_instance_without_configuration_does_not_judge_keys(self):
        """Guards against callers told that their key is wrong during an outage."""

        async def scenario(interface):
            interface.server._replica = Replica()
            interface.frontend.missing = ["no configuration yet"]
            got = await interface.refusal("GET", "/v1/models")
            self.assertEqual((503, "instance_not_ready", "not_run"), got)

        self.run_with(scenario)

    def test_caller_that_leaves_cancels_its_call(self):
        """Guards against slots held for callers that are gone."""

        async def scenario(interface):
            cancelled = asyncio.Event()

            async def hang(call, sink):
                try:
                    await asyncio.sleep(3600)
                finally:
                    cancelled.set()

            interface.frontend.run = hang
            body = json.dumps(COMPLETION).encode()
            sock = socket.create_connection(interface.server.address)
            sock.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer key-a\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
            await asyncio.sleep(0.2)
            sock.close()
            await asyncio.wait_for(cancelled.wait(), 10)

        self.run_with(scenario)


class DecoderTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    def test_generated_bodies_are_parsed_or_refused(self, body):
        """Guards against a body that raises anything but a typed refusal."""
        with contextlib.suppress(BodyMalformedError):
            parse_completion(body)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=60),
                st.recursive(
                    st.none() | st.integers() | st.text(max_size=5),
                    lambda inner: (
                        st.lists(inner, max_size=3)
                        | st.dictionaries(
                            st.sampled_from(["choices", "delta", "content", "usage"]),
                            inner,
                            max_size=3,
                        )
                    ),
                    max_leaves=8,
                ).map(lambda value: b"data: " + json.dumps(value).encode() + b"\n\n"),
            ),
            max_size=5,
        )
    )
    def test_generated_events_are_decoded_or_refused(self, parts):
        """Guards against an endpoint's garbage raising anything but a typed error."""
        decoder = StreamDecoder()
        with contextlib.suppress(EndpointReplyMalformedError):
            for part in parts:
                decoder.feed(part)
