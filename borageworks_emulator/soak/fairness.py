"""Checks that other organisations get their share beside a flood of one."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

from borageworks_emulator.soak.bounds import FAIRNESS_WINDOW_S
from borageworks_emulator.soak.call import Call, Ending

# Target latency of streams in the emulated platform's configuration.
TARGET_LATENCY_S = 0.5
MIN_SERVED_RATIO = 0.5
# Number of an organisation's largest requests that may be missing in addition.
TOLERATED_REQUESTS = 3


def underserved_organisations(
    calls: Iterable[Call],
    ran: Callable[[Call], bool],
    since: float,
    until: float,
) -> list[str]:
    """Describe each organisation that was underserved in some window.

    An organisation with a delayed or refused request in each second of a window must
    be served `MIN_SERVED_RATIO` of the tokens that it requested, or of those of the
    best-served organisation if these are fewer.

    Parameters
    ----------
    calls
        Requests of all organisations.
    ran
        Returns whether a request ran.
    since, until
        Event loop times of the checked interval, which is without faults.
    """
    streams = [call for call in calls if call.tokens and since <= call.sent_at < until]
    findings = []
    for offset in range(int(until - since) - FAIRNESS_WINDOW_S + 1):
        start = since + offset
        window = [
            call
            for call in streams
            if start <= call.sent_at < start + FAIRNESS_WINDOW_S
        ]
        findings.extend(_underserved(window, ran, start))
    return findings


def _underserved(
    window: list[Call], ran: Callable[[Call], bool], start: float
) -> list[str]:
    requested_tokens: dict[str, int] = defaultdict(int)
    served_tokens: dict[str, int] = defaultdict(int)
    largest_request_tokens: dict[str, int] = defaultdict(int)
    affected_seconds: dict[str, set[int]] = defaultdict(set)
    for call in window:
        name = call.organisation
        requested_tokens[name] += call.tokens
        largest_request_tokens[name] = max(largest_request_tokens[name], call.tokens)
        if ran(call):
            served_tokens[name] += call.tokens
        if _delayed_or_refused(call):
            affected_seconds[name].add(int(call.sent_at - start))
    best_served_tokens = max(served_tokens.values(), default=0)
    return [
        f"{name} was served {served_tokens[name]} of {requested_tokens[name]} "
        f"requested tokens, the best-served organisation {best_served_tokens}"
        for name in requested_tokens
        if len(affected_seconds[name]) == FAIRNESS_WINDOW_S
        and served_tokens[name]
        < MIN_SERVED_RATIO * min(requested_tokens[name], best_served_tokens)
        - TOLERATED_REQUESTS * largest_request_tokens[name]
    ]


def _delayed_or_refused(call: Call) -> bool:
    if call.ending is Ending.REFUSED:
        return True
    first_bytes_at = call.first_bytes_at
    return first_bytes_at is None or first_bytes_at > call.sent_at + TARGET_LATENCY_S
