"""Tests of the placement of requests for other instances."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest import mock

from eliot.testing import capture_logging
from testtools import TestCase

from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.fleet import SILENCE_S
from borageworks.gateway.pending_placement import PendingPlacement
from borageworks.gateway.placement_messages import encode_work
from borageworks.gateway.placer import Placer
from borageworks.metrics import Metrics
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import engines, prompt, work
from borageworks.timers import Timers
from borageworks.wire import codec
from borageworks.wire.messages import PlacementState, PlaceReply, ShardOwner

TOKENS_PER_S = 200_000.0
ENGINES = 16


def owner_of_all(directory):
    """Return a placer that owns every shard."""
    fleet = mock.Mock(instance="i", domain="a", count=1)
    fleet.silence_left_s.return_value = SILENCE_S
    fleet.is_standing_in.return_value = False
    fleet.owner.return_value = "i"
    notices = EndpointNotices(fleet, Timers(), Metrics())
    return Placer(fleet, directory, notices, Timers(), Metrics(), PlacementSettings())


def directory_of(listed):
    """Return a directory with one service of engines."""
    service = ServiceProfile("engines", EngineProfile(8, 400_000))
    return SimpleNamespace(
        deployment=SimpleNamespace(
            services={"engines": service}, tokens_per_s=TOKENS_PER_S
        ),
        endpoints_of=lambda _service: listed,
    )


class ThroughputTest(TestCase):
    def test_engines_that_become_known_one_after_the_other(self):
        """Guards against taking the first engine known for the fastest possible.

        The operator states the throughput of all engines together. An instance that
        knew only one of them at first overestimated each by their number, and placed
        more than they could prefill in time.
        """

        async def main():
            listed: list[Endpoint] = []
            directory = SimpleNamespace(
                deployment=SimpleNamespace(
                    services={
                        "engines": ServiceProfile("engines", EngineProfile(8, 400_000))
                    },
                    tokens_per_s=TOKENS_PER_S,
                ),
                endpoints_of=lambda _service: listed,
            )
            placer = owner_of_all(directory)
            for endpoint in engines(ENGINES):
                listed.append(endpoint)
                placer.update()
            return placer.dispatchers["engines", 0].prefill_speed

        speed = asyncio.run(main())
        expected = 0.5 * ENGINES / TOKENS_PER_S
        self.assertAlmostEqual(expected, speed.seconds_per_token, delta=expected / 10)
        for number in range(400):
            tokens = 1000.0 + number % 7 * 2000.0
            speed.record(tokens, 0.05 + 5.0 * expected * tokens)
        self.assertAlmostEqual(
            5.0 * expected, speed.seconds_per_token, delta=expected / 2
        )

    def test_engines_that_leave_keep_their_speed(self):
        """Guards against taking the engines that remain for faster ones."""

        async def main():
            listed = engines(ENGINES)
            directory = SimpleNamespace(
                deployment=SimpleNamespace(
                    services={
                        "engines": ServiceProfile("engines", EngineProfile(8, 400_000))
                    },
                    tokens_per_s=TOKENS_PER_S,
                ),
                endpoints_of=lambda _service: listed,
            )
            placer = owner_of_all(directory)
            placer.update()
            before = placer.dispatchers["engines", 0].prefill_speed.seconds_per_token
            del listed[2:]
            placer.update()
            after = placer.dispatchers["engines", 0].prefill_speed.seconds_per_token
            return before, after

        before, after = asyncio.run(main())
        self.assertEqual(before, after)


class OwnerChangeTest(TestCase):
    def test_owner_that_is_replaced_forgets_the_running_requests(self):
        """Guards against an owner that counts requests which ended at another one.

        Ownership moves to and fro while links are lost. The end of a request is told
        to its last owner; for the others it would have run on for good, until no
        endpoint had a free slot.
        """

        async def main():
            listed = engines(2)
            directory = SimpleNamespace(
                deployment=SimpleNamespace(
                    services={
                        "engines": ServiceProfile("engines", EngineProfile(8, 400_000))
                    },
                    tokens_per_s=TOKENS_PER_S,
                ),
                endpoints_of=lambda _service: listed,
            )
            placer = owner_of_all(directory)
            fleet = placer._fleet
            placer.update()
            fleet.owner.return_value = "x"
            key = placer.new_key()
            request = work(prompt(), instance="i")
            request = replace(request, key=key)
            call = asyncio.ensure_future(placer.place("engines", "r", request))
            await asyncio.sleep(0)
            placer.receive("x", PlaceReply(key[1], PlacementState.PLACED, "e0"))
            await call
            for owner in ("i", "x", "y"):
                fleet.owner.return_value = owner
                placer.review_owners()
            placer.record_end(key, WorkOutcome.SERVED)
            own = placer.dispatchers["engines", 0].endpoints["e0"].running
            sent = [
                (name, type(message).__name__)
                for name, message in (args.args for args in fleet.send.call_args_list)
            ]
            return own, sent

        own, sent = asyncio.run(main())
        self.assertEqual({}, own)
        for name, last in (("x", "PlaceWithdraw"), ("y", "WorkEnded")):
            self.assertEqual(last, [kind for to, kind in sent if to == name][-1], sent)


class SharesTest(TestCase):
    def test_entry_learns_from_owners_which_organisations_have_their_share(self):
        """Guards against an entry that divides itself evenly among its callers."""

        async def main():
            placer = owner_of_all(directory_of(engines(2)))
            fleet = placer._fleet
            placer.update()
            fleet.owner.return_value = "x"
            told = []
            for share_reached in (True, False):
                key = placer.new_key()
                request = replace(work(prompt(), instance="i"), key=key)
                call = asyncio.ensure_future(placer.place("engines", "r", request))
                await asyncio.sleep(0)
                reply = PlaceReply(
                    key[1],
                    PlacementState.PLACED,
                    "e0",
                    share_reached=share_reached,
                )
                placer.receive("x", codec.decode(codec.encode([reply]))[0])
                await call
                now = placer._timers.now()
                told.append(placer.shares.has_reached(now, request.organisation))
            return told

        self.assertEqual([True, False], asyncio.run(main()))


class AnnouncementTest(TestCase):
    def test_owner_whose_links_open_after_its_start(self):
        """Guards against a restarted owner of which its stand-in is never told.

        Without links an instance takes every shard for its own, so nothing changes for
        it when they open.
        """

        async def main():
            directory: Any = SimpleNamespace(
                deployment=SimpleNamespace(
                    services={"desk": ServiceProfile("desk", None)}, tokens_per_s=None
                ),
                endpoints_of=lambda _service: engines(2, service="desk"),
            )
            placer = owner_of_all(directory)
            fleet: Any = placer._fleet
            fleet.stand_in.return_value = None
            placer.update()
            fleet.send.assert_not_called()
            fleet.stand_in.return_value = "x"
            placer.announce()
            return fleet.send.call_args.args

        self.assertEqual(("x", ShardOwner("desk", 0, "i")), asyncio.run(main()))


class PlacementReportTest(TestCase):
    @capture_logging(None)
    def test_state_of_placement_beside_refusals(self, logger):
        """Guards against refusals whose log does not tell what placement believed."""

        async def main():
            directory = SimpleNamespace(
                deployment=SimpleNamespace(
                    services={
                        "engines": ServiceProfile("engines", EngineProfile(8, 400_000))
                    },
                    tokens_per_s=TOKENS_PER_S,
                ),
                endpoints_of=lambda _service: engines(2, slots=1),
            )
            placer = owner_of_all(directory)
            placer.update()
            for _ in range(6):
                message = encode_work(
                    ("engines", 0),
                    work(prompt(20_000), remaining_target_s=0.0),
                )
                placer.receive("other", message)
            placer.report()

        asyncio.run(main())
        (line,) = [line for line in logger.messages if line["event"] == 410]
        self.assertEqual(
            (2, 2, 2, {"no_capacity": 4}),
            (line["endpoints"], line["running"], line["slots"], line["reasons"]),
        )
        self.assertTrue(line["owned"])
        self.assertTrue(line["seconds_per_token"] > 0)

    def test_overloaded_instance_says_that_it_reports_late(self):
        """Guards against delays of an instance that count as those of engines."""

        async def main():
            directory: Any = SimpleNamespace(deployment=None)
            fleet = mock.Mock(instance="i", domain="a", count=1)
            fleet.silence_left_s.return_value = SILENCE_S
            fleet.is_standing_in.return_value = False
            placer = Placer(
                fleet,
                directory,
                EndpointNotices(fleet, Timers(), Metrics()),
                Timers(),
                Metrics(),
                PlacementSettings(),
                lambda: True,
            )
            request = work(prompt(), instance="i")
            future = asyncio.get_running_loop().create_future()
            placer._requests[request.key[1]] = PendingPlacement(
                ("engines", 0), request, "x", future, asyncio.Event()
            )
            placer.record_start(request.key)
            return fleet.send.call_args.args

        receiver, message = asyncio.run(main())
        self.assertEqual(("x", True), (receiver, message.delayed))
