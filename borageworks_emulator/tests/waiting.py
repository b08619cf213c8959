"""Waiting for a condition in tests."""

import asyncio

POLLS = 5000
POLL_S = 0.002


async def until(condition):
    """Return once `condition()` holds; fail after ten seconds."""
    for _ in range(POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError("the condition did not become true")
