"""Tests of how callers' connections are accepted."""

import asyncio
import errno
import socket
from unittest import mock

from testtools import TestCase

from borageworks.gateway.acceptor import BACKLOG, Acceptor
from borageworks.gateway.settings import HostPort
from borageworks.metrics import Metrics
from borageworks_emulator.ports import HOST, free_ports


class Greeting(asyncio.Protocol):
    def connection_made(self, transport):
        transport.write(b"hello")
        transport.close()


class AcceptorTest(TestCase):
    def play(self, scenario):
        async def main():
            address = HostPort(HOST, free_ports(1)[0])
            self.metrics = Metrics()
            acceptor = Acceptor(address, Greeting, self.metrics)
            acceptor.start()
            try:
                return await scenario(acceptor, address)
            finally:
                acceptor.stop()

        return asyncio.run(main())

    async def greet(self, address):
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(*address)
            greeting = await reader.read()
            writer.close()
            return greeting

    def test_many_connections_at_once_are_all_taken(self):
        """Guards against connections that are left in the queue."""

        async def scenario(_acceptor, address):
            return await asyncio.gather(
                *(self.greet(address) for _ in range(BACKLOG // 2))
            )

        self.assertEqual([b"hello"] * (BACKLOG // 2), self.play(scenario))

    def test_queue_is_looked_at_without_an_event(self):
        """Guards against a loop that leaves the listening socket out."""

        async def scenario(acceptor, address):
            asyncio.get_running_loop().remove_reader(acceptor._socket)
            return await self.greet(address)

        self.assertEqual(b"hello", self.play(scenario))

    def test_lack_of_descriptors_is_counted_and_survived(self):
        """Guards against an instance that takes no caller any more, or spins."""

        async def scenario(acceptor, address):
            real, failing = acceptor._socket, mock.Mock(wraps=acceptor._socket)
            failing.accept.side_effect = OSError(errno.EMFILE, "too many files")
            failing.fileno.side_effect = real.fileno
            acceptor._socket = failing
            waiting = asyncio.ensure_future(self.greet(address))
            await asyncio.sleep(0.25)
            attempts = failing.accept.call_count
            acceptor._socket = real
            return attempts, await waiting

        attempts, greeting = self.play(scenario)
        self.assertEqual(b"hello", greeting)
        self.assertTrue(1 <= attempts <= 6, attempts)
        self.assertEqual(
            attempts, self.metrics.value("connections_not_accepted", "OSError")
        )

    def test_stopped_acceptor_takes_nothing(self):
        """Guards against new callers while the instance shuts down."""

        async def scenario(acceptor, address):
            acceptor.stop()
            try:
                socket.create_connection(address, timeout=1.0).close()
            except ConnectionRefusedError:
                return True
            return False

        self.assertTrue(self.play(scenario))
