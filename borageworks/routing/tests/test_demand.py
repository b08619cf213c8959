"""Tests of the demand that an entry instance advertises."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.config.settings import QueueSettings
from borageworks.routing.demand import WITHDRAW_DELAY_S, DemandPlan
from borageworks.wire.messages import Demand

OWNERS = ["o1", "o2", "o3", "o4"]


def build_plan():
    plan = DemandPlan(QueueSettings(escalation_s=0.01))
    plan.set_owners({"p": OWNERS})
    return plan


class DemandPlanTest(testtools.TestCase):
    def test_free_capacity_costs_one_message(self):
        """Guards against notifying all owners of a request that is granted at once."""
        plan = build_plan()
        plan.set_waiting(0.0, "p", "a", 1)
        sent = plan.flush(0.0)
        self.assertEqual(
            [("o1", Demand("p", "a", 1))], [(t.owner, t.demand) for t in sent]
        )
        plan.record_grant("o1", "p", "a")
        plan.set_waiting(0.001, "p", "a", 0)
        self.assertEqual([], plan.flush(0.001))
        self.assertEqual([], plan.tick(1.0))

    def test_waiting_demand_reaches_all_owners(self):
        """Guards against idle capacity at owners that were never notified."""
        plan = build_plan()
        plan.set_waiting(0.0, "p", "a", 1)
        sent = {t.owner for t in plan.flush(0.0)}
        for step in range(1, 5):
            sent |= {t.owner for t in plan.tick(step * 0.011)}
        self.assertEqual(set(OWNERS), sent)

    def test_ended_demand_is_withdrawn_after_a_delay(self):
        """Guards against grants for requests that no longer wait."""
        plan = build_plan()
        plan.set_waiting(0.0, "p", "a", 2)
        plan.flush(0.0)
        plan.tick(0.02)
        plan.set_waiting(0.03, "p", "a", 0)
        self.assertEqual([], plan.tick(0.04))
        withdrawn = plan.tick(0.04 + WITHDRAW_DELAY_S)
        self.assertEqual({"o1", "o2"}, {t.owner for t in withdrawn})
        self.assertEqual({0}, {t.demand.waiting for t in withdrawn})

    def test_demand_is_sent_again_after_a_lost_link(self):
        """Guards against demand that a restarted owner does not know."""
        plan = build_plan()
        plan.set_waiting(0.0, "p", "a", 5)
        plan.flush(0.0)
        plan.remove_owner("o1")
        self.assertEqual(["o1"], [t.owner for t in plan.flush(0.1)])

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["wait", "grant", "tick", "lose"]),
                st.integers(0, 6),
                st.sampled_from(OWNERS),
            ),
            max_size=60,
        )
    )
    def test_owners_know_the_demand_after_a_refresh(self, steps):
        """Guards against owners whose count stays wrong."""
        plan = build_plan()
        known: dict[str, int] = {}
        now = 0.0
        waiting = 0

        def deliver(actions):
            for action in actions:
                known[action.owner] = action.demand.waiting

        for kind, number, owner in steps:
            now += 0.02
            match kind:
                case "wait":
                    waiting = number
                    plan.set_waiting(now, "p", "a", waiting)
                case "grant" if known.get(owner, 0) > 0:
                    known[owner] -= 1
                    plan.record_grant(owner, "p", "a")
                    waiting = max(0, waiting - 1)
                    plan.set_waiting(now, "p", "a", waiting)
                case "tick":
                    deliver(plan.tick(now))
                case "lose":
                    known.pop(owner, None)
                    plan.remove_owner(owner)
            deliver(plan.flush(now))
        for _ in range(8):
            now += 1.0
            deliver(plan.tick(now))
            deliver(plan.refresh(now))
        expected = {waiting} if waiting else {0}
        self.assertTrue(set(known.values()) <= expected, (known, waiting))
        if waiting:
            self.assertEqual(set(OWNERS), set(known))
