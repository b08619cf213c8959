"""Tests of the message codec."""

import typing
from enum import IntEnum

from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.exceptions import MessageMalformedError
from borageworks.wire import messages
from borageworks.wire.codec import decode, encode

SETTINGS = settings(derandomize=True, deadline=None, max_examples=60)

TEXT = st.text(max_size=20)
BITS = {"waiting": 32, "owners": 32, "sequence": 32, "requests": 32}
BITS |= {"tokens": 32, "prompt_tokens": 32, "generated_tokens": 32}
BITS |= {"unread_tokens": 32, "reason": 8, "outcome": 8}
BITS |= {"shard": 16, "status": 16, "port": 16, "peer_port": 16}
SINGLE_PRECISION = {"first_token", "token_interval"}
SINGLE_PRECISION |= {"aim_s", "patience_s", "retry_after_s"}
SINGLE_PRECISION |= {"seconds_per_token", "start_s", "age_s", "lapse_grace_s"}


def _values(name: str, kind: typing.Any) -> st.SearchStrategy[typing.Any]:
    if typing.get_origin(kind) is tuple:
        item = typing.get_args(kind)[0]
        return st.lists(_values(name, item), max_size=4).map(tuple)
    if kind is str:
        return TEXT
    if kind is int:
        return st.integers(0, 2 ** BITS.get(name, 64) - 1)
    if kind is float:
        return st.floats(allow_nan=False, width=32 if name in SINGLE_PRECISION else 64)
    if kind is bytes:
        return st.binary(max_size=40)
    if kind is bool:
        return st.booleans()
    if isinstance(kind, type) and issubclass(kind, int):
        return st.sampled_from(typing.cast(type[IntEnum], kind))
    return _messages(kind)


def _messages(kind: type) -> st.SearchStrategy[typing.Any]:
    hints = typing.get_type_hints(kind)
    if kind is messages.CatalogPull:
        buckets = st.lists(st.integers(0, 2**16 - 1), max_size=4).map(tuple)
        return st.builds(kind, buckets=buckets)
    return st.builds(kind, **{name: _values(name, hints[name]) for name in hints})


KINDS = typing.get_args(messages.Message)
ANY_MESSAGE = st.one_of([_messages(kind) for kind in KINDS])


class CodecTests(TestCase):
    def test_round_trip_of_each_type(self) -> None:
        """Guards against a field that is missing or too narrow in the schema."""
        for kind in KINDS:

            @settings(SETTINGS, max_examples=15)
            @given(_messages(kind))
            def check(message):
                self.assertEqual([message], decode(encode([message])))

            check()

    @SETTINGS
    @given(st.lists(ANY_MESSAGE, max_size=5))
    def test_round_trip_of_a_frame(self, sent):
        """Guards against messages that are lost or reordered within a frame."""
        self.assertEqual(sent, decode(encode(sent)))

    @SETTINGS
    @given(st.binary(max_size=200))
    @example(b"")
    def test_random_bytes(self, data):
        """Guards against other exceptions than MessageMalformedError, or a crash."""
        self._decode_hostile(data)

    @SETTINGS
    @given(
        st.lists(ANY_MESSAGE, min_size=1, max_size=3),
        st.lists(st.tuples(st.integers(0), st.integers(0, 255)), max_size=4),
        st.integers(0),
    )
    def test_mutated_bytes(self, sent, changes, cut):
        """Guards against bad pointers, text, numbers and ends of a valid frame."""
        data = bytearray(encode(sent))
        for position, value in changes:
            data[position % len(data)] = value
        self._decode_hostile(bytes(data))
        self._decode_hostile(bytes(data[: cut % len(data)]))

    def _decode_hostile(self, data: bytes) -> None:
        try:
            decoded = decode(data)
        except MessageMalformedError:
            return
        self.assertTrue(all(type(message) in KINDS for message in decoded))
