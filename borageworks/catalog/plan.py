"""Decides whether a ticket is accepted and what it changes; performs no I/O."""

from __future__ import annotations

import hashlib
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

import orjson

from borageworks.catalog.bucket_hash import bucket_of
from borageworks.catalog.objects import (
    CatalogObject,
    Endpoint,
    Organisation,
    Pool,
    Service,
    Ticket,
)
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.catalog.view import CatalogView
from borageworks.exceptions import TicketConflictError, TicketInvalidError

TICKET_DIGEST_BYTES = 16

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
        Store revision at which the same ticket was accepted before, or None.
    """

    number: int
    digest: str
    changes: tuple[VersionedObject, ...] = ()
    replayed_revision: int | None = None

    @property
    def changed_buckets(self) -> tuple[int, ...]:
        """Indexes of the changed buckets, in ascending order."""
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
    return hashlib.blake2b(data, digest_size=TICKET_DIGEST_BYTES).hexdigest()


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
    revision = view.accepted_revisions.get(digest)
    if revision is not None:
        return TicketPlan(ticket.number, digest, replayed_revision=revision)
    changed_keys: list[ObjectKey] = [(str(item.kind), item.id) for item in ticket.put]
    changed_keys += [(item.kind, item.id) for item in ticket.delete]
    _raise_for_conflicts(view, ticket.number, changed_keys)
    reasons = list(_ticket_errors(view, ticket, changed_keys))
    resulting_objects = {
        key: item.value for key, item in view.objects.items() if item.value is not None
    }
    for deleted in ticket.delete:
        resulting_objects.pop((deleted.kind, deleted.id), None)
    for value in ticket.put:
        resulting_objects[value.kind, value.id] = value
    reasons.extend(_configuration_errors(resulting_objects, view.domains))
    if reasons:
        raise TicketInvalidError(tuple(reasons))
    changes = [
        VersionedObject(value.kind, value.id, ticket.number, value)
        for value in ticket.put
    ]
    changes += [
        VersionedObject(item.kind, item.id, ticket.number, None)
        for item in ticket.delete
    ]
    return TicketPlan(ticket.number, digest, tuple(changes))


def _raise_for_conflicts(
    view: CatalogView, number: int, changed_keys: Iterable[ObjectKey]
) -> None:
    conflicts = [
        f"{kind} {object_id!r} has ticket {view.objects[kind, object_id].ticket}"
        for kind, object_id in dict.fromkeys(changed_keys)
        if (kind, object_id) in view.objects
        and view.objects[kind, object_id].ticket >= number
    ]
    if conflicts:
        raise TicketConflictError(
            f"ticket {number} is not above the current ticket of each object: "
            f"{'; '.join(conflicts)}"
        )


def _ticket_errors(
    view: CatalogView, ticket: Ticket, changed_keys: Collection[ObjectKey]
) -> Iterator[str]:
    if not changed_keys:
        yield "the ticket changes nothing"
    for (kind, object_id), count in Counter(changed_keys).items():
        if count > 1:
            yield f"{kind} {object_id!r} occurs {count} times in the ticket"
    for item in ticket.delete:
        state = view.objects.get((item.kind, item.id))
        if state is None or state.value is None:
            yield f"{item.kind} {item.id!r} cannot be deleted: it does not exist"


def _configuration_errors(
    objects: Mapping[ObjectKey, CatalogObject], domains: Collection[str] | None
) -> Iterator[str]:
    organisations_by_key: dict[str, list[str]] = defaultdict(list)
    endpoints_by_address: dict[tuple[str, int], list[str]] = defaultdict(list)
    for value in objects.values():
        match value:
            case Organisation():
                for key in value.keys:
                    organisations_by_key[key].append(value.id)
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
                endpoints_by_address[str(value.host), value.port].append(value.id)
                yield from _endpoint_errors(value, objects, domains)
            case Pool():
                pass
    for key, ids in organisations_by_key.items():
        if len(ids) > 1:
            yield f"API key hash {key} is used by organisations {_quoted_list(ids)}"
    for (host, port), ids in endpoints_by_address.items():
        if len(ids) > 1:
            yield f"address {host} port {port} is used by endpoints {_quoted_list(ids)}"


def _endpoint_errors(
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


def _quoted_list(identifiers: Iterable[str]) -> str:
    return ", ".join(repr(identifier) for identifier in sorted(identifiers))
