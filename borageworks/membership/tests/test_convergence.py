"""Property tests of the membership state machine."""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.membership.membership import Membership
from borageworks.membership.tests.network import Network, make_settings, make_update
from borageworks.wire.messages import MemberState, Ping

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "restart", "leave", "split", "isolate", "heal"]),
        st.integers(0, 7),
        st.floats(0.1, 8.0),
    ),
    max_size=6,
)


def _apply(network: Network, step: str, index: int) -> None:
    name = network.names[index % len(network.names)]
    match step:
        case "kill":
            domains = [network.domains[other] for other in network.running]
            # Nobody may declare the last member of a domain dead.
            if domains.count(network.domains[name]) > 1:
                network.kill(name)
        case "restart":
            network.start(name)
        case "leave":
            if name in network.running:
                network.execute(name, network.running[name].leave(network.now))
        case "split":
            cut = set(network.names[: index % len(network.names)])
            network.link = lambda a, b: (a in cut) == (b in cut)
        case "isolate":
            cut_domain = network.domains[name]
            network.link = lambda a, b: (
                (network.domains[a] == cut_domain) == (network.domains[b] == cut_domain)
            )
        case _:
            network.link = lambda _a, _b: True


class ConvergenceTests(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.integers(3, 8),
        st.integers(1, 3),
        st.integers(0, 2**32),
        st.floats(0.0, 0.5),
        st.floats(0.0, 0.5),
        st.floats(0.0, 1.0),
        STEPS,
    )
    def test_all_agree_once_the_network_is_whole(
        self, count, domains, seed, drop, repeat, delay, steps
    ):
        """Guards against lasting disagreement, and deaths declared by other domains."""
        network = Network({f"i{n}": f"d{n % domains}" for n in range(count)}, seed)
        network.drop, network.repeat, network.max_delay = drop, repeat, delay
        network.run(3.0)
        for step, index, seconds in steps:
            _apply(network, step, index)
            network.run(seconds)
        network.drop = network.repeat = network.max_delay = 0.0
        network.link = lambda _a, _b: True
        self.assertTrue(
            network.run_until(network.agreed),
            {name: network.states(name) for name in network.running},
        )
        for (dead, _), declarer in network.first_deaths.items():
            self.assertEqual(network.domains[dead], network.domains[declarer])
        self.assertTrue(network.largest_packet <= 1184)

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
    def test_same_as_replica_that_sees_updates_in_order(self, changes, rng):
        """Guards against a result that depends on order, loss of order or repeats."""
        updates = [
            make_update(f"m{number}", f"d{number % 2}", incarnation, state)
            for number, incarnation, state, _ in changes
        ]
        plain = [
            # A suspicion in another domain only shows that the incarnation runs.
            replace(update, state=MemberState.ALIVE)
            if update.domain == "d1" and update.state is MemberState.SUSPECT
            else update
            for update in updates
        ]
        plain.sort(key=lambda update: (update.incarnation, update.state))
        replica = {update.instance: update for update in plain}
        shuffled = [
            update
            for update, change in zip(updates, changes, strict=True)
            for _ in range(change[3])
        ]
        rng.shuffle(shuffled)
        sender = make_update("sender", host="10.0.0.2")
        place = ("10.0.0.2", 7946)
        member = Membership(
            make_settings("self", "d0", ("10.0.0.9", 7946)),
            1,
            random.Random(1),
            make_update("self", host="10.0.0.9"),
        )
        member.receive(0.0, Ping(1, sender), place)
        for number, update in enumerate(shuffled):
            member.receive(0.0, Ping(number, sender, (update,)), place)
        for instance, update in replica.items():
            known = member.members[instance]
            self.assertEqual(
                (update.incarnation, update.state), (known.incarnation, known.state)
            )
