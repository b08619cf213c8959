"""Runs the event loop of a command."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

Result = TypeVar("Result")


def run_loop(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion on uvloop and return its result."""
    result: Result = uvloop.run(main)
    return result
