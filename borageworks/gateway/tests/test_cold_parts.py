"""Tests of the parts of cold limits that instances delegate to a placer."""

import asyncio
from types import SimpleNamespace
from typing import Any
from unittest import mock

from testtools import TestCase

from borageworks.gateway.deployment import ServiceProfile
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.evacuations import Evacuations
from borageworks.gateway.instances import LEASE_RESERVE_S, LEASE_S, Instances
from borageworks.gateway.placer import Placer
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics
from borageworks.placement.cold_limit import SETTLING_S
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import endpoint
from borageworks.store.values import Lease, StoredValue
from borageworks.timers import Timers
from borageworks.wire.messages import PlacementState, PlaceReply, PlaceRequest

SHARD = ("desk", 0)
# Of a second: 12 requests of a window for all instances.
PROFILE = ServiceProfile("desk", None, cold_s=60.0, cold_per_s=8.0)


class ColdPartsTest(TestCase):
    def placed(self, scenario, **fleet_fields):
        """Return the replies to eight requests of another instance after a scenario."""

        async def main():
            fields = {"count": 2, "registered_s": 100.0, **fleet_fields}
            fleet = mock.Mock(instance="i", domain="a", **fields)
            fleet.owner.return_value = "i"
            timers = mock.Mock(wraps=Timers())
            timers.now.side_effect = None
            timers.now.return_value = 100.0
            listed = [endpoint("d0", "desk", 64, cold_s=60.0)]
            directory: Any = SimpleNamespace(
                deployment=SimpleNamespace(
                    services={"desk": PROFILE}, tokens_per_s=None
                ),
                endpoints_of=lambda _service: listed,
            )
            notices = EndpointNotices(fleet, timers, Metrics())
            placer = Placer(
                fleet, directory, notices, timers, Metrics(), PlacementSettings()
            )
            placer.update()
            for _ in range(10):
                timers.now.return_value += SETTLING_S / 10
                placer.review_owners()
            sole_s = scenario(placer, timers)
            for number in range(8):
                request = PlaceRequest(number, *SHARD, "o", 0.6, 0.6, sole_s=sole_s)
                placer.receive("j", request)
            return [
                call.args[1]
                for call in fleet.send.call_args_list
                if isinstance(call.args[1], PlaceReply)
            ]

        replies = asyncio.run(main())
        return sum(reply.state is PlacementState.PLACED for reply in replies)

    def test_parts_of_this_instance_and_of_another(self):
        """Guards against parts that are used before their former holder has stopped."""
        self.assertEqual(8, self.placed(lambda *_: SETTLING_S))
        self.assertEqual(6, self.placed(lambda *_: SETTLING_S - 0.1))
        self.assertEqual(4, self.placed(lambda *_: SETTLING_S, count=6))

    def test_registration_that_may_have_ended(self):
        """Guards against an instance whose part the others have divided."""
        self.assertEqual(0, self.placed(lambda *_: 0.0, registered_s=0.0))
        self.assertEqual(6, self.placed(lambda *_: SETTLING_S, registered_s=0.0))

    def test_messages_that_waited_while_the_process_was_held(self):
        """Guards against parts that others have delegated anew meanwhile."""

        def held(_placer, timers):
            timers.now.return_value += 5.0
            return SETTLING_S

        self.assertEqual(0, self.placed(held))

    def test_registration_counts_while_it_is_renewed(self):
        """Guards against an instance that others no longer count."""
        instances = Instances(GATEWAY, 1, "p/", mock.Mock(), Metrics())
        self.assertEqual(0.0, instances.registered_s(100.0))
        instances._lease = Lease(1, LEASE_S)
        instances._registered_at, instances._renewed_at = 100.0, 110.0
        valid_until = 110.0 + LEASE_S - LEASE_RESERVE_S
        self.assertEqual(15.0, instances.registered_s(115.0))
        self.assertEqual(0.0, instances.registered_s(valid_until))


class EvacuationsTest(TestCase):
    def test_changes_and_restores(self):
        """Guards against keys of others, and a restore that ends an evacuation."""
        evacuations = Evacuations("e/")
        item = StoredValue(b"{}", 1)
        for change, domains in (
            (ReplicaChange({"e/": item, "other": item}), set()),
            (ReplicaChange({"e/a": item, "e/b": item}), {"a", "b"}),
            (ReplicaChange({}, ("e/a", "a")), {"b"}),
            (ReplicaChange({"e/c": item}, ("e/b",), restored=True), {"b", "c"}),
            (ReplicaChange({}, ("e/b", "e/c")), set()),
        ):
            evacuations.apply(change)
            self.assertEqual(domains, evacuations.domains)
