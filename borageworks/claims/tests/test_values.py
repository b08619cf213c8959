"""Tests of keys, segments, sharding and retained responses."""

from __future__ import annotations

from uuid import UUID

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import ExpectedException

from borageworks.claims.key import IdempotencyKey
from borageworks.claims.record import ClaimRecord
from borageworks.claims.response_cache import ResponseCache
from borageworks.claims.retained_response import (
    RESPONSE_OVERHEAD_BYTES,
    RetainedResponse,
)
from borageworks.claims.segment import Segment
from borageworks.claims.sharding import shard_of, shard_writer
from borageworks.config.settings import ClaimSettings
from borageworks.exceptions import (
    ClaimSegmentMalformedError,
    IdempotencyKeyExpiredError,
    IdempotencyKeyMalformedError,
)
from borageworks.wire.messages import ClaimState, HeldAnswer

NOW = 1_700_000_000.0
SETTINGS = ClaimSettings(window_s=3600.0, clock_difference_s=60.0)


class IdempotencyKeyTest(testtools.TestCase):
    """Guards against keys whose age cannot be determined."""

    def test_both_formats_contain_the_issue_time(self):
        text = str(UUID(int=(int(NOW * 1000) << 80) | (7 << 76) | (2 << 62) | 5))
        self.assertEqual(NOW, IdempotencyKey.parse(text).issued)
        self.assertEqual(IdempotencyKey.parse(text), IdempotencyKey.parse(text.upper()))
        self.assertEqual(NOW, IdempotencyKey.parse("1700000000-order-7").issued)

    def test_other_formats_are_malformed(self):
        for text in (
            "",
            "order-7",
            "1700000000",
            "1700000000-",
            "-5-a",
            "1700000000-a b",
            "1700000000-\u00e9",
            "\u0661700000000-a",
            "1700000000-" + "a" * 245,
            "17000000-0000-4000-8000-000000000000",
        ):
            with ExpectedException(IdempotencyKeyMalformedError):
                IdempotencyKey.parse(text)

    def test_the_window_is_reduced_by_the_clock_difference(self):
        for age, accepted in ((3540, True), (3541, False), (-60, True), (-61, False)):
            key = IdempotencyKey.parse(f"{int(NOW) - age}-a")
            if accepted:
                key.check_window(NOW, SETTINGS)
            else:
                with ExpectedException(IdempotencyKeyExpiredError):
                    key.check_window(NOW, SETTINGS)

    def test_equal_keys_of_two_organisations_differ(self):
        key = IdempotencyKey.parse("1-a")
        self.assertNotEqual(key.hash("x"), key.hash("y"))


records = st.builds(
    ClaimRecord,
    st.binary(min_size=16, max_size=16),
    st.binary(min_size=8, max_size=8),
    st.sampled_from(["a~00000000", "b~ffffffff", "instance-123~01234567"]),
    st.integers(0, 2**32 - 1),
    st.sampled_from(ClaimState),
)


class SegmentTest(testtools.TestCase):
    """Guards against claims that are lost or altered by the segment codec."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(records, max_size=30, unique_by=lambda r: r.key_hash), st.booleans()
    )
    def test_a_segment_round_trips_and_its_size_is_exact(self, stored, sealed):
        segment = Segment(1.5, 2.5, {r.key_hash: r for r in stored}, sealed)
        data = segment.encode()
        self.assertEqual(segment, Segment.decode(data))
        self.assertEqual(len(data), segment.encoded_size_with({}))

    def test_truncated_or_unknown_data_is_rejected(self):
        record = ClaimRecord(b"k" * 16, b"b" * 8, "a~1", 1, ClaimState.CLAIMED)
        data = Segment(1.0, 1.0, {record.key_hash: record}).encode()
        truncated = [data[:end] for end in range(len(data))]
        for malformed in [*truncated, data + b"\0", b"\x09" + data[1:]]:
            with ExpectedException(ClaimSegmentMalformedError):
                Segment.decode(malformed)


class ShardingTest(testtools.TestCase):
    """Guards against needless shard moves when an instance leaves."""

    def test_only_the_shards_of_a_leaving_instance_move(self):
        members = [f"i{number}" for number in range(9)]
        for shard in range(64):
            before = shard_writer(shard, members)
            after = shard_writer(shard, [m for m in members if m != "i3"])
            self.assertTrue(before == after or before == "i3")

    def test_every_shard_number_is_in_range(self):
        self.assertEqual(7, shard_of(b"\x07" + b"\0" * 15, 64))


class HeldAnswersTest(testtools.TestCase):
    """Guards against unbounded memory use and lost track of running requests."""

    def test_the_least_recently_used_response_is_evicted_first(self):
        responses = ResponseCache(2 * RESPONSE_OVERHEAD_BYTES + 200)
        for key in (b"a", b"b"):
            responses.mark_running(key)
            responses.store(key, RetainedResponse(200, "", b"x" * 100))
        responses.find(b"a")
        responses.store(b"c", RetainedResponse(200, "", b"x" * 100))
        found = [responses.find(key)[0] for key in (b"a", b"b", b"c")]
        self.assertEqual([HeldAnswer.HELD, HeldAnswer.GONE, HeldAnswer.HELD], found)
        responses.store(b"d", RetainedResponse(200, "", b"x" * 5000))
        self.assertEqual(HeldAnswer.GONE, responses.find(b"d")[0])
        self.assertEqual(2 * RESPONSE_OVERHEAD_BYTES + 200, responses.size_bytes)

    def test_a_running_request_is_known_until_it_ends(self):
        responses = ResponseCache(0)
        responses.mark_running(b"a")
        self.assertEqual((HeldAnswer.RUNNING, None), responses.find(b"a"))
        responses.discard(b"a")
        self.assertEqual((HeldAnswer.GONE, None), responses.find(b"a"))
