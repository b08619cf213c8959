"""Tests of individual rules of the membership state machine."""

import random

from testtools import TestCase

from borageworks.membership import membership
from borageworks.membership.actions import ReachabilityChanged, SendTo
from borageworks.membership.membership import Membership
from borageworks.membership.tests.network import Network, make_settings, make_update
from borageworks.membership.update_queue import UpdateQueue, packed_size
from borageworks.wire.codec import encode
from borageworks.wire.messages import Ack, MemberState, Ping, PingRequest

DEAD_RETENTION_S = 300.0  # shorter than in production, to limit the simulated time
ALIVE, SUSPECT, LEAVING, DEAD = MemberState


def one_domain(count: int, seed: int = 1) -> Network:
    """Return a network of one domain whose members know each other."""
    network = Network({f"i{number}": "d0" for number in range(count)}, seed)
    assert network.run_until(network.agreed)
    network.run(5.0)
    return network


def two_domains(seed: int = 1) -> Network:
    """Return a network of two domains of four members that know each other."""
    network = Network({f"i{number}": f"d{number % 2}" for number in range(8)}, seed)
    assert network.run_until(network.agreed)
    network.run(5.0)
    return network


class FailureTests(TestCase):
    def test_death_reaches_all_members(self):
        """Guards against deaths that are not detected or do not reach all members."""
        network = two_domains()
        network.kill("i3")
        self.assertTrue(network.run_until(network.agreed, 20.0))
        self.assertEqual(
            {DEAD}, {network.states(name)["i3"] for name in network.running}
        )
        self.assertTrue(
            network.first_death_observers.popitem()[1] in ("i1", "i5", "i7")
        )

    def test_suspected_member_refutes(self):
        """Guards against a false death of a member whose acks were lost for a while."""
        network = one_domain(6)
        incarnation = network.running["i2"].own.incarnation
        network.link_up = lambda a, b: "i2" not in (a, b)
        log_start = len(network.action_log)
        network.run_until(
            lambda: any(s is SUSPECT for _, s in network.changes_of("i2", log_start))
        )
        network.link_up = lambda _a, _b: True
        network.run(10.0)
        self.assertTrue(network.agreed())
        self.assertFalse(any(s is DEAD for _, s in network.changes_of("i2", log_start)))
        self.assertTrue(network.running["i2"].own.incarnation > incarnation)

    def test_indirect_probes(self):
        """Guards against suspicion when only one pair of members is disconnected."""
        network = one_domain(5)
        log_start = len(network.action_log)
        network.link_up = lambda a, b: {a, b} != {"i1", "i2"}
        network.run(60.0)
        self.assertEqual([], network.changes_of("i1", log_start))
        self.assertEqual([], network.changes_of("i2", log_start))

    def test_lossy_network_causes_no_deaths(self):
        """Guards against false deaths when one datagram in seven is lost."""
        network = one_domain(8)
        network.loss_ratio = 0.15
        network.run(200.0)
        self.assertEqual({}, network.first_death_observers)

    def test_restarted_member(self):
        """Guards against a restarted member that stays dead or keeps its old state."""
        network = one_domain(4)
        old_incarnation = network.running["i1"].own.incarnation
        network.kill("i1")
        network.start("i1")
        self.assertTrue(network.run_until(network.agreed, 20.0))
        for name in network.running:
            known = network.running[name].members["i1"]
            self.assertTrue(known.incarnation > old_incarnation)

    def test_restart_with_an_earlier_clock(self):
        """Guards against ignoring a restarted member whose clock went back."""
        network = one_domain(4)
        network.kill("i1")
        network.run(10.0)
        network.start_count = -5
        network.start("i1")
        self.assertTrue(network.run_until(network.agreed, 20.0))

    def test_leave_then_stop(self):
        """Guards against suspicion of a leaving member, and against a missed stop."""
        network = two_domains()
        network.execute("i3", network.running["i3"].leave(network.now))
        network.run(30.0)
        states = {network.states(name)["i3"] for name in network.running}
        self.assertEqual({LEAVING}, states)
        network.execute("i3", network.running["i3"].depart(network.now))
        network.kill("i3")
        log_start = len(network.action_log)
        self.assertTrue(network.run_until(network.agreed, 20.0))
        self.assertEqual({DEAD}, {s for _, s in network.changes_of("i3", log_start)})

    def test_dead_members_are_removed(self):
        """Guards against a member list that grows with each replaced instance."""
        self.patch(membership, "DEAD_RETENTION_S", DEAD_RETENTION_S)
        network = two_domains()
        network.kill("i3")
        network.run(DEAD_RETENTION_S + 60.0)
        for name in network.running:
            self.assertNotIn("i3", network.states(name))


class PartitionTests(TestCase):
    def test_halves_of_a_domain_merge(self):
        """Guards against halves that consider each other dead for ever."""
        network = one_domain(8)
        half = {"i0", "i1", "i2", "i3"}
        network.link_up = lambda a, b: (a in half) == (b in half)
        network.run(60.0)
        self.assertEqual(4, list(network.states("i0").values()).count(DEAD))
        log_start = len(network.action_log)
        network.link_up = lambda _a, _b: True
        self.assertTrue(network.run_until(network.agreed, 60.0))
        for name in network.names:
            changes_within_half = [
                state
                for observer, state in network.changes_of(name, log_start)
                if (observer in half) == (name in half)
            ]
            # A death declared by the other half must not apply to members of this half.
            self.assertNotIn(DEAD, changes_within_half)

    def test_halves_merge_after_dead_members_were_removed(self):
        """Guards against a fleet that stays split after a long partition."""
        self.patch(membership, "DEAD_RETENTION_S", DEAD_RETENTION_S)
        network = one_domain(6)
        half = {"i0", "i1", "i2"}
        network.link_up = lambda a, b: (a in half) == (b in half)
        network.run(DEAD_RETENTION_S + 60.0)
        self.assertEqual(3, len(network.states("i4")))
        network.link_up = lambda _a, _b: True
        self.assertTrue(network.run_until(network.agreed, 120.0))

    def test_partitioned_member_rejoins_through_seeds(self):
        """Guards against a member that stays disconnected after a partition heals."""
        network = one_domain(4)
        network.link_up = lambda a, b: "i0" not in (a, b)
        network.run(30.0)
        self.assertTrue(network.running["i0"].confirmed)
        network.link_up = lambda _a, _b: True
        self.assertTrue(network.run_until(network.agreed, 30.0))

    def test_unreachable_domain_is_not_dead(self):
        """Guards against members of an unreachable domain that are declared dead."""
        network = two_domains()
        log_start = len(network.action_log)
        network.link_up = lambda a, b: network.domains[a] == network.domains[b]
        network.run(30.0)
        self.assertEqual({}, network.first_death_observers)
        for name in network.running:
            other = {"d0": "d1", "d1": "d0"}[network.domains[name]]
            self.assertEqual({other}, network.running[name].unreachable_domains)
        network.link_up = lambda _a, _b: True
        self.assertTrue(network.run_until(network.agreed, 30.0))
        reachability = [
            action.reachable
            for name, action in network.action_log[log_start:]
            if name == "i0" and isinstance(action, ReachabilityChanged)
        ]
        self.assertEqual([False, True], reachability)

    def test_one_disconnected_bridge(self):
        """Guards against an unreachable domain when only one bridge is disconnected."""
        network = two_domains()
        bridge = next(n for n, member in network.running.items() if member._bridges)
        log_start = len(network.action_log)
        network.link_up = lambda a, b: (
            bridge not in (a, b) or network.domains[a] == network.domains[b]
        )
        network.run(60.0)
        changes = [
            action
            for name, action in network.action_log[log_start:]
            if isinstance(action, ReachabilityChanged)
            and network.domains[name] == network.domains[bridge]
        ]
        self.assertEqual([], changes)

    def test_split_domain_with_contact_to_another(self):
        """Guards against another domain that sees both halves of a domain as dead."""
        network = two_domains()
        half = {"i0", "i2"}
        network.link_up = lambda a, b: (
            not (
                network.domains[a] == network.domains[b] == "d0"
                and (a in half) != (b in half)
            )
        )
        network.run(90.0)
        log_start = len(network.action_log)
        network.run(60.0)
        for name in ("i0", "i2", "i4", "i6"):
            self.assertEqual({ALIVE}, {network.states("i1")[name]})
            self.assertEqual([], network.changes_of(name, log_start))
        network.link_up = lambda _a, _b: True
        self.assertTrue(network.run_until(network.agreed, 60.0))

    def test_dead_member_that_only_another_domain_knows(self):
        """Guards against a removed dead member that a stale report revives."""
        self.patch(membership, "DEAD_RETENTION_S", DEAD_RETENTION_S)
        network = two_domains()
        network.link_up = lambda a, b: network.domains[a] == network.domains[b]
        network.run(10.0)
        network.kill("i2")
        network.run(DEAD_RETENTION_S + 60.0)
        self.assertNotIn("i2", network.states("i0"))
        self.assertEqual(ALIVE, network.states("i1")["i2"])
        log_start = len(network.action_log)
        network.link_up = lambda _a, _b: True
        self.assertTrue(network.run_until(network.agreed, 120.0))
        self.assertEqual({DEAD}, {s for _, s in network.changes_of("i2", log_start)})


class PauseTests(TestCase):
    def test_paused_member_is_confirmed_by_an_ack(self):
        """Guards against an instance that keeps ownership after others took over."""
        network = one_domain(4)
        paused = network.running["i1"]
        old_incarnation = paused.own.incarnation
        self.assertTrue(paused.confirmed)
        network.kill("i1")
        network.run(10.0)
        network.running["i1"] = paused
        network.execute("i1", paused.rejoin(network.now, old_incarnation - 50))
        self.assertFalse(paused.confirmed)
        self.assertEqual(old_incarnation + 1, paused.own.incarnation)
        network.run_until(lambda: paused.confirmed, 10.0)
        self.assertTrue(paused.confirmed)
        log_start = len(network.action_log)
        network.run(30.0)
        self.assertTrue(network.agreed())
        deaths = [
            action
            for name, action in network.action_log[log_start:]
            if name == "i1" and "DEAD" in str(action)
        ]
        self.assertEqual([], deaths)

    def test_late_ack_of_a_probe_before_the_pause(self):
        """Guards against confirmation by the ack of a probe sent before the pause."""
        member = make_member()
        member.receive(0.0, Ping(7, make_update("i2", host="10.0.0.2")), SENDER_ADDRESS)
        sent = [a.message for a in member.tick(0.0) if isinstance(a, SendTo)]
        (ping,) = [message for message in sent if isinstance(message, Ping)]
        member.rejoin(9.0, 5)
        late_ack = Ack(ping.sequence, make_update("i2", host="10.0.0.2"))
        member.receive(9.0, late_ack, SENDER_ADDRESS)
        self.assertFalse(member.confirmed)

    def test_stalled_process_suspects_nobody(self):
        """Guards against suspicion of others after a stall of the own process."""
        member = make_member()
        member.receive(0.0, Ping(7, make_update("i2", host="10.0.0.2")), SENDER_ADDRESS)
        member.tick(0.0)
        member.tick(2.5)
        self.assertEqual(ALIVE, member.members["i2"].state)


SENDER_ADDRESS = ("10.0.0.2", 7946)


def make_member() -> Membership:
    """Return a member that knows no other member."""
    return Membership(
        make_settings("self", "d0", ("10.0.0.9", 7946)),
        1000,
        random.Random(1),
        make_update("self", host="10.0.0.9"),
        lambda: (12, 34),
    )


class MessageTests(TestCase):
    def test_source_differs_from_sender(self):
        """Guards against replayed datagrams that direct replies at third parties."""
        member = make_member()
        ping = Ping(7, make_update("i2", host="10.0.0.2"))
        self.assertEqual([], member.receive(0.0, ping, ("10.0.0.3", 7946)))
        self.assertEqual(["self"], list(member.members))

    def test_catalog_version_is_carried(self):
        """Guards against instances that are not notified of a newer configuration."""
        member = make_member()
        ping = Ping(7, make_update("i2", host="10.0.0.2"))
        actions = [
            a
            for a in member.receive(0.0, ping, SENDER_ADDRESS)
            if isinstance(a, SendTo)
        ]
        actions += [a for a in member.tick(0.0) if isinstance(a, SendTo)]
        versions = {
            (a.message.catalog_revision, a.message.catalog_hash)
            for a in actions
            if not isinstance(a.message, PingRequest)
        }
        self.assertEqual({(12, 34)}, versions)

    def test_list_of_800_members(self):
        """Guards against incomplete lists and datagrams that exceed 1,200 bytes."""
        member = make_member()
        sender = make_update("i2", host="10.0.0.2")
        others = [
            make_update(
                f"member-{number:03}" + "x" * (number % 53),
                f"domain-{number % 9}",
                1_790_000_000_000 + number * 7919,
                host=f"10.{number % 200}.{number % 250}.{number % 251}",
                port=20_000 + number,
            )
            for number in range(800)
        ]
        for start in range(0, 800, 10):
            updates = tuple(others[start : start + 10])
            # Sent as a list, so that the updates are not queued for dissemination.
            member.receive(0.0, Ack(0, sender, updates), SENDER_ADDRESS)
        joiner = make_update("i3", host="10.0.0.3")
        request = PingRequest(1, joiner, "")
        packets = [
            action.message
            for action in member.receive(0.0, request, ("10.0.0.3", 7946))
            if isinstance(action, SendTo)
        ]
        received = {update.instance for packet in packets for update in packet.updates}
        self.assertEqual(
            {other.instance for other in others},
            received & {other.instance for other in others},
        )
        sizes = [len(encode((packet,))) + 16 for packet in packets]
        self.assertTrue(max(sizes) <= 1200, max(sizes))
        self.assertTrue(len(packets) < 100, len(packets))

    def test_size_estimate_is_an_upper_bound(self):
        """Guards against datagrams that exceed their estimated size."""
        rng = random.Random(3)
        sender = make_update("s" * 63, "d" * 63, 2**64 - 1, host="f" * 45, port=65535)
        for _ in range(300):
            updates = tuple(
                make_update(
                    "i" * rng.randint(1, 63),
                    "d" * rng.randint(1, 63),
                    rng.choice([0, 5, rng.getrandbits(64)]),
                    rng.choice(list(MemberState)),
                    "1" * rng.randint(0, 45),
                    rng.getrandbits(16),
                )
                for _ in range(rng.randint(0, 12))
            )
            bound = 72 + sum(map(packed_size, (sender, *updates)))
            full = 2**64 - 1
            ping = Ping(2**32 - 1, sender, updates, full, full)
            self.assertTrue(len(encode((ping,))) <= bound)
            request = PingRequest(2**32 - 1, sender, "t" * 63, updates)
            bound += packed_size(sender)
            self.assertTrue(len(encode((request,))) <= bound)

    def test_update_queue(self):
        """Guards against updates sent for ever, never, or after newer ones."""
        queue = UpdateQueue()
        first, second = make_update("a"), make_update("b")
        queue.put(first)
        self.assertEqual([first], queue.take(1000, 3))
        queue.put(second)
        self.assertEqual([second], queue.take(packed_size(second), 3))
        newer = make_update("a", incarnation=2_000_000)
        queue.put(newer)
        self.assertEqual([newer, second], queue.take(1000, 3))
        taken = [queue.take(1000, 3) for _ in range(3)]
        self.assertEqual([2, 1, 0], [len(updates) for updates in taken])
        self.assertEqual(0, len(queue))
