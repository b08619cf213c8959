"""What endpoints have stated about themselves in their responses."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from borageworks.events import Event, emit
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks.gateway.fleet import Fleet
from borageworks.metrics import Metrics
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import EndpointStatement

# Interval of messages to other instances about endpoints that change their statements
# with each response.
SHARE_INTERVAL_S = 0.05
# A limit of an endpoint that is not listed is kept for this long: its entry may be
# late, or missing for a moment.
RETENTION_S = 30.0
# Endpoints without an entry of which it is remembered that they leave or pause: an
# entry may be missing for as long as the store is unavailable.
MAX_UNLISTED = 1024
# Longest pause that an endpoint can ask for.
MAX_PAUSE_S = 60.0
# Number that stands for no limit in messages.
NO_LIMIT = -1.0
# Age of the statement of an endpoint that has never had a limit: older than any other.
MAX_AGE_S = 1e6


@dataclass(slots=True)
class _Statement:
    """What one incarnation of an endpoint states.

    `stated_at` is the time at which the last response with the limit arrived, or that
    of the request whose response had no limit any more. `paused_until` holds for
    requests of this instance only.
    """

    limit_per_s: float | None = None
    stated_at: float = -math.inf
    leaving: bool = False
    paused_until: float = -math.inf
    learned_at: float = -math.inf


class EndpointNotices:
    """What endpoints have stated about themselves in their responses.

    A statement belongs to one incarnation of an endpoint. Responses arrive out of
    order, so that to a request which was sent before the last response with a limit
    cannot withdraw it. An incarnation that leaves does so for good, whatever its entry
    in the store says before or after. A pause holds until its latest end.

    An instance tells what it learns to the owner that places requests to the endpoint,
    which tells all others, but for pauses. A new owner, and an instance to which a link
    opens, are told all that is known.

    Parameters
    ----------
    fleet
        Other instances and messages to them.
    timers, metrics
        Services of the process.
    """

    def __init__(self, fleet: Fleet, timers: Timers, metrics: Metrics) -> None:
        self._fleet = fleet
        self._timers = timers
        self._metrics = metrics
        self._statements: dict[str, _Statement] = {}
        self._owner_of: Callable[[str], str | None] = lambda _incarnation: None
        self._on_change: Callable[[str], None] = lambda _incarnation: None
        self._on_pause: Callable[[str, str, float], None] = lambda *_arguments: None
        # Incarnations whose statements are to be told, and who told them here.
        self._unshared: dict[str, str] = {}
        self._share_timer: TimerSubscription | None = None
        metrics.before_render(self._update_gauges)

    def attach(
        self,
        owner_of: Callable[[str], str | None],
        on_change: Callable[[str], None],
        on_pause: Callable[[str, str, float], None],
    ) -> None:
        """Set the part of the gateway that places requests.

        Parameters
        ----------
        owner_of
            Returns the instance that places requests to an incarnation of an endpoint,
            None if it is not listed.
        on_change
            Called with the incarnation whose limit has changed, or that leaves.
        on_pause
            Called with an incarnation, an instance from which it wants no requests, and
            the time at which the pause ends.
        """
        self._owner_of = owner_of
        self._on_change = on_change
        self._on_pause = on_pause

    def limit_per_s(self, incarnation: str) -> float | None:
        """Return the requests a second that an endpoint takes, None if not limited."""
        statement = self._statements.get(incarnation)
        return None if statement is None else statement.limit_per_s

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an endpoint has stated that it accepts no new requests."""
        statement = self._statements.get(incarnation)
        return statement is not None and statement.leaving

    def accepts(self, incarnation: str) -> bool:
        """Return whether an endpoint wants requests from this instance now."""
        statement = self._statements.get(incarnation)
        return statement is None or not (
            statement.leaving or self._timers.now() < statement.paused_until
        )

    def observe(
        self,
        endpoint: Endpoint,
        notice: EndpointNotice,
        sent_at: float,
        *,
        usable: bool = True,
    ) -> None:
        """Record what a response states about its endpoint.

        Parameters
        ----------
        endpoint, notice
            The endpoint, and what it states.
        sent_at
            Time at which the request was sent.
        usable
            Whether the response follows the protocol. If not, only what it states
            counts, and not that it states no limit.
        """
        for kind in notice.malformed:
            self._metrics.count("endpoint_notices_malformed", kind)
        now = self._timers.now()
        incarnation = endpoint.incarnation
        if "limit" not in notice.malformed and (
            usable or notice.limit_per_s is not None
        ):
            self._merge_limit(incarnation, notice.limit_per_s, sent_at, now)
        if notice.leaving:
            self._merge_leaving(incarnation)
        if notice.pause_s is not None:
            self._merge_pause(incarnation, now + min(notice.pause_s, MAX_PAUSE_S))

    def observe_leaving(self, endpoint: Endpoint) -> None:
        """Record that a report of an endpoint states that it leaves."""
        self._merge_leaving(endpoint.incarnation)

    def receive(self, instance: str, message: EndpointStatement) -> None:
        """Apply what another instance tells of an endpoint."""
        now = self._timers.now()
        limit_per_s = message.limit_per_s if message.limit_per_s >= 0.0 else None
        stated_at = now - message.age_s
        incarnation = message.incarnation
        self._merge_limit(incarnation, limit_per_s, stated_at, stated_at, instance)
        if message.leaving:
            self._merge_leaving(incarnation, instance)
        if message.pause_s > 0.0:
            until = now + min(message.pause_s, MAX_PAUSE_S)
            self._on_pause(incarnation, instance, until)

    def tell(self, instance: str, incarnations: Iterable[str] | None = None) -> None:
        """Tell an instance all statements, or those of some endpoints."""
        selected = self._statements if incarnations is None else incarnations
        for incarnation in selected:
            statement = self._statements.get(incarnation)
            if statement is not None and (
                statement.limit_per_s is not None
                or statement.leaving
                or statement.paused_until > self._timers.now()
            ):
                self._fleet.send(instance, self._message(incarnation, statement))

    def retain(self, incarnations: Collection[str]) -> None:
        """Forget endpoints that are no longer listed, but for what still holds."""
        now = self._timers.now()
        oldest = now - RETENTION_S
        unlisted = []
        for incarnation, statement in list(self._statements.items()):
            if incarnation in incarnations or statement.learned_at > oldest:
                continue
            if statement.leaving or statement.paused_until > now:
                unlisted.append(incarnation)
            else:
                del self._statements[incarnation]
        unlisted.sort(key=lambda name: self._statements[name].learned_at)
        for incarnation in unlisted[:-MAX_UNLISTED]:
            del self._statements[incarnation]

    def _merge_limit(
        self,
        incarnation: str,
        limit_per_s: float | None,
        sent_at: float,
        received_at: float,
        source: str = "",
    ) -> None:
        """Apply a limit, or its end, unless a later statement is known.

        Parameters
        ----------
        incarnation, limit_per_s
            The endpoint, and its limit or None.
        sent_at, received_at
            Times of the request and of the response, between which it was stated.
        source
            Instance that told of it, empty for a response to this instance.
        """
        statement = self._statements.get(incarnation)
        if statement is None:
            if limit_per_s is None:
                return
            statement = self._statement(incarnation)
        known_per_s = statement.limit_per_s
        if limit_per_s == known_per_s:
            if limit_per_s is not None:
                statement.stated_at = max(statement.stated_at, received_at)
            return
        stricter = limit_per_s is not None and (
            known_per_s is None or limit_per_s < known_per_s
        )
        if (received_at if stricter else sent_at) < statement.stated_at:
            return
        statement.limit_per_s = limit_per_s
        statement.stated_at = sent_at if limit_per_s is None else received_at
        self._changed(incarnation, statement, source)

    def _merge_leaving(self, incarnation: str, source: str = "") -> None:
        statement = self._statement(incarnation)
        if not statement.leaving:
            statement.leaving = True
            self._changed(incarnation, statement, source)

    def _merge_pause(self, incarnation: str, until: float) -> None:
        statement = self._statement(incarnation)
        if until <= statement.paused_until:
            return
        statement.paused_until = until
        self._changed(incarnation, statement, "")
        self._on_pause(incarnation, self._fleet.instance, until)

    def _statement(self, incarnation: str) -> _Statement:
        """Return the statement of an incarnation, a new one if there is none."""
        return self._statements.setdefault(incarnation, _Statement())

    def _changed(self, incarnation: str, statement: _Statement, source: str) -> None:
        """Log a change, apply it to placement and schedule to tell others."""
        now = self._timers.now()
        statement.learned_at = now
        emit(
            Event.ENDPOINT_NOTICE,
            endpoint=incarnation.rpartition("/")[0],
            limit_per_s=statement.limit_per_s,
            leaving=statement.leaving,
            pause_s=round(max(statement.paused_until - now, 0.0), 3),
            source=source,
        )
        self._on_change(incarnation)
        self._unshared[incarnation] = source
        if self._share_timer is None:
            self._share_timer = self._timers.after(SHARE_INTERVAL_S, self._share)

    def _share(self, _now: float) -> None:
        """Tell the owner what this instance has learnt, and others as the owner."""
        self._share_timer = None
        unshared, self._unshared = self._unshared, {}
        for incarnation, source in unshared.items():
            statement = self._statements.get(incarnation)
            owner = self._owner_of(incarnation)
            if statement is None or owner is None:
                continue
            message = self._message(incarnation, statement)
            if owner == self._fleet.instance:
                self._fleet.broadcast(replace(message, pause_s=0.0))
            elif owner != source:
                self._fleet.send(owner, message)

    def _message(self, incarnation: str, statement: _Statement) -> EndpointStatement:
        now = self._timers.now()
        limit_per_s = statement.limit_per_s
        never = limit_per_s is None and math.isinf(statement.stated_at)
        return EndpointStatement(
            incarnation,
            NO_LIMIT if limit_per_s is None else limit_per_s,
            age_s=MAX_AGE_S if never else now - statement.stated_at,
            leaving=statement.leaving,
            pause_s=max(statement.paused_until - now, 0.0),
        )

    def _update_gauges(self) -> None:
        statements = self._statements.values()
        limited = sum(item.limit_per_s is not None for item in statements)
        self._metrics.gauge("endpoints_limited", limited)
        leaving = sum(item.leaving for item in statements)
        self._metrics.gauge("endpoints_leaving", leaving)
        now = self._timers.now()
        paused = sum(item.paused_until > now for item in statements)
        self._metrics.gauge("endpoints_paused", paused)
