"""Tests that organisations of all sizes keep the operators' share."""

from testtools import TestCase

from borageworks.placement.tests.flood_load import DemandLoad, ReturningCallers

SEEDS = (1, 2, 3)
WARM_UP_S = 4
SMALL = {f"small-{number}": 2.0 for number in range(10)}
# From a small part of the even share to several, about three times the capacity.
SPREAD = DemandLoad(
    requests_per_s={
        "hot": 110.0,
        "own": 110.0,
        **dict(zip("abcdef", (5.0, 12.0, 20.0, 30.0, 40.0, 60.0), strict=True)),
        **SMALL,
    }
)
# One flood is alone at first, so that it gets most of the capacity.
JOINED = DemandLoad(
    requests_per_s={
        "first": 540.0,
        "second": 90.0,
        "third": 60.0,
        "fourth": 60.0,
        **SMALL,
    },
    growing=frozenset(("second", "third", "fourth")),
    changed_at_s=10.0,
)
# A flood that goes on with less than the even share while another one begins.
FORMER = DemandLoad(
    requests_per_s={
        "former": 400.0,
        "next": 300.0,
        "third": 60.0,
        "fourth": 60.0,
        **SMALL,
    },
    growing=frozenset(("next",)),
    shrinking=frozenset(("former",)),
    changed_at_s=8.0,
)

# Small organisations request as much as is left when most engines are lost.
SCARCE = DemandLoad(
    requests_per_s={
        "flood": 600.0,
        **{f"middling-{number}": 20.0 for number in range(6)},
        **SMALL,
    }
)


class ShareRuleTest(TestCase):
    """Load patterns of floods whose callers come back after a refusal."""

    def run_spread(self, seed, *, crash, change_owner):
        """Return the organisations that missed their share after faults."""
        callers = ReturningCallers(SPREAD, seed)
        callers.run(WARM_UP_S)
        if crash:
            callers.crash(SPREAD.engine_count // 4)
        if change_owner:
            callers.change_owner()
        callers.run(2)
        if crash:
            callers.restart_crashed()
        callers.run(8)
        return callers.rule.violations(WARM_UP_S, WARM_UP_S + 10)

    def check_spread(self, *, crash, change_owner):
        missed = {
            seed: self.run_spread(seed, crash=crash, change_owner=change_owner)
            for seed in SEEDS
        }
        self.assertEqual({seed: {} for seed in SEEDS}, missed)

    def test_demands_of_all_sizes(self):
        """Guards against organisations above the even share that get far less."""
        self.check_spread(crash=False, change_owner=False)

    def test_demands_of_all_sizes_at_a_new_owner(self):
        """Guards against a new owner that takes what runs for a share."""
        self.check_spread(crash=False, change_owner=True)

    def test_demands_of_all_sizes_while_engines_crash(self):
        """Guards against a share that is lost with the engines that had the parts."""
        self.check_spread(crash=True, change_owner=False)

    def test_demands_of_all_sizes_at_a_new_owner_while_engines_crash(self):
        """Guards against both at once, where middling organisations lost most."""
        self.check_spread(crash=True, change_owner=True)

    def test_a_flood_that_was_alone_is_joined_by_others(self):
        """Guards against a flood that pays for capacity that nobody else wanted."""
        missed = {}
        for seed in SEEDS:
            callers = ReturningCallers(JOINED, seed)
            callers.run(22)
            missed[seed] = callers.rule.violations(8, 22)
        self.assertEqual({seed: {} for seed in SEEDS}, missed)

    def test_a_flood_that_was_alone_is_joined_by_others_while_engines_crash(self):
        """Guards against debt that keeps a flood at less than half of the others."""
        missed = {}
        for seed in SEEDS:
            callers = ReturningCallers(JOINED, seed)
            callers.run(12)
            callers.crash(JOINED.engine_count * 3 // 10)
            callers.run(2)
            callers.restart_crashed()
            callers.run(8)
            missed[seed] = callers.rule.violations(8, 22)
        self.assertEqual({seed: {} for seed in SEEDS}, missed)

    def test_a_former_flood_that_requests_little_while_engines_crash(self):
        """Guards against a past flood that counts against what is requested now."""
        missed = {}
        for seed in SEEDS:
            callers = ReturningCallers(FORMER, seed)
            callers.run(8)
            callers.crash(FORMER.engine_count * 3 // 10)
            callers.run(2)
            callers.restart_crashed()
            callers.run(6)
            missed[seed] = callers.rule.violations(7, 16)
        self.assertEqual({seed: {} for seed in SEEDS}, missed)

    def test_organisations_of_all_sizes_while_most_engines_are_lost(self):
        """Guards against an even share that counts engines which are gone."""
        missed = {}
        for seed in SEEDS:
            callers = ReturningCallers(SCARCE, seed)
            callers.run(8)
            callers.crash(SCARCE.engine_count * 7 // 10)
            callers.run(6)
            callers.restart_crashed()
            callers.run(2)
            missed[seed] = callers.rule.violations(7, 16)
        self.assertEqual({seed: {} for seed in SEEDS}, missed)
