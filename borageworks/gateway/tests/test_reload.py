"""Tests of reloading the settings file."""

import asyncio
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from borageworks.exceptions import SettingsInvalidError
from borageworks.gateway.reload import SettingsReloader
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics


def load(path):
    text = path.read_text() if path.exists() else ""
    if not text.isdigit():
        raise SettingsInvalidError(("not a number",))
    return replace(GATEWAY, retry_allowance=float(text))


class SettingsReloaderTest(TestCase):
    def run_reloader(self, change_file):
        applied = []

        async def main():
            with TemporaryDirectory() as directory:
                path = Path(directory) / "settings"
                path.write_text("1")
                metrics = Metrics()
                reloader = SettingsReloader(
                    path,
                    load,
                    lambda item: applied.append(item.retry_allowance),
                    metrics,
                )
                task = asyncio.create_task(reloader.run())
                await change_file(path, reloader)
                task.cancel()
                return metrics

        return applied, asyncio.run(main())

    def test_changes_with_and_without_a_signal_take_effect(self):
        """Guards against settings that take effect only after a restart."""

        async def change_file(path, reloader):
            path.write_text("2")
            reloader.signal()
            await asyncio.sleep(0.05)
            path.write_text("33")
            await asyncio.sleep(1.3)

        applied, _ = self.run_reloader(change_file)
        self.assertEqual([2.0, 33.0], applied)

    def test_invalid_file_changes_nothing(self):
        """Guards against a running instance that exits when its file is invalid."""

        async def change_file(path, reloader):
            path.write_text("broken")
            reloader.signal()
            await asyncio.sleep(0.05)
            path.unlink()
            await asyncio.sleep(1.2)

        applied, metrics = self.run_reloader(change_file)
        self.assertEqual([], applied)
        self.assertTrue(metrics.value("settings_reloads", "settings_invalid") >= 1)
