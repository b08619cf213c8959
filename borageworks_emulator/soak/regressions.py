"""Soaks that failed once, with the cause of each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Regression:
    """A soak that failed once.

    Parameters
    ----------
    seed, minutes, gateways
        Options of the soak.
    cause
        What was wrong, and which test shows it without the soak.
    """

    seed: int
    minutes: float
    gateways: int
    cause: str


_REFUSED_AFTER_RUN = (
    "503 after an attempt that had run, since the second endpoint refused; "
    "test_refusal_after_a_broken_attempt_promises_nothing"
)
_SIGHUP_AT_START = (
    "SIGHUP ended a process that was still starting; "
    "test_announced_settings_do_not_end_a_process_that_starts"
)
REGRESSIONS = (
    Regression(
        seed=200,
        minutes=0.4,
        gateways=5,
        cause=_REFUSED_AFTER_RUN,
    ),
    Regression(
        seed=201,
        minutes=0.4,
        gateways=5,
        cause="the soak itself: recovery counted on callers that happened not to ask "
        "one route at one gateway; it now asks each itself",
    ),
    Regression(seed=203, minutes=0.4, gateways=5, cause=_REFUSED_AFTER_RUN),
    Regression(seed=107, minutes=0.4, gateways=5, cause=_REFUSED_AFTER_RUN),
    Regression(
        seed=105,
        minutes=0.4,
        gateways=5,
        cause="tracebacks of a store call that was given up; "
        "test_failure_of_a_watch_that_is_given_up_is_no_stray_error",
    ),
    Regression(seed=300, minutes=0.4, gateways=5, cause=_SIGHUP_AT_START),
    Regression(seed=311, minutes=0.4, gateways=5, cause=_SIGHUP_AT_START),
)
