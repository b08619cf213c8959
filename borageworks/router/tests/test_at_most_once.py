"""Tests of responses to resent requests."""

import asyncio
from types import SimpleNamespace
from typing import Any

import testtools

from borageworks.exceptions import AnswerNotHeldError
from borageworks.metrics import Metrics
from borageworks.router.at_most_once import AtMostOnceRunner
from borageworks.wire.messages import (
    ClaimState,
    HeldAnswer,
    HeldAnswerQuery,
    HeldAnswerReply,
)


class ResendTest(testtools.TestCase):
    def test_held_response_with_an_invalid_status(self):
        """Guards against a status that an instance of an earlier version has kept."""
        call: Any = SimpleNamespace(organisation="a")
        claims: Any = SimpleNamespace(response_holder=lambda _reply: "other")
        claim_reply: Any = SimpleNamespace(state=ClaimState.DONE)
        settings: Any = SimpleNamespace(held_answer_bytes=1000)
        unused: Any = None
        key: Any = SimpleNamespace(hash=lambda _name: b"")

        async def resend(status):
            def send(_instance, message):
                assert isinstance(message, HeldAnswerQuery)
                runner.receive(
                    "other",
                    HeldAnswerReply(message.request_id, HeldAnswer.HELD, status),
                )

            runner = AtMostOnceRunner(settings, unused, claims, Metrics(), send)
            await runner._respond_to_resend(call, unused, key, claim_reply)

        for status in (0, 99, 101, 600, 999):
            with self.assertRaises(AnswerNotHeldError):
                asyncio.run(resend(status))
