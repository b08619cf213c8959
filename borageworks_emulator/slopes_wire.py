"""Measures the cost of messages and of streamed tokens."""

from __future__ import annotations

import time
from dataclasses import dataclass

import orjson

from borageworks.endpoints.stream import StreamDecoder
from borageworks.wire.codec import decode, encode
from borageworks.wire.messages import (
    Claim,
    Demand,
    Grant,
    Message,
    Outcome,
    Release,
    ServiceReport,
)

ROUNDS = 5_000
EXAMPLES: tuple[Message, ...] = (
    Demand("models", "org-12345", 3),
    Grant(1 << 60, "engine-1234", "models", "org-12345"),
    Release(1 << 60, Outcome.COMPLETED, 120.5, 0.4, 0.05),
    ServiceReport("models", "org-12345", "router-123", 1 << 40, 1e6, True, "d1", 1),
    Claim(1, 3, b"k" * 16, b"b" * 8, 1.7e9, "router-123~0011223344556677"),
)


@dataclass(frozen=True, slots=True)
class MessageSlope:
    """Bytes and CPU microseconds of one message in a frame of its own."""

    name: str
    bytes: int
    encode_us: float
    decode_us: float


@dataclass(frozen=True, slots=True)
class TokenSlope:
    """CPU microseconds to decode one streamed token, by tokens that arrive at once."""

    tokens_at_once: int
    decode_us: float


def measure_messages() -> list[MessageSlope]:
    """Measure the messages that each request may need."""
    found = []
    for message in EXAMPLES:
        data = encode([message])
        began = time.process_time()
        for _ in range(ROUNDS):
            encode([message])
        encoded = time.process_time() - began
        began = time.process_time()
        for _ in range(ROUNDS):
            decode(data)
        decoded = time.process_time() - began
        found.append(
            MessageSlope(
                type(message).__name__,
                len(data),
                encoded / ROUNDS * 1e6,
                decoded / ROUNDS * 1e6,
            )
        )
    return found


def measure_tokens() -> list[TokenSlope]:
    """Measure the decoder of server-sent events."""
    choice = {"index": 0, "delta": {"content": " token"}}
    event = b"data: " + orjson.dumps({"id": "x", "choices": [choice]}) + b"\n\n"
    found = []
    for at_once in (1, 4, 16, 64):
        decoder = StreamDecoder()
        rounds = ROUNDS // at_once
        began = time.process_time()
        for _ in range(rounds):
            decoder.feed(event * at_once)
        spent = time.process_time() - began
        found.append(TokenSlope(at_once, spent / (rounds * at_once) * 1e6))
    return found
