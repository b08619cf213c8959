"""Limit on the requests to a cold endpoint, for all instances together.

A cold endpoint crashes if it gets many more requests in a second than it takes, so the
limit holds for every second, also while ownership moves and while instances cannot
reach each other. Each instance has an equal part of the limit. It delegates the part to
the one instance that it asks for placements, which counts the placements of a sliding
window against all parts that it holds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from borageworks.gateway.deployment import ServiceProfile
from borageworks.gateway.endpoint import Endpoint
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.rate_limit import MIN_PER_S
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.work import WorkKey

# Requests arrive up to 0.5 s after their placement, the opening of a connection and the
# message to the entry instance included, so those of a second come from this window.
DECISION_WINDOW_S = 1.5
# Longest time between the placement of a request on a cold endpoint, as its entry
# instance learns of it, and its sending.
MAX_SEND_DELAY_S = 0.3
# Part of the bound that is used; the rest is for requests placed before the limit was
# known.
BOUND_RATIO = 0.8
# Time for which a delegated part may be used after the last request of its instance.
PART_LIFETIME_S = 1.5
# A process that was held longer than this may handle messages that are out of date.
MAX_HOLD_S = 1.0
# Time after which the former holder of a part cannot use it any more, and what it used
# has left the window.
SETTLING_S = PART_LIFETIME_S + DECISION_WINDOW_S + MAX_HOLD_S
# An entry may have been written before the event and read after it; the one after that
# was not, since entries are written further apart than they take to arrive.
LATER_ENTRIES = 2
# A crash ends all requests of an endpoint at once; a single one may end otherwise.
CRASH_SIGNS_S = 0.25


@dataclass(frozen=True, slots=True)
class ColdRule:
    """What the cold endpoints of a service take.

    Parameters
    ----------
    per_s
        Requests a second that an endpoint takes while it is cold.
    max_in_second
        Requests that must not be exceeded in any second.
    cold_s
        Seconds for which an endpoint is cold after it starts during traffic.
    """

    per_s: float
    max_in_second: float
    cold_s: float

    @property
    def window_s(self) -> float:
        """Seconds over which placements are counted."""
        return max(DECISION_WINDOW_S, 1.0 / self.per_s)

    @property
    def budget(self) -> int:
        """Requests that may be placed in a window by all instances together."""
        if self.max_in_second < 1.0:
            return 0
        usable = min(self.per_s * self.window_s, BOUND_RATIO * self.max_in_second)
        return max(math.floor(usable), 1)


def cold_rule(service: ServiceProfile, settings: PlacementSettings) -> ColdRule | None:
    """Return what the cold endpoints of a service take, None if it has no limit."""
    if service.cold_per_s <= 0.0:
        return None
    bound = service.cold_per_s * settings.cold_over + settings.cold_slack
    per_s = max(service.cold_per_s, MIN_PER_S)
    return ColdRule(per_s, bound, service.cold_s)


class ColdLimit:
    """Cold period of an endpoint, and what was placed on it in the last window.

    Placements are recorded also while the endpoint is not cold: they count if it turns
    out to have become cold.

    Parameters
    ----------
    rule
        What the endpoint takes while it is cold.
    """

    def __init__(self, rule: ColdRule) -> None:
        self._rule = rule
        self._window_s = rule.window_s
        self._allowed = 0
        self._placed: deque[tuple[float, WorkKey]] = deque()
        self._known_until = -math.inf
        # End of a period that only signs of a crash suggest, and their time.
        self._suspected_until = -math.inf
        self._suspected_at = -math.inf
        self._entry: tuple[int, int, float] | None = None
        # Sequence of the entry from which on an entry ends the cold period.
        self._ends_from = 0
        self._disconnected_at = -math.inf

    @property
    def until(self) -> float:
        """Time at which the endpoint is no longer cold."""
        return max(self._known_until, self._suspected_until)

    @property
    def known_until(self) -> float:
        """Time up to which it is cold by more than signs of a crash."""
        return self._known_until

    def configure(self, rule: ColdRule) -> None:
        """Apply a changed rule; what is known stays."""
        self._rule = rule
        self._window_s = rule.window_s

    @property
    def allowed_per_s(self) -> float:
        """Requests a second that this instance may place."""
        return self._allowed / self._window_s

    def set_allowed(self, allowed: int) -> None:
        """Set the number of requests that this instance may place in a window."""
        self._allowed = allowed

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is cold."""
        return now < self.until

    def allows(self, now: float) -> bool:
        """Return whether a request may be placed now."""
        if not self.is_cold(now):
            return True
        self._prune(now)
        return len(self._placed) < self._allowed

    def wait_s(self, now: float) -> float:
        """Return the seconds until a request may be placed, as far as known."""
        if self.allows(now):
            return 0.0
        if not self._allowed:
            return min(self.until - now, self._window_s)
        return self._placed[-self._allowed][0] + self._window_s - now

    def record(self, now: float, key: WorkKey) -> None:
        """Count a placed request."""
        self._prune(now)
        self._placed.append((now, key))

    def withdraw(self, key: WorkKey) -> None:
        """Do not count a request that the endpoint did not get."""
        self._placed = deque(item for item in self._placed if item[1] != key)

    def list_endpoint(
        self, now: float, endpoint: Endpoint, *, in_traffic: bool
    ) -> None:
        """Apply the entry of an endpoint that was not listed.

        Parameters
        ----------
        now, endpoint
            Time and entry.
        in_traffic
            Whether this instance knew the service's endpoints before, and requests to
            them: then the endpoint has started, or has been silent.
        """
        self._entry = None
        self._ends_from = 0
        if in_traffic and endpoint.cold_s <= 0.0:
            self.begin(now, endpoint)
        self.read_entry(now, endpoint)

    def read_entry(self, now: float, endpoint: Endpoint) -> None:
        """Apply an entry of the endpoint; one that was applied before has no effect."""
        entry = (endpoint.started_ms, endpoint.sequence, endpoint.cold_s)
        if entry == self._entry:
            return
        self._entry = entry
        later = endpoint.sequence >= self._ends_from
        if endpoint.cold_s > 0.0:
            stated = now + endpoint.cold_s
            self._known_until = stated if later else max(self._known_until, stated)
        elif later:
            self._known_until = min(self._known_until, now)
        if later:
            self._suspected_until = -math.inf

    def begin(self, now: float, endpoint: Endpoint) -> None:
        """Begin a cold period of unknown length, until an entry states its end.

        Parameters
        ----------
        now
            Time in seconds.
        endpoint
            Last known entry; those written before the period do not end it.
        """
        self._known_until = max(self._known_until, now + self._rule.cold_s)
        self._ends_from = endpoint.sequence + LATER_ENTRIES

    def note_outcome(
        self, now: float, endpoint: Endpoint, outcome: WorkOutcome
    ) -> None:
        """Suspect a cold period if a request ended as at a crash of the endpoint.

        It may start again under the same id before its entry tells.
        """
        match outcome:
            case WorkOutcome.UNREACHABLE:
                self._suspect(now, endpoint)
            case WorkOutcome.DISCONNECTED:
                if now - self._disconnected_at < CRASH_SIGNS_S:
                    self._suspect(now, endpoint)
                self._disconnected_at = now

    def note_served(self, placed_at: float, started_at: float) -> None:
        """End a suspicion if a request has been served that a crash would have ended.

        Its output has begun after the signs of a crash. A response that had begun
        before may have been complete, and only its caller slow to read it.
        """
        if placed_at < self._suspected_at < started_at:
            self._suspected_until = -math.inf

    def _suspect(self, now: float, endpoint: Endpoint) -> None:
        self._suspected_at = now
        self._suspected_until = now + self._rule.cold_s
        self._ends_from = max(self._ends_from, endpoint.sequence + LATER_ENTRIES)

    def learn(self, until: float, endpoint: Endpoint) -> None:
        """Apply the end of a cold period that the endpoint or an instance tells."""
        if until > self._known_until:
            self._known_until = until
            self._ends_from = max(self._ends_from, endpoint.sequence + LATER_ENTRIES)

    def is_unused(self, now: float) -> bool:
        """Return whether nothing is known that still counts."""
        self._prune(now)
        return not self._placed and not self.is_cold(now)

    def _prune(self, now: float) -> None:
        oldest = now - self._window_s
        while self._placed and self._placed[0][0] <= oldest:
            self._placed.popleft()


class ColdDelegation:
    """To which instance this one delegates its part of the limits of a shard.

    Parameters
    ----------
    now
        Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._holder: str | None = None
        self._since = now

    def delegate(self, now: float, holder: str) -> float:
        """Delegate the part; return the seconds for which only the holder had it."""
        if holder != self._holder:
            self._holder = holder
            self._since = now
        return now - self._since

    def held_s(self, now: float, holder: str) -> float:
        """Return the seconds for which only `holder` has had the part."""
        return now - self._since if holder == self._holder else 0.0


class ColdParts:
    """Parts of the limits of a shard that instances have delegated to this one."""

    def __init__(self) -> None:
        self._received_at: dict[str, float] = {}
        self._valid_from = -math.inf

    def receive(self, now: float, instance: str, sole_s: float) -> None:
        """Record a request of an instance.

        Parameters
        ----------
        now, instance
            Time and sender.
        sole_s
            Seconds for which the instance has asked this one only, and for which its
            own registration has been valid.
        """
        if sole_s >= SETTLING_S and now >= self._valid_from:
            self._received_at[instance] = now
        else:
            self._received_at.pop(instance, None)

    def discard(self, valid_from: float) -> None:
        """Drop all parts and those received before a time.

        After this process was held, messages may be out of date.
        """
        self._received_at.clear()
        self._valid_from = valid_from

    def allowed(self, now: float, budget: int, own_sole_s: float, count: int) -> int:
        """Return the requests that may be placed in a window on an endpoint.

        Parameters
        ----------
        now
            Time in seconds.
        budget
            Requests that all instances together may place.
        own_sole_s
            Seconds for which this instance's own part has been its own.
        count
            Number of instances.
        """
        oldest = now - PART_LIFETIME_S
        parts = sum(at > oldest for at in self._received_at.values())
        parts += own_sole_s >= SETTLING_S and now >= self._valid_from
        return budget * parts // max(count, parts, 1)
