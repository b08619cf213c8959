"""Tests of the aggregator of one pool and failure domain."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.fair.aggregator import Aggregator
from borageworks.wire.messages import ServiceReport

SHARES = {"a": 1.0, "b": 2.0}


def report(organisation, units, owner="o1", domain="d1", backlogged=True):
    return ServiceReport("p", organisation, owner, 1, units, backlogged, domain, 1)


def errors(aggregator, now, shares=SHARES):
    return {
        action.error.organisation: action for action in aggregator.errors(now, shares)
    }


class AggregatorTest(testtools.TestCase):
    def test_error_is_normalised_service_less_the_mean(self):
        """Guards against corrections that favour organisations with large shares."""
        aggregator = Aggregator("p", "d1", 10.0)
        for units in (0.0, 40.0):
            aggregator.report(0.0, report("a", units))
            aggregator.report(0.0, report("b", units, owner="o2"))
            found = errors(aggregator, 0.0)
        self.assertEqual(10.0, found["a"].error.error)
        self.assertEqual(-10.0, found["b"].error.error)
        self.assertEqual(("o1",), found["a"].owners)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(
            st.tuples(st.sampled_from("ab"), st.sampled_from(["o1", "o2"])),
            max_size=30,
        ),
        st.randoms(use_true_random=False),
    )
    def test_lost_and_repeated_reports_do_not_change_the_totals(self, services, random):
        """Guards against service counted twice or never after message faults."""
        aggregator = Aggregator("p", "d1", 10.0)
        true: dict[tuple[str, str], float] = {}
        sent = []
        for organisation, owner in services:
            key = organisation, owner
            true[key] = true.get(key, 0.0) + 8.0
            sent.append(report(organisation, true[key], owner))
        delivered = [each for each in sent if random.random() < 0.7]
        delivered += delivered[::2]
        random.shuffle(delivered)
        last = {(each.organisation, each.owner): each for each in sent}
        for each in [*delivered, *last.values()]:
            aggregator.report(0.0, each)
        expected: dict[str, float] = {}
        for (organisation, _), units in true.items():
            expected[organisation] = expected.get(organisation, 0.0) + units
        got = {each.organisation: each.units for each in aggregator.domain_reports()}
        self.assertEqual(expected, got)

    def test_partition_is_remembered_as_debt(self):
        """Guards against a side that forgets what the other served meanwhile."""
        sides = {name: Aggregator("p", name, 10.0) for name in ("d1", "d2")}

        def exchange(now, connected):
            found = {name: errors(side, now, {}) for name, side in sides.items()}
            for name, side in sides.items():
                other = sides["d2" if name == "d1" else "d1"]
                for each in side.domain_reports():
                    if connected:
                        other.report(now, each)
            return found

        now = 0.0
        served = {"d1": 0.0, "d2": 0.0}
        for step in range(30):
            now += 4.0
            cut = 5 <= step < 15
            for name, side in sides.items():
                # During the partition `a` is served by d1 only and four times as much.
                served[name] += 40.0 if cut and name == "d1" else 10.0
                organisation = "a" if name == "d1" else "b"
                side.report(now, report(organisation, served[name], f"o-{name}", name))
            found = exchange(now, connected=not cut)
        self.assertTrue(found["d1"]["a"].error.error > 100, found)
        self.assertTrue(found["d2"]["b"].error.error < -100, found)

    def test_owner_that_restarts_empty_resets_nobody(self):
        """Guards against a restart that hands an organisation its past service back."""
        aggregator = Aggregator("p", "d1", 10.0)
        for units in (0.0, 100.0):
            aggregator.report(0.0, report("a", units))
            aggregator.report(0.0, report("b", units, owner="o2"))
            errors(aggregator, 0.0, {})
        restarted = ServiceReport("p", "a", "o1", 2, 5.0, True, "d1", 1)
        aggregator.report(4.0, restarted)
        found = errors(aggregator, 4.0, {})
        self.assertEqual(105.0, found["a"].error.total)

    def test_silent_owners_no_longer_count_as_holders(self):
        """Guards against shares divided by owners that are gone."""
        aggregator = Aggregator("p", "d1", 10.0)
        aggregator.report(0.0, report("a", 1.0))
        aggregator.report(8.0, report("a", 1.0, owner="o2"))
        self.assertEqual(2, errors(aggregator, 9.0)["a"].error.owners)
        self.assertEqual(1, errors(aggregator, 11.0)["a"].error.owners)
        self.assertEqual({}, errors(aggregator, 30.0))
