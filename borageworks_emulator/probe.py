"""Reads readiness and metrics of a router over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict
from collections.abc import Callable

import aiohttp

READY_POLL_S = 0.05
# Bytes between instances over TCP links and UDP, as the routers count them.
CONTROL_METRICS = ("borageworks_control_bytes_total", "borageworks_control_bytes")


class RouterNotReadyError(Exception):
    """A router ended or stayed unready."""


async def wait_ready(
    session: aiohttp.ClientSession,
    url: str,
    limit_s: float,
    alive: Callable[[], bool] = lambda: True,
) -> None:
    """Wait until `/readyz` answers 200.

    Raises
    ------
    RouterNotReadyError
        If the router is no longer alive or `limit_s` seconds pass.
    """
    deadline = time.monotonic() + limit_s
    lacking = "no answer"
    while time.monotonic() < deadline:
        if not alive():
            raise RouterNotReadyError(f"the router at {url} ended")
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return
                lacking = await response.text()
        await asyncio.sleep(READY_POLL_S)
    raise RouterNotReadyError(
        f"the router at {url} is not ready after {limit_s:g} s: {lacking}"
    )


async def read_metrics(session: aiohttp.ClientSession, url: str) -> dict[str, float]:
    """Return the sums of all metrics over their labels, by name."""
    async with session.get(f"{url}/metrics") as response:
        return parse_metrics(await response.text())


def parse_metrics(text: str) -> dict[str, float]:
    """Return the sums over labels of metrics in the Prometheus text format."""
    sums: defaultdict[str, float] = defaultdict(float)
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            sums[name.split("{", 1)[0]] += float(value)
    return dict(sums)


def control_bytes(metrics: dict[str, float]) -> float | None:
    """Return the bytes between instances; None if the router does not report them."""
    found = [metrics[name] for name in CONTROL_METRICS if name in metrics]
    return sum(found) if found else None
