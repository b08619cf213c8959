"""Writers of one shard under faults, compared with a naive ledger."""

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
    Answer,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
)
from borageworks.claims.content import ShardContent
from borageworks.claims.key import IdempotencyKey
from borageworks.claims.moment import Moment
from borageworks.claims.shard import ClaimShard
from borageworks.claims.tests.fake_store import FakeStore
from borageworks.config.settings import ClaimSettings
from borageworks.exceptions import IdempotencyKeyExpiredError
from borageworks.store.values import StoredValue, Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState

WRITERS = 3
DIFFERENCE_S = 30.0
SETTINGS = ClaimSettings(
    window_s=200.0,
    clock_difference_s=DIFFERENCE_S,
    segment_bytes=1024,
    segment_age_s=20.0,
    commit_interval_s=0.01,
)
DEADLINE_S = 60.0
KEYS_IN_USE = 4
WALKS = 150
WALK_STEPS = 400
START = 1_000_000.0
RESULTS = ("ok", "lost reply", "lost request", "stray", "unavailable")
writers = st.integers(0, WRITERS - 1)
skews = st.floats(0.0, DIFFERENCE_S)
picks = st.integers(0, 1_000_000)


@dataclass
class Key:
    """A caller's key and what the ledger knows of it."""

    key: IdempotencyKey
    runs: int = 0
    runner: int = -1
    released: bool = False
    bodies: set[bytes] = field(default_factory=set)


class ClaimShardMachine(RuleBasedStateMachine):
    """Guards against a second run of a key, whatever fails or is late."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.time = START
        self.shards = [ClaimShard(0, SETTINGS) for _ in range(WRITERS)]
        self.offsets = [0.0] * WRITERS
        self.pending: list[LoadSegments | Transaction | None] = [None] * WRITERS
        self.snapshots: list[dict[str, StoredValue] | None] = [None] * WRITERS
        self.strays: list[Transaction] = []
        self.keys: list[Key] = []
        self.open: dict[int, ClaimRequest] = {}
        self.refused: dict[int, ClaimRequest] = {}
        self.by_hash: dict[bytes, Key] = {}
        self.requests = 0
        self.conflicts = 0

    @initialize(offsets=st.tuples(*[skews] * WRITERS))
    def set_up(self, offsets):
        self.offsets = list(offsets)
        for age in (0, 0, 20, 100):
            self.make_key(age)

    def moment(self, writer: int) -> Moment:
        return Moment(self.time, self.time + self.offsets[writer])

    def execute(self, writer: int, actions: list[Action], answered: bool) -> None:
        for action in actions:
            match action:
                case Answer():
                    if answered:
                        self.answer(writer, action)
                case LoadSegments():
                    assert self.pending[writer] is None, "two store calls in flight"
                    self.pending[writer] = action
                    self.snapshots[writer] = None
                case CommitSegment(transaction):
                    assert self.pending[writer] is None, "two store calls in flight"
                    self.pending[writer] = transaction

    def answer(self, writer: int, answer: Answer) -> None:
        claim = answer.claim
        key = self.by_hash[claim.key_hash]
        if self.open.pop(claim.request_id, None) is None:
            if (
                claim.request_id in self.refused
                and answer.outcome is ClaimOutcome.CLAIMED
            ):
                self.finish(writer, claim, ClaimState.RELEASED)
            return
        match answer.outcome:
            case ClaimOutcome.CLAIMED:
                key.runs += 1
                key.runner = claim.request_id
                assert key.runs == 1, f"{key.key.text} claimed twice"
                assert not key.released, "a released key was claimed"
            case ClaimOutcome.BODY_MISMATCH:
                assert len(key.bodies) > 1
                self.refused[claim.request_id] = claim
            case ClaimOutcome.DUPLICATE:
                assert answer.holder
                if answer.state is ClaimState.RELEASED:
                    assert key.runs == 0, "a key that ran was reported as released"
                if answer.state is ClaimState.DONE:
                    assert key.runs == 1
                self.refused[claim.request_id] = claim
            case _:
                self.refused[claim.request_id] = claim

    def finish(self, writer: int, claim: ClaimRequest, state: ClaimState) -> None:
        if state is ClaimState.RELEASED:
            self.by_hash[claim.key_hash].released = True
        sender = claim.holder.partition("~")[0]
        actions = self.shards[writer].finish(
            self.moment(writer), sender, claim.key_hash, state
        )
        self.execute(writer, actions, True)

    def send(self, writer: int, claim: ClaimRequest, answered: bool) -> None:
        actions = self.shards[writer].request(self.moment(writer), claim)
        self.execute(writer, actions, answered)

    @rule(age=st.floats(-DIFFERENCE_S, SETTINGS.window_s))
    def make_key(self, age):
        text = f"{int(self.time - age)}-{len(self.keys)}"
        key = Key(IdempotencyKey.parse(text))
        self.keys.append(key)
        self.by_hash[key.key.hash("o")] = key

    @precondition(lambda self: self.keys)
    @rule(
        writer=writers,
        pick=picks,
        skew=skews,
        other_body=st.sampled_from([False, False, False, True]),
        answered=st.booleans(),
    )
    def claim(self, writer, pick, skew, other_body, answered):
        # Recent keys, so that most claims meet another one of the same key.
        recent = self.keys[-KEYS_IN_USE:]
        key = recent[pick % len(recent)]
        try:
            key.key.check(self.time + skew, SETTINGS)
        except IdempotencyKeyExpiredError:
            return
        self.requests += 1
        body = b"otherbod" if other_body else b"samebody"
        key.bodies.add(body)
        claim = ClaimRequest(
            self.requests,
            key.key.hash("o"),
            body,
            key.key.issued,
            f"e{pick % 2}~0",
            self.time + DEADLINE_S,
        )
        self.open[claim.request_id] = claim
        self.send(writer, claim, answered)

    @precondition(lambda self: self.open or self.refused)
    @rule(writer=writers, pick=picks, answered=st.booleans())
    def repeat_claim(self, writer, pick, answered):
        """Send a claim again, also a copy of one that was given up long ago."""
        claims = [*self.open.values(), *self.refused.values()]
        claim = replace(claims[pick % len(claims)], deadline=self.time + DEADLINE_S)
        self.send(writer, claim, answered)

    @precondition(lambda self: self.open)
    @rule(pick=picks)
    def give_up(self, pick):
        request_id = list(self.open)[pick % len(self.open)]
        self.refused[request_id] = self.open.pop(request_id)

    @precondition(lambda self: any(key.runs for key in self.keys))
    @rule(writer=writers, pick=picks)
    def finish_run(self, writer, pick):
        ran = [h for h, key in self.by_hash.items() if key.runs]
        key_hash = ran[pick % len(ran)]
        for sender in ("e0", "e1"):
            actions = self.shards[writer].finish(
                self.moment(writer), sender, key_hash, ClaimState.DONE
            )
            self.execute(writer, actions, True)

    @rule(
        seconds=st.sampled_from([0.02, 0.02, 0.02, 1.5, 1.5, 25.0, 70.0, 150.0, 290.0])
    )
    def pass_time(self, seconds):
        self.time += seconds

    @rule(writer=writers)
    def tick(self, writer):
        due = self.shards[writer].due
        if due is not None and due <= self.time:
            self.execute(writer, self.shards[writer].tick(self.moment(writer)), True)

    def busy(self, pick: int) -> int:
        found = [w for w in range(WRITERS) if self.pending[w] is not None]
        return found[pick % len(found)]

    @precondition(lambda self: any(self.pending))
    @rule(pick=picks)
    def read(self, pick):
        """Read the store for a load whose result arrives later."""
        writer = self.busy(pick)
        pending = self.pending[writer]
        if isinstance(pending, LoadSegments):
            self.snapshots[writer] = self.store.range(pending.prefix)

    @precondition(lambda self: any(self.pending))
    @rule(
        pick=picks,
        result=st.sampled_from(["ok", "ok", *RESULTS]),
        answered=st.booleans(),
    )
    def resolve(self, pick, result, answered):
        self.settle(self.busy(pick), result, answered)

    def settle(self, writer: int, result: str, answered: bool) -> None:
        pending, self.pending[writer] = self.pending[writer], None
        shard, moment = self.shards[writer], self.moment(writer)
        match pending:
            case LoadSegments(prefix):
                if result == "ok":
                    values = self.snapshots[writer]
                    if values is None:
                        values = self.store.range(prefix)
                    content = ShardContent.read(prefix, values)
                    actions = shard.loaded(moment, content)
                else:
                    actions = shard.unavailable(moment)
            case Transaction():
                match result:
                    case "ok":
                        if self.store.commit(pending):
                            actions = shard.committed(moment, self.store.revision)
                        else:
                            self.conflicts += 1
                            actions = shard.conflicted(moment)
                    case "unavailable":
                        actions = shard.unavailable(moment)
                    case _:
                        if result == "lost reply":
                            self.store.commit(pending)
                        elif result == "stray":
                            self.strays.append(pending)
                        actions = shard.unknown(moment)
            case _:
                return
        self.execute(writer, actions, answered)

    @precondition(lambda self: self.strays)
    @rule(pick=picks)
    def apply_stray(self, pick):
        """Apply a commit long after its writer read back."""
        self.store.commit(self.strays.pop(pick % len(self.strays)))

    @rule(writer=writers, applied=st.booleans())
    def restart(self, writer, applied):
        pending, self.pending[writer] = self.pending[writer], None
        if isinstance(pending, Transaction):
            if applied:
                self.store.commit(pending)
            else:
                self.strays.append(pending)
        self.shards[writer] = ClaimShard(0, SETTINGS)

    @invariant()
    def segments_stay_bounded(self):
        # A segment may be over its bound by moved state changes only.
        for stored in self.store.values.values():
            assert len(stored.value) <= 2 * SETTINGS.segment_bytes

    def teardown(self):
        """With a working store, a new claim is answered; nothing is stuck."""
        for writer in range(WRITERS):
            self.time += DEADLINE_S
            self.make_key(0)
            key = self.keys[-1]
            self.claim(writer, -1, self.offsets[writer], False, True)
            for _ in range(20):
                self.time += 0.02
                self.settle(writer, "ok", True)
                self.tick(writer)
            assert key.runs == 1, "a claim was not answered by a working store"


ClaimShardMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=80,
    suppress_health_check=list(HealthCheck),
)
ClaimShardTest = ClaimShardMachine.TestCase


class ClaimShardWalkTest(testtools.TestCase):
    """Guards against a second run that needs a longer history than the machine's."""

    def test_long_random_histories_claim_each_key_once(self):
        conflicts = sum(self.walk(Random(seed)) for seed in range(WALKS))
        # Guards the test itself: without conflicts the writers did not compete.
        self.assertGreater(conflicts, WALKS)

    def walk(self, random: Random) -> int:
        """Run one history and return how many commits met a conflict."""
        machine = ClaimShardMachine()
        machine.set_up([random.uniform(0, DIFFERENCE_S) for _ in range(WRITERS)])
        for _ in range(WALK_STEPS):
            self.step(machine, random)
            machine.segments_stay_bounded()
        machine.teardown()
        return machine.conflicts

    def step(self, machine: ClaimShardMachine, random: Random) -> None:
        writer, pick = random.randrange(WRITERS), random.randrange(1_000_000)
        answered = random.random() < 0.7
        chance = random.random()
        if chance < 0.45 and any(machine.pending):
            result = random.choices(RESULTS, (70, 8, 5, 10, 7))[0]
            machine.resolve(pick, result, answered)
        elif chance < 0.70:
            skew = random.uniform(0, DIFFERENCE_S)
            machine.claim(writer, pick, skew, random.random() < 0.1, answered)
        elif chance < 0.76 and (machine.open or machine.refused):
            machine.repeat_claim(writer, pick, answered)
        elif chance < 0.79 and machine.open:
            machine.give_up(pick)
        elif chance < 0.82 and any(key.runs for key in machine.keys):
            machine.finish_run(writer, pick)
        elif chance < 0.90:
            seconds = random.choices((0.02, 1.5, 25.0, 70.0, 290.0), (50, 20, 15, 3, 1))
            machine.pass_time(seconds[0])
        elif chance < 0.94:
            machine.tick(writer)
        elif chance < 0.95 and machine.strays:
            machine.apply_stray(pick)
        elif chance < 0.96 and any(machine.pending):
            machine.read(pick)
        elif chance < 0.97:
            machine.restart(writer, answered)
        elif chance < 0.99:
            machine.make_key(random.uniform(-DIFFERENCE_S, SETTINGS.window_s))
