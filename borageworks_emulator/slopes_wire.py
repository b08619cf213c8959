"""Measurements of the cost of messages and of streamed tokens."""

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
    """Size in bytes and CPU microseconds of one message in its own frame."""

    name: str
    bytes: int
    encode_us: float
    decode_us: float


@dataclass(frozen=True, slots=True)
class TokenSlope:
    """CPU microseconds to decode one streamed token, by tokens received at once."""

    tokens_at_once: int
    decode_us: float


def measure_messages() -> list[MessageSlope]:
    """Measure the messages that a request may cause."""
    slopes = []
    for message in EXAMPLES:
        data = encode([message])
        started = time.process_time()
        for _ in range(ROUNDS):
            encode([message])
        encode_elapsed = time.process_time() - started
        started = time.process_time()
        for _ in range(ROUNDS):
            decode(data)
        decode_elapsed = time.process_time() - started
        slopes.append(
            MessageSlope(
                type(message).__name__,
                len(data),
                encode_elapsed / ROUNDS * 1e6,
                decode_elapsed / ROUNDS * 1e6,
            )
        )
    return slopes


def measure_tokens() -> list[TokenSlope]:
    """Measure the decoder of server-sent events at several tokens per chunk."""
    choice = {"index": 0, "delta": {"content": " token"}}
    event = b"data: " + orjson.dumps({"id": "x", "choices": [choice]}) + b"\n\n"
    slopes = []
    for chunk_tokens in (1, 4, 16, 64):
        decoder = StreamDecoder()
        rounds = ROUNDS // chunk_tokens
        started = time.process_time()
        for _ in range(rounds):
            decoder.feed(event * chunk_tokens)
        elapsed = time.process_time() - started
        slopes.append(TokenSlope(chunk_tokens, elapsed / (rounds * chunk_tokens) * 1e6))
    return slopes
