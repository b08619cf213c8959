"""State machine of a claim shard on an instance that may write it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from enum import Enum, auto

from borageworks.claims.actions import (
    Action,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
    ReplyToClaim,
)
from borageworks.claims.content import ShardContent, merge_record
from borageworks.claims.holder import Holder
from borageworks.claims.pending_commit import PendingCommit
from borageworks.claims.record import ClaimRecord
from borageworks.claims.segment import RECORD_BYTES, REQUEST_ID_MASK, Segment
from borageworks.claims.timestamp import Timestamp
from borageworks.config.settings import ClaimSettings
from borageworks.store.values import Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState

# Time that a state change waits for a claim with which it can share a commit.
FINISH_DELAY_S = 1.0
# For this long after a store failure, claims get an immediate reply without a store
# call, so that each shard makes at most two calls per second to a failing store.
STORE_RETRY_DELAY_S = 0.5
MAX_PENDING_CHANGES = 4096
# The store allows 128 operations in one transaction.
EXPIRED_SEGMENTS_PER_COMMIT = 64


class _Phase(Enum):
    EMPTY = auto()
    LOADING = auto()
    READY = auto()
    COMMITTING = auto()


class ClaimShard:
    """Commits the claims of one shard to journal segments in groups.

    Any instance may act as the writer at any time; a commit succeeds only if the
    active segment has not changed since this writer loaded it. The `head` key contains
    the number of the active segment and is never deleted, so that a writer that loaded
    an empty shard and was then paused cannot create the first segment again.

    Records are removed only with their whole segment. States other than `CLAIMED` are
    final, so that a released key cannot be claimed again within the claim window.

    Parameters
    ----------
    number
        Shard number.
    settings
        Claim settings; they must be the same on all instances.
    """

    def __init__(self, number: int, settings: ClaimSettings) -> None:
        self._settings = settings
        self._prefix = f"claims/{number:04d}/"
        self._phase = _Phase.EMPTY
        self._head_revision = 0
        self._active_number = 0
        self._active_revision = 0
        self._active = Segment(0.0, 0.0)
        self._sealed: dict[int, tuple[float, tuple[bytes, ...]]] = {}
        self._index: dict[bytes, ClaimRecord] = {}
        self._waiting_claims: dict[tuple[str, int], ClaimRequest] = {}
        self._pending_changes: dict[bytes, tuple[str, ClaimState]] = {}
        self._first_change_time = 0.0
        self._pending_commit: PendingCommit | None = None
        self._next_commit_time = float("-inf")
        self._store_backoff_until = float("-inf")

    @property
    def idle(self) -> bool:
        """Whether no work is pending, so that the shard may be dropped."""
        awaits_store = self._phase in {_Phase.LOADING, _Phase.COMMITTING}
        return not (awaits_store or self._waiting_claims or self._pending_changes)

    @property
    def next_tick_time(self) -> float | None:
        """Monotonic time at which to call `tick`, or None if no work is scheduled."""
        if self._phase in {_Phase.LOADING, _Phase.COMMITTING}:
            return None
        if self._waiting_claims:
            return self._next_commit_time
        if self._pending_changes:
            return max(
                self._first_change_time + FINISH_DELAY_S,
                self._next_commit_time,
                self._store_backoff_until,
            )
        return None

    @property
    def record_count(self) -> int:
        """Number of claims in the index."""
        return len(self._index)

    def submit(self, timestamp: Timestamp, claim: ClaimRequest) -> list[Action]:
        """Queue a claim or reply to it; a repeated call is idempotent."""
        identity = (claim.holder, claim.request_id)
        is_committing = (
            self._pending_commit is not None and identity in self._pending_commit.claims
        )
        if identity in self._waiting_claims or is_committing:
            return []
        if timestamp.monotonic < self._store_backoff_until:
            # Loaded records remain valid while the store is unavailable.
            is_loaded = self._phase is _Phase.READY
            reply = self._reply_from_index(timestamp, claim) if is_loaded else None
            return [reply or ReplyToClaim(claim, ClaimOutcome.UNAVAILABLE)]
        self._waiting_claims[identity] = claim
        return self._advance(timestamp)

    def finish(
        self, timestamp: Timestamp, sender: str, key_hash: bytes, state: ClaimState
    ) -> list[Action]:
        """Set the final state of a claim that is held by the instance `sender`."""
        if not self._pending_changes:
            self._first_change_time = timestamp.monotonic
        self._pending_changes.setdefault(key_hash, (sender, state))
        while len(self._pending_changes) > MAX_PENDING_CHANGES:
            # The record stays CLAIMED; at worst its outcome is reported as unknown.
            del self._pending_changes[next(iter(self._pending_changes))]
        return self._advance(timestamp)

    def tick(self, timestamp: Timestamp) -> list[Action]:
        """Process the work scheduled for `next_tick_time`."""
        return self._advance(timestamp)

    def on_loaded(self, timestamp: Timestamp, content: ShardContent) -> list[Action]:
        """Adopt the loaded content; the caller must not use `content` afterwards."""
        self._sealed = content.sealed
        self._index = content.index
        self._head_revision = content.head_revision
        self._active_number = content.active_number
        self._active_revision = content.active_revision
        self._active = content.active
        self._phase = _Phase.READY
        self._store_backoff_until = float("-inf")
        return self._advance(timestamp)

    def on_committed(self, timestamp: Timestamp, revision: int) -> list[Action]:
        """Apply the pending commit, which succeeded at `revision`."""
        pending = self._take_pending_commit()
        if pending.number != self._active_number:
            if self._active_number:
                self._sealed[self._active_number] = (
                    pending.sealed.latest_at,
                    tuple(pending.sealed.records),
                )
            self._head_revision = revision
            self._active_number = pending.number
        self._active = pending.segment
        self._active_revision = revision
        if pending.expired:
            self._drop_segments(pending.expired)
        for record in pending.records:
            merge_record(self._index, record)
        self._phase = _Phase.READY
        actions: list[Action] = [
            ReplyToClaim(claim, ClaimOutcome.CLAIMED, claim.holder)
            for claim in pending.claims.values()
        ]
        return actions + self._advance(timestamp)

    def on_conflict(self, timestamp: Timestamp) -> list[Action]:
        """Reload after the pending commit lost against another writer."""
        return self._reload(timestamp)

    def on_unknown_outcome(self, timestamp: Timestamp) -> list[Action]:
        """Reload after a commit that may have been applied or may still be applied.

        The segments are read back before any further commit. If the commit is applied
        after that, the next commit conflicts with it.
        """
        return self._reload(timestamp)

    def on_unavailable(self, timestamp: Timestamp) -> list[Action]:
        """Handle the definite failure of a load or of the pending commit."""
        if self._phase is _Phase.COMMITTING:
            self._requeue(self._take_pending_commit())
            self._phase = _Phase.READY
        else:
            self._phase = _Phase.EMPTY
        self._store_backoff_until = timestamp.monotonic + STORE_RETRY_DELAY_S
        waiting = list(self._waiting_claims.values())
        self._waiting_claims.clear()
        return [ReplyToClaim(claim, ClaimOutcome.UNAVAILABLE) for claim in waiting]

    def _take_pending_commit(self) -> PendingCommit:
        pending = self._pending_commit
        if self._phase is not _Phase.COMMITTING or pending is None:
            raise RuntimeError("no commit is pending")
        self._pending_commit = None
        return pending

    def _requeue(self, pending: PendingCommit) -> None:
        self._waiting_claims = {**pending.claims, **self._waiting_claims}
        self._pending_changes = {**pending.changes, **self._pending_changes}

    def _reload(self, timestamp: Timestamp) -> list[Action]:
        self._requeue(self._take_pending_commit())
        self._phase = _Phase.EMPTY
        return self._advance(timestamp)

    def _advance(self, timestamp: Timestamp) -> list[Action]:
        if self._phase in {_Phase.LOADING, _Phase.COMMITTING}:
            return []
        actions: list[Action] = self._expire_waiting_claims(timestamp)
        if self._phase is _Phase.EMPTY:
            if self._waiting_claims or self._changes_due(timestamp):
                self._phase = _Phase.LOADING
                actions.append(LoadSegments(self._prefix))
            return actions
        actions += self._reply_to_known_claims(timestamp)
        commit_due = timestamp.monotonic >= self._next_commit_time
        if commit_due and (self._waiting_claims or self._changes_due(timestamp)):
            commit = self._start_commit(timestamp)
            if commit is not None:
                actions.append(commit)
        return actions

    def _changes_due(self, timestamp: Timestamp) -> bool:
        return (
            bool(self._pending_changes)
            and timestamp.monotonic >= self._first_change_time + FINISH_DELAY_S
            and timestamp.monotonic >= self._store_backoff_until
        )

    def _expire_waiting_claims(self, timestamp: Timestamp) -> list[Action]:
        expired = [
            identity
            for identity, claim in self._waiting_claims.items()
            if timestamp.monotonic >= claim.deadline
        ]
        return [
            ReplyToClaim(self._waiting_claims.pop(identity), ClaimOutcome.UNAVAILABLE)
            for identity in expired
        ]

    def _reply_to_known_claims(self, timestamp: Timestamp) -> list[Action]:
        replies: list[Action] = []
        for identity, claim in list(self._waiting_claims.items()):
            reply = self._reply_from_index(timestamp, claim)
            if reply is not None:
                del self._waiting_claims[identity]
                replies.append(reply)
        return replies

    def _reply_from_index(
        self, timestamp: Timestamp, claim: ClaimRequest
    ) -> ReplyToClaim | None:
        record = self._index.get(claim.key_hash)
        if record is None:
            # The holder has already applied stricter bounds by its own clock. These
            # bounds prevent a delayed claim from succeeding after the record of its
            # key has expired.
            oldest = timestamp.unix_time - self._settings.window_s
            newest = timestamp.unix_time + 2 * self._settings.clock_difference_s
            if oldest <= claim.issued <= newest:
                return None
            return ReplyToClaim(claim, ClaimOutcome.EXPIRED)
        if record.body_hash != claim.body_hash:
            return ReplyToClaim(
                claim, ClaimOutcome.BODY_MISMATCH, record.holder, record.state
            )
        is_repeat = (record.holder, record.request_id_low) == (
            claim.holder,
            claim.request_id & REQUEST_ID_MASK,
        )
        if is_repeat and record.state is ClaimState.CLAIMED:
            return ReplyToClaim(claim, ClaimOutcome.CLAIMED, record.holder)
        return ReplyToClaim(claim, ClaimOutcome.DUPLICATE, record.holder, record.state)

    def _start_commit(self, timestamp: Timestamp) -> CommitSegment | None:
        changes, self._pending_changes = self._pending_changes, {}
        from_active, from_sealed = self._changed_records(changes)
        active = self._active.with_records(from_active, self._active.latest_at)
        age_s = timestamp.unix_time - active.created_at
        adds_records = bool(self._waiting_claims or from_sealed)
        new_segment = (
            adds_records
            and age_s >= self._settings.segment_age_s
            and bool(active.records)
        )
        claims, records = self._select_claims(
            active, from_sealed, new_segment=new_segment
        )
        if not claims and not new_segment and self._waiting_claims:
            new_segment = True
            claims, records = self._select_claims(active, from_sealed, new_segment=True)
        if not records and not from_active:
            return None
        latest_at = max(
            [timestamp.unix_time, *(claim.issued for claim in claims.values())]
        )
        create = new_segment or self._active_number == 0
        number = self._active_number + create
        if create:
            sealed = replace(active, sealed=True)
            segment = Segment(timestamp.unix_time, latest_at, records)
        else:
            sealed = active
            segment = active.with_records(records, latest_at)
        pending = PendingCommit(
            claims,
            changes,
            (*from_active.values(), *records.values()),
            number,
            segment,
            sealed,
            self._expired_segments(timestamp),
        )
        for identity in claims:
            del self._waiting_claims[identity]
        self._pending_commit = pending
        self._phase = _Phase.COMMITTING
        self._next_commit_time = timestamp.monotonic + self._settings.commit_interval_s
        return CommitSegment(self._transaction(pending, create=create))

    def _transaction(self, pending: PendingCommit, *, create: bool) -> Transaction:
        compares: dict[str, int] = {}
        puts: dict[str, bytes] = {}
        if self._active_number:
            active_key = self._segment_key(self._active_number)
            compares[active_key] = self._active_revision
            # Sealing rewrites the segment, so that the commit of a paused writer fails.
            puts[active_key] = pending.sealed.encode()
        if create:
            head_key = self._prefix + "head"
            compares[head_key] = self._head_revision
            compares[self._segment_key(pending.number)] = 0
            puts[head_key] = str(pending.number).encode()
        puts[self._segment_key(pending.number)] = pending.segment.encode()
        deletes = tuple(self._segment_key(number) for number in pending.expired)
        return Transaction(compares, puts, deletes)

    def _changed_records(
        self, changes: Mapping[bytes, tuple[str, ClaimState]]
    ) -> tuple[dict[bytes, ClaimRecord], dict[bytes, ClaimRecord]]:
        """Return the changed records of the active and of the sealed segments."""
        from_active: dict[bytes, ClaimRecord] = {}
        from_sealed: dict[bytes, ClaimRecord] = {}
        for key_hash, (sender, state) in changes.items():
            record = self._index.get(key_hash)
            if record is None or record.state is not ClaimState.CLAIMED:
                continue
            if Holder.parse(record.holder).instance != sender:
                continue
            changed = replace(record, state=state)
            group = from_active if key_hash in self._active.records else from_sealed
            group[key_hash] = changed
        return from_active, from_sealed

    def _select_claims(
        self,
        active: Segment,
        from_sealed: Mapping[bytes, ClaimRecord],
        *,
        new_segment: bool,
    ) -> tuple[dict[tuple[str, int], ClaimRequest], dict[bytes, ClaimRecord]]:
        """Select the waiting claims that fit; a new segment takes at least one."""
        base = Segment(0.0, 0.0) if new_segment else active
        records = dict(from_sealed)
        claims: dict[tuple[str, int], ClaimRequest] = {}
        size_bytes = base.encoded_size_with(records)
        holders = {record.holder for record in base.records.values()}
        for identity, claim in self._waiting_claims.items():
            if claim.key_hash in records:
                continue
            record = ClaimRecord(
                claim.key_hash,
                claim.body_hash,
                claim.holder,
                claim.request_id & REQUEST_ID_MASK,
                ClaimState.CLAIMED,
            )
            size_bytes += record_size(record, holders)
            if size_bytes > self._settings.segment_bytes and (
                claims or not new_segment
            ):
                break
            holders.add(claim.holder)
            records[claim.key_hash] = record
            claims[identity] = claim
        return claims, records

    def _expired_segments(self, timestamp: Timestamp) -> tuple[int, ...]:
        retention_s = self._settings.window_s + 2 * self._settings.clock_difference_s
        expired = [
            number
            for number, (latest_at, _) in sorted(self._sealed.items())
            if timestamp.unix_time > latest_at + retention_s
        ]
        return tuple(expired[:EXPIRED_SEGMENTS_PER_COMMIT])

    def _drop_segments(self, numbers: Iterable[int]) -> None:
        dropped_keys = [self._sealed.pop(number)[1] for number in numbers]
        # A record that changed after its segment was sealed is also in a later segment.
        retained_keys = set(self._active.records).union(
            *(keys for _, keys in self._sealed.values())
        )
        for key_hash in set().union(*dropped_keys) - retained_keys:
            self._index.pop(key_hash, None)

    def _segment_key(self, number: int) -> str:
        return f"{self._prefix}{number:010d}"


def record_size(record: ClaimRecord, holders: set[str]) -> int:
    """Return the size in bytes that a record adds to a segment with `holders`."""
    holder_bytes = 0 if record.holder in holders else 1 + len(record.holder.encode())
    return RECORD_BYTES + holder_bytes
