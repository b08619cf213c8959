"""Checks that a flood of one organisation leaves the others their share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

from borageworks_emulator.soak.bounds import FAIR_WINDOW_S
from borageworks_emulator.soak.call import Call, Ending

# Aim of the streams in the stand-in's configuration.
AIM_S = 0.5
LEAST_PART = 0.5
# Requests of an organisation that may be missing besides.
SPARE_REQUESTS = 3


def unfair_organisations(
    calls: Iterable[Call],
    ran: Callable[[Call], bool],
    since: float,
    until: float,
) -> list[str]:
    """Return what organisations got too little in some window.

    An organisation that had to wait or was refused in each second of a window has to
    get half of what it asked for, or of what the best served one got.

    Parameters
    ----------
    calls
        Calls of all organisations.
    ran
        Returns whether a call's request ran.
    since, until
        Loop times of the calm span that is looked at.
    """
    streams = [call for call in calls if call.tokens and since <= call.sent_at < until]
    found = []
    for first in range(int(until - since) - FAIR_WINDOW_S + 1):
        begin = since + first
        window = [
            call for call in streams if begin <= call.sent_at < begin + FAIR_WINDOW_S
        ]
        found.extend(_unfair(window, ran, begin))
    return found


def _unfair(window: list[Call], ran: Callable[[Call], bool], begin: float) -> list[str]:
    asked: dict[str, int] = defaultdict(int)
    got: dict[str, int] = defaultdict(int)
    largest: dict[str, int] = defaultdict(int)
    held_up: dict[str, set[int]] = defaultdict(set)
    for call in window:
        name = call.organisation
        asked[name] += call.tokens
        largest[name] = max(largest[name], call.tokens)
        if ran(call):
            got[name] += call.tokens
        if _held_up(call):
            held_up[name].add(int(call.sent_at - begin))
    best = max(got.values(), default=0)
    return [
        f"{name} got {got[name]} tokens of {asked[name]}, the best served {best}"
        for name in asked
        if len(held_up[name]) == FAIR_WINDOW_S
        and got[name]
        < LEAST_PART * min(asked[name], best) - SPARE_REQUESTS * largest[name]
    ]


def _held_up(call: Call) -> bool:
    if call.ending is Ending.REFUSED:
        return True
    first = call.first_part_at
    return first is None or first > call.sent_at + AIM_S
