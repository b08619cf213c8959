"""Soaks that failed in the past, with their causes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Regression:
    """A soak that failed in the past.

    Parameters
    ----------
    seed, minutes, gateways
        Options of the soak.
    cause
        Cause of the failure, and the test that reproduces it without a soak.
    """

    seed: int
    minutes: float
    gateways: int
    cause: str


_REFUSED_AFTER_RUN = (
    "503 after an attempt that had run, because the second endpoint refused; "
    "test_refusal_after_a_broken_attempt_promises_nothing"
)
_SIGHUP_AT_START = (
    "SIGHUP terminated a process that was still starting; "
    "test_sighup_during_start_does_not_terminate_the_process"
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
        cause="fault of the soak: the recovery check relied on callers, none of which "
        "used one route at one gateway; it now sends a request to each itself",
    ),
    Regression(seed=203, minutes=0.4, gateways=5, cause=_REFUSED_AFTER_RUN),
    Regression(seed=107, minutes=0.4, gateways=5, cause=_REFUSED_AFTER_RUN),
    Regression(
        seed=105,
        minutes=0.4,
        gateways=5,
        cause="tracebacks of a cancelled store call; "
        "test_error_of_a_cancelled_watch_call_is_retrieved",
    ),
    Regression(seed=300, minutes=0.4, gateways=5, cause=_SIGHUP_AT_START),
    Regression(seed=311, minutes=0.4, gateways=5, cause=_SIGHUP_AT_START),
)
