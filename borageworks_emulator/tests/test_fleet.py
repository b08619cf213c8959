"""Tests of the settings, tickets and probes of an emulated fleet."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp
import testtools
from aiohttp import web

from borageworks.catalog.objects import Ticket
from borageworks.config.settings import Settings
from borageworks_emulator.fleet import (
    Fleet,
    FleetSample,
    TicketFailedError,
    max_rate,
    router_settings,
)
from borageworks_emulator.probe import (
    RouterNotReadyError,
    control_bytes,
    parse_metrics,
    wait_ready,
)
from borageworks_emulator.process import RouterProcess
from borageworks_emulator.store import EmulatedStore
from borageworks_emulator.topology import PATITSA, SLAAPCEL


class SettingsTest(testtools.TestCase):
    def test_settings_are_valid_and_addresses_distinct(self):
        """Guards against routers that share a port and settings that `run` rejects."""
        settings = router_settings(PATITSA, 6, "http://127.0.0.1:1")
        pairs = [
            address.host_port
            for instance_settings in settings
            for address in (
                instance_settings.listen,
                instance_settings.gossip,
                instance_settings.peer,
            )
        ]
        self.assertEqual(18, len(set(pairs)))
        self.assertEqual(
            3, len({instance_settings.domain for instance_settings in settings})
        )
        for instance_settings in settings:
            self.assertEqual(
                instance_settings,
                Settings.model_validate_json(instance_settings.model_dump_json()),
            )

    def test_first_ticket_is_complete(self):
        """Guards against a ticket whose objects refer to missing objects."""

        async def main(topology):
            endpoints = topology.endpoints()
            for endpoint in endpoints:
                await endpoint.start()
            try:
                return topology.ticket(endpoints)
            finally:
                for endpoint in endpoints:
                    await endpoint.stop()

        for topology in (PATITSA, SLAAPCEL):
            ticket = asyncio.run(main(topology))
            decoded = Ticket.model_validate_json(ticket.model_dump_json())
            self.assertEqual(ticket, decoded)
            pools = {item.id for item in ticket.put if item.kind == "pool"}
            used = {
                item.pool for item in ticket.put if item.kind in ("endpoint", "service")
            }
            self.assertEqual(pools, used)


class TicketTest(testtools.TestCase):
    def test_ticket_command_accepts_a_ticket_and_rejects_an_older_one(self):
        """Guards against a deployment that `borageworks ticket apply` cannot create."""

        async def main(directory):
            store = EmulatedStore()
            endpoints = PATITSA.endpoints()
            await store.start()
            try:
                for endpoint in endpoints:
                    await endpoint.start()
                [settings] = router_settings(PATITSA, 1, store.url)
                fleet = Fleet([settings], directory)
                await fleet.apply(PATITSA.ticket(endpoints, number=2))
                try:
                    await fleet.apply(PATITSA.ticket(endpoints[:-1], number=1))
                except TicketFailedError as error:
                    return store.calls["txn"], str(error)
                return store.calls["txn"], ""
            finally:
                for endpoint in endpoints:
                    await endpoint.stop()
                await store.stop()

        with tempfile.TemporaryDirectory() as directory:
            writes, error = asyncio.run(main(Path(directory)))
        self.assertTrue(writes >= 1)
        self.assertIn("ticket_conflict", error)


class SampleTest(testtools.TestCase):
    def test_restarted_routers_are_left_out_of_the_rate(self):
        """Guards against a rate computed from counters that a restart reset."""
        before = FleetSample(
            0.0, control_bytes={"a": 100.0, "b": 0.0}, starts={"a": 1, "b": 1}
        )
        after = FleetSample(
            2.0, control_bytes={"a": 10.0, "b": 50.0}, starts={"a": 2, "b": 1}
        )
        self.assertEqual(25.0, max_rate(before, after, "control_bytes"))
        self.assertIsNone(max_rate(before, after, "cpu_s"))


class ProbeTest(testtools.TestCase):
    def test_metrics_are_summed_over_labels(self):
        """Guards against control bytes that leave out a label."""
        text = (
            "# TYPE borageworks_control_bytes_total counter\n"
            'borageworks_control_bytes_total{reason="sent"} 5\n'
            'borageworks_control_bytes_total{reason="received"} 7\n'
        )
        self.assertEqual(12.0, control_bytes(parse_metrics(text)))
        self.assertIsNone(control_bytes(parse_metrics("other 1\n")))

    def test_error_of_an_unready_router_names_the_reason(self):
        """Guards against sending load to a fleet that is not ready."""

        async def unready(request):
            return web.json_response({"lacking": ["catalog"]}, status=503)

        async def main():
            application = web.Application()
            application.router.add_get("/readyz", unready)
            runner = web.AppRunner(application)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            url = f"http://127.0.0.1:{runner.addresses[0][1]}"
            try:
                async with aiohttp.ClientSession() as session:
                    await wait_ready(session, url, 0.2)
            finally:
                await runner.cleanup()

        error = self.assertRaises(RouterNotReadyError, asyncio.run, main())
        self.assertIn("catalog", str(error))


class ProcessTest(testtools.TestCase):
    def test_kill_ends_a_process_stopped_by_a_signal(self):
        """Guards against router processes that keep running after a measurement."""

        async def main(directory):
            [settings] = router_settings(PATITSA, 1, "http://127.0.0.1:1")
            router = RouterProcess(settings, directory)
            router._process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", "import time; time.sleep(60)"
            )
            router.send_signal(signal.SIGSTOP)
            usage = router.cpu_s, router.memory_mb
            await router.kill()
            return usage, router.alive

        with tempfile.TemporaryDirectory() as directory:
            (cpu_s, memory_mb), alive = asyncio.run(main(Path(directory)))
        self.assertFalse(alive)
        self.assertTrue(cpu_s >= 0.0 and memory_mb > 0.0)
