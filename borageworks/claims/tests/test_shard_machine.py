"""Model-based tests of several writers of one shard under faults."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random

import testtools
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from borageworks.claims.actions import (
    Action,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
    ReplyToClaim,
)
from borageworks.claims.content import ShardContent
from borageworks.claims.key import IdempotencyKey
from borageworks.claims.shard import ClaimShard
from borageworks.claims.tests.fake_store import FakeStore
from borageworks.claims.timestamp import Timestamp
from borageworks.config.settings import ClaimSettings
from borageworks.exceptions import IdempotencyKeyExpiredError
from borageworks.store.values import StoredValue, Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState

WRITERS = 3
CLOCK_DIFFERENCE_S = 30.0
SETTINGS = ClaimSettings(
    window_s=200.0,
    clock_difference_s=CLOCK_DIFFERENCE_S,
    segment_bytes=1024,
    segment_age_s=20.0,
    commit_interval_s=0.01,
)
DEADLINE_S = 60.0
KEYS_IN_USE = 4
HISTORIES = 150
HISTORY_STEPS = 400
START = 1_000_000.0
STORE_RESULTS = ("ok", "lost reply", "lost request", "delayed commit", "unavailable")
writers = st.integers(0, WRITERS - 1)
skews = st.floats(0.0, CLOCK_DIFFERENCE_S)
picks = st.integers(0, 1_000_000)


@dataclass
class KeyHistory:
    """A caller's key and its history in the model."""

    key: IdempotencyKey
    runs: int = 0
    runner: int = -1
    released: bool = False
    bodies: set[bytes] = field(default_factory=set)


class ClaimShardMachine(RuleBasedStateMachine):
    """Guards against a second run of a key under failures and delays."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.time = START
        self.shards = [ClaimShard(0, SETTINGS) for _ in range(WRITERS)]
        self.offsets = [0.0] * WRITERS
        self.pending: list[LoadSegments | Transaction | None] = [None] * WRITERS
        self.snapshots: list[dict[str, StoredValue] | None] = [None] * WRITERS
        self.delayed_commits: list[Transaction] = []
        self.keys: list[KeyHistory] = []
        self.open_claims: dict[int, ClaimRequest] = {}
        self.refused_claims: dict[int, ClaimRequest] = {}
        self.keys_by_hash: dict[bytes, KeyHistory] = {}
        self.last_request_id = 0
        self.conflicts = 0

    @initialize(offsets=st.tuples(*[skews] * WRITERS))
    def set_up(self, offsets):
        self.offsets = list(offsets)
        for age in (0, 0, 20, 100):
            self.make_key(age)

    def timestamp(self, writer: int) -> Timestamp:
        return Timestamp(self.time, self.time + self.offsets[writer])

    def execute(
        self, writer: int, actions: list[Action], reply_delivered: bool
    ) -> None:
        for action in actions:
            match action:
                case ReplyToClaim():
                    if reply_delivered:
                        self.handle_reply(writer, action)
                case LoadSegments():
                    assert self.pending[writer] is None, (
                        "more than one store call is pending"
                    )
                    self.pending[writer] = action
                    self.snapshots[writer] = None
                case CommitSegment(transaction):
                    assert self.pending[writer] is None, (
                        "more than one store call is pending"
                    )
                    self.pending[writer] = transaction

    def handle_reply(self, writer: int, reply: ReplyToClaim) -> None:
        claim = reply.claim
        key = self.keys_by_hash[claim.key_hash]
        if self.open_claims.pop(claim.request_id, None) is None:
            if (
                claim.request_id in self.refused_claims
                and reply.outcome is ClaimOutcome.CLAIMED
            ):
                self.finish(writer, claim, ClaimState.RELEASED)
            return
        match reply.outcome:
            case ClaimOutcome.CLAIMED:
                key.runs += 1
                key.runner = claim.request_id
                assert key.runs == 1, f"{key.key.text} claimed twice"
                assert not key.released, "a released key was claimed"
            case ClaimOutcome.BODY_MISMATCH:
                assert len(key.bodies) > 1
                self.refused_claims[claim.request_id] = claim
            case ClaimOutcome.DUPLICATE:
                assert reply.holder
                if reply.state is ClaimState.RELEASED:
                    assert key.runs == 0, (
                        "a key whose request ran was reported as released"
                    )
                if reply.state is ClaimState.DONE:
                    assert key.runs == 1
                self.refused_claims[claim.request_id] = claim
            case _:
                self.refused_claims[claim.request_id] = claim

    def finish(self, writer: int, claim: ClaimRequest, state: ClaimState) -> None:
        if state is ClaimState.RELEASED:
            self.keys_by_hash[claim.key_hash].released = True
        sender = claim.holder.partition("~")[0]
        actions = self.shards[writer].finish(
            self.timestamp(writer), sender, claim.key_hash, state
        )
        self.execute(writer, actions, True)

    def submit(self, writer: int, claim: ClaimRequest, reply_delivered: bool) -> None:
        actions = self.shards[writer].submit(self.timestamp(writer), claim)
        self.execute(writer, actions, reply_delivered)

    @rule(age=st.floats(-CLOCK_DIFFERENCE_S, SETTINGS.window_s))
    def make_key(self, age):
        text = f"{int(self.time - age)}-{len(self.keys)}"
        key = KeyHistory(IdempotencyKey.parse(text))
        self.keys.append(key)
        self.keys_by_hash[key.key.hash("o")] = key

    @precondition(lambda self: self.keys)
    @rule(
        writer=writers,
        pick=picks,
        skew=skews,
        other_body=st.sampled_from([False, False, False, True]),
        reply_delivered=st.booleans(),
    )
    def claim(self, writer, pick, skew, other_body, reply_delivered):
        # Only recent keys, so that most claims compete with another of the same key.
        recent_keys = self.keys[-KEYS_IN_USE:]
        key = recent_keys[pick % len(recent_keys)]
        try:
            key.key.check_window(self.time + skew, SETTINGS)
        except IdempotencyKeyExpiredError:
            return
        self.last_request_id += 1
        body = b"otherbod" if other_body else b"samebody"
        key.bodies.add(body)
        claim = ClaimRequest(
            self.last_request_id,
            key.key.hash("o"),
            body,
            key.key.issued,
            f"e{pick % 2}~0",
            self.time + DEADLINE_S,
        )
        self.open_claims[claim.request_id] = claim
        self.submit(writer, claim, reply_delivered)

    @precondition(lambda self: self.open_claims or self.refused_claims)
    @rule(writer=writers, pick=picks, reply_delivered=st.booleans())
    def repeat_claim(self, writer, pick, reply_delivered):
        """Resend a claim, possibly one that was abandoned long ago."""
        claims = [*self.open_claims.values(), *self.refused_claims.values()]
        claim = replace(claims[pick % len(claims)], deadline=self.time + DEADLINE_S)
        self.submit(writer, claim, reply_delivered)

    @precondition(lambda self: self.open_claims)
    @rule(pick=picks)
    def abandon_claim(self, pick):
        request_id = list(self.open_claims)[pick % len(self.open_claims)]
        self.refused_claims[request_id] = self.open_claims.pop(request_id)

    @precondition(lambda self: any(key.runs for key in self.keys))
    @rule(writer=writers, pick=picks)
    def finish_run(self, writer, pick):
        run_hashes = [
            key_hash for key_hash, key in self.keys_by_hash.items() if key.runs
        ]
        key_hash = run_hashes[pick % len(run_hashes)]
        for sender in ("e0", "e1"):
            actions = self.shards[writer].finish(
                self.timestamp(writer), sender, key_hash, ClaimState.DONE
            )
            self.execute(writer, actions, True)

    @rule(
        seconds=st.sampled_from([0.02, 0.02, 0.02, 1.5, 1.5, 25.0, 70.0, 150.0, 290.0])
    )
    def advance_time(self, seconds):
        self.time += seconds

    @rule(writer=writers)
    def tick(self, writer):
        due = self.shards[writer].next_tick_time
        if due is not None and due <= self.time:
            self.execute(writer, self.shards[writer].tick(self.timestamp(writer)), True)

    def pick_busy_writer(self, pick: int) -> int:
        busy = [w for w in range(WRITERS) if self.pending[w] is not None]
        return busy[pick % len(busy)]

    @precondition(lambda self: any(self.pending))
    @rule(pick=picks)
    def read_snapshot(self, pick):
        """Read the store for a load whose result is delivered later."""
        writer = self.pick_busy_writer(pick)
        pending = self.pending[writer]
        if isinstance(pending, LoadSegments):
            self.snapshots[writer] = self.store.range(pending.prefix)

    @precondition(lambda self: any(self.pending))
    @rule(
        pick=picks,
        result=st.sampled_from(["ok", "ok", *STORE_RESULTS]),
        reply_delivered=st.booleans(),
    )
    def complete_store_call(self, pick, result, reply_delivered):
        self.finish_store_call(self.pick_busy_writer(pick), result, reply_delivered)

    def finish_store_call(
        self, writer: int, result: str, reply_delivered: bool
    ) -> None:
        pending, self.pending[writer] = self.pending[writer], None
        shard, timestamp = self.shards[writer], self.timestamp(writer)
        match pending:
            case LoadSegments(prefix):
                if result == "ok":
                    values = self.snapshots[writer]
                    if values is None:
                        values = self.store.range(prefix)
                    content = ShardContent.decode_all(prefix, values)
                    actions = shard.on_loaded(timestamp, content)
                else:
                    actions = shard.on_unavailable(timestamp)
            case Transaction():
                match result:
                    case "ok":
                        if self.store.commit(pending):
                            actions = shard.on_committed(timestamp, self.store.revision)
                        else:
                            self.conflicts += 1
                            actions = shard.on_conflict(timestamp)
                    case "unavailable":
                        actions = shard.on_unavailable(timestamp)
                    case _:
                        if result == "lost reply":
                            self.store.commit(pending)
                        elif result == "delayed commit":
                            self.delayed_commits.append(pending)
                        actions = shard.on_unknown_outcome(timestamp)
            case _:
                return
        self.execute(writer, actions, reply_delivered)

    @precondition(lambda self: self.delayed_commits)
    @rule(pick=picks)
    def apply_delayed_commit(self, pick):
        """Apply a commit long after its writer read the segments back."""
        self.store.commit(self.delayed_commits.pop(pick % len(self.delayed_commits)))

    @rule(writer=writers, applied=st.booleans())
    def restart(self, writer, applied):
        pending, self.pending[writer] = self.pending[writer], None
        if isinstance(pending, Transaction):
            if applied:
                self.store.commit(pending)
            else:
                self.delayed_commits.append(pending)
        self.shards[writer] = ClaimShard(0, SETTINGS)

    @invariant()
    def segment_sizes_are_bounded(self):
        # Only changed records of sealed segments may take a segment over its limit.
        for stored in self.store.values.values():
            assert len(stored.value) <= 2 * SETTINGS.segment_bytes

    def teardown(self):
        """Check that new claims succeed once the store works again."""
        for writer in range(WRITERS):
            self.time += DEADLINE_S
            self.make_key(0)
            key = self.keys[-1]
            self.claim(writer, -1, self.offsets[writer], False, True)
            for _ in range(20):
                self.time += 0.02
                self.finish_store_call(writer, "ok", True)
                self.tick(writer)
            assert key.runs == 1, "a claim did not succeed with a working store"


ClaimShardMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=80,
    suppress_health_check=list(HealthCheck),
)
ClaimShardTest = ClaimShardMachine.TestCase


class ClaimShardLongHistoryTest(testtools.TestCase):
    """Guards against second runs that only histories longer than above reveal."""

    def test_long_random_histories_claim_each_key_once(self):
        conflicts = sum(self.run_history(Random(seed)) for seed in range(HISTORIES))
        # Without conflicts the writers would not have competed.
        self.assertGreater(conflicts, HISTORIES)

    def run_history(self, random: Random) -> int:
        """Run one random history and return the number of conflicting commits."""
        machine = ClaimShardMachine()
        machine.set_up([random.uniform(0, CLOCK_DIFFERENCE_S) for _ in range(WRITERS)])
        for _ in range(HISTORY_STEPS):
            self.run_random_step(machine, random)
            machine.segment_sizes_are_bounded()
        machine.teardown()
        return machine.conflicts

    def run_random_step(self, machine: ClaimShardMachine, random: Random) -> None:
        writer, pick = random.randrange(WRITERS), random.randrange(1_000_000)
        reply_delivered = random.random() < 0.7
        choice = random.random()
        if choice < 0.45 and any(machine.pending):
            result = random.choices(STORE_RESULTS, (70, 8, 5, 10, 7))[0]
            machine.complete_store_call(pick, result, reply_delivered)
        elif choice < 0.70:
            skew = random.uniform(0, CLOCK_DIFFERENCE_S)
            machine.claim(writer, pick, skew, random.random() < 0.1, reply_delivered)
        elif choice < 0.76 and (machine.open_claims or machine.refused_claims):
            machine.repeat_claim(writer, pick, reply_delivered)
        elif choice < 0.79 and machine.open_claims:
            machine.abandon_claim(pick)
        elif choice < 0.82 and any(key.runs for key in machine.keys):
            machine.finish_run(writer, pick)
        elif choice < 0.90:
            seconds = random.choices((0.02, 1.5, 25.0, 70.0, 290.0), (50, 20, 15, 3, 1))
            machine.advance_time(seconds[0])
        elif choice < 0.94:
            machine.tick(writer)
        elif choice < 0.95 and machine.delayed_commits:
            machine.apply_delayed_commit(pick)
        elif choice < 0.96 and any(machine.pending):
            machine.read_snapshot(pick)
        elif choice < 0.97:
            machine.restart(writer, reply_delivered)
        elif choice < 0.99:
            machine.make_key(random.uniform(-CLOCK_DIFFERENCE_S, SETTINGS.window_s))
