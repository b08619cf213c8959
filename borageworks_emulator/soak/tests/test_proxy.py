"""Tests of the loopback proxy."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from borageworks_emulator.ports import HOST
from borageworks_emulator.soak.conditions import CLEAR, CUT, Conditions
from borageworks_emulator.soak.proxy import LoopbackProxy

SILENCE_S = 0.15


class ProxyTest(TestCase):
    def play(self, scenario):
        async def echo(reader, writer):
            while data := await reader.read(100):
                self.arrived += data
                writer.write(data)
            writer.close()

        async def main():
            self.arrived = bytearray()
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

    async def read(self, reader):
        try:
            async with asyncio.timeout(SILENCE_S):
                return await reader.read(100)
        except TimeoutError:
            return None

    def test_bytes_and_the_end_pass(self):
        async def scenario(_proxy, reader, writer):
            writer.write(b"hello")
            first = await self.read(reader)
            writer.write_eof()
            return first, await self.read(reader)

        self.assertEqual((b"hello", b""), self.play(scenario))

    def test_cut_swallows_bytes_for_good(self):
        async def scenario(proxy, reader, writer):
            proxy.conditions = CUT
            writer.write(b"lost")
            during = await self.read(reader)
            proxy.conditions = CLEAR
            writer.write(b"late")
            return during, await self.read(reader), bytes(self.arrived)

        self.assertEqual((None, None, b""), self.play(scenario))

    def test_one_way_cut_lets_the_request_through(self):
        async def scenario(proxy, reader, writer):
            proxy.conditions = Conditions(lose_received=True)
            writer.write(b"asked")
            return await self.read(reader), bytes(self.arrived)

        self.assertEqual((None, b"asked"), self.play(scenario))

    def test_new_connection_waits_for_the_end_of_a_cut(self):
        async def scenario(proxy, _reader, _writer):
            proxy.conditions = CUT
            reader, writer = await asyncio.open_connection(*proxy.address)
            writer.write(b"later")
            during = await self.read(reader)
            proxy.conditions = CLEAR
            after = await self.read(reader)
            writer.close()
            return during, after

        self.assertEqual((None, b"later"), self.play(scenario))

    def test_delay_holds_bytes_up(self):
        async def scenario(proxy, reader, writer):
            proxy.conditions = replace(CLEAR, delay_s=0.7 * SILENCE_S)
            writer.write(b"slow")
            return await self.read(reader), await self.read(reader)

        self.assertEqual((None, b"slow"), self.play(scenario))

    def test_reset_is_no_regular_end(self):
        async def scenario(proxy, reader, writer):
            writer.write(b"x")
            await self.read(reader)
            proxy.reset()
            with self.assertRaises(ConnectionResetError):
                await reader.read(100)

        self.play(scenario)
