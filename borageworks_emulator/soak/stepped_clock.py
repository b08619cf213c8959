"""Runs the platform's program with a time of day that is wrong."""

from __future__ import annotations

import os
import runpy
import time

STEP_VARIABLE = "BORAGEWORKS_SOAK_CLOCK_STEP_S"


def main() -> None:
    """Run the program; the steady clock stays as it is."""
    step_s = float(os.environ.get(STEP_VARIABLE, "0"))
    true_time = time.time
    time.time = lambda: true_time() + step_s
    runpy.run_module("borageworks.platform.start", run_name="__main__")


if __name__ == "__main__":
    main()
