"""The operators' measure of fairness, over what callers see."""

from __future__ import annotations

from collections import Counter, defaultdict

WINDOW_S = 6
MIN_RATIO = 0.5
# Amount by which a share may be missed, in requests of the largest size.
SLACK_REQUESTS = 3


class ShareRule:
    """Compares what organisations got in any six seconds with the best served one.

    An organisation keeps its share if it got half of what it asked for or of what the
    best served one got, whichever is less in each second. A request is asked for once,
    however often its caller comes back.
    """

    def __init__(self) -> None:
        self._asked: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._got: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._largest = 0.0

    def record_asked(self, now, organisation, amount):
        """Add an amount that an organisation asks for."""
        self._asked[int(now)][organisation] += amount
        self._largest = max(self._largest, amount)

    def record_got(self, now, organisation, amount):
        """Add an amount that engines began to work on."""
        self._got[int(now)][organisation] += amount

    def violations(self, since, until):
        """Return the organisations that missed their share, with amounts.

        Each is described by the window, what it got, what it was owed, and what the
        best served organisation got.
        """
        found: dict[str, tuple[int, int, int, int]] = {}
        for end in range(since + WINDOW_S, until + 1):
            seconds = range(end - WINDOW_S, end)
            got = sum((self._got[second] for second in seconds), Counter())
            best, best_got = got.most_common(1)[0]
            for name in sum((self._asked[second] for second in seconds), Counter()):
                owed = sum(
                    min(self._asked[second][name], self._got[second][best])
                    for second in seconds
                )
                slack = SLACK_REQUESTS * self._largest
                if got[name] < MIN_RATIO * owed - slack:
                    found.setdefault(
                        name, (end, round(got[name]), round(owed), round(best_got))
                    )
        return found
