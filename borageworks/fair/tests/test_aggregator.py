"""Tests of the service aggregator of one pool and failure domain."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.fair.aggregator import Aggregator
from borageworks.wire.messages import ServiceReport

SHARES = {"a": 1.0, "b": 2.0}


def report(organisation, units, owner="o1", domain="d1", backlogged=True):
    return ServiceReport("p", organisation, owner, 1, units, backlogged, domain, 1)


def errors(aggregator, now, shares=SHARES):
    return {each.error.organisation: each for each in aggregator.errors(now, shares)}


class AggregatorTest(testtools.TestCase):
    def test_error_is_normalised_service_less_the_mean(self):
        """Guards against corrections that favour organisations with large shares."""
        aggregator = Aggregator("p", "d1", 10.0)
        for units in (0.0, 40.0):
            aggregator.report(0.0, report("a", units))
            aggregator.report(0.0, report("b", units, owner="o2"))
            notifications = errors(aggregator, 0.0)
        self.assertEqual(10.0, notifications["a"].error.error)
        self.assertEqual(-10.0, notifications["b"].error.error)
        self.assertEqual(("o1",), notifications["a"].owners)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(
            st.tuples(st.sampled_from("ab"), st.sampled_from(["o1", "o2"])),
            max_size=30,
        ),
        st.randoms(use_true_random=False),
    )
    def test_lost_and_repeated_reports_do_not_change_the_totals(self, services, random):
        """Guards against service lost or counted twice after message faults."""
        aggregator = Aggregator("p", "d1", 10.0)
        served_units: dict[tuple[str, str], float] = {}
        sent = []
        for organisation, owner in services:
            key = organisation, owner
            served_units[key] = served_units.get(key, 0.0) + 8.0
            sent.append(report(organisation, served_units[key], owner))
        received = [each for each in sent if random.random() < 0.7]
        received += received[::2]
        random.shuffle(received)
        last = {(each.organisation, each.owner): each for each in sent}
        for each in [*received, *last.values()]:
            aggregator.report(0.0, each)
        expected: dict[str, float] = {}
        for (organisation, _), units in served_units.items():
            expected[organisation] = expected.get(organisation, 0.0) + units
        reported = {
            each.organisation: each.units for each in aggregator.domain_reports()
        }
        self.assertEqual(expected, reported)

    def test_service_during_a_partition_is_kept_as_debt(self):
        """Guards against losing the service of the other domain during a partition."""
        sides = {name: Aggregator("p", name, 10.0) for name in ("d1", "d2")}

        def exchange(now, connected):
            notifications = {
                name: errors(side, now, {}) for name, side in sides.items()
            }
            for name, side in sides.items():
                other = sides["d2" if name == "d1" else "d1"]
                for each in side.domain_reports():
                    if connected:
                        other.report(now, each)
            return notifications

        now = 0.0
        served = {"d1": 0.0, "d2": 0.0}
        for step in range(30):
            now += 4.0
            partitioned = 5 <= step < 15
            for name, side in sides.items():
                # During the partition d1 serves `a` at four times the rate.
                served[name] += 40.0 if partitioned and name == "d1" else 10.0
                organisation = "a" if name == "d1" else "b"
                side.report(now, report(organisation, served[name], f"o-{name}", name))
            notifications = exchange(now, connected=not partitioned)
        self.assertTrue(notifications["d1"]["a"].error.error > 100, notifications)
        self.assertTrue(notifications["d2"]["b"].error.error < -100, notifications)

    def test_owner_restart_keeps_the_total_service(self):
        """Guards against an owner restart that resets an organisation's service."""
        aggregator = Aggregator("p", "d1", 10.0)
        for units in (0.0, 100.0):
            aggregator.report(0.0, report("a", units))
            aggregator.report(0.0, report("b", units, owner="o2"))
            errors(aggregator, 0.0, {})
        restarted = ServiceReport("p", "a", "o1", 2, 5.0, True, "d1", 1)
        aggregator.report(4.0, restarted)
        notifications = errors(aggregator, 4.0, {})
        self.assertEqual(105.0, notifications["a"].error.total)

    def test_expired_reports_no_longer_count_as_demand(self):
        """Guards against dividing shares by owners that no longer report."""
        aggregator = Aggregator("p", "d1", 10.0)
        aggregator.report(0.0, report("a", 1.0))
        aggregator.report(8.0, report("a", 1.0, owner="o2"))
        self.assertEqual(2, errors(aggregator, 9.0)["a"].error.owners)
        self.assertEqual(1, errors(aggregator, 11.0)["a"].error.owners)
        self.assertEqual({}, errors(aggregator, 30.0))
