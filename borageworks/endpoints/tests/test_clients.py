"""Tests of the endpoint clients against endpoints that misbehave."""

import asyncio
import json
from typing import Any

import testtools

from borageworks.catalog.objects import Endpoint, Service
from borageworks.config.settings import FairSettings
from borageworks.endpoints.call import Call
from borageworks.endpoints.engine import EngineClient
from borageworks.endpoints.plain import PlainClient
from borageworks.endpoints.progress import Progress
from borageworks.endpoints.transport import Transport
from borageworks.exceptions import (
    EndpointDisconnectedError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointReplyCrossedError,
    EndpointReplyIncompleteError,
    EndpointReplyMalformedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
)


def token(text):
    return (
        b"data: %b\n\n"
        % json.dumps({"choices": [{"index": 0, "delta": {"content": text}}]}).encode()
    )


USAGE = (
    b"data: %b\n\n"
    % json.dumps(
        {
            "choices": [],
            "usage": {
                "prompt_tokens": 30,
                "completion_tokens": 2,
                "prompt_tokens_details": {"cached_tokens": 10},
            },
        }
    ).encode()
)
DONE = b"data: [DONE]\n\n"


def chunked(*parts, end=True):
    body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return body + (b"0\r\n\r\n" if end else b"")


def head(status=200, kind="text/event-stream", *extra):
    lines = [f"HTTP/1.1 {status} X", f"Content-Type: {kind}", *extra]
    return ("\r\n".join(lines) + "\r\n").encode()


STREAM = head(200, "text/event-stream", "Transfer-Encoding: chunked") + b"\r\n"


class Sink:
    """Collects an answer."""

    def __init__(self):
        self.started = False
        self.status = 0
        self.body = b""
        self.finished = False

    async def start(self, status, headers):
        self.started = True
        self.status = status

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.finished = True


class Scripted:
    """Endpoint that answers each connection with the next scripted bytes."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        request = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(request)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            await asyncio.sleep(3600)
        writer.write(answer)
        await writer.drain()
        writer.close()


def call_for(stream=True, idempotent=True, run_timeout_s=5.0, wants_usage=False):
    return Call(
        request_id="r1",
        organisation="a",
        service=Service(
            id="s", pool="p", idempotent=idempotent, run_timeout_s=run_timeout_s
        ),
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"{}",
        stream=stream,
        wants_usage=wants_usage,
    )


class ClientTest(testtools.TestCase):
    def exchange(self, kind, call, *answers, progress=None):
        """Return (exchange or error, sink, progress, scripted endpoint)."""
        scripted = Scripted(*answers)
        sink: Any = Sink()
        progress = progress or Progress()

        async def scenario():
            server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            if not answers:
                server.close()
                await server.wait_closed()
            endpoint = Endpoint.model_validate(
                {
                    "id": "e",
                    "pool": "p",
                    "domain": "d",
                    "host": "127.0.0.1",
                    "port": port,
                }
            )
            transport = Transport()
            await transport.start()
            client = (
                EngineClient(transport, FairSettings())
                if kind == "engine"
                else PlainClient(transport)
            )
            try:
                return await client.exchange(endpoint, call, sink, progress)
            except EndpointFailedError as error:
                return error
            finally:
                await transport.stop()
                server.close()

        return asyncio.run(scenario()), sink, progress, scripted

    def test_whole_stream_is_passed_and_charged(self):
        """Guards against a changed answer and a wrong charge."""
        answer = STREAM + chunked(token("ab"), token("c"), USAGE, DONE)
        got, sink, progress, _ = self.exchange("engine", call_for(), answer)
        self.assertEqual(token("ab") + token("c") + DONE, sink.body)
        self.assertTrue(sink.finished)
        self.assertEqual(3, progress.content_bytes)
        self.assertEqual(20 * 0.1 + 2 * 1.0, got.units)

    def test_usage_event_is_passed_to_callers_that_asked(self):
        """Guards against swallowing what the caller asked for."""
        answer = STREAM + chunked(token("ab"), USAGE, DONE)
        _, sink, _, _ = self.exchange("engine", call_for(wants_usage=True), answer)
        self.assertIn(USAGE, sink.body)

    def test_events_split_anywhere_are_whole(self):
        """Guards against passing a part of an event."""
        data = token("ab") + token("cd") + DONE
        for cut in range(1, len(data), 7):
            answer = STREAM + chunked(data[:cut], data[cut:])
            _, sink, _, _ = self.exchange("engine", call_for(), answer)
            self.assertEqual(data, sink.body)
            self.assertTrue(sink.finished)

    def test_cut_streams_are_incomplete(self):
        """Guards against taking a part of an answer for the whole."""
        cases = [
            STREAM + chunked(token("ab"), end=False),
            STREAM + chunked(token("ab")),
            STREAM + chunked(token("ab"), token("cd")[:20], end=False),
        ]
        for answer in cases:
            got, sink, progress, _ = self.exchange("engine", call_for(), answer)
            self.assertIsInstance(
                got, (EndpointReplyIncompleteError, EndpointDisconnectedError)
            )
            self.assertFalse(sink.finished)
            self.assertEqual(token("ab"), sink.body)
            self.assertEqual(2, progress.content_bytes)

    def test_resume_asks_for_the_missing_part_only(self):
        """Guards against a doubled or lost token after a resume."""
        begun = Progress(content_bytes=2, sent=True)
        resumed = (
            head(200, "text/event-stream", "Transfer-Encoding: chunked")
            + b"Resume-Offset: 2\r\n\r\n"
            + chunked(token("cd"), DONE)
        )
        _, sink, progress, scripted = self.exchange(
            "engine", call_for(), resumed, progress=begun
        )
        self.assertIn(b"Resume-Offset: 2\r\n", scripted.requests[0])
        self.assertEqual(token("cd") + DONE, sink.body)
        self.assertEqual(4, progress.content_bytes)

    def test_engine_that_cannot_resume_is_not_read(self):
        """Guards against a whole answer appended to its own beginning."""
        begun = Progress(content_bytes=2, sent=True)
        answer = STREAM + chunked(token("ab"), token("cd"), DONE)
        got, sink, _, _ = self.exchange("engine", call_for(), answer, progress=begun)
        self.assertIsInstance(got, EndpointReplyIncompleteError)
        self.assertEqual(b"", sink.body)

    def test_crossed_answer_is_dropped(self):
        """Guards against a caller receiving another caller's answer."""
        answer = head(200, "application/json", "X-Request-Id: r2", "Content-Length: 2")
        for kind in ("engine", "plain"):
            got, sink, _, _ = self.exchange(
                kind, call_for(stream=False), answer + b"\r\n{}"
            )
            self.assertIsInstance(got, EndpointReplyCrossedError)
            self.assertFalse(sink.started)

    def test_garbage_answers_are_typed(self):
        """Guards against an endpoint's garbage reaching a caller."""
        cases = [
            b"\x00\x01 garbage\r\n\r\n",
            STREAM + chunked(b"data: nonsense\n\n"),
            head(200, "text/html", "Content-Length: 2") + b"\r\nhi",
        ]
        for answer in cases:
            got, sink, _, _ = self.exchange("engine", call_for(), answer)
            self.assertIsInstance(
                got, (EndpointReplyMalformedError, EndpointDisconnectedError), answer
            )
            self.assertFalse(sink.started)

    def test_short_body_is_incomplete(self):
        """Guards against a truncated answer of a plain service."""
        answer = head(200, "text/plain", "Content-Length: 10") + b"\r\nhalf"
        got, sink, _, _ = self.exchange("plain", call_for(), answer)
        self.assertIsInstance(got, EndpointReplyIncompleteError)
        self.assertFalse(sink.finished)

    def test_unreachable_endpoint_has_not_run_it(self):
        """Guards against 'unknown' where nothing was sent, and the reverse."""
        for kind in ("engine", "plain"):
            got, _, progress, _ = self.exchange(kind, call_for(idempotent=False))
            self.assertIsInstance(got, EndpointUnreachableError)
            self.assertFalse(progress.sent)

    def test_connection_closed_without_answer_may_have_run(self):
        """Guards against a second run of what may have run, also by the library."""
        for method in ("POST", "GET"):
            call = call_for(stream=False, idempotent=False)
            call = Call(**{**_fields(call), "method": method})
            got, _, progress, scripted = self.exchange("plain", call, b"")
            self.assertIsInstance(got, EndpointDisconnectedError)
            self.assertTrue(progress.sent)
            self.assertEqual(1, scripted.connections)

    def test_timeout_is_typed_and_closes_the_connection(self):
        """Guards against a late answer read as that of the next request."""
        got, _, progress, _ = self.exchange("plain", call_for(run_timeout_s=0.1), None)
        self.assertIsInstance(got, EndpointTimeoutError)
        self.assertTrue(progress.sent)

    def test_refusals_are_not_run_only_where_that_is_known(self):
        """Guards against repeating a non-idempotent request after a 503."""
        answer = head(503, "text/plain", "Content-Length: 4") + b"\r\nbusy"
        got, _, progress, _ = self.exchange("plain", call_for(), answer)
        self.assertIsInstance(got, EndpointRefusedError)
        self.assertFalse(progress.sent)
        got, sink, progress, _ = self.exchange(
            "plain", call_for(idempotent=False), answer
        )
        self.assertEqual(503, sink.status)
        self.assertTrue(progress.sent)


def _fields(call):
    return {name: getattr(call, name) for name in call.__slots__}
