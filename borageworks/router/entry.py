"""Entry side of a router: queues callers' requests until a slot is granted."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Mapping, Sequence

import xxhash

from borageworks.catalog.objects import Endpoint, EndpointState, PoolKind
from borageworks.catalog.replica import Replica
from borageworks.config.settings import Settings
from borageworks.endpoints.call import Call
from borageworks.endpoints.client import EndpointClient
from borageworks.endpoints.exchange import Exchange
from borageworks.endpoints.progress import Progress
from borageworks.endpoints.sink import Sink
from borageworks.events import Event, emit
from borageworks.exceptions import (
    EndpointDisconnectedError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointReplyIncompleteError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    OutcomeUnknownError,
    QueueTimeoutError,
    Ran,
    RequestSuspectedError,
    RetriesExhaustedError,
)
from borageworks.metrics import Metrics
from borageworks.router.entry_slots import EntrySlots
from borageworks.router.granted_slot import GrantedSlot
from borageworks.router.isolated_request import IsolatedRequest
from borageworks.routing.budget import RetryBudget
from borageworks.routing.demand import DemandPlan, SendDemand
from borageworks.routing.queue import EntryQueue
from borageworks.routing.rendezvous import rendezvous
from borageworks.routing.suspects import CrashSuspects, Verdict
from borageworks.routing.waiting import WaitingRequest
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import (
    AloneDemand,
    AloneGrant,
    EndpointLost,
    Grant,
    Message,
    Outcome,
    Recall,
    Suspect,
)

Send = Callable[[str, Message], None]

REFRESH_INTERVAL_S = 1.0
# Owners report a crash within this time, so that a request that crashes endpoints is
# recorded as a suspect before its next attempt.
CRASH_BACKOFF_S = 0.3


class Entry:
    """Runs callers' requests on granted slots.

    Parameters
    ----------
    settings
        Queue limits and retry budgets.
    replica
        Current configuration.
    timers, metrics
        Timers and metrics of the process.
    clients
        Endpoint clients by pool kind.
    send
        Sends a message to any instance, including this one.
    """

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        timers: Timers,
        metrics: Metrics,
        clients: Mapping[PoolKind, EndpointClient],
        send: Send,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._timers = timers
        self._metrics = metrics
        self._clients = clients
        self._send = send
        self._queue = EntryQueue(settings.queue)
        self._demand = DemandPlan(settings.queue)
        self._budget = RetryBudget(settings.retry)
        self._suspects = CrashSuspects()
        self._owners_by_pool: Mapping[str, Sequence[str]] = {}
        self._isolated: dict[int, IsolatedRequest] = {}
        self._pending_grants: dict[int, asyncio.Future[GrantedSlot]] = {}
        self._slots = EntrySlots(timers, metrics, send)
        self._sequence = itertools.count(1)
        self._flush_pending = False
        self._tick_pending: TimerSubscription | None = None
        self._calls = 0
        self._subscriptions: list[TimerSubscription] = []

    @property
    def calls(self) -> int:
        """Number of queued and running calls."""
        return self._calls

    @property
    def waiting(self) -> int:
        """Number of calls queued for a shared slot."""
        return len(self._queue)

    @property
    def standing(self) -> int:
        """Number of idle standing slots."""
        return self._slots.standing

    def start(self) -> None:
        """Subscribe to the timers."""
        self._subscriptions = [self._timers.every(REFRESH_INTERVAL_S, self._refresh)]

    def drain(self) -> None:
        """Return all idle standing slots and retain no more."""
        self._slots.drain()

    def stop(self) -> None:
        """Cancel the timers."""
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._tick_pending is not None:
            self._tick_pending.cancel()

    def set_owners(
        self, owners: Mapping[str, str], owners_by_pool: Mapping[str, Sequence[str]]
    ) -> None:
        """Apply a new ownership; report the slots in use to new owners.

        Parameters
        ----------
        owners
            Owner by endpoint.
        owners_by_pool
            Owners by pool, nearest first.
        """
        self._owners_by_pool = owners_by_pool
        self._demand.set_owners(owners_by_pool)
        self._slots.set_owners(owners)
        self._schedule_flush()

    def link_up(self, instance: str) -> None:
        """Report the slots in use to an owner after the link to it came up."""
        self._slots.link_up(instance)

    def link_lost(self, instance: str) -> None:
        """Advertise demand again after the link to an owner was lost."""
        self._demand.remove_owner(instance)
        self._slots.link_lost(instance)
        self._schedule_flush()

    def receive_grant(self, sender: str, grant: Grant) -> None:
        """Assign the slot to the organisation's oldest request, or return it."""
        now = self._timers.now()
        self._demand.record_grant(sender, grant.pool, grant.organisation)
        request = self._queue.pop(now, grant.pool, grant.organisation)
        if request is None:
            self._metrics.count("grants_unused")
            self._slots.return_unused(sender, grant)
            return
        self._update_waiting(now, grant.pool, grant.organisation)
        slot = self._slots.accept(sender, grant)
        self._metrics.observe("queue_wait", now - request.queued_at)
        self._pending_grants.pop(request.request_id).set_result(slot)

    def receive_recall(self, sender: str, recall: Recall) -> None:
        """Return standing slots that an owner recalls."""
        self._slots.recall(sender, recall)

    def check_admission(self, call: Call) -> None:
        """Refuse a call for which the queue is full, before it is claimed."""
        self._queue.check_bounds(self._timers.now(), call.organisation)

    def receive_isolated_grant(self, sender: str, message: AloneGrant) -> None:
        """Assign the endpoint to the isolated request that waits, or return it."""
        waiting = self._isolated.pop(message.request_id, None)
        if waiting is None:
            self._slots.return_unused(sender, message.grant)
            return
        waiting.future.set_result(
            self._slots.accept(sender, message.grant, isolated=True)
        )

    def receive_endpoint_lost(self, message: EndpointLost) -> None:
        """End attempts on a lost endpoint."""
        self._slots.end_attempts(message)

    def receive_suspect(self, message: Suspect) -> None:
        """Record that a request ran on an endpoint that crashed."""
        self._suspects.record(
            self._timers.now(),
            message.fingerprint,
            message.endpoint,
            message.incarnation,
            message.alone,
        )

    async def run(self, call: Call, sink: Sink) -> None:
        """Run a call and write its response.

        Raises
        ------
        RefusalError
            If no complete response was written; `ran` states whether an endpoint may
            have run the call.
        CallerFailedError
            If the caller disconnected or stalled.
        """
        self._calls += 1
        try:
            await self._run(call, sink)
        finally:
            self._calls -= 1

    async def _run(self, call: Call, sink: Sink) -> None:
        deadline = self._timers.now() + call.service.queue_timeout_s
        progress = Progress()
        fingerprint = _fingerprint(call)
        self._budget.record_first_attempt(call.organisation, call.service.id)
        attempt = 0
        while True:
            slot = await self._wait_for_slot(
                call, deadline, progress, fingerprint, attempt > 0
            )
            endpoint = self._replica.endpoints.get(slot.grant.endpoint)
            if endpoint is None:
                self._slots.release(slot, Outcome.UNUSED)
                continue
            if self._verdict(fingerprint) is Verdict.REFUSED:
                # Copies of the request crashed endpoints while this one was queued.
                self._slots.release(slot, Outcome.UNUSED)
                continue
            attempt += 1
            try:
                await self._attempt(endpoint, slot, call, sink, progress, fingerprint)
            except EndpointFailedError as error:
                self._check_retry(error, call, sink, progress, attempt)
                self._metrics.count("retries", error.code)
                emit(
                    Event.REQUEST_RETRIED,
                    request_id=call.request_id,
                    code=error.code,
                    detail=str(error),
                )
                if _outcome(error) is Outcome.CRASHED:
                    await asyncio.sleep(CRASH_BACKOFF_S)
            else:
                return

    async def _attempt(
        self,
        endpoint: Endpoint,
        slot: GrantedSlot,
        call: Call,
        sink: Sink,
        progress: Progress,
        fingerprint: bytes,
    ) -> None:
        slot.progress = progress
        progress.units = 0.0
        kind = self._replica.pools[slot.grant.pool].endpoints
        try:
            exchange = await self._exchange(endpoint, slot, call, sink, kind)
        except EndpointFailedError as error:
            self._slots.release(slot, _outcome(error), fingerprint=fingerprint)
            raise
        except BaseException:
            self._slots.release(slot, Outcome.CANCELLED)
            raise
        pool = slot.grant.pool
        keep = not self._queue.has_waiting(pool)
        self._slots.release(slot, Outcome.COMPLETED, exchange, keep=keep)
        if slot.isolated:
            self._suspects.clear(fingerprint)
        self._metrics.count("answers")
        if exchange.first_token_s:
            self._metrics.observe("first_token", exchange.first_token_s)

    async def _exchange(
        self,
        endpoint: Endpoint,
        slot: GrantedSlot,
        call: Call,
        sink: Sink,
        kind: PoolKind,
    ) -> Exchange:
        try:
            async with asyncio.timeout(None) as slot.timeout:
                return await self._clients[kind].exchange(
                    endpoint, call, sink, slot.progress
                )
        except TimeoutError as error:
            raise EndpointDisconnectedError(
                f"endpoint {endpoint.id!r} was reported lost by its owner"
            ) from error
        finally:
            slot.timeout = None

    async def _wait_for_slot(
        self,
        call: Call,
        deadline: float,
        progress: Progress,
        fingerprint: bytes,
        is_retry: bool,
    ) -> GrantedSlot:
        now = self._timers.now()
        ran = Ran.UNKNOWN if progress.sent else Ran.NOT_RUN
        request = WaitingRequest(
            request_id=next(self._sequence),
            pool=call.service.pool,
            organisation=call.organisation,
            queued_at=now,
            deadline=deadline,
        )
        verdict = self._verdict(fingerprint)
        if verdict is Verdict.CLEAR and not is_retry:
            standing_slot = self._take_standing(call)
            if standing_slot is not None:
                return standing_slot
        match verdict:
            case Verdict.REFUSED:
                raise RequestSuspectedError(
                    "endpoints crashed while running this request", ran=ran
                )
            case Verdict.ISOLATED:
                future = self._queue_isolated(request, fingerprint)
            case Verdict.CLEAR:
                future = self._queue_shared(now, request, is_retry)
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(future)
        except TimeoutError as error:
            self._withdraw(request, future)
            raise QueueTimeoutError(
                f"no slot of pool {request.pool!r} was granted within "
                f"{call.service.queue_timeout_s:g} s",
                ran=ran,
                retry_after=1.0,
            ) from error
        except asyncio.CancelledError:
            self._withdraw(request, future)
            raise

    def _take_standing(self, call: Call) -> GrantedSlot | None:
        """Use a standing slot, unless requests are already queued for the pool."""
        pool = call.service.pool
        if self._queue.has_waiting(pool):
            return None
        while (slot := self._slots.take_standing(pool, call.organisation)) is not None:
            endpoint = self._replica.endpoints.get(slot.grant.endpoint)
            if endpoint is not None and endpoint.state is EndpointState.ACTIVE:
                return slot
            self._slots.release(slot, Outcome.UNUSED)
        return None

    def _queue_shared(
        self, now: float, request: WaitingRequest, is_retry: bool
    ) -> asyncio.Future[GrantedSlot]:
        if is_retry:
            self._queue.add_first(request)
        else:
            self._queue.add(now, request)
        future: asyncio.Future[GrantedSlot] = asyncio.get_running_loop().create_future()
        self._pending_grants[request.request_id] = future
        self._update_waiting(now, request.pool, request.organisation)
        return future

    def _verdict(self, fingerprint: bytes) -> Verdict:
        return self._suspects.verdict(self._timers.now(), fingerprint)

    def _queue_isolated(
        self, request: WaitingRequest, fingerprint: bytes
    ) -> asyncio.Future[GrantedSlot]:
        self._metrics.count("runs_alone")
        future: asyncio.Future[GrantedSlot] = asyncio.get_running_loop().create_future()
        self._isolated[request.request_id] = IsolatedRequest(
            request, fingerprint, future
        )
        self._send_isolation_demand(self._isolated[request.request_id])
        return future

    def _send_isolation_demand(self, waiting: IsolatedRequest) -> None:
        """Send the demand to the owner chosen by fingerprint.

        All copies of a request get the same owner, which runs them one at a time.
        """
        request = waiting.request
        owner = rendezvous(
            waiting.fingerprint.hex(), self._owners_by_pool.get(request.pool, ())
        )
        if owner is not None:
            self._send(
                owner,
                AloneDemand(request.request_id, request.pool, request.organisation),
            )

    def _withdraw(
        self, request: WaitingRequest, future: asyncio.Future[GrantedSlot]
    ) -> None:
        if future.done():
            # Granted in the same loop iteration as the timeout or cancellation.
            self._slots.release(future.result(), Outcome.UNUSED)
            return
        if self._isolated.pop(request.request_id, None) is not None:
            return
        del self._pending_grants[request.request_id]
        self._queue.remove(request.request_id)
        self._update_waiting(self._timers.now(), request.pool, request.organisation)

    def _check_retry(
        self,
        error: EndpointFailedError,
        call: Call,
        sink: Sink,
        progress: Progress,
        attempt: int,
    ) -> None:
        """Raise the refusal unless the call may be retried."""
        ran = Ran.UNKNOWN if progress.sent else Ran.NOT_RUN
        if progress.sent and not call.service.idempotent:
            raise OutcomeUnknownError(str(error)) from error
        if sink.started and not _is_resumable(error, call):
            raise OutcomeUnknownError(str(error)) from error
        if isinstance(error, EndpointTimeoutError):
            raise OutcomeUnknownError(str(error)) from error
        if attempt >= self._settings.retry.attempts:
            self._metrics.count("retries_denied", "attempts")
            raise RetriesExhaustedError(
                f"{attempt} attempts failed; last failure: {error}", ran=ran
            ) from error
        if not self._budget.take_retry(call.organisation, call.service.id):
            self._metrics.count("retries_denied", "budget")
            raise RetriesExhaustedError(
                f"retry budget exhausted; last failure: {error}",
                ran=ran,
                retry_after=1.0,
            ) from error

    def _update_waiting(self, now: float, pool: str, organisation: str) -> None:
        waiting = self._queue.waiting(pool, organisation)
        self._demand.set_waiting(now, pool, organisation, waiting)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_pending:
            self._flush_pending = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_pending = False
        self._send_demand(self._demand.flush(self._timers.now()))
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Schedule a tick while there is demand; an idle entry sets no timer."""
        if self._tick_pending is None and self._demand.active:
            self._tick_pending = self._timers.after(
                self._settings.queue.escalation_s, self._tick
            )

    def _tick(self, now: float) -> None:
        self._tick_pending = None
        self._send_demand(self._demand.tick(now))
        self._schedule_tick()

    def _refresh(self, now: float) -> None:
        self._send_demand(self._demand.refresh(now))
        for waiting in self._isolated.values():
            self._send_isolation_demand(waiting)
        self._slots.refresh(now)

    def _send_demand(self, actions: list[SendDemand]) -> None:
        for action in actions:
            self._send(action.owner, action.demand)


def _fingerprint(call: Call) -> bytes:
    """Return a hash of the request that is the same for each resend."""
    digest = xxhash.xxh3_64()
    parts = (call.organisation, call.service.id, call.method, call.path)
    digest.update("\0".join(parts).encode())
    digest.update(call.body)
    return digest.digest()


def _is_resumable(error: EndpointFailedError, call: Call) -> bool:
    return call.stream and isinstance(
        error,
        EndpointDisconnectedError
        | EndpointReplyIncompleteError
        | EndpointUnreachableError
        | EndpointRefusedError,
    )


def _outcome(error: EndpointFailedError) -> Outcome:
    match error:
        case EndpointRefusedError():
            return Outcome.REFUSED
        case EndpointUnreachableError():
            return Outcome.UNREACHABLE
        case EndpointDisconnectedError() | EndpointReplyIncompleteError():
            return Outcome.CRASHED
        case EndpointTimeoutError():
            return Outcome.TIMED_OUT
        case _:
            return Outcome.MALFORMED
