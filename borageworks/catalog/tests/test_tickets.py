"""Tests of applying tickets with races, lost replies and store failures."""

import asyncio

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.catalog import keys as keys_module
from borageworks.catalog import tickets as tickets_module
from borageworks.catalog.bucket_hash import bucket_of
from borageworks.catalog.head import Head
from borageworks.catalog.keys import CatalogKeys
from borageworks.catalog.objects import Organisation
from borageworks.catalog.stored_state import read_state
from borageworks.catalog.tests.builders import organisation, pool, ticket
from borageworks.catalog.tests.fake_store import FakeStore
from borageworks.catalog.tickets import TicketResult, apply_ticket
from borageworks.exceptions import (
    StoreOutcomeUnknownError,
    StoreReplyMalformedError,
    StoreUnavailableError,
    TicketConflictError,
    TicketInvalidError,
)
from borageworks.store.values import StoredValue

PREFIX = "catalog"


def apply(store, change):
    """Apply a ticket on a new event loop."""
    return asyncio.run(apply_ticket(store, PREFIX, change))


class ApplyTicketTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(tickets_module, "CONFLICT_BACKOFF_S", 0.0)

    def stored_tickets(self, store):
        state = asyncio.run(read_state(store, CatalogKeys(PREFIX)))
        return {item.key: item.ticket for item in state.objects()}

    def test_replay_gives_the_same_result(self):
        """Guards against a repeated ticket that is refused or applied twice."""
        store = FakeStore()
        first = apply(store, ticket(5, pool("p"), organisation("a")))
        apply(store, ticket(6, organisation("a", share=2.0)))
        again = apply(store, ticket(5, organisation("a"), pool("p")))
        self.assertEqual(TicketResult(5, first.revision, True), again)
        self.assertEqual(
            {("pool", "p"): 5, ("organisation", "a"): 6}, self.stored_tickets(store)
        )

    def test_other_content_under_a_used_number_conflicts(self):
        """Guards against two states of one object under one ticket number."""
        store = FakeStore()
        apply(store, ticket(5, organisation("a")))
        changed = ticket(5, organisation("a", share=2.0))
        error = self.assertRaises(TicketConflictError, apply, store, changed)
        self.assertIn("organisation 'a' has ticket 5", str(error))

    def test_lost_replies_are_resolved(self):
        """Guards against a ticket reported failed that took effect, or the reverse."""
        for faults in (["after"], ["before"], ["late"], ["before", "after", "late"]):
            store = FakeStore(commit_faults=list(faults))
            result = apply(store, ticket(5, organisation("a")))
            head = store.values[CatalogKeys(PREFIX).head]
            self.assertEqual(TicketResult(5, head.mod_revision, False), result)
            self.assertEqual(1, Head.decode(head.value).tickets)

    def test_store_down_after_a_lost_reply_is_not_reported_as_not_applied(self):
        """Guards against reporting a ticket as not accepted although it took effect."""

        class FailingStore(FakeStore):
            async def commit(self, transaction):
                try:
                    return await super().commit(transaction)
                finally:
                    self.down = True

        store = FailingStore(commit_faults=["after"])
        change = ticket(5, organisation("a"))
        self.assertRaises(StoreOutcomeUnknownError, apply, store, change)
        store.down = False
        self.assertTrue(apply(store, change).replayed)

    def test_resolved_loss_is_not_reported_as_unknown(self):
        """Guards against an unknown outcome if the ticket can no longer take effect."""

        class BusyStore(FakeStore):
            async def commit(self, transaction):
                if self.calls["commit"] == 1:
                    self.down = True
                try:
                    return await super().commit(transaction)
                finally:
                    # Another ticket advances the head; the lost commit can't succeed.
                    self.revision += 1
                    head = StoredValue(Head().encode(), self.revision)
                    self.values[CatalogKeys(PREFIX).head] = head

        store = BusyStore(commit_faults=["before"])
        change = ticket(5, organisation("a"))
        self.assertRaises(StoreUnavailableError, apply, store, change)

    def test_all_replies_lost_is_reported_as_unknown(self):
        """Guards against endless retries and against a wrong final error."""
        store = FakeStore(commit_faults=["before"] * 100)
        change = ticket(5, organisation("a"))
        self.assertRaises(StoreOutcomeUnknownError, apply, store, change)
        self.assertEqual(tickets_module.MAX_ATTEMPTS, store.calls["commit"])

    def test_store_down_is_reported_at_once(self):
        """Guards against useless retries while nothing can be written."""
        store = FakeStore()
        store.down = True
        change = ticket(5, organisation("a"))
        self.assertRaises(StoreUnavailableError, apply, store, change)
        self.assertEqual(1, sum(store.calls.values()))

    def test_concurrent_operators_in_one_bucket_all_succeed(self):
        """Guards against lost updates and unnecessary conflicts."""
        store = FakeStore()

        async def race():
            names = [f"o{n}" for n in range(2000)]
            names = [n for n in names if bucket_of("organisation", n) == 0][:6]
            changes = [ticket(5, organisation(name)) for name in names]
            return await asyncio.gather(
                *(apply_ticket(store, PREFIX, change) for change in changes)
            )

        results = asyncio.run(race())
        self.assertEqual(6, len({result.revision for result in results}))
        self.assertEqual(6, len(self.stored_tickets(store)))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(st.tuples(st.integers(1, 5), st.integers(1, 3)), max_size=6),
        st.lists(st.sampled_from([None, "before", "after", "late"]), max_size=6),
    )
    def test_concurrent_operators_leave_a_sequential_state(self, changes, faults):
        """Guards against a state that no sequential order of the tickets would give."""
        store = FakeStore(commit_faults=faults)

        async def race():
            return await asyncio.gather(
                *(
                    apply_ticket(
                        store, PREFIX, ticket(number, organisation("a", share=share))
                    )
                    for number, share in changes
                ),
                return_exceptions=True,
            )

        results = asyncio.run(race())
        accepted = {}
        for (number, share), result in zip(changes, results, strict=True):
            if isinstance(result, TicketResult):
                accepted[result.revision] = (number, share)
            else:
                self.assertIsInstance(result, TicketConflictError)
        ordered = [accepted[revision] for revision in sorted(accepted)]
        numbers = [number for number, _ in ordered]
        self.assertEqual(sorted(set(numbers)), numbers)
        if changes:
            state = asyncio.run(read_state(store, CatalogKeys(PREFIX)))
            (item,) = state.objects()
            assert isinstance(item.value, Organisation)
            self.assertEqual(ordered[-1], (item.ticket, item.value.share))
            self.assertEqual(max(changes)[0], item.ticket)

    def test_lost_races_end_with_a_conflict(self):
        """Guards against endless retries under a steady stream of other tickets."""

        class BusyStore(FakeStore):
            async def get(self, key):
                head = CatalogKeys(PREFIX).head
                self.revision += 1
                value = Head().encode()
                self.values[head] = StoredValue(value, self.revision)
                return await super().get(key)

        store = BusyStore()
        change = ticket(5, organisation("a"))
        error = self.assertRaises(TicketConflictError, apply, store, change)
        self.assertIn("accepted first", str(error))

    def test_oversized_bucket_is_rejected(self):
        """Guards against planning a value that the store would refuse."""
        self.patch(tickets_module, "VALUE_LIMIT_BYTES", 100)
        store = FakeStore()
        change = ticket(5, organisation("a", 1, 2, 3, 4, 5, 6))
        error = self.assertRaises(TicketInvalidError, apply, store, change)
        self.assertIn("store accepts less than 100", str(error))
        self.assertEqual(0, store.calls["commit"])

    def test_ticket_records_are_bounded(self):
        """Guards against a store that grows with every ticket."""
        self.patch(keys_module, "TICKET_RECORD_COUNT", 3)
        store = FakeStore()
        for number in range(1, 11):
            apply(store, ticket(number, organisation("a")))
        records = [key for key in store.values if key.startswith("catalog/tickets/")]
        self.assertEqual(3, len(records))
        self.assertTrue(apply(store, ticket(10, organisation("a"))).replayed)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=40) | st.just(Head().encode()[:-1]))
    def test_malformed_stored_values_are_typed_errors(self, data):
        """Guards against untyped errors if the stored configuration is corrupt."""
        for key in (CatalogKeys(PREFIX).head, CatalogKeys(PREFIX).bucket(3)):
            store = FakeStore()
            store.values[key] = StoredValue(data, 1)
            change = ticket(5, organisation("a"))
            self.assertRaises(StoreReplyMalformedError, apply, store, change)
