"""Tests of the loopback proxy."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from borageworks_emulator.ports import HOST
from borageworks_emulator.soak.conditions import CUT, UNIMPAIRED, Conditions
from borageworks_emulator.soak.proxy import LoopbackProxy

READ_TIMEOUT_S = 0.15


class ProxyTest(TestCase):
    def run_scenario(self, scenario):
        async def echo(reader, writer):
            while data := await reader.read(100):
                self.received += data
                writer.write(data)
            writer.close()

        async def main():
            self.received = bytearray()
            server = await asyncio.start_server(echo, HOST, 0)
            proxy = LoopbackProxy(lambda: server.sockets[0].getsockname()[:2])
            await proxy.start()
            reader, writer = await asyncio.open_connection(*proxy.address)
            try:
                return await scenario(proxy, reader, writer)
            finally:
                writer.close()
                await proxy.stop()
                server.close()

        return asyncio.run(main())

    async def read_or_none(self, reader):
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await reader.read(100)
        except TimeoutError:
            return None

    def test_bytes_and_end_of_stream_are_forwarded(self):
        async def scenario(_proxy, reader, writer):
            writer.write(b"hello")
            first = await self.read_or_none(reader)
            writer.write_eof()
            return first, await self.read_or_none(reader)

        self.assertEqual((b"hello", b""), self.run_scenario(scenario))

    def test_connection_stays_silent_after_bytes_are_lost_in_a_cut(self):
        async def scenario(proxy, reader, writer):
            proxy.conditions = CUT
            writer.write(b"lost")
            during = await self.read_or_none(reader)
            proxy.conditions = UNIMPAIRED
            writer.write(b"late")
            return during, await self.read_or_none(reader), bytes(self.received)

        self.assertEqual((None, None, b""), self.run_scenario(scenario))

    def test_one_way_cut_forwards_the_other_direction(self):
        async def scenario(proxy, reader, writer):
            proxy.conditions = Conditions(lose_received=True)
            writer.write(b"asked")
            return await self.read_or_none(reader), bytes(self.received)

        self.assertEqual((None, b"asked"), self.run_scenario(scenario))

    def test_new_connection_waits_for_the_end_of_a_cut(self):
        async def scenario(proxy, _reader, _writer):
            proxy.conditions = CUT
            reader, writer = await asyncio.open_connection(*proxy.address)
            writer.write(b"later")
            during = await self.read_or_none(reader)
            proxy.conditions = UNIMPAIRED
            after = await self.read_or_none(reader)
            writer.close()
            return during, after

        self.assertEqual((None, b"later"), self.run_scenario(scenario))

    def test_delay_is_applied_to_bytes(self):
        async def scenario(proxy, reader, writer):
            proxy.conditions = replace(UNIMPAIRED, delay_s=0.7 * READ_TIMEOUT_S)
            writer.write(b"slow")
            return await self.read_or_none(reader), await self.read_or_none(reader)

        self.assertEqual((None, b"slow"), self.run_scenario(scenario))

    def test_reset_is_not_a_regular_end(self):
        async def scenario(proxy, reader, writer):
            writer.write(b"x")
            await self.read_or_none(reader)
            proxy.reset()
            with self.assertRaises(ConnectionResetError):
                await reader.read(100)

        self.run_scenario(scenario)
