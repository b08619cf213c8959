"""Tests of the acceptor of callers' connections."""

import asyncio
import errno
import math
import socket
from unittest import mock

from testtools import TestCase

from borageworks.gateway import acceptor as acceptor_module
from borageworks.gateway.acceptor import (
    LISTEN_BACKLOG,
    MAX_OPENED_PER_POLL,
    RECEIVE_BUFFER_BYTES,
    Acceptor,
    max_waiting_connections,
)
from borageworks.gateway.settings import HostPort
from borageworks.metrics import Metrics
from borageworks_emulator.ports import HOST, free_ports


class GreetingProtocol(asyncio.Protocol):
    def __init__(self, received=b"", admitted=False):
        self.received = received
        self.admitted = admitted

    def connection_made(self, transport):
        transport.write(b"hello")
        transport.close()


class AcceptorTest(TestCase):
    def run_scenario(self, scenario):
        async def main():
            address = HostPort(HOST, free_ports(1)[0])
            self.metrics = Metrics()
            acceptor = Acceptor(address, GreetingProtocol, self.metrics)
            acceptor.start()
            try:
                return await scenario(acceptor, address)
            finally:
                acceptor.stop()

        return asyncio.run(main())

    async def read_greeting(self, address):
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(*address)
            greeting = await reader.read()
            writer.close()
            return greeting

    def test_accepts_many_simultaneous_connections(self):
        """Guards against connections left in the accept queue."""

        async def scenario(_acceptor, address):
            return await asyncio.gather(
                *(self.read_greeting(address) for _ in range(LISTEN_BACKLOG // 2))
            )

        self.assertEqual(
            [b"hello"] * (LISTEN_BACKLOG // 2), self.run_scenario(scenario)
        )

    def test_stop_accepts_all_connections_that_wait(self):
        """Guards against a planned stop that resets connections in a long queue."""

        async def main():
            address = HostPort(HOST, free_ports(1)[0])
            acceptor = Acceptor(address, GreetingProtocol, Metrics())
            acceptor.start()
            callers = [
                socket.create_connection(address, 3.0)
                for _ in range(LISTEN_BACKLOG // 2)
            ]
            # A machine so slow that a poll has time for one connection only.
            with mock.patch.object(acceptor_module, "MAX_POLL_S", 1e-6):
                acceptor.stop()
            try:
                return await asyncio.to_thread(
                    lambda: [caller.recv(16) for caller in callers]
                )
            finally:
                for caller in callers:
                    caller.close()

        greetings = asyncio.run(main())
        self.assertEqual([b"hello"] * (LISTEN_BACKLOG // 2), greetings)

    def test_queue_fits_into_the_memory(self):
        """Guards against connections that fill the memory before they are accepted."""
        for memory_bytes in (100e6, 200e6, 400e6, math.inf):
            length = max_waiting_connections(memory_bytes)
            self.assertTrue(64 <= length <= LISTEN_BACKLOG, length)
            self.assertTrue(2 * RECEIVE_BUFFER_BYTES * length <= 0.1 * memory_bytes)

    def test_tells_when_a_poll_leaves_connections_waiting(self):
        """Guards against a queue that grows while nobody limits requests."""
        polled: list[bool] = []

        async def main():
            address = HostPort(HOST, free_ports(1)[0])
            acceptor = Acceptor(
                address, GreetingProtocol, Metrics(), on_polled=polled.append
            )
            acceptor.start()
            callers = []
            try:
                for _ in range(MAX_OPENED_PER_POLL + 1):
                    caller = socket.create_connection(address)
                    callers.append(caller)
                acceptor._accept()
                acceptor._accept()
                await asyncio.sleep(0)
            finally:
                acceptor.stop()
                for caller in callers:
                    caller.close()

        asyncio.run(main())
        self.assertEqual([False, True], polled[:2])

    def test_asks_for_room_only_for_waiting_connections(self):
        """Guards against closing callers for connections that nobody opens."""
        asked = []

        def may_accept(opening):
            asked.append(opening)
            return True

        async def main():
            address = HostPort(HOST, free_ports(1)[0])
            acceptor = Acceptor(address, GreetingProtocol, Metrics(), may_accept)
            acceptor.start()
            try:
                acceptor._accept()
                asked_before = len(asked)
                await self.read_greeting(address)
                return asked_before
            finally:
                acceptor.stop()

        self.assertEqual(0, asyncio.run(main()))
        self.assertEqual(1, len(asked))

    def test_polls_queue_without_readiness_event(self):
        """Guards against an event loop that does not report the socket as readable."""

        async def scenario(acceptor, address):
            asyncio.get_running_loop().remove_reader(acceptor._socket)
            return await self.read_greeting(address)

        self.assertEqual(b"hello", self.run_scenario(scenario))

    def test_recovers_after_running_out_of_descriptors(self):
        """Guards against an acceptor that stops for good or retries in a busy loop."""

        async def scenario(acceptor, address):
            real, failing = acceptor._socket, mock.Mock(wraps=acceptor._socket)
            failing.accept.side_effect = OSError(errno.EMFILE, "too many files")
            failing.fileno.side_effect = real.fileno
            acceptor._socket = failing
            pending_greeting = asyncio.ensure_future(self.read_greeting(address))
            await asyncio.sleep(0.25)
            attempts = failing.accept.call_count
            acceptor._socket = real
            return attempts, await pending_greeting

        attempts, greeting = self.run_scenario(scenario)
        self.assertEqual(b"hello", greeting)
        self.assertTrue(1 <= attempts <= 6, attempts)
        self.assertEqual(
            attempts, self.metrics.value("connections_not_accepted", "OSError")
        )

    def test_stopped_acceptor_refuses_connections(self):
        """Guards against new connections while the instance shuts down."""

        async def scenario(acceptor, address):
            acceptor.stop()
            try:
                socket.create_connection(address, timeout=1.0).close()
            except ConnectionRefusedError:
                return True
            return False

        self.assertTrue(self.run_scenario(scenario))
