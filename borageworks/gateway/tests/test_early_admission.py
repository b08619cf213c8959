"""Tests of admission before requests are parsed."""

import asyncio
import socket
from types import SimpleNamespace
from unittest import mock

from multidict import CIMultiDict, CIMultiDictProxy
from testtools import TestCase

from borageworks.gateway.connection_screen import MAX_WAIT_S, ConnectionScreen
from borageworks.gateway.early_admission import (
    EarlyAdmission,
    EarlyDecision,
    is_one_request,
)
from borageworks.gateway.organisation_tally import NO_ORGANISATION, OrganisationTally
from borageworks.metrics import Metrics
from borageworks.platform.codec import PlatformCodec
from borageworks.platform.requests import caller_api_key, find_api_key

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Token k1\r\n\r\n"


class LimitedAdmission:
    """Admits all but one organisation."""

    limited = True
    limit_per_s = 1.0

    def __init__(self, refused):
        self._refused = refused
        self.asked = []

    def admit(self, _now, organisation):
        self.asked.append(organisation)
        return organisation != self._refused


def early_admission(admission):
    """Return early admission with one organisation that has the key `k1`."""
    organisations = {"k1": SimpleNamespace(name="o")}
    directory = mock.Mock(deployment=SimpleNamespace(organisations=organisations))
    tally = OrganisationTally("callers", "requests")
    return EarlyAdmission(PlatformCodec(), directory, admission, tally, Metrics())


class EarlyAdmissionTest(TestCase):
    def test_decides_on_complete_requests_only(self):
        """Guards against refusals that are lost as bytes of the request follow."""
        body = b"POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\n"
        complete = [REQUEST, body + b"abc"]
        other = [
            REQUEST[:-1],
            REQUEST + REQUEST,
            body + b"ab",
            body + b"abcd",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"POST / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n",
            b"HEAD / HTTP/1.1\r\n\r\n",
            b"",
        ]
        self.assertEqual([True] * len(complete), list(map(is_one_request, complete)))
        self.assertEqual([False] * len(other), list(map(is_one_request, other)))

    def test_finds_the_organisation_that_a_parser_finds(self):
        """Guards against a key in a body, or one that counts for nobody."""
        values = ["Token k1", "token  k1 ", "TOKEN k1", "Bearer k1", "Tokenk1", "Token"]
        for value in values:
            headers = CIMultiDictProxy(CIMultiDict(Authorization=value.strip()))
            head = b"GET / HTTP/1.1\r\nAuthorization: " + value.encode() + b"\r\n"
            self.assertEqual(caller_api_key(headers), find_api_key(head), value)
        admission = LimitedAdmission("o")
        early = early_admission(admission)
        hidden = b"POST / HTTP/1.1\r\nContent-Length: 31\r\n\r\n"
        body = b"\r\nAuthorization: Token k1\r\n\r\n\r\n"
        self.assertEqual(EarlyDecision.ADMITTED, early.decide(0.0, hidden + body))
        self.assertEqual(EarlyDecision.REFUSED, early.decide(0.0, REQUEST))
        self.assertEqual([NO_ORGANISATION, "o"], admission.asked)


class ConnectionScreenTest(TestCase):
    def run_screen(self, scenario):
        async def main():
            opened = []
            screen = ConnectionScreen(
                early_admission(LimitedAdmission("o")),
                lambda *connection: opened.append(connection),
                Metrics(),
            )
            caller, connection = socket.socketpair()
            connection.setblocking(False)
            with caller, connection:
                await scenario(screen, caller, connection)
                response = b""
                if not opened:
                    caller.settimeout(1.0)
                    while data := caller.recv(4_096):
                        response += data
                return response, [fields[1:] for fields in opened]

        return asyncio.run(main())

    def test_refuses_without_opening_a_connection(self):
        """Guards against a parser for each request that is refused."""

        async def scenario(screen, caller, connection):
            caller.sendall(REQUEST)
            screen.take(connection)

        response, opened = self.run_screen(scenario)
        head, _, body = response.partition(b"\r\n\r\n")
        self.assertEqual([], opened)
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "), head)
        self.assertIn(b"Content-Length: %d\r\n" % len(body), head)
        self.assertIn(b"Connection: close", head)

    def test_waits_for_a_request_that_has_not_arrived(self):
        """Guards against a flood that escapes by sending its requests a little late."""

        async def scenario(screen, caller, connection):
            screen.take(connection)
            self.assertEqual(1, screen.waiting)
            caller.sendall(REQUEST)
            await asyncio.sleep(0.05)
            self.assertEqual(0, screen.waiting)

        response, opened = self.run_screen(scenario)
        self.assertEqual((b"HTTP/1.1 503", []), (response[:12], opened))

    def test_opens_connections_without_a_complete_request(self):
        """Guards against lost bytes and callers that are never served."""

        async def part(screen, caller, connection):
            caller.sendall(REQUEST[:20])
            screen.take(connection)

        async def nothing(screen, _caller, connection):
            screen.take(connection)
            await asyncio.sleep(2 * MAX_WAIT_S)

        async def stopped(screen, _caller, connection):
            screen.take(connection)
            screen.release()

        self.assertEqual((b"", [(REQUEST[:20], False)]), self.run_screen(part))
        self.assertEqual((b"", [(b"", False)]), self.run_screen(nothing))
        self.assertEqual((b"", [(b"", False)]), self.run_screen(stopped))

    def test_hands_over_admitted_requests(self):
        """Guards against requests that are admitted twice, or for nobody."""

        async def admitted(screen, caller, connection):
            caller.sendall(REQUEST.replace(b"k1", b"k2"))
            screen.take(connection)

        async def left(screen, caller, connection):
            caller.sendall(REQUEST.replace(b"k1", b"k2"))
            caller.shutdown(socket.SHUT_WR)
            screen.take(connection)

        request = REQUEST.replace(b"k1", b"k2")
        self.assertEqual((b"", [(request, True)]), self.run_screen(admitted))
        self.assertEqual((b"", []), self.run_screen(left))
