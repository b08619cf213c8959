"""Claim service of one instance: claims for its requests, writer of its shards."""

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
    Answer,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
)
from borageworks.claims.content import ShardContent
from borageworks.claims.holder import Holder
from borageworks.claims.key import BODY_HASH_BYTES, KEY_HASH_BYTES, IdempotencyKey
from borageworks.claims.moment import Moment
from borageworks.claims.segment import HOLDER_BYTES_MAX
from borageworks.claims.shard import ClaimShard
from borageworks.claims.writer import shard_of, shard_writer
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
from borageworks.timers import Subscription, Timers
from borageworks.wire.messages import (
    Claim,
    ClaimFinish,
    ClaimOutcome,
    ClaimReply,
    ClaimState,
    Message,
)

BOOT_BYTES = 4
REQUEST_BOOT_BITS = 31
REQUEST_COUNT_BITS = 32
# A claim is sent again to the writer of the moment, since a writer may have changed
# or a link may have broken; a repeated claim is recognised by its request id.
RESEND_INTERVAL_S = 0.5
# A commit whose reply is lost takes one store timeout, reading it back another.
STORE_TIMEOUTS_PER_CLAIM = 2
SWEEP_INTERVAL_S = 10.0
ABANDONED_MAX = 10_000


class ClaimService:
    """Claims non-idempotent requests and writes the shards placed on this instance.

    Parameters
    ----------
    settings
        Settings of this instance.
    store, timers, metrics
        Store with the journal, timers and counters of the process.
    send
        Sends a message to an instance; a message may be lost.
    members
        Returns the ids of the live instances.
    wall
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
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings.claims
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._send = send
        self._members = members
        self._wall = wall
        self._holder = Holder(settings.instance, secrets.token_hex(BOOT_BYTES))
        self._timeout = STORE_TIMEOUTS_PER_CLAIM * settings.store.timeout_s
        # The upper half tells replies to a former boot apart; records keep the lower.
        self._requests = secrets.randbits(REQUEST_BOOT_BITS) << REQUEST_COUNT_BITS
        self._waiting: dict[int, asyncio.Future[ClaimReply]] = {}
        self._abandoned: OrderedDict[int, Claim] = OrderedDict()
        self._shards: dict[int, ClaimShard] = {}
        self._wakes: dict[int, tuple[float, Subscription]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweeping = timers.every(SWEEP_INTERVAL_S, self._sweep)

    @property
    def holder(self) -> Holder:
        """Identity under which this process claims."""
        return self._holder

    async def close(self) -> None:
        """Stop; commits in flight end with an unknown outcome."""
        self._sweeping.cancel()
        for _, wake in self._wakes.values():
            wake.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def claim(
        self, organisation: str, key: IdempotencyKey, body_hash: bytes
    ) -> ClaimReply:
        """Claim a request; only after `CLAIMED` may it run, and only once.

        A cancelled call counts as one that was not claimed.

        Returns
        -------
        ClaimReply
            `DUPLICATE` and `BODY_MISMATCH` carry the first claim's holder and state;
            see `instance_of`. `EXPIRED` and `UNAVAILABLE` mean that the request did not
            run and must not run now.
        """
        self._requests += 1
        request_id = self._requests
        key_hash = key.hash(organisation)
        try:
            key.check(self._wall(), self._settings)
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
            reply = await self._settle(key_hash, await self._ask(claim))
        self._metrics.count("claims", reply.outcome.name.lower())
        return reply

    def finish(self, organisation: str, key: IdempotencyKey, state: ClaimState) -> None:
        """Record the final state of a request that this process claimed.

        The record may be lost; the claim then stays `CLAIMED`, and its holder is asked.
        """
        self._finish(key.hash(organisation), state)

    async def release(self, organisation: str, key: IdempotencyKey) -> None:
        """Record that a claimed request certainly never started and never will.

        The key stays taken: a resend is told that the request did not run.
        """
        self._finish(key.hash(organisation), ClaimState.RELEASED)

    def instance_of(self, reply: ClaimReply) -> str | None:
        """Return the live instance that may know the answer of a first claim.

        Returns
        -------
        str or None
            None if the holder is not alive: a claim in state `CLAIMED` is then to be
            answered as `UNKNOWN`. A holder that restarted is found out by asking it,
            since it holds no answer.
        """
        holder = Holder.parse(reply.holder)
        if holder.instance == self._holder.instance:
            return holder.instance if holder == self._holder else None
        return holder.instance if holder.instance in self._members() else None

    def receive(self, sender: str, message: Claim | ClaimReply | ClaimFinish) -> None:
        """Handle a message of the instance `sender`.

        Raises
        ------
        MessageMalformedError
            A field has a wrong size or range.
        """
        match message:
            case ClaimReply():
                self._receive_reply(message)
            case Claim():
                self._receive_claim(sender, message)
            case ClaimFinish():
                self._check(message.shard, message.key_hash)
                shard = self._shard(message.shard)
                actions = shard.finish(
                    self._moment(), sender, message.key_hash, message.state
                )
                self._execute(message.shard, actions)

    async def _ask(self, claim: Claim) -> ClaimReply:
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        request_id = claim.request_id
        self._waiting[request_id] = future
        deadline = self._timers.now() + self._timeout
        try:
            while (left := deadline - self._timers.now()) > 0:
                self._deliver(claim.shard, claim)
                await asyncio.wait((future,), timeout=min(left, RESEND_INTERVAL_S))
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
            del self._waiting[request_id]

    async def _settle(self, key_hash: bytes, reply: ClaimReply) -> ClaimReply:
        """Release a claim of this process that was refused and recorded later.

        Sending the refused claim again tells whether the record is its own.
        """
        own = reply.holder == str(self._holder)
        if not own or reply.state is not ClaimState.CLAIMED:
            return reply
        if reply.outcome is not ClaimOutcome.DUPLICATE:
            return reply
        refused = [c for c in self._abandoned.values() if c.key_hash == key_hash]
        for claim in refused:
            if claim.request_id in self._waiting:
                continue
            again = await self._ask(claim)
            if again.outcome is ClaimOutcome.CLAIMED:
                self._release_late(claim)
                return replace(reply, state=ClaimState.RELEASED)
        return reply

    def _release_late(self, claim: Claim) -> None:
        self._abandoned.pop(claim.request_id, None)
        self._metrics.count("claims_late")
        self._finish(claim.key_hash, ClaimState.RELEASED)

    def _abandon(self, claim: Claim) -> None:
        """Remember a claim that was refused and may be recorded nevertheless."""
        self._abandoned[claim.request_id] = claim
        if len(self._abandoned) > ABANDONED_MAX:
            self._abandoned.popitem(last=False)

    def _finish(self, key_hash: bytes, state: ClaimState) -> None:
        shard = shard_of(key_hash, self._settings.shards)
        self._deliver(shard, ClaimFinish(shard, key_hash, state))

    def _deliver(self, shard: int, message: Claim | ClaimFinish) -> None:
        own = self._holder.instance
        writer = shard_writer(shard, {own, *self._members()})
        if writer == own:
            self.receive(own, message)
        else:
            self._send(writer, message)

    def _receive_reply(self, reply: ClaimReply) -> None:
        future = self._waiting.get(reply.request_id)
        if future is not None and not future.done():
            future.set_result(reply)
            return
        if reply.outcome is ClaimOutcome.CLAIMED:
            refused = self._abandoned.get(reply.request_id)
            if refused is not None:
                self._release_late(refused)

    def _receive_claim(self, sender: str, claim: Claim) -> None:
        self._check(claim.shard, claim.key_hash)
        if len(claim.body_hash) != BODY_HASH_BYTES:
            raise MessageMalformedError(
                f"body hash of a claim has {len(claim.body_hash)} bytes"
            )
        if Holder.parse(claim.holder).instance != sender:
            raise MessageMalformedError(
                f"claim of holder {claim.holder!r} was sent by {sender!r}"
            )
        if len(claim.holder.encode()) > HOLDER_BYTES_MAX:
            raise MessageMalformedError("holder of a claim is too long")
        moment = self._moment()
        request = ClaimRequest(
            claim.request_id,
            claim.key_hash,
            claim.body_hash,
            claim.issued,
            claim.holder,
            moment.now + self._timeout,
        )
        actions = self._shard(claim.shard).request(moment, request)
        self._execute(claim.shard, actions)

    def _check(self, shard: int, key_hash: bytes) -> None:
        if len(key_hash) != KEY_HASH_BYTES:
            raise MessageMalformedError(f"key hash has {len(key_hash)} bytes")
        if shard != shard_of(key_hash, self._settings.shards):
            # Instances with different shard counts would claim a key twice.
            raise MessageMalformedError(f"shard {shard} does not hold the key hash")

    def _moment(self) -> Moment:
        return Moment(self._timers.now(), self._wall())

    def _shard(self, number: int) -> ClaimShard:
        shard = self._shards.get(number)
        if shard is None:
            shard = self._shards[number] = ClaimShard(number, self._settings)
        return shard

    def _execute(self, number: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Answer():
                    self._answer(action)
                case LoadSegments():
                    self._start(number, self._load(number, action))
                case CommitSegment():
                    self._start(number, self._commit(number, action.transaction))
        self._wake(number)

    def _answer(self, answer: Answer) -> None:
        reply = ClaimReply(
            answer.claim.request_id, answer.outcome, answer.holder, answer.state
        )
        instance = Holder.parse(answer.claim.holder).instance
        if instance == self._holder.instance:
            # A reply to a former boot of this instance must not meet a request of
            # this one.
            if answer.claim.holder == str(self._holder):
                self._receive_reply(reply)
        else:
            self._send(instance, reply)

    def _start(self, number: int, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(partial(self._ended, number))

    def _ended(self, number: int, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            emit(Event.TASK_FAILED, shard=number, reason=repr(error))
            # A shard without its task would wait forever; a new one loads first.
            self._shards.pop(number, None)

    async def _load(self, number: int, action: LoadSegments) -> None:
        shard = self._shards[number]
        try:
            result = await self._store.range(action.prefix)
            content = ShardContent()
            for _ in content.decode(action.prefix, result.values):
                await asyncio.sleep(0)
            actions = shard.loaded(self._moment(), content)
        except BorageworksError as error:
            # The shard is not used while a segment cannot be read.
            self._failed(number, error)
            actions = shard.unavailable(self._moment())
        else:
            self._metrics.count("claim_loads")
            emit(Event.CLAIM_SHARD_LOADED, shard=number, records=shard.records)
        self._execute(number, actions)

    async def _commit(self, number: int, transaction: Transaction) -> None:
        shard = self._shards[number]
        self._metrics.count("claim_commits")
        try:
            result = await self._store.commit(transaction)
        except StoreUnavailableError as error:
            self._failed(number, error)
            actions = shard.unavailable(self._moment())
        except BorageworksError as error:
            self._failed(number, error)
            actions = shard.unknown(self._moment())
        else:
            if result.succeeded:
                actions = shard.committed(self._moment(), result.revision)
            else:
                self._metrics.count("claim_conflicts")
                emit(Event.CLAIM_CONFLICT, shard=number)
                actions = shard.conflicted(self._moment())
        self._execute(number, actions)

    def _failed(self, number: int, error: BorageworksError) -> None:
        self._metrics.count("claim_failures", error.code)
        if not isinstance(error, StoreUnavailableError):
            emit(
                Event.CLAIM_COMMIT_UNSETTLED,
                shard=number,
                code=error.code,
                reason=str(error),
            )

    def _wake(self, number: int) -> None:
        due = self._shards[number].due
        planned = self._wakes.get(number)
        if planned is not None:
            if due is not None and planned[0] <= due:
                return
            planned[1].cancel()
            del self._wakes[number]
        if due is not None:
            delay = max(0.0, due - self._timers.now())

            def wake(_now: float) -> None:
                del self._wakes[number]
                if number in self._shards:
                    actions = self._shards[number].tick(self._moment())
                    self._execute(number, actions)

            self._wakes[number] = (due, self._timers.after(delay, wake))

    def _sweep(self, _now: float) -> None:
        """Drop shards that another instance writes now."""
        own = self._holder.instance
        members = {own, *self._members()}
        for number, shard in list(self._shards.items()):
            if shard.idle and shard_writer(number, members) != own:
                planned = self._wakes.pop(number, None)
                if planned is not None:
                    planned[1].cancel()
                del self._shards[number]
