"""Polling for a condition in tests."""

import asyncio

MAX_POLLS = 5000
POLL_INTERVAL_S = 0.002


async def wait_until(condition):
    """Return once `condition()` is true; fail after ten seconds."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError("the condition did not become true in time")
