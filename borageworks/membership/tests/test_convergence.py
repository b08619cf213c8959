"""Property tests of the membership state machine."""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.membership.membership import Membership
from borageworks.membership.tests.network import Network, make_settings, make_update
from borageworks.wire.messages import MemberState, Ping

FAULT_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "restart", "leave", "split", "isolate", "heal"]),
        st.integers(0, 7),
        st.floats(0.1, 8.0),
    ),
    max_size=6,
)


def _apply_step(network: Network, step: str, index: int) -> None:
    name = network.names[index % len(network.names)]
    match step:
        case "kill":
            domains = [network.domains[other] for other in network.running]
            # Other domains must not declare the last member of a domain dead.
            if domains.count(network.domains[name]) > 1:
                network.kill(name)
        case "restart":
            network.start(name)
        case "leave":
            if name in network.running:
                network.execute(name, network.running[name].leave(network.now))
        case "split":
            group = set(network.names[: index % len(network.names)])
            network.link_up = lambda a, b: (a in group) == (b in group)
        case "isolate":
            partitioned_domain = network.domains[name]
            network.link_up = lambda a, b: (
                (network.domains[a] == partitioned_domain)
                == (network.domains[b] == partitioned_domain)
            )
        case _:
            network.link_up = lambda _a, _b: True


class ConvergenceTests(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.integers(3, 8),
        st.integers(1, 3),
        st.integers(0, 2**32),
        st.floats(0.0, 0.5),
        st.floats(0.0, 0.5),
        st.floats(0.0, 1.0),
        FAULT_STEPS,
    )
    def test_members_agree_after_the_network_heals(
        self, count, domains, seed, loss_ratio, duplicate_ratio, max_delay_s, steps
    ):
        """Guards against lasting disagreement and deaths declared by other domains."""
        network = Network({f"i{n}": f"d{n % domains}" for n in range(count)}, seed)
        network.loss_ratio, network.duplicate_ratio, network.max_delay_s = (
            loss_ratio,
            duplicate_ratio,
            max_delay_s,
        )
        network.run(3.0)
        for step, index, seconds in steps:
            _apply_step(network, step, index)
            network.run(seconds)
        network.loss_ratio = network.duplicate_ratio = network.max_delay_s = 0.0
        network.link_up = lambda _a, _b: True
        self.assertTrue(
            network.run_until(network.agreed),
            {name: network.states(name) for name in network.running},
        )
        for (dead, _), observer in network.first_death_observers.items():
            self.assertEqual(network.domains[dead], network.domains[observer])
        self.assertTrue(network.max_packet_bytes <= 1184)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.integers(1, 4),
                st.sampled_from(MemberState),
                st.integers(1, 2),
            ),
            max_size=24,
        ),
        st.randoms(use_true_random=False),
    )
    def test_result_does_not_depend_on_update_order(self, changes, rng):
        """Guards against results that depend on the order or repetition of updates."""
        updates = [
            make_update(f"m{number}", f"d{number % 2}", incarnation, state)
            for number, incarnation, state, _ in changes
        ]
        ordered = [
            # A suspicion in another domain only proves that the incarnation exists.
            replace(update, state=MemberState.ALIVE)
            if update.domain == "d1" and update.state is MemberState.SUSPECT
            else update
            for update in updates
        ]
        ordered.sort(key=lambda update: (update.incarnation, update.state))
        expected = {update.instance: update for update in ordered}
        shuffled = [
            update
            for update, change in zip(updates, changes, strict=True)
            for _ in range(change[3])
        ]
        rng.shuffle(shuffled)
        sender = make_update("sender", host="10.0.0.2")
        sender_address = ("10.0.0.2", 7946)
        member = Membership(
            make_settings("self", "d0", ("10.0.0.9", 7946)),
            1,
            random.Random(1),
            make_update("self", host="10.0.0.9"),
        )
        member.receive(0.0, Ping(1, sender), sender_address)
        for number, update in enumerate(shuffled):
            member.receive(0.0, Ping(number, sender, (update,)), sender_address)
        for instance, update in expected.items():
            known = member.members[instance]
            self.assertEqual(
                (update.incarnation, update.state), (known.incarnation, known.state)
            )
