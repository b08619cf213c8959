"""Applies tickets to the platform store by compare-and-swap."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Collection
from dataclasses import dataclass

import orjson

from borageworks.catalog.bucket import Bucket
from borageworks.catalog.bucket_hash import bucket_of
from borageworks.catalog.keys import CatalogKeys
from borageworks.catalog.objects import Ticket
from borageworks.catalog.plan import TicketPlan, plan_ticket, ticket_digest
from borageworks.catalog.stored_state import StoredState, read_state
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.catalog.view import CatalogView
from borageworks.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TicketConflictError,
    TicketInvalidError,
)
from borageworks.store.store import Store
from borageworks.store.values import Transaction

# Of the tickets that compete for one head revision, one is accepted per attempt. So
# this many operators can apply tickets at once before one of them gets a conflict.
MAX_ATTEMPTS = 16
CONFLICT_BACKOFF_S = 0.05

# Largest value that the platform store accepts.
VALUE_LIMIT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class TicketResult:
    """An accepted ticket.

    Parameters
    ----------
    number
        Number of the ticket.
    revision
        Store revision from which it is in effect.
    replayed
        Whether it had been accepted before this call.
    """

    number: int
    revision: int
    replayed: bool


async def apply_ticket(
    store: Store,
    prefix: str,
    ticket: Ticket,
    *,
    domains: Collection[str] | None = None,
) -> TicketResult:
    """Apply a ticket, or return its earlier result if it was accepted before.

    Parameters
    ----------
    store
        Platform store.
    prefix
        Prefix of the configuration's keys, `borageworks.catalog.keys.CATALOG_PREFIX`.
    ticket
        Change to apply.
    domains
        Failure domains that endpoints may name, or None to accept any.

    Raises
    ------
    TicketInvalidError
        With every reason why the resulting configuration would be invalid.
    TicketConflictError
        If an object has the ticket's number or a higher one, or if other tickets were
        accepted first in each of `MAX_ATTEMPTS` attempts.
    StoreUnavailableError
        If the store did not reply; the ticket was not accepted.
    StoreOutcomeUnknownError
        If a reply was lost and the outcome could not be read afterwards; applying the
        same ticket again determines it.
    """
    keys = CatalogKeys(prefix)
    digest = ticket_digest(ticket)
    state: StoredState | None = None
    # Error of a commit that may still take effect, and the head revision it compares.
    unknown_outcome: StoreOutcomeUnknownError | None = None
    unknown_outcome_head = 0
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await asyncio.sleep(random.uniform(0, CONFLICT_BACKOFF_S * attempt))
        try:
            state = await read_state(store, keys, state)
            # Read after the state, so that a ticket accepted in between is seen as
            # accepted and not as a conflict with its own objects.
            record = await store.get(keys.ticket_record(digest))
            if record is None and state.head_revision != unknown_outcome_head:
                unknown_outcome = None
            plan = plan_ticket(
                CatalogView(
                    {item.key: item for item in state.objects()},
                    {} if record is None else {digest: record.mod_revision},
                    domains,
                ),
                ticket,
            )
            if plan.replayed_revision is not None:
                return TicketResult(
                    ticket.number, plan.replayed_revision, unknown_outcome is None
                )
            transaction = await _build_transaction(store, keys, state, plan)
            result = await store.commit(transaction)
        except StoreOutcomeUnknownError as error:
            # A delayed commit and its retry compare the same head revision, so at most
            # one of them succeeds.
            unknown_outcome = error
            if state is not None:
                unknown_outcome_head = state.head_revision
            continue
        except StoreUnavailableError as error:
            if unknown_outcome is not None:
                raise StoreOutcomeUnknownError(
                    f"ticket {ticket.number}: the outcome could not be read: {error}"
                ) from error
            raise
        if result.succeeded:
            return TicketResult(ticket.number, result.revision, False)
    if unknown_outcome is not None:
        raise StoreOutcomeUnknownError(
            f"ticket {ticket.number}: no reply in {MAX_ATTEMPTS} attempts: "
            f"{unknown_outcome}"
        )
    raise TicketConflictError(
        f"ticket {ticket.number}: other tickets were accepted first in each of "
        f"{MAX_ATTEMPTS} attempts; apply it again"
    )


async def _build_transaction(
    store: Store, keys: CatalogKeys, state: StoredState, plan: TicketPlan
) -> Transaction:
    changed_buckets = plan.changed_buckets
    head = state.head.advance(state.head_revision, changed_buckets)
    slot_key = keys.ticket_record_slot(head.tickets)
    # Slots change only together with the head, so comparing the head protects them.
    slot = await store.get(slot_key)
    compares = {keys.head: state.head_revision}
    puts = {
        keys.head: head.encode(),
        keys.ticket_record(plan.digest): orjson.dumps(
            {"number": plan.number, "digest": plan.digest, "tickets": head.tickets}
        ),
        slot_key: plan.digest.encode(),
    }
    reasons = []
    for index in changed_buckets:
        bucket = state.buckets[index]
        compares[keys.bucket(index)] = bucket.mod_revision
        objects = _merge_changes(bucket.objects, plan, index)
        value = Bucket(head.tickets, objects).encode()
        puts[keys.bucket(index)] = value
        if len(value) >= VALUE_LIMIT_BYTES:
            reasons.append(
                f"bucket {index} would have {len(value)} bytes, and the store accepts "
                f"less than {VALUE_LIMIT_BYTES}"
            )
    if reasons:
        raise TicketInvalidError(tuple(reasons))
    deletes = () if slot is None else (keys.ticket_record(slot.value.decode()),)
    return Transaction(compares, puts, deletes)


def _merge_changes(
    objects: tuple[VersionedObject, ...], plan: TicketPlan, index: int
) -> tuple[VersionedObject, ...]:
    merged = {item.key: item for item in objects}
    merged.update(
        (item.key, item)
        for item in plan.changes
        if bucket_of(item.kind, item.id) == index
    )
    return tuple(merged[key] for key in sorted(merged))
