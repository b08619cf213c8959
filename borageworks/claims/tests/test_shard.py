"""Directed tests of the claim shard."""

from __future__ import annotations

import testtools
from testtools import ExpectedException

from borageworks.claims.actions import (
    Action,
    Answer,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
)
from borageworks.claims.content import ShardContent
from borageworks.claims.moment import Moment
from borageworks.claims.shard import FINISH_DELAY_S, RETRY_DELAY_S, ClaimShard
from borageworks.claims.tests.fake_store import FakeStore
from borageworks.config.settings import ClaimSettings
from borageworks.exceptions import ClaimSegmentMalformedError
from borageworks.store.values import Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState

WINDOW_S = 600.0
DIFFERENCE_S = 50.0
START = 1_000_000.0
SETTINGS = ClaimSettings(
    window_s=WINDOW_S,
    clock_difference_s=DIFFERENCE_S,
    segment_bytes=1024,
    segment_age_s=20.0,
    commit_interval_s=0.5,
)


class Writer:
    """A shard at one instance; store calls wait until `run`."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.shard = ClaimShard(0, SETTINGS)
        self.pending: LoadSegments | Transaction | None = None
        self.answers: list[Answer] = []

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Answer():
                    self.answers.append(action)
                case CommitSegment(transaction):
                    self.pending = transaction
                case LoadSegments():
                    self.pending = action

    def claim(self, at, request, key, *, holder="e~1", body=b"body-one", issued=None):
        claim = ClaimRequest(
            request, key * 16, body, at if issued is None else issued, holder, at + 60
        )
        self.execute(self.shard.request(Moment(at, at), claim))

    def finish(self, at, key, state, sender="e") -> None:
        self.execute(self.shard.finish(Moment(at, at), sender, key * 16, state))

    def step(self, at: float) -> None:
        """Execute one store call."""
        pending, self.pending = self.pending, None
        moment = Moment(at, at)
        match pending:
            case LoadSegments(prefix):
                content = ShardContent.read(prefix, self.store.range(prefix))
                self.execute(self.shard.loaded(moment, content))
            case Transaction():
                if self.store.commit(pending):
                    actions = self.shard.committed(moment, self.store.revision)
                else:
                    actions = self.shard.conflicted(moment)
                self.execute(actions)
            case None:
                self.execute(self.shard.tick(moment))

    def run(self, at: float) -> list[tuple[ClaimOutcome, ClaimState]]:
        """Execute store calls until nothing is left; return the answers."""
        while self.pending is not None or (self.shard.due or at + 1) <= at:
            self.step(at)
        answers, self.answers = self.answers, []
        return [(answer.outcome, answer.state) for answer in answers]


class ClaimShardTest(testtools.TestCase):
    """Guards against second runs and wrong answers in single situations."""

    def setUp(self):
        super().setUp()
        self.store = FakeStore()

    def writer(self) -> Writer:
        return Writer(self.store)

    def outcome(self, writer: Writer, at: float, request: int, key: bytes, **options):
        writer.claim(at, request, key, **options)
        return writer.run(at)

    def test_claims_that_arrive_during_a_commit_share_the_next_one(self):
        writer = self.writer()
        self.outcome(writer, START, 0, b"z")
        before = self.store.revision
        for request in range(1, 11):
            writer.claim(START + 1, request, bytes((request,)))
        self.assertEqual(10, len(writer.run(START + 2)))
        self.assertEqual(2, self.store.revision - before)

    def test_a_resend_after_a_restart_of_the_writer_is_told_the_state(self):
        self.outcome(self.writer(), START, 1, b"k")
        other = self.writer()
        self.assertEqual(
            [(ClaimOutcome.DUPLICATE, ClaimState.CLAIMED)],
            self.outcome(other, START + 1, 2, b"k"),
        )
        self.assertEqual(
            ClaimOutcome.BODY_MISMATCH,
            self.outcome(other, START + 1, 3, b"k", body=b"body-two")[0][0],
        )

    def test_a_claim_is_no_duplicate_of_itself(self):
        self.outcome(self.writer(), START, 1, b"k")
        self.assertEqual(
            ClaimOutcome.CLAIMED, self.outcome(self.writer(), START, 1, b"k")[0][0]
        )
        self.assertEqual(
            ClaimOutcome.DUPLICATE,
            self.outcome(self.writer(), START, 1, b"k", holder="e~2")[0][0],
            "another boot of the same instance is another holder",
        )

    def test_an_unknown_outcome_is_read_back_before_any_answer(self):
        for applied in (True, False):
            key = b"y" if applied else b"n"
            writer = self.writer()
            writer.claim(START, 1, key)
            writer.step(START)
            assert isinstance(writer.pending, Transaction)
            transaction, writer.pending = writer.pending, None
            if applied:
                self.store.commit(transaction)
            writer.execute(writer.shard.unknown(Moment(START, START)))
            self.assertEqual([], writer.answers)
            self.assertIsInstance(writer.pending, LoadSegments)
            self.assertEqual(ClaimOutcome.CLAIMED, writer.run(START + 1)[0][0])

    def test_an_outage_answers_at_once_and_known_keys_keep_their_state(self):
        writer = self.writer()
        self.outcome(writer, START, 1, b"k")
        writer.claim(START + 1, 2, b"a")
        moment = Moment(START + 1, START + 1)
        writer.execute(writer.shard.unavailable(moment))
        writer.pending = None
        writer.claim(START + 1, 3, b"b")
        writer.claim(START + 1, 4, b"k")
        self.assertIsNone(writer.pending)
        self.assertEqual(
            [
                ClaimOutcome.UNAVAILABLE,
                ClaimOutcome.UNAVAILABLE,
                ClaimOutcome.DUPLICATE,
            ],
            [answer.outcome for answer in writer.answers],
        )
        writer.answers.clear()
        later = START + 1 + RETRY_DELAY_S
        self.assertEqual(
            ClaimOutcome.CLAIMED, self.outcome(writer, later, 5, b"a")[0][0]
        )

    def test_a_final_state_is_stored_and_never_replaced(self):
        writer = self.writer()
        at = START
        for request, key in enumerate((b"a", b"b")):
            self.outcome(writer, at, request, key)
        # The second state change meets a sealed segment.
        for state, key in ((ClaimState.DONE, b"a"), (ClaimState.RELEASED, b"b")):
            writer.finish(at, key, state)
            at += FINISH_DELAY_S
            writer.run(at)
            at += 30
            self.outcome(writer, at, 100 + int(at), b"x" + key)
        writer.finish(at, b"a", ClaimState.RELEASED)
        writer.finish(at, b"b", ClaimState.DONE)
        writer.run(at + FINISH_DELAY_S)
        for shard in (writer, self.writer()):
            states = [self.outcome(shard, at, 9, key)[0][1] for key in (b"a", b"b")]
            self.assertEqual([ClaimState.DONE, ClaimState.RELEASED], states)

    def test_only_the_holder_finishes_a_claim(self):
        writer = self.writer()
        self.outcome(writer, START, 1, b"k")
        writer.finish(START, b"k", ClaimState.RELEASED, sender="other")
        writer.run(START + FINISH_DELAY_S)
        self.assertEqual(
            ClaimState.CLAIMED, self.outcome(writer, START + 9, 2, b"k")[0][1]
        )

    def test_a_writer_paused_past_expiry_cannot_start_the_shard_again(self):
        paused = self.writer()
        paused.claim(START, 1, b"k")
        paused.step(START)
        writer = self.writer()
        at = START
        self.outcome(writer, at, 2, b"k")
        for request in range(3, 6):
            at += WINDOW_S + 2 * DIFFERENCE_S + 1
            self.outcome(writer, at, request, bytes((request,)))
        self.assertNotIn("claims/0000/0000000001", self.store.values)
        outcomes = paused.run(at)
        self.assertNotIn((ClaimOutcome.CLAIMED, ClaimState.CLAIMED), outcomes)

    def test_a_claim_that_was_on_its_way_for_the_whole_window_is_refused(self):
        writer = self.writer()
        self.outcome(writer, START, 1, b"k")
        at = START
        for request in range(2, 5):
            at += WINDOW_S + 2 * DIFFERENCE_S + 1
            self.outcome(writer, at, request, bytes((request,)))
        self.assertEqual(
            [ClaimOutcome.EXPIRED],
            [o for o, _ in self.outcome(writer, at, 9, b"k", issued=START)],
        )

    def test_a_record_outlasts_every_clock_that_accepts_its_key(self):
        # The key is issued as far in the future as a clock may allow, and the writer
        # that expires segments has the most advanced clock.
        issued = START + 2 * DIFFERENCE_S
        self.outcome(self.writer(), START, 1, b"k", issued=issued)
        last_accepted = issued + WINDOW_S - DIFFERENCE_S
        fast = last_accepted + DIFFERENCE_S
        writer = self.writer()
        for request, at in enumerate((fast - 60, fast - 30, fast), 2):
            self.outcome(writer, at, request, bytes((request,)))
        self.assertEqual(
            ClaimOutcome.DUPLICATE,
            self.outcome(self.writer(), last_accepted, 9, b"k", issued=issued)[0][0],
        )

    def test_a_burst_is_split_into_bounded_segments(self):
        writer = self.writer()
        for request in range(200):
            writer.claim(START, request, bytes((request,)))
        answers = []
        for second in range(20):
            answers += writer.run(START + second)
        self.assertEqual([ClaimOutcome.CLAIMED] * 200, [o for o, _ in answers])
        self.assertLessEqual(
            max(len(stored.value) for stored in self.store.values.values()),
            SETTINGS.segment_bytes,
        )


class ShardContentTest(testtools.TestCase):
    """Guards against claims made on a partly readable shard."""

    def test_an_absent_active_segment_or_a_foreign_key_is_an_error(self):
        store = FakeStore()
        writer = Writer(store)
        writer.claim(START, 1, b"k")
        writer.run(START)
        for change in (
            Transaction({}, {}, ("claims/0000/0000000001",)),
            Transaction({}, {"claims/0000/head": b"x"}),
            Transaction({}, {"claims/0000/0000000002": b""}),
        ):
            values = dict(store.values)
            store.commit(change)
            with ExpectedException(ClaimSegmentMalformedError):
                ShardContent.read("claims/0000/", store.values)
            store.values = values
