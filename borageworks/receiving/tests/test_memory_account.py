"""Tests of the account of what the process holds for callers and endpoints."""

from testtools import TestCase

from borageworks.receiving.memory_account import (
    LARGE_REQUEST_RATIO,
    MARGIN_RATIO,
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALLED_S,
    Holding,
    MemoryAccount,
    MemoryLimits,
    Phase,
    Shortage,
    Taken,
)

MIB = 1_048_576
LARGEST_BYTES = 4 * MIB
INTERVAL_S = 0.25
LATER = 2 * STALLED_S


class MemoryAccountTest(TestCase):
    def setUp(self):
        super().setUp()
        self.account = MemoryAccount(MemoryLimits(100 * MIB, 60 * MIB))

    def observe_until(self, now, buffered=0):
        """Observe at the usual interval, as a process does that keeps up."""
        for number in range(int(now / INTERVAL_S) + 1):
            self.account.observe(number * INTERVAL_S, INTERVAL_S)
        self.account.set_buffered(buffered)

    def upload(self, size, now=0.0, announced=True):
        """Open a request, take memory for its body and return both."""
        holding = self.account.open(now)
        taken = self.account.take_request(now, holding, size, announced=announced)
        return holding, taken

    def fill(self, size=LARGEST_BYTES, announced=True):
        """Open uploads until there is no room for one of their size."""
        holdings: list[Holding] = []
        while True:
            holding, taken = self.upload(size, announced=announced)
            if taken != Taken():
                self.account.close(holding)
                return holdings
            holdings.append(holding)

    def test_limit_on_each_size_of_machine(self):
        """Guards against a limit that one legal body or the memory exceeds."""
        for memory in (100, 160, 200, 300, 552):
            limit = MemoryLimits(memory * MIB, 62 * MIB).account_bytes
            self.assertTrue(limit * LARGE_REQUEST_RATIO > LARGEST_BYTES, memory)
            self.assertTrue(limit + 62 * MIB <= memory * MIB * (1 - MARGIN_RATIO))

    def test_connections_take_memory_of_bodies(self):
        """Guards against connections that take memory which bodies fill as well."""
        small_bytes = SMALL_BYTES // 2
        alone = len(self.fill(small_bytes))
        self.account = MemoryAccount(MemoryLimits(100 * MIB, 60 * MIB))
        self.account.set_connections(int(self.account.max_connections))
        self.assertEqual(Taken(), self.upload(LARGEST_BYTES)[1])
        beside = len(self.fill(small_bytes))
        used = self.account.held_bytes + self.account.connection_bytes
        self.assertTrue(used <= self.account.limit_bytes, used)
        self.assertTrue(0 < beside < alone, (beside, alone))

    def test_growth_that_no_rule_counts(self):
        """Guards against memory that is in use and that the account does not see."""
        self.assertTrue(self.account.crowded_bytes < 0.0)
        stalled, _ = self.upload(SMALL_BYTES)
        self.account.set_used(self.account.limit_bytes)
        self.assertTrue(self.account.crowded_bytes > 0.0)
        self.observe_until(LATER)
        self.assertEqual((stalled,), self.account.stalled(LATER))
        self.assertEqual(Shortage(), self.upload(1, now=LATER)[1])
        self.account.set_used(0.0)
        self.assertEqual(Taken(), self.upload(1, now=LATER)[1])

    def test_small_requests_beside_unfinished_large_ones(self):
        """Guards against unfinished uploads that keep ordinary requests out."""
        self.fill()
        taken = [self.upload(SMALL_BYTES)[1] for _ in range(60)]
        self.assertEqual([Taken()] * 60, taken)

    def test_stalled_uploads_give_way_and_steady_ones_do_not(self):
        """Guards against closing a client that goes on sending."""
        holdings = self.fill()
        self.observe_until(LATER)
        for steady in holdings[1:]:
            steady.record_received(LATER - STALLED_S / 2, PROGRESS_BYTES)
        _, shortage = self.upload(LARGEST_BYTES, LATER)
        self.assertEqual(Shortage((holdings[0],)), shortage)
        holdings[0].record_received(LATER, PROGRESS_BYTES)
        _, shortage = self.upload(LARGEST_BYTES, LATER)
        self.assertEqual(Shortage(), shortage)

    def test_process_that_stood_still(self):
        """Guards against closing clients whose bytes waited for this process."""
        self.fill()
        self.account.observe(0.0, INTERVAL_S)
        self.account.observe(LATER, INTERVAL_S)
        self.assertEqual(Shortage(), self.upload(LARGEST_BYTES, LATER)[1])

    def test_newest_bodies_of_unknown_length_give_way(self):
        """Guards against bodies that all stop half way, none of them complete."""
        holdings = self.fill(LARGEST_BYTES // 2, announced=False)
        more = self.account.take_request(
            0.0, holdings[0], LARGEST_BYTES // 2, announced=False
        )
        self.assertEqual(Shortage((holdings[-1],)), more)
        last = self.account.take_request(
            0.0, holdings[-1], LARGEST_BYTES // 2, announced=False
        )
        self.assertEqual(Shortage(), last)

    def test_responses_that_are_not_read_give_way(self):
        """Guards against ready responses that stay for callers that do not read."""
        holdings: list[Holding] = []
        while True:
            holding = self.account.open(0.0)
            holding.enter(0.0, Phase.RUNNING)
            if self.account.take_response(0.0, holding, MIB) != Taken():
                break
            holding.enter(0.0, Phase.SENDING)
            holdings.append(holding)
        for now in (0.0, STALLED_S):
            for item in holdings:
                unread = MIB if item is holdings[3] else 0
                self.account.record_unsent(now, item, unread)
        self.observe_until(LATER)
        self.account.record_unsent(LATER, holdings[3], MIB)
        for item in holdings[:3] + holdings[4:]:
            self.account.record_unsent(LATER, item, 0)
        shortage = self.account.take_response(LATER, holding, MIB)
        self.assertEqual(Shortage((holdings[3],)), shortage)

    def test_room_of_ending_responses_is_awaited(self):
        """Guards against one shortage that ends many unfinished responses."""
        holdings: list[Holding] = []
        while True:
            holding = self.account.open(0.0)
            holding.enter(0.0, Phase.RUNNING)
            if self.account.take_response(0.0, holding, 2 * MIB) != Taken():
                break
            holdings.append(holding)
        asking = [holding, *(self.account.open(0.0) for _ in range(5))]
        for item in asking:
            item.enter(0.0, Phase.RUNNING)
            shortage = self.account.take_response(0.0, item, MIB)
            assert isinstance(shortage, Shortage)
            for victim in shortage.victims:
                victim.ended = True
        self.assertEqual(1, sum(item.ended for item in holdings))

    def test_requests_that_hold_nothing_do_not_give_way(self):
        """Guards against closing requests whose end makes no room."""
        empty = self.account.open(0.0)
        holdings = self.fill()
        self.observe_until(LATER)
        _, shortage = self.upload(LARGEST_BYTES, LATER)
        self.assertEqual(Shortage((holdings[0],)), shortage)
        self.assertEqual(0, empty.held_bytes)

    def test_buffers_of_connections_count(self):
        """Guards against bytes in the system and the HTTP library beside bodies."""
        room = len(self.fill())
        self.account = MemoryAccount(MemoryLimits(100 * MIB, 60 * MIB))
        self.observe_until(0.0, buffered=LARGEST_BYTES)
        self.assertEqual(room - 1, len(self.fill()))

    def test_nothing_is_left_when_requests_have_ended(self):
        """Guards against memory that stays counted after requests have ended."""
        holdings = [self.upload(MIB, announced=number % 2 == 0)[0] for number in (0, 1)]
        self.assertEqual(2 * MIB, self.account.held_bytes)
        self.account.record_unsent(0.0, holdings[0], 3 * MIB)
        self.account.record_unsent(1.0, holdings[0], MIB)
        for holding in holdings:
            self.account.close(holding)
            self.account.close(holding)
        self.assertEqual((0, True), (self.account.held_bytes, self.account.is_empty))
