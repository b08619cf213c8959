"""Reference implementation of the fair queue that scans all organisations."""

from borageworks.fair.selection import Selection


class NaiveQueue:
    """Never evicts an organisation and scans all of them on each call."""

    def __init__(self, correction_range):
        self.correction_range = correction_range
        self.pool_virtual_time = 0
        self.sequence = 0
        self.share = {}
        self.time = {}
        self.refund_floor = {}
        self.order = {}
        self.waiting = {}
        self.waiting_since = {}
        self.start_tag = {}
        self.tag = {}

    def _ensure_state(self, organisation):
        self.time.setdefault(organisation, self.pool_virtual_time)
        self.refund_floor.setdefault(organisation, self.pool_virtual_time)

    def _entries(self, organisation):
        return [key for key in self.waiting if key[1] == organisation]

    def _next_sequence(self):
        self.sequence += 1
        return self.sequence

    def set_demand(self, now, entry, organisation, waiting):
        if waiting <= 0:
            self.waiting.pop((entry, organisation), None)
            return
        self._ensure_state(organisation)
        if not self._entries(organisation):
            self.time[organisation] = max(
                self.time[organisation], self.pool_virtual_time
            )
            self.refund_floor[organisation] = self.pool_virtual_time
            self.order[organisation] = self._next_sequence()
            self.tag[organisation] = 0.0
        if (entry, organisation) not in self.waiting:
            self.waiting_since[entry, organisation] = (now, self._next_sequence())
            self.start_tag[entry, organisation] = self.tag[organisation]
        self.waiting[entry, organisation] = waiting

    def take(self):
        organisations = {organisation for _, organisation in self.waiting}
        if not organisations:
            return None
        organisation = min(
            organisations, key=lambda name: (self.time[name], self.order[name])
        )
        self.pool_virtual_time = max(self.pool_virtual_time, self.time[organisation])

        def tag(key):
            return self.start_tag[key] + 1 / self.waiting[key]

        key = min(
            self._entries(organisation), key=lambda k: (tag(k), self.waiting_since[k])
        )
        self.tag[organisation] = self.start_tag[key] = tag(key)
        self.waiting[key] -= 1
        if not self.waiting[key]:
            del self.waiting[key]
        self.order[organisation] = self._next_sequence()
        return Selection(key[0], organisation)

    def charge(self, organisation, units):
        self._ensure_state(organisation)
        before = self.time[organisation]
        after = before + units / self.share.get(organisation, 1)
        # A refund does not go below the virtual time at re-entry.
        if after < before:
            after = max(after, min(before, self.refund_floor[organisation]))
        self.time[organisation] = after

    def correct(self, organisation, delta):
        self._ensure_state(organisation)
        before = self.time[organisation]
        min_time, max_time = (
            self.pool_virtual_time - self.correction_range,
            self.pool_virtual_time + self.correction_range,
        )
        after = before + delta
        # A correction stops at the limit of the range.
        if delta > 0 and after > max_time:
            after = max(before, max_time)
        if delta < 0 and after < min_time:
            after = min(before, min_time)
        self.time[organisation] = after
        self.refund_floor[organisation] += after - before

    def remove_entry(self, entry):
        for key in [key for key in self.waiting if key[0] == entry]:
            del self.waiting[key]

    def backlogged(self):
        return {organisation for _, organisation in self.waiting}

    def virtual_time(self, organisation):
        time = self.time.get(organisation, self.pool_virtual_time)
        if self._entries(organisation):
            return time
        return max(time, self.pool_virtual_time)
