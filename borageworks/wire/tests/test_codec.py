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
INTEGER_BITS = {"waiting": 32, "owners": 32, "sequence": 32, "requests": 32}
INTEGER_BITS |= {"tokens": 32, "prompt_tokens": 32, "generated_tokens": 32}
INTEGER_BITS |= {"unread_tokens": 32, "reason": 8, "outcome": 8, "crashes": 8}
INTEGER_BITS |= {"running": 32, "slots": 32}
INTEGER_BITS |= {"shard": 16, "status": 16, "port": 16, "peer_port": 16}
FLOAT32_FIELDS = {"first_token", "token_interval"}
FLOAT32_FIELDS |= {"aim_s", "patience_s", "retry_after_s"}
FLOAT32_FIELDS |= {"seconds_per_token", "start_s", "age_s", "lapse_grace_s"}
FLOAT32_FIELDS |= {"pace", "speed"}


def _value_strategy(name: str, value_type: typing.Any) -> st.SearchStrategy[typing.Any]:
    if typing.get_origin(value_type) is tuple:
        item = typing.get_args(value_type)[0]
        return st.lists(_value_strategy(name, item), max_size=4).map(tuple)
    if value_type is str:
        return TEXT
    if value_type is int:
        return st.integers(0, 2 ** INTEGER_BITS.get(name, 64) - 1)
    if value_type is float:
        return st.floats(allow_nan=False, width=32 if name in FLOAT32_FIELDS else 64)
    if value_type is bytes:
        return st.binary(max_size=40)
    if value_type is bool:
        return st.booleans()
    if isinstance(value_type, type) and issubclass(value_type, int):
        return st.sampled_from(typing.cast(type[IntEnum], value_type))
    return _message_strategy(value_type)


def _message_strategy(value_type: type) -> st.SearchStrategy[typing.Any]:
    hints = typing.get_type_hints(value_type)
    if value_type is messages.CatalogPull:
        buckets = st.lists(st.integers(0, 2**16 - 1), max_size=4).map(tuple)
        return st.builds(value_type, buckets=buckets)
    return st.builds(
        value_type, **{name: _value_strategy(name, hints[name]) for name in hints}
    )


MESSAGE_TYPES = typing.get_args(messages.Message)
ANY_MESSAGE = st.one_of([_message_strategy(value_type) for value_type in MESSAGE_TYPES])


class CodecTests(TestCase):
    def test_round_trip_of_each_type(self) -> None:
        """Guards against a field that is missing or too narrow in the schema."""
        for value_type in MESSAGE_TYPES:

            @settings(SETTINGS, max_examples=15)
            @given(_message_strategy(value_type))
            def check(message):
                self.assertEqual([message], decode(encode([message])))

            check()

    @SETTINGS
    @given(st.lists(ANY_MESSAGE, max_size=5))
    def test_round_trip_of_a_frame(self, sent):
        """Guards against messages lost or reordered within a frame."""
        self.assertEqual(sent, decode(encode(sent)))

    @SETTINGS
    @given(st.binary(max_size=200))
    @example(b"")
    def test_random_bytes(self, data):
        """Guards against crashes and exceptions other than MessageMalformedError."""
        self._decode_or_reject(data)

    @SETTINGS
    @given(
        st.lists(ANY_MESSAGE, min_size=1, max_size=3),
        st.lists(st.tuples(st.integers(0), st.integers(0, 255)), max_size=4),
        st.integers(0),
    )
    def test_mutated_bytes(self, sent, mutations, length):
        """Guards against invalid pointers, text and numbers, and truncated frames."""
        data = bytearray(encode(sent))
        for position, value in mutations:
            data[position % len(data)] = value
        self._decode_or_reject(bytes(data))
        self._decode_or_reject(bytes(data[: length % len(data)]))

    def _decode_or_reject(self, data: bytes) -> None:
        try:
            decoded = decode(data)
        except MessageMalformedError:
            return
        self.assertTrue(all(type(message) in MESSAGE_TYPES for message in decoded))
