"""Tests of watches that are given up."""

import asyncio
import gc

from testtools import TestCase

from borageworks.exceptions import StoreUnavailableError
from borageworks.gateway.tests.test_state import GATEWAY
from borageworks.metrics import Metrics
from borageworks.platform.store import PlatformStore


class GivenUpWatchTest(TestCase):
    def test_failure_of_a_watch_that_is_given_up_is_no_stray_error(self):
        """Guards against tracebacks in the log after each outage of the store."""

        async def main():
            stray = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _loop, context: stray.append(context))
            store = PlatformStore(GATEWAY, Metrics())

            async def call(*_arguments, **_options):
                try:
                    await asyncio.sleep(60)
                except asyncio.CancelledError:
                    raise StoreUnavailableError("read failed") from None

            store._call = call  # type: ignore[method-assign]
            watch = asyncio.ensure_future(store._watch_once({}, 1.0))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            store._regained.set()
            with self.assertRaises(StoreUnavailableError):
                await watch
            del watch
            for _ in range(5):
                await asyncio.sleep(0)
            gc.collect()
            return stray

        self.assertEqual([], asyncio.run(main()))
