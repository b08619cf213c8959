"""Tests of ticket decisions, compared with a simple reference implementation."""

from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.catalog.plan import plan_ticket, ticket_digest
from borageworks.catalog.tests.builders import (
    endpoint,
    key_hash,
    organisation,
    pool,
    service,
    ticket,
)
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.catalog.view import CatalogView
from borageworks.exceptions import TicketConflictError, TicketInvalidError

NAMES = st.sampled_from(["a", "b", "c"])
VALUES = st.one_of(
    st.builds(organisation, NAMES, st.integers(1, 3)),
    st.builds(pool, NAMES),
    st.builds(service, NAMES, NAMES, NAMES) | st.builds(service, NAMES, NAMES),
    st.builds(endpoint, NAMES, NAMES, st.integers(1, 3)),
)
KINDS = st.sampled_from(["organisation", "pool", "service", "endpoint"])
TICKETS = st.builds(
    lambda number, put, delete: ticket(number, *put, delete=tuple(delete)),
    st.integers(1, 12),
    st.lists(VALUES, max_size=3),
    st.lists(st.tuples(KINDS, NAMES), max_size=1),
)


def reference(state, applied, change):
    """Return "replay", "conflict", "invalid" or the next state.

    `state` holds (ticket, JSON value or None) by (kind, id).
    """
    put = [value.model_dump(mode="json") for value in change.put]
    delete = [(item.kind, item.id) for item in change.delete]
    if (change.number, sorted(map(str, put)), sorted(delete)) in applied:
        return "replay"
    changed_keys = [(value["kind"], value["id"]) for value in put] + delete
    if any(state[key][0] >= change.number for key in changed_keys if key in state):
        return "conflict"
    if len(set(changed_keys)) != len(changed_keys) or not changed_keys:
        return "invalid"
    if any(state.get(key, (0, None))[1] is None for key in delete):
        return "invalid"
    after = dict(state)
    after.update(((v["kind"], v["id"]), (change.number, v)) for v in put)
    after.update((key, (change.number, None)) for key in delete)
    live = {key: value for key, (_, value) in after.items() if value is not None}
    keys, addresses = [], []
    for value in live.values():
        keys += value.get("keys", ())
        if "port" in value:
            addresses.append((value["host"], value["port"]))
        if "pool" in value and ("pool", value["pool"]) not in live:
            return "invalid"
        for name in value.get("organisations") or ():
            if ("organisation", name) not in live:
                return "invalid"
    if len(set(keys)) != len(keys) or len(set(addresses)) != len(addresses):
        return "invalid"
    return after


class PlanTicketTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(TICKETS, max_size=12))
    def test_agrees_with_the_reference(self, changes):
        """Guards against decisions that differ from the reference implementation."""
        state: dict[tuple[str, str], Any] = {}
        applied: list[Any] = []
        objects: dict[tuple[str, str], VersionedObject] = {}
        revisions: dict[str, int] = {}
        for revision, change in enumerate(changes, 1):
            expected = reference(state, applied, change)
            try:
                plan = plan_ticket(CatalogView(objects, revisions), change)
            except TicketConflictError:
                self.assertEqual("conflict", expected)
                continue
            except TicketInvalidError as error:
                self.assertEqual("invalid", expected, str(error))
                continue
            if plan.replayed_revision is not None:
                self.assertEqual("replay", expected)
                continue
            objects.update((item.key, item) for item in plan.changes)
            revisions[plan.digest] = revision
            state = expected
            applied.append(
                (
                    change.number,
                    sorted(str(v.model_dump(mode="json")) for v in change.put),
                    sorted((item.kind, item.id) for item in change.delete),
                )
            )
            found = {
                key: (item.ticket, item.value and item.value.model_dump(mode="json"))
                for key, item in objects.items()
            }
            self.assertEqual(expected, found)

    def test_every_reason_is_reported_at_once(self):
        """Guards against reporting only the first of several errors."""
        view = CatalogView(
            {
                ("pool", "p"): VersionedObject("pool", "p", 1, pool("p")),
                ("service", "s"): VersionedObject("service", "s", 1, service("s", "p")),
                ("organisation", "gone"): VersionedObject(
                    "organisation", "gone", 1, None
                ),
            },
            domains=("d1",),
        )
        invalid_window = endpoint("e3", "q", 8).model_copy(
            update={"window_initial": 90}
        )
        change = ticket(
            2,
            organisation("a", 1, 2),
            organisation("b", 2),
            organisation("b", 2),
            service("t", "q", "a", "nobody"),
            endpoint("e1", "q", 7),
            endpoint("e2", "q", 7, domain="d9"),
            invalid_window,
            delete=(("pool", "p"), ("organisation", "gone")),
        )
        error = self.assertRaises(TicketInvalidError, plan_ticket, view, change)
        expected = [
            "organisation 'b' occurs 2 times in the ticket",
            "organisation 'gone' cannot be deleted: it does not exist",
            "service 's' names missing pool 'p'",
            "service 't' names missing pool 'q'",
            "service 't' names missing organisation 'nobody'",
            "endpoint 'e1' names missing pool 'q'",
            "endpoint 'e2' names missing pool 'q'",
            "endpoint 'e2' names missing domain 'd9'",
            "endpoint 'e3' names missing pool 'q'",
            "endpoint 'e3' has window_initial 90 above window_max 64",
            f"API key hash {key_hash(2)} is used by organisations 'a', 'b'",
            "address 127.0.0.1 port 7 is used by endpoints 'e1', 'e2'",
        ]
        self.assertEqual(sorted(expected), sorted(error.reasons))

    def test_digest_depends_on_content_but_not_order(self):
        """Guards against a missed replay, or a different ticket treated as a replay."""
        first = ticket(1, pool("a"), pool("b"))
        self.assertEqual(
            ticket_digest(first), ticket_digest(ticket(1, *first.put[::-1]))
        )
        for other in (ticket(2, *first.put), ticket(1, pool("a"))):
            self.assertNotEqual(ticket_digest(first), ticket_digest(other))
