"""Decides whether a ticket is accepted and what it changes; pure."""

from __future__ import annotations

import hashlib
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

import orjson

from borageworks.catalog.buckets import bucket_of
from borageworks.catalog.objects import (
    CatalogObject,
    Endpoint,
    Organisation,
    Pool,
    Service,
    Ticket,
)
from borageworks.catalog.versioned import Versioned
from borageworks.catalog.view import CatalogView
from borageworks.exceptions import TicketConflictError, TicketInvalidError

DIGEST_BYTES = 16

ObjectKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class TicketPlan:
    """Effect of a ticket.

    Parameters
    ----------
    number, digest
        Identity of the ticket.
    changes
        New state of each object, empty for a replay.
    replayed_revision
        Store revision that the same ticket had when it was accepted before, or None.
    """

    number: int
    digest: str
    changes: tuple[Versioned, ...] = ()
    replayed_revision: int | None = None

    @property
    def touched_buckets(self) -> tuple[int, ...]:
        """Indexes of the buckets that change, in order."""
        return tuple(sorted({bucket_of(item.kind, item.id) for item in self.changes}))


def ticket_digest(ticket: Ticket) -> str:
    """Return a hash of a ticket's content, independent of the order of its objects."""
    content = {
        "number": ticket.number,
        "put": sorted(
            (item.model_dump(mode="json") for item in ticket.put),
            key=lambda item: (item["kind"], item["id"]),
        ),
        "delete": sorted((item.kind, item.id) for item in ticket.delete),
    }
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def plan_ticket(view: CatalogView, ticket: Ticket) -> TicketPlan:
    """Return what a ticket changes, or that it was accepted before.

    Raises
    ------
    TicketConflictError
        If an object already has the ticket's number or a higher one.
    TicketInvalidError
        With every reason why the resulting configuration would be invalid.
    """
    digest = ticket_digest(ticket)
    revision = view.applied.get(digest)
    if revision is not None:
        return TicketPlan(ticket.number, digest, replayed_revision=revision)
    touched: list[ObjectKey] = [(str(item.kind), item.id) for item in ticket.put]
    touched += [(item.kind, item.id) for item in ticket.delete]
    _refuse_conflicts(view, ticket.number, touched)
    reasons = list(_ticket_faults(view, ticket, touched))
    result = {
        key: item.value for key, item in view.objects.items() if item.value is not None
    }
    for deleted in ticket.delete:
        result.pop((deleted.kind, deleted.id), None)
    for value in ticket.put:
        result[value.kind, value.id] = value
    reasons.extend(_state_faults(result, view.domains))
    if reasons:
        raise TicketInvalidError(tuple(reasons))
    changes = [
        Versioned(value.kind, value.id, ticket.number, value) for value in ticket.put
    ]
    changes += [
        Versioned(item.kind, item.id, ticket.number, None) for item in ticket.delete
    ]
    return TicketPlan(ticket.number, digest, tuple(changes))


def _refuse_conflicts(
    view: CatalogView, number: int, touched: Iterable[ObjectKey]
) -> None:
    conflicts = [
        f"{kind} {object_id!r} has ticket {view.objects[kind, object_id].ticket}"
        for kind, object_id in dict.fromkeys(touched)
        if (kind, object_id) in view.objects
        and view.objects[kind, object_id].ticket >= number
    ]
    if conflicts:
        raise TicketConflictError(
            f"ticket {number} is not above the last one: {'; '.join(conflicts)}"
        )


def _ticket_faults(
    view: CatalogView, ticket: Ticket, touched: Collection[ObjectKey]
) -> Iterator[str]:
    if not touched:
        yield "the ticket changes nothing"
    for (kind, object_id), count in Counter(touched).items():
        if count > 1:
            yield f"{kind} {object_id!r} occurs {count} times in the ticket"
    for item in ticket.delete:
        state = view.objects.get((item.kind, item.id))
        if state is None or state.value is None:
            yield f"{item.kind} {item.id!r} is to be deleted and does not exist"


def _state_faults(
    objects: Mapping[ObjectKey, CatalogObject], domains: Collection[str] | None
) -> Iterator[str]:
    key_holders: dict[str, list[str]] = defaultdict(list)
    address_holders: dict[tuple[str, int], list[str]] = defaultdict(list)
    for value in objects.values():
        match value:
            case Organisation():
                for key in value.keys:
                    key_holders[key].append(value.id)
            case Service():
                if ("pool", value.pool) not in objects:
                    yield f"service {value.id!r} names missing pool {value.pool!r}"
                for organisation in dict.fromkeys(value.organisations or ()):
                    if ("organisation", organisation) not in objects:
                        yield (
                            f"service {value.id!r} names missing organisation "
                            f"{organisation!r}"
                        )
            case Endpoint():
                address_holders[str(value.host), value.port].append(value.id)
                yield from _endpoint_faults(value, objects, domains)
            case Pool():
                pass
    for key, holders in key_holders.items():
        if len(holders) > 1:
            yield f"API key hash {key} is used by organisations {_names(holders)}"
    for (host, port), holders in address_holders.items():
        if len(holders) > 1:
            yield f"address {host} port {port} is used by endpoints {_names(holders)}"


def _endpoint_faults(
    endpoint: Endpoint,
    objects: Mapping[ObjectKey, CatalogObject],
    domains: Collection[str] | None,
) -> Iterator[str]:
    if ("pool", endpoint.pool) not in objects:
        yield f"endpoint {endpoint.id!r} names missing pool {endpoint.pool!r}"
    if domains is not None and endpoint.domain not in domains:
        yield f"endpoint {endpoint.id!r} names missing domain {endpoint.domain!r}"
    if endpoint.window_initial > endpoint.window_max:
        yield (
            f"endpoint {endpoint.id!r} has window_initial {endpoint.window_initial} "
            f"above window_max {endpoint.window_max}"
        )


def _names(identifiers: Iterable[str]) -> str:
    return ", ".join(repr(identifier) for identifier in sorted(identifiers))
