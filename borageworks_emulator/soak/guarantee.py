"""Guarantees of the gateway that a soak checks, and violations of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Guarantee(Enum):
    """Guarantees of the gateway that a soak checks."""

    AT_MOST_ONCE = "a request that must not be repeated runs at most once"
    ATTEMPTS = "a request runs at most as often as its route allows"
    UNCHANGED_REQUEST = "an endpoint gets the request as the caller sent it"
    OWN_ANSWER = "a caller gets its own answer, whole and in order"
    ONE_VERSION = "a stream has events of one version of the engines' software"
    TRUE_REFUSAL = "a request that was refused as not run has not run"
    LEAVING_ENDPOINT = "an endpoint that leaves gets no requests after its delay"
    EVACUATED_DOMAIN = "an evacuated failure domain gets no requests after its delay"
    COLD_ENGINE = "a cold engine gets no more requests in a second than it may"
    CONFIGURATION_APPLIED = "a configuration is in force after its delay"
    CONFIGURATION_FORWARD = "a process does not go back to an older configuration"
    NO_CUT_AT_SHUTDOWN = "a shutdown cuts no request"
    WORK_CANCELLED = "endpoints stop to work for callers that have left"
    FAIRNESS = "an organisation gets its share beside a flood of another one"
    RECOVERY = "requests are served again after the last fault"
    NO_OWN_END = "no process ends by itself"
    NO_INTERNAL_ERROR = "no process logs an internal error"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee, with the time since the start of the soak."""

    guarantee: Guarantee
    at_s: float
    detail: str

    def line(self) -> str:
        """Return a line of the report."""
        return f"{self.at_s:8.2f} s  {self.guarantee.name}: {self.detail}"
