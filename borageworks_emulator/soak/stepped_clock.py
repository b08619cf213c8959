"""Runs the gateway program with a stepped wall clock."""

from __future__ import annotations

import os
import runpy
import time

CLOCK_STEP_VARIABLE = "BORAGEWORKS_SOAK_CLOCK_STEP_S"


def main() -> None:
    """Run the program; the monotonic clock is not changed."""
    step_s = float(os.environ.get(CLOCK_STEP_VARIABLE, "0"))
    real_time = time.time
    time.time = lambda: real_time() + step_s
    runpy.run_module("borageworks.platform.start", run_name="__main__")


if __name__ == "__main__":
    main()
