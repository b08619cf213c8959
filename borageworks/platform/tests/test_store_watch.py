"""Tests for cancelled watch calls."""

import asyncio
import gc

from testtools import TestCase

from borageworks.exceptions import StoreUnavailableError
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics
from borageworks.platform.store import PlatformStore


class CancelledWatchTest(TestCase):
    def test_error_of_a_cancelled_watch_call_is_retrieved(self):
        """Guards against tracebacks in the log after an outage of the store."""

        async def scenario():
            unhandled_errors = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                lambda _loop, context: unhandled_errors.append(context)
            )
            store = PlatformStore(GATEWAY, Metrics())

            async def failing_call(*_arguments, **_options):
                try:
                    await asyncio.sleep(60)
                except asyncio.CancelledError:
                    raise StoreUnavailableError("read failed") from None

            store._call = failing_call  # type: ignore[method-assign]
            watch = asyncio.ensure_future(store._call_watch({}, 1.0))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            store._recovered.set()
            with self.assertRaises(StoreUnavailableError):
                await watch
            del watch
            for _ in range(5):
                await asyncio.sleep(0)
            gc.collect()
            return unhandled_errors

        self.assertEqual([], asyncio.run(scenario()))
