"""Tests of the claim shard in specific situations."""

from __future__ import annotations

import testtools
from testtools import ExpectedException

from borageworks.claims.actions import (
    Action,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
    ReplyToClaim,
)
from borageworks.claims.content import ShardContent
from borageworks.claims.shard import FINISH_DELAY_S, STORE_RETRY_DELAY_S, ClaimShard
from borageworks.claims.tests.fake_store import FakeStore
from borageworks.claims.timestamp import Timestamp
from borageworks.config.settings import ClaimSettings
from borageworks.exceptions import ClaimSegmentMalformedError
from borageworks.store.values import Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState

WINDOW_S = 600.0
CLOCK_DIFFERENCE_S = 50.0
START = 1_000_000.0
SETTINGS = ClaimSettings(
    window_s=WINDOW_S,
    clock_difference_s=CLOCK_DIFFERENCE_S,
    segment_bytes=1024,
    segment_age_s=20.0,
    commit_interval_s=0.5,
)


class Writer:
    """A shard on one instance; a store call is executed by `run_store_call`."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.shard = ClaimShard(0, SETTINGS)
        self.pending: LoadSegments | Transaction | None = None
        self.replies: list[ReplyToClaim] = []

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case ReplyToClaim():
                    self.replies.append(action)
                case CommitSegment(transaction):
                    self.pending = transaction
                case LoadSegments():
                    self.pending = action

    def claim(
        self, at, request_id, key, *, holder="e~1", body=b"body-one", issued=None
    ):
        claim = ClaimRequest(
            request_id,
            key * 16,
            body,
            at if issued is None else issued,
            holder,
            at + 60,
        )
        self.execute(self.shard.submit(Timestamp(at, at), claim))

    def finish(self, at, key, state, sender="e") -> None:
        self.execute(self.shard.finish(Timestamp(at, at), sender, key * 16, state))

    def run_store_call(self, at: float) -> None:
        """Execute the pending store call, or a tick if there is none."""
        pending, self.pending = self.pending, None
        timestamp = Timestamp(at, at)
        match pending:
            case LoadSegments(prefix):
                content = ShardContent.decode_all(prefix, self.store.range(prefix))
                self.execute(self.shard.on_loaded(timestamp, content))
            case Transaction():
                if self.store.commit(pending):
                    actions = self.shard.on_committed(timestamp, self.store.revision)
                else:
                    actions = self.shard.on_conflict(timestamp)
                self.execute(actions)
            case None:
                self.execute(self.shard.tick(timestamp))

    def run_until_idle(self, at: float) -> list[tuple[ClaimOutcome, ClaimState]]:
        """Execute store calls until none is pending or due; return the replies."""
        while self.pending is not None or (self.shard.next_tick_time or at + 1) <= at:
            self.run_store_call(at)
        replies, self.replies = self.replies, []
        return [(reply.outcome, reply.state) for reply in replies]


class ClaimShardTest(testtools.TestCase):
    """Guards against requests that run twice and wrong replies."""

    def setUp(self):
        super().setUp()
        self.store = FakeStore()

    def writer(self) -> Writer:
        return Writer(self.store)

    def claim_and_run(
        self, writer: Writer, at: float, request_id: int, key: bytes, **options
    ):
        writer.claim(at, request_id, key, **options)
        return writer.run_until_idle(at)

    def test_claims_that_arrive_during_a_commit_share_the_next_one(self):
        writer = self.writer()
        self.claim_and_run(writer, START, 0, b"z")
        revision_before = self.store.revision
        for request_id in range(1, 11):
            writer.claim(START + 1, request_id, bytes((request_id,)))
        self.assertEqual(10, len(writer.run_until_idle(START + 2)))
        self.assertEqual(2, self.store.revision - revision_before)

    def test_a_new_writer_reports_the_stored_state_to_a_resend(self):
        self.claim_and_run(self.writer(), START, 1, b"k")
        other = self.writer()
        self.assertEqual(
            [(ClaimOutcome.DUPLICATE, ClaimState.CLAIMED)],
            self.claim_and_run(other, START + 1, 2, b"k"),
        )
        self.assertEqual(
            ClaimOutcome.BODY_MISMATCH,
            self.claim_and_run(other, START + 1, 3, b"k", body=b"body-two")[0][0],
        )

    def test_a_repeated_claim_is_not_a_duplicate(self):
        self.claim_and_run(self.writer(), START, 1, b"k")
        self.assertEqual(
            ClaimOutcome.CLAIMED,
            self.claim_and_run(self.writer(), START, 1, b"k")[0][0],
        )
        self.assertEqual(
            ClaimOutcome.DUPLICATE,
            self.claim_and_run(self.writer(), START, 1, b"k", holder="e~2")[0][0],
            "another boot of the same instance is a different holder",
        )

    def test_an_unknown_commit_outcome_is_read_back_before_any_reply(self):
        for applied in (True, False):
            key = b"y" if applied else b"n"
            writer = self.writer()
            writer.claim(START, 1, key)
            writer.run_store_call(START)
            assert isinstance(writer.pending, Transaction)
            transaction, writer.pending = writer.pending, None
            if applied:
                self.store.commit(transaction)
            writer.execute(writer.shard.on_unknown_outcome(Timestamp(START, START)))
            self.assertEqual([], writer.replies)
            self.assertIsInstance(writer.pending, LoadSegments)
            self.assertEqual(
                ClaimOutcome.CLAIMED, writer.run_until_idle(START + 1)[0][0]
            )

    def test_an_outage_gives_immediate_replies_and_known_keys_keep_their_state(self):
        writer = self.writer()
        self.claim_and_run(writer, START, 1, b"k")
        writer.claim(START + 1, 2, b"a")
        timestamp = Timestamp(START + 1, START + 1)
        writer.execute(writer.shard.on_unavailable(timestamp))
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
            [reply.outcome for reply in writer.replies],
        )
        writer.replies.clear()
        later = START + 1 + STORE_RETRY_DELAY_S
        self.assertEqual(
            ClaimOutcome.CLAIMED, self.claim_and_run(writer, later, 5, b"a")[0][0]
        )

    def test_a_final_state_is_stored_and_never_replaced(self):
        writer = self.writer()
        at = START
        for request_id, key in enumerate((b"a", b"b")):
            self.claim_and_run(writer, at, request_id, key)
        # The second state change applies to a record in a sealed segment.
        for state, key in ((ClaimState.DONE, b"a"), (ClaimState.RELEASED, b"b")):
            writer.finish(at, key, state)
            at += FINISH_DELAY_S
            writer.run_until_idle(at)
            at += 30
            self.claim_and_run(writer, at, 100 + int(at), b"x" + key)
        writer.finish(at, b"a", ClaimState.RELEASED)
        writer.finish(at, b"b", ClaimState.DONE)
        writer.run_until_idle(at + FINISH_DELAY_S)
        for reader in (writer, self.writer()):
            states = [
                self.claim_and_run(reader, at, 9, key)[0][1] for key in (b"a", b"b")
            ]
            self.assertEqual([ClaimState.DONE, ClaimState.RELEASED], states)

    def test_only_the_holder_finishes_a_claim(self):
        writer = self.writer()
        self.claim_and_run(writer, START, 1, b"k")
        writer.finish(START, b"k", ClaimState.RELEASED, sender="other")
        writer.run_until_idle(START + FINISH_DELAY_S)
        self.assertEqual(
            ClaimState.CLAIMED, self.claim_and_run(writer, START + 9, 2, b"k")[0][1]
        )

    def test_a_writer_paused_past_expiry_cannot_recreate_the_shard(self):
        paused = self.writer()
        paused.claim(START, 1, b"k")
        paused.run_store_call(START)
        writer = self.writer()
        at = START
        self.claim_and_run(writer, at, 2, b"k")
        for request_id in range(3, 6):
            at += WINDOW_S + 2 * CLOCK_DIFFERENCE_S + 1
            self.claim_and_run(writer, at, request_id, bytes((request_id,)))
        self.assertNotIn("claims/0000/0000000001", self.store.values)
        outcomes = paused.run_until_idle(at)
        self.assertNotIn((ClaimOutcome.CLAIMED, ClaimState.CLAIMED), outcomes)

    def test_a_claim_delayed_past_the_window_is_expired(self):
        writer = self.writer()
        self.claim_and_run(writer, START, 1, b"k")
        at = START
        for request_id in range(2, 5):
            at += WINDOW_S + 2 * CLOCK_DIFFERENCE_S + 1
            self.claim_and_run(writer, at, request_id, bytes((request_id,)))
        self.assertEqual(
            [ClaimOutcome.EXPIRED],
            [
                outcome
                for outcome, _ in self.claim_and_run(writer, at, 9, b"k", issued=START)
            ],
        )

    def test_a_record_is_retained_while_any_clock_accepts_its_key(self):
        # The key is issued as far in the future as clock differences allow, and the
        # writer that expires segments has the fastest clock.
        issued = START + 2 * CLOCK_DIFFERENCE_S
        self.claim_and_run(self.writer(), START, 1, b"k", issued=issued)
        last_accepted_at = issued + WINDOW_S - CLOCK_DIFFERENCE_S
        fast_clock = last_accepted_at + CLOCK_DIFFERENCE_S
        writer = self.writer()
        for request_id, at in enumerate(
            (fast_clock - 60, fast_clock - 30, fast_clock), 2
        ):
            self.claim_and_run(writer, at, request_id, bytes((request_id,)))
        self.assertEqual(
            ClaimOutcome.DUPLICATE,
            self.claim_and_run(self.writer(), last_accepted_at, 9, b"k", issued=issued)[
                0
            ][0],
        )

    def test_a_burst_is_split_into_segments_within_the_size_limit(self):
        writer = self.writer()
        for request_id in range(200):
            writer.claim(START, request_id, bytes((request_id,)))
        replies = []
        for second in range(20):
            replies += writer.run_until_idle(START + second)
        self.assertEqual(
            [ClaimOutcome.CLAIMED] * 200, [outcome for outcome, _ in replies]
        )
        self.assertLessEqual(
            max(len(stored.value) for stored in self.store.values.values()),
            SETTINGS.segment_bytes,
        )


class ShardContentTest(testtools.TestCase):
    """Guards against claims on a shard that can be read only in part."""

    def test_a_missing_active_segment_or_an_invalid_key_is_an_error(self):
        store = FakeStore()
        writer = Writer(store)
        writer.claim(START, 1, b"k")
        writer.run_until_idle(START)
        for change in (
            Transaction({}, {}, ("claims/0000/0000000001",)),
            Transaction({}, {"claims/0000/head": b"x"}),
            Transaction({}, {"claims/0000/0000000002": b""}),
        ):
            values = dict(store.values)
            store.commit(change)
            with ExpectedException(ClaimSegmentMalformedError):
                ShardContent.decode_all("claims/0000/", store.values)
            store.values = values
