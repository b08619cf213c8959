"""State machine of one claim shard at one of its possible writers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from enum import Enum, auto

from borageworks.claims.actions import (
    Action,
    Answer,
    ClaimRequest,
    CommitSegment,
    LoadSegments,
)
from borageworks.claims.content import ShardContent, remember
from borageworks.claims.flight import Flight
from borageworks.claims.holder import Holder
from borageworks.claims.moment import Moment
from borageworks.claims.record import ClaimRecord
from borageworks.claims.segment import RECORD_BYTES, REQUEST_MASK, Segment
from borageworks.config.settings import ClaimSettings
from borageworks.store.values import Transaction
from borageworks.wire.messages import ClaimOutcome, ClaimState

# A state change alone waits this long for a claim to share its commit with.
FINISH_DELAY_S = 1.0
# While the store fails, claims are answered at once for this long after a failure, so
# the store gets at most two calls a second from each shard.
RETRY_DELAY_S = 0.5
CHANGES_MAX = 4096
# The store allows 128 operations in one transaction.
EXPIRED_PER_COMMIT = 64


class _Phase(Enum):
    EMPTY = auto()
    LOADING = auto()
    READY = auto()
    COMMITTING = auto()


class ClaimShard:
    """Group commit of the claims of one shard into journal segments.

    Any instance may act as the writer at any time; a commit succeeds only if the
    active segment is still the one that this writer has loaded. `head` names the
    active segment and is never deleted, so a writer that saw an empty shard and was
    paused cannot create its first segment again.

    A record is never removed on its own. A state other than `CLAIMED` is final, so a
    released key cannot be claimed again within the window.

    Parameters
    ----------
    number
        Shard number.
    settings
        Claim settings, the same on all instances.
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
        self._waiting: dict[tuple[str, int], ClaimRequest] = {}
        self._changes: dict[bytes, tuple[str, ClaimState]] = {}
        self._changes_since = 0.0
        self._flight: Flight | None = None
        self._next_commit = float("-inf")
        self._failing_until = float("-inf")

    @property
    def idle(self) -> bool:
        """Whether nothing waits, so that the shard may be dropped."""
        busy = self._phase in {_Phase.LOADING, _Phase.COMMITTING}
        return not (busy or self._waiting or self._changes)

    @property
    def due(self) -> float | None:
        """Monotonic time at which `tick` has something to do, None if never."""
        if self._phase in {_Phase.LOADING, _Phase.COMMITTING}:
            return None
        if self._waiting:
            return self._next_commit
        if self._changes:
            return max(
                self._changes_since + FINISH_DELAY_S,
                self._next_commit,
                self._failing_until,
            )
        return None

    @property
    def records(self) -> int:
        """Number of claims in memory."""
        return len(self._index)

    def request(self, moment: Moment, claim: ClaimRequest) -> list[Action]:
        """Record a claim; repeating it is harmless."""
        identity = (claim.holder, claim.request_id)
        in_flight = self._flight is not None and identity in self._flight.claims
        if identity in self._waiting or in_flight:
            return []
        if moment.now < self._failing_until:
            # A loaded record stays true during an outage of the store.
            loaded = self._phase is _Phase.READY
            known = self._known(moment, claim) if loaded else None
            return [known or Answer(claim, ClaimOutcome.UNAVAILABLE)]
        self._waiting[identity] = claim
        return self._advance(moment)

    def finish(
        self, moment: Moment, sender: str, key_hash: bytes, state: ClaimState
    ) -> list[Action]:
        """Set the final state of a claim whose holder is an instance `sender`."""
        if not self._changes:
            self._changes_since = moment.now
        self._changes.setdefault(key_hash, (sender, state))
        while len(self._changes) > CHANGES_MAX:
            # The record stays CLAIMED, which is answered as unknown at worst.
            del self._changes[next(iter(self._changes))]
        return self._advance(moment)

    def tick(self, moment: Moment) -> list[Action]:
        """Continue with what `due` announced."""
        return self._advance(moment)

    def loaded(self, moment: Moment, content: ShardContent) -> list[Action]:
        """Take the stored content of the shard, and own it from then on."""
        self._sealed = content.sealed
        self._index = content.index
        self._head_revision = content.head_revision
        self._active_number = content.active_number
        self._active_revision = content.active_revision
        self._active = content.active
        self._phase = _Phase.READY
        self._failing_until = float("-inf")
        return self._advance(moment)

    def committed(self, moment: Moment, revision: int) -> list[Action]:
        """Take the success of the commit in flight."""
        flight = self._land()
        if flight.number != self._active_number:
            if self._active_number:
                self._sealed[self._active_number] = (
                    flight.sealed.latest,
                    tuple(flight.sealed.records),
                )
            self._head_revision = revision
            self._active_number = flight.number
        self._active = flight.segment
        self._active_revision = revision
        if flight.expired:
            self._forget(flight.expired)
        for record in flight.records:
            remember(self._index, record)
        self._phase = _Phase.READY
        actions: list[Action] = [
            Answer(claim, ClaimOutcome.CLAIMED, claim.holder)
            for claim in flight.claims.values()
        ]
        return actions + self._advance(moment)

    def conflicted(self, moment: Moment) -> list[Action]:
        """Take that another writer changed the shard; nothing was applied."""
        return self._reload(moment)

    def unknown(self, moment: Moment) -> list[Action]:
        """Take that the commit in flight may have been or may yet be applied.

        The segments are read back before anything else. If the commit is applied even
        later, the next commit conflicts with it.
        """
        return self._reload(moment)

    def unavailable(self, moment: Moment) -> list[Action]:
        """Take that a load or the commit in flight certainly failed."""
        if self._phase is _Phase.COMMITTING:
            self._restore(self._land())
            self._phase = _Phase.READY
        else:
            self._phase = _Phase.EMPTY
        self._failing_until = moment.now + RETRY_DELAY_S
        refused = list(self._waiting.values())
        self._waiting.clear()
        return [Answer(claim, ClaimOutcome.UNAVAILABLE) for claim in refused]

    def _land(self) -> Flight:
        flight = self._flight
        if self._phase is not _Phase.COMMITTING or flight is None:
            raise RuntimeError("no commit is in flight")
        self._flight = None
        return flight

    def _restore(self, flight: Flight) -> None:
        self._waiting = {**flight.claims, **self._waiting}
        self._changes = {**flight.changes, **self._changes}

    def _reload(self, moment: Moment) -> list[Action]:
        self._restore(self._land())
        self._phase = _Phase.EMPTY
        return self._advance(moment)

    def _advance(self, moment: Moment) -> list[Action]:
        if self._phase in {_Phase.LOADING, _Phase.COMMITTING}:
            return []
        actions: list[Action] = self._drop_late(moment)
        if self._phase is _Phase.EMPTY:
            if self._waiting or self._changes_due(moment):
                self._phase = _Phase.LOADING
                actions.append(LoadSegments(self._prefix))
            return actions
        actions += self._answer_known(moment)
        commit_due = moment.now >= self._next_commit
        if commit_due and (self._waiting or self._changes_due(moment)):
            commit = self._commit(moment)
            if commit is not None:
                actions.append(commit)
        return actions

    def _changes_due(self, moment: Moment) -> bool:
        return (
            bool(self._changes)
            and moment.now >= self._changes_since + FINISH_DELAY_S
            and moment.now >= self._failing_until
        )

    def _drop_late(self, moment: Moment) -> list[Action]:
        late = [
            identity
            for identity, claim in self._waiting.items()
            if moment.now >= claim.deadline
        ]
        return [
            Answer(self._waiting.pop(identity), ClaimOutcome.UNAVAILABLE)
            for identity in late
        ]

    def _answer_known(self, moment: Moment) -> list[Action]:
        answers: list[Action] = []
        for identity, claim in list(self._waiting.items()):
            answer = self._known(moment, claim)
            if answer is not None:
                del self._waiting[identity]
                answers.append(answer)
        return answers

    def _known(self, moment: Moment, claim: ClaimRequest) -> Answer | None:
        record = self._index.get(claim.key_hash)
        if record is None:
            # The holder checked the key by its own clock and more strictly; these
            # bounds only keep a delayed claim from outliving the expiry of a record.
            oldest = moment.wall - self._settings.window_s
            newest = moment.wall + 2 * self._settings.clock_difference_s
            if oldest <= claim.issued <= newest:
                return None
            return Answer(claim, ClaimOutcome.EXPIRED)
        if record.body_hash != claim.body_hash:
            return Answer(
                claim, ClaimOutcome.BODY_MISMATCH, record.holder, record.state
            )
        own = (record.holder, record.request) == (
            claim.holder,
            claim.request_id & REQUEST_MASK,
        )
        if own and record.state is ClaimState.CLAIMED:
            return Answer(claim, ClaimOutcome.CLAIMED, record.holder)
        return Answer(claim, ClaimOutcome.DUPLICATE, record.holder, record.state)

    def _commit(self, moment: Moment) -> CommitSegment | None:
        changes, self._changes = self._changes, {}
        current, moved = self._changed_records(changes)
        active = self._active.with_records(current, self._active.latest)
        age = moment.wall - active.created
        grows = bool(self._waiting or moved)
        full = grows and age >= self._settings.segment_age_s and bool(active.records)
        claims, records = self._batch(active, moved, full=full)
        if not claims and not full and self._waiting:
            full = True
            claims, records = self._batch(active, moved, full=True)
        if not records and not current:
            return None
        latest = max([moment.wall, *(claim.issued for claim in claims.values())])
        create = full or self._active_number == 0
        number = self._active_number + create
        if create:
            sealed = replace(active, sealed=True)
            segment = Segment(moment.wall, latest, records)
        else:
            sealed = active
            segment = active.with_records(records, latest)
        flight = Flight(
            claims,
            changes,
            (*current.values(), *records.values()),
            number,
            segment,
            sealed,
            self._expired(moment),
        )
        for identity in claims:
            del self._waiting[identity]
        self._flight = flight
        self._phase = _Phase.COMMITTING
        self._next_commit = moment.now + self._settings.commit_interval_s
        return CommitSegment(self._transaction(flight, create=create))

    def _transaction(self, flight: Flight, *, create: bool) -> Transaction:
        compares: dict[str, int] = {}
        puts: dict[str, bytes] = {}
        if self._active_number:
            active = self._key(self._active_number)
            compares[active] = self._active_revision
            # Sealing rewrites the segment, so that a paused writer's commit fails.
            puts[active] = flight.sealed.encode()
        if create:
            head = self._prefix + "head"
            compares[head] = self._head_revision
            compares[self._key(flight.number)] = 0
            puts[head] = str(flight.number).encode()
        puts[self._key(flight.number)] = flight.segment.encode()
        deletes = tuple(self._key(number) for number in flight.expired)
        return Transaction(compares, puts, deletes)

    def _changed_records(
        self, changes: Mapping[bytes, tuple[str, ClaimState]]
    ) -> tuple[dict[bytes, ClaimRecord], dict[bytes, ClaimRecord]]:
        """Return changed records of the active segment, and of sealed ones."""
        current: dict[bytes, ClaimRecord] = {}
        moved: dict[bytes, ClaimRecord] = {}
        for key_hash, (sender, state) in changes.items():
            record = self._index.get(key_hash)
            if record is None or record.state is not ClaimState.CLAIMED:
                continue
            if Holder.parse(record.holder).instance != sender:
                continue
            changed = replace(record, state=state)
            target = current if key_hash in self._active.records else moved
            target[key_hash] = changed
        return current, moved

    def _batch(
        self, active: Segment, moved: Mapping[bytes, ClaimRecord], *, full: bool
    ) -> tuple[dict[tuple[str, int], ClaimRequest], dict[bytes, ClaimRecord]]:
        """Choose the claims that fit; at least one does in a new segment."""
        base = Segment(0.0, 0.0) if full else active
        records = dict(moved)
        claims: dict[tuple[str, int], ClaimRequest] = {}
        size = base.size_with(records)
        holders = {record.holder for record in base.records.values()}
        for identity, claim in self._waiting.items():
            if claim.key_hash in records:
                continue
            record = ClaimRecord(
                claim.key_hash,
                claim.body_hash,
                claim.holder,
                claim.request_id & REQUEST_MASK,
                ClaimState.CLAIMED,
            )
            size += record_size(record, holders)
            if size > self._settings.segment_bytes and (claims or not full):
                break
            holders.add(claim.holder)
            records[claim.key_hash] = record
            claims[identity] = claim
        return claims, records

    def _expired(self, moment: Moment) -> tuple[int, ...]:
        kept = self._settings.window_s + 2 * self._settings.clock_difference_s
        expired = [
            number
            for number, (latest, _) in sorted(self._sealed.items())
            if moment.wall > latest + kept
        ]
        return tuple(expired[:EXPIRED_PER_COMMIT])

    def _forget(self, numbers: Iterable[int]) -> None:
        dropped = [self._sealed.pop(number)[1] for number in numbers]
        # A later segment repeats a record whose state changed after it was sealed.
        kept = set(self._active.records).union(
            *(keys for _, keys in self._sealed.values())
        )
        for key_hash in set().union(*dropped) - kept:
            self._index.pop(key_hash, None)

    def _key(self, number: int) -> str:
        return f"{self._prefix}{number:010d}"


def record_size(record: ClaimRecord, holders: set[str]) -> int:
    """Return the bytes that a record adds to a segment with `holders`."""
    name = 0 if record.holder in holders else 1 + len(record.holder.encode())
    return RECORD_BYTES + name
