"""Tests of the load reports that instances keep and tell each other."""

import asyncio
from types import SimpleNamespace
from typing import Any
from unittest import mock

from eliot.testing import capture_logging
from testtools import TestCase

from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.fleet import SILENCE_S
from borageworks.gateway.placer import Placer
from borageworks.metrics import Metrics
from borageworks.placement.engine_load import EngineLoad
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import engines, prompt, work
from borageworks.timers import Timers
from borageworks.wire.messages import (
    EndpointLoads,
    PlacementState,
    PlaceReply,
    WorkEnded,
    WorkStarted,
)

LOAD = EngineLoad(3, 1, 64, 2.5)
FIRST_OUTPUT_S = 0.02


def placer_and_sent(owner):
    """Return a placer of instance i over two engines, and what it sends."""
    sent: list[Any] = []
    fleet = mock.Mock(instance="i", domain="a", count=2, reachable_ratio=1.0)
    fleet.silence_left_s.return_value = SILENCE_S
    fleet.is_standing_in.return_value = False
    fleet.owner.return_value = owner

    def send(_to, message):
        sent.append(message)
        return True

    fleet.send = send
    directory: Any = SimpleNamespace(
        deployment=SimpleNamespace(
            services={"engines": ServiceProfile("engines", EngineProfile(8, 400_000))},
            tokens_per_s=None,
        ),
        endpoints_of=lambda _service: engines(2),
    )
    notices = EndpointNotices(fleet, Timers(), Metrics())
    placer = Placer(fleet, directory, notices, Timers(), Metrics(), PlacementSettings())
    placer.update()
    return placer, fleet, sent


async def place(placer, sent):
    """Place a request by a reply of the owner; return the request."""
    request = work(prompt(), instance="i")
    task = asyncio.ensure_future(placer.place("engines", "r", request))
    await asyncio.sleep(0)
    reply = PlaceReply(
        request.key[1], PlacementState.PLACED, "e0", incarnation="e0/0", speed=1.5
    )
    placer.receive("o", reply)
    await task
    return request


class LoadReportsTest(TestCase):
    def test_report_travels_once_with_messages_that_are_sent_anyway(self):
        """Guards against additional messages, and against reports that are not told."""

        async def main():
            placer, _, sent = placer_and_sent("o")
            request = await place(placer, sent)
            placer.record_load(engines(1)[0], LOAD, malformed=False)
            await asyncio.sleep(FIRST_OUTPUT_S)
            placer.record_start(request.key)
            placer.record_end(request.key, WorkOutcome.SERVED)
            owner, _, _ = placer_and_sent("i")
            owner.receive("j", sent[1])
            return owner, sent

        owner, sent = asyncio.run(main())
        _, started, ended = sent
        self.assertIsInstance(started, WorkStarted)
        self.assertEqual(
            [("e0/0", 2.5)], [(i.incarnation, i.pace) for i in started.loads]
        )
        self.assertTrue(
            FIRST_OUTPUT_S <= started.first_output_s < 1.0, started.first_output_s
        )
        self.assertEqual((WorkEnded, ()), (type(ended), ended.loads))
        self.assertTrue(owner.dispatchers["engines", 0].uses_loads)

    def test_new_owner_is_told_reports_and_speeds(self):
        """Guards against a new owner that takes all engines for equally fast."""

        async def main():
            placer, fleet, sent = placer_and_sent("o")
            await place(placer, sent)
            placer.record_load(engines(1)[0], LOAD, malformed=False)
            sent.clear()
            fleet.owner.return_value = "p"
            placer.review_owners()
            (message,) = [item for item in sent if isinstance(item, EndpointLoads)]
            successor, _, _ = placer_and_sent("i")
            successor.receive("i", message)
            return successor

        successor = asyncio.run(main())
        state = successor.dispatchers["engines", 0].endpoints["e0"]
        self.assertEqual((1.5, LOAD), (state.speed.ratio, state.load.load))

    @capture_logging(None)
    def test_malformed_reports_and_reports_without_a_pace(self, logger):
        """Guards against floods of log lines and against a report that is dropped."""

        async def main():
            placer, _, sent = placer_and_sent("o")
            request = await place(placer, sent)
            for _ in range(3):
                placer.record_load(engines(1)[0], None, malformed=True)
            placer.record_load(engines(1)[0], EngineLoad(3, 1, 64), malformed=False)
            placer.record_start(request.key)
            return placer, sent

        placer, sent = asyncio.run(main())
        self.assertEqual(3, placer._metrics.value("endpoint_loads_malformed"))
        lines = [line for line in logger.messages if line.get("event") == 416]
        self.assertEqual(1, len(lines))
        self.assertEqual((), sent[-1].loads)
