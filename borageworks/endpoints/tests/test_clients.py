"""Tests for the endpoint clients, with faulty endpoints."""

import asyncio
import itertools
import json
import socket
import struct
from typing import Any

import testtools

from borageworks.catalog.objects import Endpoint, Service
from borageworks.config.settings import FairSettings
from borageworks.endpoints.call import Call
from borageworks.endpoints.engine import EngineClient
from borageworks.endpoints.plain import PlainServiceClient
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
from borageworks.metrics import Metrics


def token_event(text, software=None):
    event = {"choices": [{"index": 0, "delta": {"content": text}}]}
    if software is not None:
        event["system_fingerprint"] = software
    return b"data: %b\n\n" % json.dumps(event).encode()


USAGE_EVENT = (
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
DONE_EVENT = b"data: [DONE]\n\n"


def chunked(*chunks, end=True):
    body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return body + (b"0\r\n\r\n" if end else b"")


def response_head(status=200, content_type="text/event-stream", *extra):
    lines = [f"HTTP/1.1 {status} X", f"Content-Type: {content_type}", *extra]
    return ("\r\n".join(lines) + "\r\n").encode()


STREAM_HEAD = (
    response_head(200, "text/event-stream", "Transfer-Encoding: chunked") + b"\r\n"
)


class RecordingSink:
    """Records the response that a client writes."""

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


class ScriptedEndpoint:
    """Sends the next response on each connection, and repeats the last one."""

    def __init__(self, *responses, resets=False):
        self.responses = list(responses)
        self.resets = resets
        self.requests = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        request = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(request)
        response = (
            self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        )
        if response is None:
            await asyncio.sleep(3600)
        writer.write(response)
        await writer.drain()
        if self.resets:
            # An immediate reset would discard data that is still in flight.
            await asyncio.sleep(0.02)
            reset(writer)
        writer.close()


def make_call(stream=True, idempotent=True, run_timeout_s=5.0, wants_usage=False):
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
    def exchange(self, client_kind, call, *responses, progress=None, resets=False):
        """Return (exchange or error, sink, progress, endpoint)."""
        scripted_endpoint = ScriptedEndpoint(*responses, resets=resets)
        sink: Any = RecordingSink()
        progress = progress or Progress()

        async def scenario():
            server = await asyncio.start_server(scripted_endpoint.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            if not responses:
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
            transport = Transport(Metrics())
            await transport.start()
            client = (
                EngineClient(transport, FairSettings())
                if client_kind == "engine"
                else PlainServiceClient(transport)
            )
            try:
                return await client.exchange(endpoint, call, sink, progress)
            except EndpointFailedError as error:
                return error
            finally:
                await transport.stop()
                server.close()

        return asyncio.run(scenario()), sink, progress, scripted_endpoint

    def test_complete_stream_is_forwarded_and_charged(self):
        """Guards against altered responses and wrong service units."""
        response = STREAM_HEAD + chunked(
            token_event("ab"), token_event("c"), USAGE_EVENT, DONE_EVENT
        )
        result, sink, progress, _ = self.exchange("engine", make_call(), response)
        self.assertEqual(token_event("ab") + token_event("c") + DONE_EVENT, sink.body)
        self.assertTrue(sink.finished)
        self.assertEqual(3, progress.content_bytes)
        self.assertEqual(20 * 0.1 + 2 * 1.0, result.units)

    def test_usage_event_is_forwarded_on_request(self):
        """Guards against dropping a usage event that the caller requested."""
        response = STREAM_HEAD + chunked(token_event("ab"), USAGE_EVENT, DONE_EVENT)
        _, sink, _, _ = self.exchange("engine", make_call(wants_usage=True), response)
        self.assertIn(USAGE_EVENT, sink.body)

    def test_events_split_at_any_byte_are_reassembled(self):
        """Guards against forwarding an incomplete event."""
        data = token_event("ab") + token_event("cd") + DONE_EVENT
        for cut in range(1, len(data), 7):
            response = STREAM_HEAD + chunked(data[:cut], data[cut:])
            _, sink, _, _ = self.exchange("engine", make_call(), response)
            self.assertEqual(data, sink.body)
            self.assertTrue(sink.finished)

    def test_truncated_streams_are_incomplete(self):
        """Guards against treating a truncated response as complete."""
        cases = [
            STREAM_HEAD + chunked(token_event("ab"), end=False),
            STREAM_HEAD + chunked(token_event("ab")),
            STREAM_HEAD + chunked(token_event("ab"), token_event("cd")[:20], end=False),
        ]
        for response in cases:
            result, sink, progress, _ = self.exchange("engine", make_call(), response)
            self.assertIsInstance(
                result, (EndpointReplyIncompleteError, EndpointDisconnectedError)
            )
            self.assertFalse(sink.finished)
            self.assertEqual(token_event("ab"), sink.body)
            self.assertEqual(2, progress.content_bytes)

    def test_resume_requests_only_the_missing_content(self):
        """Guards against duplicated or lost tokens after a resume."""
        interrupted = Progress(content_bytes=2, sent=True)
        resumed = (
            response_head(200, "text/event-stream", "Transfer-Encoding: chunked")
            + b"Resume-Offset: 2\r\n\r\n"
            + chunked(token_event("cd"), DONE_EVENT)
        )
        _, sink, progress, scripted_endpoint = self.exchange(
            "engine", make_call(), resumed, progress=interrupted
        )
        self.assertIn(b"Resume-Offset: 2\r\n", scripted_endpoint.requests[0])
        self.assertEqual(token_event("cd") + DONE_EVENT, sink.body)
        self.assertEqual(4, progress.content_bytes)

    def test_stream_is_not_resumed_by_an_engine_with_other_software(self):
        """Guards against a stream joined from two versions of the engines' software."""
        head = response_head(200, "text/event-stream", "Transfer-Encoding: chunked")
        head += b"Resume-Offset: 2\r\n\r\n"
        for software, forwarded in (("v1", True), ("v2", False), (None, True)):
            interrupted = Progress(content_bytes=2, sent=True, software="v1")
            rest = token_event("cd", software)
            result, sink, progress, _ = self.exchange(
                "engine",
                make_call(),
                head + chunked(rest, DONE_EVENT),
                progress=interrupted,
            )
            if forwarded:
                self.assertEqual(rest + DONE_EVENT, sink.body)
            else:
                self.assertIsInstance(result, EndpointReplyIncompleteError)
                self.assertEqual((b"", 2), (sink.body, progress.content_bytes))
        begun = STREAM_HEAD + chunked(token_event("ab", "v1"), DONE_EVENT)
        *_, progress, _ = self.exchange("engine", make_call(), begun)
        self.assertEqual("v1", progress.software)

    def test_stream_that_was_not_resumed_is_not_forwarded(self):
        """Guards against appending a complete response to its own beginning."""
        interrupted = Progress(content_bytes=2, sent=True)
        response = STREAM_HEAD + chunked(
            token_event("ab"), token_event("cd"), DONE_EVENT
        )
        result, sink, _, _ = self.exchange(
            "engine", make_call(), response, progress=interrupted
        )
        self.assertIsInstance(result, EndpointReplyIncompleteError)
        self.assertEqual(b"", sink.body)

    def test_response_with_another_request_id_is_dropped(self):
        """Guards against sending a caller the response to another request."""
        response = response_head(
            200, "application/json", "X-Request-Id: r2", "Content-Length: 2"
        )
        for client_kind in ("engine", "plain"):
            result, sink, _, _ = self.exchange(
                client_kind, make_call(stream=False), response + b"\r\n{}"
            )
            self.assertIsInstance(result, EndpointReplyCrossedError)
            self.assertFalse(sink.started)

    def test_malformed_responses_raise_typed_errors(self):
        """Guards against forwarding malformed responses to a caller."""
        cases = [
            b"\x00\x01 garbage\r\n\r\n",
            STREAM_HEAD + chunked(b"data: nonsense\n\n"),
            response_head(200, "text/html", "Content-Length: 2") + b"\r\nhi",
        ]
        for response in cases:
            result, sink, _, _ = self.exchange("engine", make_call(), response)
            self.assertIsInstance(
                result,
                (EndpointReplyMalformedError, EndpointDisconnectedError),
                response,
            )
            self.assertFalse(sink.started)

    def test_truncated_body_is_incomplete(self):
        """Guards against treating a truncated body of a plain service as complete."""
        response = response_head(200, "text/plain", "Content-Length: 10") + b"\r\nhalf"
        result, sink, _, _ = self.exchange("plain", make_call(), response)
        self.assertIsInstance(result, EndpointReplyIncompleteError)
        self.assertFalse(sink.finished)

    def test_reset_response_without_a_length_is_incomplete(self):
        """Guards against a reset that is taken for the end of a response."""
        head = response_head(200, "application/json") + b"\r\n"
        for client_kind in ("engine", "plain"):
            call = make_call(stream=False)
            result, sink, _, _ = self.exchange(
                client_kind, call, head + b'{"choices": []}', resets=True
            )
            self.assertIsInstance(result, EndpointReplyIncompleteError, client_kind)
            self.assertFalse(sink.finished)

    def test_response_with_an_invalid_status(self):
        """Guards against a status that is none, and a refusal that promises nothing."""
        for status, client_kind, idempotent in itertools.product(
            ("000", "099", "101", "600", "999"), ("engine", "plain"), (True, False)
        ):
            head = response_head(status, "application/json", "Content-Length: 2")
            call = make_call(stream=False, idempotent=idempotent)
            result, sink, progress, _ = self.exchange(
                client_kind, call, head + b"\r\n{}"
            )
            self.assertIsInstance(result, EndpointReplyMalformedError, status)
            self.assertEqual((False, True), (sink.started, progress.sent))

    def test_request_to_unreachable_endpoint_was_not_sent(self):
        """Guards against confusing unsent requests with those that may have run."""
        for client_kind in ("engine", "plain"):
            result, _, progress, _ = self.exchange(
                client_kind, make_call(idempotent=False)
            )
            self.assertIsInstance(result, EndpointUnreachableError)
            self.assertFalse(progress.sent)

    def test_request_may_have_run_if_connection_closes_without_response(self):
        """Guards against retries of a request that may have run, also by aiohttp."""
        for method in ("POST", "GET"):
            call = make_call(stream=False, idempotent=False)
            call = Call(**{**_fields(call), "method": method})
            result, _, progress, scripted_endpoint = self.exchange("plain", call, b"")
            self.assertIsInstance(result, EndpointDisconnectedError)
            self.assertTrue(progress.sent)
            self.assertEqual(1, scripted_endpoint.connections)

    def test_timeout_raises_typed_error_and_closes_connection(self):
        """Guards against reading a late response as that of the next request."""
        result, _, progress, _ = self.exchange(
            "plain", make_call(run_timeout_s=0.1), None
        )
        self.assertIsInstance(result, EndpointTimeoutError)
        self.assertTrue(progress.sent)

    def test_refusal_of_non_idempotent_request_may_have_run(self):
        """Guards against retries of a non-idempotent request after a 503."""
        response = response_head(503, "text/plain", "Content-Length: 4") + b"\r\nbusy"
        result, _, progress, _ = self.exchange("plain", make_call(), response)
        self.assertIsInstance(result, EndpointRefusedError)
        self.assertFalse(progress.sent)
        result, sink, progress, _ = self.exchange(
            "plain", make_call(idempotent=False), response
        )
        self.assertEqual(503, sink.status)
        self.assertTrue(progress.sent)


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _fields(call):
    return {name: getattr(call, name) for name in call.__slots__}
