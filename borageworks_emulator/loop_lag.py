"""Lag of the running event loop."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from types import TracebackType
from typing import Self

SAMPLE_INTERVAL_S = 0.01


class LoopLag:
    """Measures how late a periodic timer fires while the context is open.

    Load generator, endpoints and baseline share one event loop, so loop lag distorts
    every wait that the emulator measures.
    """

    def __init__(self) -> None:
        self._lags_s: list[float] = []
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start measuring."""
        self._task = asyncio.create_task(self._sample())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop measuring."""
        assert self._task is not None
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task

    def percentile(self, percent: float) -> float:
        """Return a percentile of the loop lag in seconds, 0.0 without samples."""
        if not self._lags_s:
            return 0.0
        ordered = sorted(self._lags_s)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]

    async def _sample(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            expected = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self._lags_s.append(max(0.0, loop.time() - expected))
