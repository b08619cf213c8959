"""Claim service of an instance: claims its requests and writes its shards."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from borageworks.claims.actions import (
    Action,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
    ReplyToClaim,
)
from borageworks.claims.content import ShardContent
from borageworks.claims.holder import Holder
from borageworks.claims.key import BODY_HASH_BYTES, KEY_HASH_BYTES, IdempotencyKey
from borageworks.claims.segment import MAX_HOLDER_BYTES
from borageworks.claims.shard import ClaimShard
from borageworks.claims.sharding import shard_of, shard_writer
from borageworks.claims.timestamp import Timestamp
from borageworks.config.settings import Settings
from borageworks.events import Event, emit
from borageworks.exceptions import (
    BorageworksError,
    IdempotencyKeyExpiredError,
    MessageMalformedError,
    StoreUnavailableError,
)
from borageworks.metrics import Metrics
from borageworks.store.store import Store
from borageworks.store.values import Transaction
from borageworks.timers import Timers, TimerSubscription
from borageworks.wire.messages import (
    Claim,
    ClaimFinish,
    ClaimOutcome,
    ClaimReply,
    ClaimState,
    Message,
)

BOOT_ID_BYTES = 4
REQUEST_ID_BOOT_BITS = 31
REQUEST_ID_COUNTER_BITS = 32
# A claim without a reply is resent to the current writer, since the writer may have
# changed or a message may have been lost; repeated claims are recognised by request id.
RESEND_INTERVAL_S = 0.5
# If the reply to a commit is lost, the commit takes one store timeout and reading the
# segments back takes another.
STORE_TIMEOUTS_PER_CLAIM = 2
SHARD_CLEANUP_INTERVAL_S = 10.0
MAX_ABANDONED_CLAIMS = 10_000


class ClaimService:
    """Claims non-idempotent requests and writes the shards assigned to this instance.

    Parameters
    ----------
    settings
        Settings of this instance.
    store, timers, metrics
        Store that contains the journal; timers and metrics of the process.
    send
        Sends a message to an instance; delivery is not guaranteed.
    members
        Returns the ids of the live instances.
    unix_time
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        timers: Timers,
        metrics: Metrics,
        send: Callable[[str, Message], None],
        members: Callable[[], Sequence[str]],
        *,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings.claims
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._send = send
        self._members = members
        self._unix_time = unix_time
        self._holder = Holder(settings.instance, secrets.token_hex(BOOT_ID_BYTES))
        self._timeout_s = STORE_TIMEOUTS_PER_CLAIM * settings.store.timeout_s
        # The random upper half distinguishes replies to an earlier boot; records store
        # only the lower half.
        self._last_request_id = (
            secrets.randbits(REQUEST_ID_BOOT_BITS) << REQUEST_ID_COUNTER_BITS
        )
        self._pending_replies: dict[int, asyncio.Future[ClaimReply]] = {}
        self._abandoned: OrderedDict[int, Claim] = OrderedDict()
        self._shards: dict[int, ClaimShard] = {}
        self._tick_timers: dict[int, tuple[float, TimerSubscription]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._cleanup_timer = timers.every(
            SHARD_CLEANUP_INTERVAL_S, self._drop_unowned_shards
        )

    @property
    def holder(self) -> Holder:
        """Identity of this process as the holder of its claims."""
        return self._holder

    async def close(self) -> None:
        """Stop the service; the outcome of pending commits is unknown."""
        self._cleanup_timer.cancel()
        for _, timer in self._tick_timers.values():
            timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def claim(
        self, organisation: str, key: IdempotencyKey, body_hash: bytes
    ) -> ClaimReply:
        """Claim a request, which may run only after `CLAIMED` and only once.

        If the call is cancelled, the request must not run; a claim that is recorded
        nevertheless is released.

        Returns
        -------
        ClaimReply
            `DUPLICATE` and `BODY_MISMATCH` contain the holder and state of the first
            claim; see `response_holder`. After `EXPIRED` and `UNAVAILABLE`, this
            request has not run and must not run.
        """
        self._last_request_id += 1
        request_id = self._last_request_id
        key_hash = key.hash(organisation)
        try:
            key.check_window(self._unix_time(), self._settings)
        except IdempotencyKeyExpiredError:
            reply = ClaimReply(request_id, ClaimOutcome.EXPIRED)
        else:
            claim = Claim(
                request_id,
                shard_of(key_hash, self._settings.shards),
                key_hash,
                body_hash,
                key.issued,
                str(self._holder),
            )
            reply = await self._release_if_abandoned(
                key_hash, await self._send_claim(claim)
            )
        self._metrics.count("claims", reply.outcome.name.lower())
        return reply

    def finish(self, organisation: str, key: IdempotencyKey, state: ClaimState) -> None:
        """Record the final state of a request that this process claimed.

        The message may be lost. The claim then remains `CLAIMED`, and its holder is
        queried for the outcome.
        """
        self._send_finish(key.hash(organisation), state)

    async def release(self, organisation: str, key: IdempotencyKey) -> None:
        """Record that a claimed request did not start and never will.

        The key cannot be claimed again; the reply to a resend states that the request
        did not run.
        """
        self._send_finish(key.hash(organisation), ClaimState.RELEASED)

    def response_holder(self, reply: ClaimReply) -> str | None:
        """Return the live instance that may have the response to the first request.

        Returns
        -------
        str or None
            None if the holder is not alive; the outcome of a claim in state `CLAIMED`
            is then unknown. A restart of another instance is not detected here, but
            that instance has no response when queried.
        """
        holder = Holder.parse(reply.holder)
        if holder.instance == self._holder.instance:
            return holder.instance if holder == self._holder else None
        return holder.instance if holder.instance in self._members() else None

    def receive(self, sender: str, message: Claim | ClaimReply | ClaimFinish) -> None:
        """Handle a message from the instance `sender`.

        Raises
        ------
        MessageMalformedError
            A field has an invalid size or value.
        """
        match message:
            case ClaimReply():
                self._receive_reply(message)
            case Claim():
                self._receive_claim(sender, message)
            case ClaimFinish():
                self._check_shard(message.shard, message.key_hash)
                shard = self._shard(message.shard)
                actions = shard.finish(
                    self._timestamp(), sender, message.key_hash, message.state
                )
                self._execute(message.shard, actions)

    async def _send_claim(self, claim: Claim) -> ClaimReply:
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        request_id = claim.request_id
        self._pending_replies[request_id] = future
        deadline = self._timers.now() + self._timeout_s
        try:
            while (remaining_s := deadline - self._timers.now()) > 0:
                self._send_to_writer(claim.shard, claim)
                await asyncio.wait(
                    (future,), timeout=min(remaining_s, RESEND_INTERVAL_S)
                )
                if future.done():
                    reply = future.result()
                    if reply.outcome is ClaimOutcome.UNAVAILABLE:
                        self._abandon(claim)
                    return reply
            self._abandon(claim)
            return ClaimReply(request_id, ClaimOutcome.UNAVAILABLE)
        except asyncio.CancelledError:
            self._abandon(claim)
            if future.done() and future.result().outcome is ClaimOutcome.CLAIMED:
                self._receive_reply(future.result())
            raise
        finally:
            del self._pending_replies[request_id]

    async def _release_if_abandoned(
        self, key_hash: bytes, reply: ClaimReply
    ) -> ClaimReply:
        """Release a claim that this process abandoned and that was recorded later.

        Resending an abandoned claim shows whether the record belongs to it.
        """
        is_own = reply.holder == str(self._holder)
        if not is_own or reply.state is not ClaimState.CLAIMED:
            return reply
        if reply.outcome is not ClaimOutcome.DUPLICATE:
            return reply
        abandoned = [
            claim for claim in self._abandoned.values() if claim.key_hash == key_hash
        ]
        for claim in abandoned:
            if claim.request_id in self._pending_replies:
                continue
            repeated = await self._send_claim(claim)
            if repeated.outcome is ClaimOutcome.CLAIMED:
                self._release_abandoned(claim)
                return replace(reply, state=ClaimState.RELEASED)
        return reply

    def _release_abandoned(self, claim: Claim) -> None:
        self._abandoned.pop(claim.request_id, None)
        self._metrics.count("claims_late")
        self._send_finish(claim.key_hash, ClaimState.RELEASED)

    def _abandon(self, claim: Claim) -> None:
        """Keep a claim that failed but may still be recorded, so it can be released."""
        self._abandoned[claim.request_id] = claim
        if len(self._abandoned) > MAX_ABANDONED_CLAIMS:
            self._abandoned.popitem(last=False)

    def _send_finish(self, key_hash: bytes, state: ClaimState) -> None:
        shard = shard_of(key_hash, self._settings.shards)
        self._send_to_writer(shard, ClaimFinish(shard, key_hash, state))

    def _send_to_writer(self, shard: int, message: Claim | ClaimFinish) -> None:
        own_instance = self._holder.instance
        writer = shard_writer(shard, {own_instance, *self._members()})
        if writer == own_instance:
            self.receive(own_instance, message)
        else:
            self._send(writer, message)

    def _receive_reply(self, reply: ClaimReply) -> None:
        future = self._pending_replies.get(reply.request_id)
        if future is not None and not future.done():
            future.set_result(reply)
            return
        if reply.outcome is ClaimOutcome.CLAIMED:
            abandoned = self._abandoned.get(reply.request_id)
            if abandoned is not None:
                self._release_abandoned(abandoned)

    def _receive_claim(self, sender: str, claim: Claim) -> None:
        self._check_shard(claim.shard, claim.key_hash)
        if len(claim.body_hash) != BODY_HASH_BYTES:
            raise MessageMalformedError(
                f"claim has a body hash of invalid length: {len(claim.body_hash)} bytes"
            )
        if Holder.parse(claim.holder).instance != sender:
            raise MessageMalformedError(
                f"claim names holder {claim.holder!r} but was sent by {sender!r}"
            )
        if len(claim.holder.encode()) > MAX_HOLDER_BYTES:
            raise MessageMalformedError("holder id of a claim is too long")
        timestamp = self._timestamp()
        request = ClaimRequest(
            claim.request_id,
            claim.key_hash,
            claim.body_hash,
            claim.issued,
            claim.holder,
            timestamp.monotonic + self._timeout_s,
        )
        actions = self._shard(claim.shard).submit(timestamp, request)
        self._execute(claim.shard, actions)

    def _check_shard(self, shard: int, key_hash: bytes) -> None:
        if len(key_hash) != KEY_HASH_BYTES:
            raise MessageMalformedError(
                f"key hash has invalid length: {len(key_hash)} bytes"
            )
        if shard != shard_of(key_hash, self._settings.shards):
            # Instances with different shard counts could claim the same key twice.
            raise MessageMalformedError(f"key hash does not belong to shard {shard}")

    def _timestamp(self) -> Timestamp:
        return Timestamp(self._timers.now(), self._unix_time())

    def _shard(self, number: int) -> ClaimShard:
        shard = self._shards.get(number)
        if shard is None:
            shard = self._shards[number] = ClaimShard(number, self._settings)
        return shard

    def _execute(self, number: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case ReplyToClaim():
                    self._send_reply(action)
                case LoadSegments():
                    self._start_task(number, self._load(number, action))
                case CommitSegment():
                    self._start_task(number, self._commit(number, action.transaction))
        self._schedule_tick(number)

    def _send_reply(self, action: ReplyToClaim) -> None:
        reply = ClaimReply(
            action.claim.request_id, action.outcome, action.holder, action.state
        )
        instance = Holder.parse(action.claim.holder).instance
        if instance == self._holder.instance:
            # A reply to an earlier boot of this instance must not resolve a request of
            # the current one.
            if action.claim.holder == str(self._holder):
                self._receive_reply(reply)
        else:
            self._send(instance, reply)

    def _start_task(self, number: int, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(partial(self._handle_task_end, number))

    def _handle_task_end(self, number: int, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            emit(Event.TASK_FAILED, shard=number, reason=repr(error))
            # Without its task the shard would wait forever; its replacement starts by
            # loading the segments.
            self._shards.pop(number, None)

    async def _load(self, number: int, action: LoadSegments) -> None:
        shard = self._shards[number]
        try:
            result = await self._store.range(action.prefix)
            content = ShardContent()
            for _ in content.decode(action.prefix, result.values):
                await asyncio.sleep(0)
            actions = shard.on_loaded(self._timestamp(), content)
        except BorageworksError as error:
            # The shard remains unavailable while a segment cannot be read.
            self._record_store_failure(number, error)
            actions = shard.on_unavailable(self._timestamp())
        else:
            self._metrics.count("claim_loads")
            emit(Event.CLAIM_SHARD_LOADED, shard=number, records=shard.record_count)
        self._execute(number, actions)

    async def _commit(self, number: int, transaction: Transaction) -> None:
        shard = self._shards[number]
        self._metrics.count("claim_commits")
        try:
            result = await self._store.commit(transaction)
        except StoreUnavailableError as error:
            self._record_store_failure(number, error)
            actions = shard.on_unavailable(self._timestamp())
        except BorageworksError as error:
            self._record_store_failure(number, error)
            actions = shard.on_unknown_outcome(self._timestamp())
        else:
            if result.succeeded:
                actions = shard.on_committed(self._timestamp(), result.revision)
            else:
                self._metrics.count("claim_conflicts")
                emit(Event.CLAIM_CONFLICT, shard=number)
                actions = shard.on_conflict(self._timestamp())
        self._execute(number, actions)

    def _record_store_failure(self, number: int, error: BorageworksError) -> None:
        self._metrics.count("claim_failures", error.code)
        if not isinstance(error, StoreUnavailableError):
            emit(
                Event.CLAIM_COMMIT_UNSETTLED,
                shard=number,
                code=error.code,
                reason=str(error),
            )

    def _schedule_tick(self, number: int) -> None:
        tick_time = self._shards[number].next_tick_time
        scheduled = self._tick_timers.get(number)
        if scheduled is not None:
            if tick_time is not None and scheduled[0] <= tick_time:
                return
            scheduled[1].cancel()
            del self._tick_timers[number]
        if tick_time is not None:
            delay_s = max(0.0, tick_time - self._timers.now())

            def run_tick(_now: float) -> None:
                del self._tick_timers[number]
                if number in self._shards:
                    actions = self._shards[number].tick(self._timestamp())
                    self._execute(number, actions)

            self._tick_timers[number] = (
                tick_time,
                self._timers.after(delay_s, run_tick),
            )

    def _drop_unowned_shards(self, _now: float) -> None:
        """Drop idle shards that are now written by another instance."""
        own_instance = self._holder.instance
        members = {own_instance, *self._members()}
        for number, shard in list(self._shards.items()):
            if shard.idle and shard_writer(number, members) != own_instance:
                scheduled = self._tick_timers.pop(number, None)
                if scheduled is not None:
                    scheduled[1].cancel()
                del self._shards[number]
