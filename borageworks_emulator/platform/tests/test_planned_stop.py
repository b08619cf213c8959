"""Tests of requests that arrive while a gateway closes its connections."""

import asyncio
import os
import re
from unittest import mock

from testtools import TestCase

from borageworks.api.connection import CallerConnection
from borageworks.gateway.connection_limit import MIN_IDLE_S
from borageworks.gateway.frontend import Frontend
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
)

CALLERS = 60


def request_head(harness):
    """Return the bytes of a request without a body."""
    headers = harness.request_headers()
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(["GET /look/ HTTP/1.1", *lines, "", ""]).encode()


async def read_status(reader):
    """Read a response; return its status, None if the connection was closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return None
    length = re.search(rb"(?i)content-length: (\d+)", head)
    if length:
        await reader.readexactly(int(length[1]))
    return int(head.split()[1])


class PlannedStopTest(TestCase):
    def run_scenario(self, scenario):
        desk = EmulatedEndpoint("d", lambda _: Behaviour(plain_body=True))

        async def main():
            endpoints = {
                PLAIN_SERVICE: [desk],
                ENGINE_SERVICE: [EmulatedEndpoint("e")],
            }
            async with Harness(endpoints) as harness:
                await harness.register(desk, PLAIN_SERVICE, slots=2 * CALLERS)
                await harness.wait_until_current()
                return await scenario(harness)

        return asyncio.run(main())

    def test_request_read_just_before_idle_connections_are_closed(self):
        """Guards against closing a connection whose request has been read."""
        read = set()
        frontends: list[Frontend] = []
        receive = CallerConnection.data_received

        def record(connection, data):
            read.add(connection.transport.get_extra_info("peername")[1])
            receive(connection, data)
            # At the earliest moment after the bytes have been read.
            frontends[0].close_idle()
            asyncio.get_running_loop().call_soon(frontends[0].close_idle)

        async def send(harness, head, part):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.ports[0]
            )
            port = writer.get_extra_info("sockname")[1]
            try:
                writer.write(head[:part])
                await asyncio.sleep(0.01)
                writer.write(head[part:])
                return port, await reader.readline()
            except OSError:
                return port, b""
            finally:
                writer.close()

        async def scenario(harness):
            frontends.append(harness.gateway._frontend)
            head = request_head(harness)
            calls = [
                asyncio.ensure_future(send(harness, head, len(head) * n // CALLERS))
                for n in range(CALLERS)
            ]
            return await asyncio.gather(*calls)

        with mock.patch.object(CallerConnection, "data_received", record):
            responses = self.run_scenario(scenario)
        cut = [port for port, data in responses if port in read and not data]
        self.assertEqual([], cut)
        self.assertTrue(read)

    def test_request_that_has_arrived_but_not_been_read(self):
        """Guards against a reset of requests that reach a gateway while it lags."""

        async def scenario(harness):
            frontend = harness.gateway._frontend
            head = request_head(harness)
            address = "127.0.0.1", harness.ports[0]
            reader, writer = await asyncio.open_connection(*address)
            answers = []
            # On a new connection and on one that has been used.
            for _ in range(2):
                await asyncio.sleep(0.05)
                os.write(writer.get_extra_info("socket").fileno(), head)
                frontend.close_idle()
                answers.append(await read_status(reader))
            writer.close()
            return answers

        self.assertEqual([200, 200], self.run_scenario(scenario))

    def test_new_connection_whose_request_takes_a_moment(self):
        """Guards against closing connections between their opening and a request."""

        async def scenario(harness):
            address = "127.0.0.1", harness.ports[0]
            stop = asyncio.ensure_future(harness.gateway.stop())
            reader, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(0.5)
            writer.write(request_head(harness))
            status = await read_status(reader)
            writer.close()
            await stop
            return status

        with mock.patch("borageworks.platform.settings.BALANCER_LAG_S", 0.1):
            self.assertEqual(200, self.run_scenario(scenario))

    def test_new_connections_without_a_request_do_not_hold_a_stop(self):
        """Guards against a stop that waits until its deadline for unused ones."""

        async def scenario(harness):
            address = "127.0.0.1", harness.ports[0]
            unused = [await asyncio.open_connection(*address) for _ in range(3)]
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await harness.gateway.stop()
            for _, writer in unused:
                writer.close()
            return loop.time() - started_at

        with mock.patch("borageworks.platform.settings.BALANCER_LAG_S", 0.1):
            taken_s = self.run_scenario(scenario)
        self.assertTrue(taken_s < 2 * MIN_IDLE_S, taken_s)

    def test_drain_waits_for_a_request_that_has_not_been_read(self):
        """Guards against a stop that ends before the last requests are read."""

        async def scenario(harness):
            gateway = harness.gateway
            address = "127.0.0.1", harness.ports[0]
            reader, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(0.05)
            os.write(writer.get_extra_info("socket").fileno(), request_head(harness))
            await gateway._drain(asyncio.get_running_loop().time() + 2.0)
            await gateway._frontend.stop()
            status = await read_status(reader)
            writer.close()
            return status

        self.assertEqual(200, self.run_scenario(scenario))

    def test_connections_in_the_accept_queue_when_the_gateway_stops(self):
        """Guards against resetting callers that wait to be accepted."""

        async def scenario(harness):
            acceptor = harness.gateway._frontend._acceptor
            loop = asyncio.get_running_loop()
            # The loop does not accept, as if it had been busy at this moment.
            loop.remove_reader(acceptor._socket)
            acceptor._poll_timer.cancel()
            calls = [
                asyncio.ensure_future(harness.send_request("/look/", "GET"))
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(0.3)
            await harness.gateway._frontend.stop_accepting()
            return [(await call)[0] for call in calls]

        # A slow machine may take longer for a burst than an owner lets requests wait.
        with mock.patch("borageworks.gateway.placement_inbox.MIN_WAIT_S", 10.0):
            self.assertEqual([200] * CALLERS, self.run_scenario(scenario))

    def test_callers_that_connect_until_a_gateway_has_stopped(self):
        """Guards against cutting requests that a balancer sends until the end."""
        read, answered = set(), set()
        receive = CallerConnection.data_received

        def record(connection, data):
            read.add(connection.transport.get_extra_info("peername")[1])
            receive(connection, data)

        async def send(port, head):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                return False
            caller = writer.get_extra_info("sockname")[1]
            try:
                writer.write(head)
                if await reader.readline():
                    answered.add(caller)
            except OSError:
                pass
            finally:
                writer.close()
            return True

        async def keep_sending(port, head):
            while await send(port, head):
                pass

        async def scenario(harness):
            head = request_head(harness)
            callers = [
                asyncio.ensure_future(keep_sending(harness.ports[0], head))
                for _ in range(8)
            ]
            await asyncio.sleep(0.2)
            await harness.gateway.stop()
            await asyncio.gather(*callers)

        with (
            mock.patch.object(CallerConnection, "data_received", record),
            mock.patch("borageworks.platform.settings.BALANCER_LAG_S", 0.5),
        ):
            self.run_scenario(scenario)
        self.assertTrue(len(answered) > 100, len(answered))
        self.assertEqual(set(), read - answered)
