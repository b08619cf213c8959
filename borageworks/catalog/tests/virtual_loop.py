"""Event loop whose clock jumps to the next timer, so tests do not wait."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _Selector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    elapsed = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop with simulated time, starting at 1,000 s."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return 1000.0 + self._virtual_selector.elapsed


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on a loop with simulated time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
