"""Readiness and metrics of a router, read over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict
from collections.abc import Callable

import aiohttp

READY_POLL_INTERVAL_S = 0.05
# Bytes exchanged between instances over TCP and UDP, as counted by the routers.
CONTROL_METRICS = ("borageworks_control_bytes_total", "borageworks_control_bytes")


class RouterNotReadyError(Exception):
    """A router exited or did not become ready in time."""


async def wait_ready(
    session: aiohttp.ClientSession,
    url: str,
    timeout_s: float,
    alive: Callable[[], bool] = lambda: True,
) -> None:
    """Wait until `/readyz` returns status 200.

    Raises
    ------
    RouterNotReadyError
        If the router exits or is not ready within `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    reason = "no response"
    while time.monotonic() < deadline:
        if not alive():
            raise RouterNotReadyError(f"the router at {url} exited")
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return
                reason = await response.text()
        await asyncio.sleep(READY_POLL_INTERVAL_S)
    raise RouterNotReadyError(
        f"the router at {url} was not ready within {timeout_s:g} s: {reason}"
    )


async def read_metrics(session: aiohttp.ClientSession, url: str) -> dict[str, float]:
    """Return the value of each metric, summed over its labels, by name."""
    async with session.get(f"{url}/metrics") as response:
        return parse_metrics(await response.text())


def parse_metrics(text: str) -> dict[str, float]:
    """Return the sum over labels of each metric in Prometheus text format."""
    sums: defaultdict[str, float] = defaultdict(float)
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            sums[name.split("{", 1)[0]] += float(value)
    return dict(sums)


def control_bytes(metrics: dict[str, float]) -> float | None:
    """Return the bytes exchanged between instances; None if not reported."""
    counts = [metrics[name] for name in CONTROL_METRICS if name in metrics]
    return sum(counts) if counts else None
