"""Tests of a gateway process that was paused while its configuration changed."""

import asyncio
from unittest import mock

from testtools import TestCase

from borageworks.gateway import pause
from borageworks.platform.store import PlatformStore
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
    configuration,
)

PAUSE_S = 5.0


async def hang(*_arguments, **_options):
    """Stand for a watch whose reply has not been read yet."""
    await asyncio.sleep(3600)


class PauseTest(TestCase):
    def first_status_after_pause(self, *, store_down=False):
        """Return the status of a request with a key that was withdrawn in a pause."""

        async def main():
            endpoints = {
                PLAIN_SERVICE: [
                    EmulatedEndpoint("d", lambda _: Behaviour(plain_body=True))
                ],
                ENGINE_SERVICE: [EmulatedEndpoint("e")],
            }
            with mock.patch.object(PlatformStore, "_call_watch", hang):
                async with Harness(endpoints) as harness:
                    before, *_ = await harness.send_request("/look/", "GET")
                    await harness.configure(configuration(2, tenants=[]))
                    if store_down:
                        await harness.store.stop()
                    detector = harness.gateway._pause_detector
                    detector._checked_at -= PAUSE_S
                    after, *_ = await harness.send_request("/look/", "GET")
                    return before, after

        return asyncio.run(main())

    def test_key_that_was_withdrawn_during_a_pause(self):
        """Guards against a paused process that goes by its old configuration."""
        self.assertEqual((200, 401), self.first_status_after_pause())

    def test_pause_while_the_store_is_down(self):
        """Guards against requests that wait for a store that does not reply."""
        self.assertEqual((200, 200), self.first_status_after_pause(store_down=True))

    def test_time_of_a_suspended_machine_counts(self):
        """Guards against a clock that stands still while the machine is suspended."""
        times = [100.0, 100.25, 100.6, 101.4, 104.0, 104.25]
        pauses: list[float] = []
        clock = iter(times)
        detector = pause.PauseDetector(
            lambda: pauses.append(detector._checked_at), lambda: next(clock)
        )
        for _ in times[1:]:
            detector.check()
        self.assertEqual([104.0], pauses)
