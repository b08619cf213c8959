"""Limits the memory that the process holds for callers and endpoints."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from types import TracebackType
from typing import Protocol

from borageworks.events import Event, emit
from borageworks.metrics import Metrics
from borageworks.receiving.allocator import resident_bytes, return_free_pages
from borageworks.receiving.memory_account import (
    Holding,
    MemoryAccount,
    MemoryLimits,
    Phase,
    Shortage,
    Taken,
)
from borageworks.receiving.rejections import Rejections
from borageworks.timers import Timers, TimerSubscription

# Buffers are observed this often, as asking the system costs a call for each of them.
OBSERVE_INTERVAL_S = 0.25
# The same while more than half of the memory is used.
FULL_OBSERVE_INTERVAL_S = 0.02
# Time for the handlers of ended transfers to give back what they hold.
RELEASE_TIMEOUT_S = 1.0
# Growth at rest from which the process gives free memory back to the system.
GROWTH_BYTES = 4 * 1_048_576
# A response that gives way ends with its next bytes, or after this time.
GIVE_WAY_S = 0.2


class AccountedConnection(Protocol):
    """Connection of a caller."""

    @property
    def peer(self) -> str:
        """Address of the caller."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller to read them."""

    def abort(self) -> None:
        """Reset the connection."""


class BodyBudget:
    """Memory for bodies and buffers, over all requests of the process.

    Parameters
    ----------
    memory_bytes
        Memory that the process may use, infinite if there is no limit.
    at_rest_bytes
        Resident memory at rest, None to measure it whenever little is held.
    review_buffers
        Returns the received bytes that no request accounts for.
    rejections
        Counts and logs who was rejected and why.
    metrics
        Shows `body_bytes`, `buffered_bytes` and `memory_limit_bytes`, and counts
        `bodies_denied` by what was denied.
    on_pause
        Called with the time when the process had stood still until then.
    connections
        Returns the number of open connections of callers.
    """

    def __init__(
        self,
        memory_bytes: float,
        at_rest_bytes: float | None,
        review_buffers: Callable[[], int],
        rejections: Rejections,
        metrics: Metrics,
        on_pause: Callable[[float], None] = lambda _now: None,
        connections: Callable[[], int] = lambda: 0,
    ) -> None:
        self._on_pause = on_pause
        self._connections = connections
        self._memory_bytes = memory_bytes
        self._measures = at_rest_bytes is None
        self._review_buffers = review_buffers
        self._rejections = rejections
        self._metrics = metrics
        self._at_rest_bytes = at_rest_bytes or 0.0
        self._least_at_rest_bytes = 0.0
        self._account = MemoryAccount(MemoryLimits(memory_bytes, at_rest_bytes or 0.0))
        self._allowances: dict[int, BodyAllowance] = {}
        self._loop = asyncio.get_running_loop()
        self._buffers_observed_at = 0.0
        self._released: asyncio.Future[None] | None = None
        self._timer: TimerSubscription | None = None
        metrics.before_render(self._set_gauges)

    @property
    def used_bytes(self) -> int:
        """Bytes that are held now, or that callers have announced."""
        return self._account.held_bytes

    @property
    def max_connections(self) -> float:
        """Connections of callers that fit, infinite without a limit."""
        return self._account.max_connections if self._measures else math.inf

    @property
    def limit_bytes(self) -> float:
        """Bytes for callers and endpoints, infinite without a limit."""
        return self._account.limit_bytes

    def start(self, timers: Timers) -> None:
        """Measure what the process holds at rest, and begin to observe buffers."""
        self._measure_rest()
        self._least_at_rest_bytes = self._at_rest_bytes
        emit(
            Event.MEMORY_LIMIT,
            limit_bytes=_finite(self._account.limit_bytes),
            memory_bytes=_finite(self._memory_bytes),
            resident_bytes=resident_bytes(),
        )
        self._timer = timers.every(OBSERVE_INTERVAL_S, self._observe)

    def stop(self) -> None:
        """Stop observing."""
        if self._timer is not None:
            self._timer.cancel()

    def open(self, connection: AccountedConnection) -> BodyAllowance:
        """Return the allowance of one request, which ends with its context.

        Parameters
        ----------
        connection
            Connection of the request.
        """
        holding = self._account.open(self._loop.time())
        allowance = BodyAllowance(self, holding, connection)
        self._allowances[holding.number] = allowance
        return allowance

    def close(self, holding: Holding) -> None:
        """Take back all that a request holds."""
        self._account.close(holding)
        self._allowances.pop(holding.number, None)
        self._wake_waiting()

    def keep(self, holding: Holding) -> None:
        """Record that a request that was to be ended goes on."""
        if holding.ended:
            holding.ended = False
            self._wake_waiting()

    def _wake_waiting(self) -> None:
        if self._released is not None and not self._released.done():
            self._released.set_result(None)

    async def take_request(
        self, holding: Holding, size: int, *, announced: bool
    ) -> bool:
        """Take bytes of a request's body; return False if there is no room."""
        return await self._take(
            lambda now: self._account.take_request(
                now, holding, size, announced=announced
            ),
            holding,
            "request",
        )

    async def take_response(self, holding: Holding, size: int) -> bool:
        """Take bytes of a response's body; return False if there is no room."""
        return await self._take(
            lambda now: self._account.take_response(now, holding, size),
            holding,
            "response",
        )

    async def _take(
        self,
        attempt: Callable[[float], Taken | Shortage],
        holding: Holding,
        kind: str,
    ) -> bool:
        deadline = self._loop.time() + RELEASE_TIMEOUT_S
        while True:
            now = self._loop.time()
            self.detect_pause(now)
            self._count_connections()
            if (
                self._account.is_half_full
                and now - self._buffers_observed_at > FULL_OBSERVE_INTERVAL_S
            ):
                self._observe_buffers(now)
            match attempt(now):
                case Taken():
                    return True
                case Shortage(victims=victims):
                    if not victims or now >= deadline:
                        self._metrics.count("bodies_denied", kind)
                        self._record_rejection("no_room", holding)
                        return False
                    for victim in victims:
                        self._end(victim)
                    await self._wait_for_release(deadline)

    def _end(self, victim: Holding) -> None:
        allowance = self._allowances.get(victim.number)
        if allowance is None or victim.ended:
            return
        self._record_rejection("memory", victim)
        victim.ended = True
        self._metrics.count("bodies_denied", f"ended_{victim.phase.value}")
        allowance.end()

    def _record_rejection(self, reason: str, holding: Holding) -> None:
        allowance = self._allowances.get(holding.number)
        if allowance is not None:
            self._rejections.record(
                reason,
                allowance.connection.peer,
                allowance.organisation,
                phase=holding.phase.value,
                size=holding.held_bytes,
            )

    async def _wait_for_release(self, deadline: float) -> None:
        if self._released is None or self._released.done():
            self._released = self._loop.create_future()
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(self._released)
        except TimeoutError:
            return

    def enter(self, holding: Holding, phase: Phase) -> None:
        """Record that a request has reached a phase."""
        holding.enter(self._loop.time(), phase)

    def record_received(self, holding: Holding, size: int) -> None:
        """Record bytes of a request's body."""
        holding.record_received(self._loop.time(), size)

    def detect_pause(self, now: float) -> None:
        """Notice whether the process stood still until `now`.

        Connections that became ready meanwhile are handled before the timer that
        observes the account, so whoever judges progress calls this first.
        """
        if self._account.observe(now, OBSERVE_INTERVAL_S):
            self._on_pause(now)

    def _observe(self, now: float) -> None:
        if self._can_measure:
            self._measure_rest()
        self.detect_pause(now)
        self._observe_buffers(now)
        for holding in self._account.sending():
            unsent = self._allowances[holding.number].connection.unsent_bytes
            self._account.record_unsent(now, holding, unsent)

    def _observe_buffers(self, now: float) -> None:
        self._buffers_observed_at = now
        self._account.set_buffered(self._review_buffers())
        if self._measures:
            self._account.set_used(resident_bytes() - self._at_rest_bytes)

    def _count_connections(self) -> None:
        # Memory at rest that is stated leaves room for bodies only.
        if self._measures:
            self._account.set_connections(self._connections())

    def has_room_for_connection(self, now: float) -> bool:
        """Return whether another connection fits; end stalled transfers if not."""
        if not self._measures or not math.isfinite(self._memory_bytes):
            return True
        if now - self._buffers_observed_at > FULL_OBSERVE_INTERVAL_S:
            self._observe_buffers(now)
            if self._account.crowded_bytes > 0.0:
                return_free_pages()
                for victim in self._account.stalled(now):
                    self._end(victim)
        return self._account.crowded_bytes <= 0.0

    @property
    def _can_measure(self) -> bool:
        """Whether what is held is known and little.

        Under constant load some request is always open.
        """
        used_bytes = self._account.held_bytes + self._account.buffered_bytes
        return self._account.is_empty or (
            math.isfinite(self._memory_bytes) and used_bytes < GROWTH_BYTES
        )

    def _measure_rest(self) -> None:
        if not self._measures:
            return
        resident = resident_bytes()
        self._count_connections()
        held = self._account.held_bytes + self._account.connection_bytes
        if resident > self._at_rest_bytes + held + GROWTH_BYTES:
            return_free_pages()
            resident = resident_bytes()
        self._at_rest_bytes = max(resident - held, self._least_at_rest_bytes)
        self._account.set_limits(MemoryLimits(self._memory_bytes, self._at_rest_bytes))

    def _set_gauges(self) -> None:
        self._metrics.gauge("body_bytes", self._account.held_bytes)
        self._metrics.gauge("buffered_bytes", self._account.buffered_bytes)
        self._metrics.gauge("connection_bytes", self._account.connection_bytes)
        if math.isfinite(self._account.limit_bytes):
            self._metrics.gauge("memory_limit_bytes", round(self._account.limit_bytes))


class BodyAllowance:
    """What one request holds of the budget, until its context ends.

    Parameters
    ----------
    budget
        Budget of the process.
    holding
        Bytes that the request holds.
    connection
        Connection of the request.
    """

    def __init__(
        self,
        budget: BodyBudget,
        holding: Holding,
        connection: AccountedConnection,
    ) -> None:
        self._budget = budget
        self._holding = holding
        self._receiving: asyncio.Timeout | None = None
        self._closed = False
        self._connection = connection
        self.organisation = ""

    @property
    def connection(self) -> AccountedConnection:
        """Connection of the request."""
        return self._connection

    @property
    def ended(self) -> bool:
        """Whether the request had to give way to others."""
        return self._holding.ended

    def __enter__(self) -> BodyAllowance:
        """Begin to count what the request holds."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give everything back."""
        self._closed = True
        self._budget.close(self._holding)

    def begin_receiving(self, timeout: asyncio.Timeout) -> None:
        """Expire `timeout` when the body has to give way while it arrives."""
        self._receiving = timeout

    def begin_running(self) -> None:
        """Record that the request's body is complete."""
        self._receiving = None
        self._budget.enter(self._holding, Phase.RUNNING)

    def begin_sending(self) -> None:
        """Record that the response is being sent.

        A response that became complete after it was chosen to be ended is delivered,
        and may be chosen again if its caller stalls.
        """
        self._budget.keep(self._holding)
        self._budget.enter(self._holding, Phase.SENDING)

    def record_received(self, size: int) -> None:
        """Record bytes of the request's body that have arrived."""
        self._budget.record_received(self._holding, size)

    async def take_request(self, size: int, *, announced: bool = False) -> bool:
        """Take bytes for the body of the request; return False if there are none."""
        return await self._budget.take_request(self._holding, size, announced=announced)

    async def take_response(self, size: int) -> bool:
        """Take bytes for the body of a response; return False if there are none."""
        if self._holding.ended:
            return False
        taken = await self._budget.take_response(self._holding, size)
        return taken and not self._holding.ended

    def end(self) -> None:
        """End the request.

        While its body arrives it is refused, and with the next bytes of an unfinished
        response it fails. Otherwise its connection is closed.
        """
        loop = asyncio.get_running_loop()
        if self._receiving is not None:
            if not self._receiving.expired():
                self._receiving.reschedule(loop.time())
        elif self._holding.phase is Phase.RUNNING:
            loop.call_later(GIVE_WAY_S, self._abort_if_running)
        else:
            self._abort()

    def _abort_if_running(self) -> None:
        if self._holding.phase is Phase.RUNNING:
            self._abort()

    def _abort(self) -> None:
        if not self._closed:
            self._connection.abort()


def _finite(value: float) -> float | None:
    return round(value) if math.isfinite(value) else None
