"""Lateness of the running event loop."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from types import TracebackType
from typing import Self

PERIOD_S = 0.01


class LoopLag:
    """Measures how late a periodic timer fires while the context is open.

    The emulator shares one loop between load, endpoints and baseline, so a busy loop
    distorts every wait that it measures.
    """

    def __init__(self) -> None:
        self._late: list[float] = []
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start to measure."""
        self._task = asyncio.create_task(self._measure())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop to measure."""
        assert self._task is not None
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task

    def quantile(self, percent: float) -> float:
        """Return a quantile of the lateness in seconds, 0.0 without a value."""
        if not self._late:
            return 0.0
        ordered = sorted(self._late)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + PERIOD_S
            await asyncio.sleep(PERIOD_S)
            self._late.append(max(0.0, loop.time() - due))
