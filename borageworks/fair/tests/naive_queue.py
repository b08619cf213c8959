"""Reference implementation of the fair queue, by full scans."""

from borageworks.fair.pick import Pick


class NaiveQueue:
    """Keeps every organisation forever and searches all of them on each call."""

    def __init__(self, correction_range):
        self.range = correction_range
        self.pool_time = 0
        self.steps = 0
        self.share = {}
        self.time = {}
        self.floor = {}
        self.order = {}
        self.waiting = {}
        self.since = {}
        self.start = {}
        self.tag = {}

    def _known(self, organisation):
        self.time.setdefault(organisation, self.pool_time)
        self.floor.setdefault(organisation, self.pool_time)

    def _entries(self, organisation):
        return [key for key in self.waiting if key[1] == organisation]

    def _step(self):
        self.steps += 1
        return self.steps

    def set_demand(self, now, entry, organisation, waiting):
        if waiting <= 0:
            self.waiting.pop((entry, organisation), None)
            return
        self._known(organisation)
        if not self._entries(organisation):
            self.time[organisation] = max(self.time[organisation], self.pool_time)
            self.floor[organisation] = self.pool_time
            self.order[organisation] = self._step()
            self.tag[organisation] = 0.0
        if (entry, organisation) not in self.waiting:
            self.since[entry, organisation] = (now, self._step())
            self.start[entry, organisation] = self.tag[organisation]
        self.waiting[entry, organisation] = waiting

    def take(self):
        organisations = {organisation for _, organisation in self.waiting}
        if not organisations:
            return None
        organisation = min(
            organisations, key=lambda name: (self.time[name], self.order[name])
        )
        self.pool_time = max(self.pool_time, self.time[organisation])

        def tag(key):
            return self.start[key] + 1 / self.waiting[key]

        key = min(self._entries(organisation), key=lambda k: (tag(k), self.since[k]))
        self.tag[organisation] = self.start[key] = tag(key)
        self.waiting[key] -= 1
        if not self.waiting[key]:
            del self.waiting[key]
        self.order[organisation] = self._step()
        return Pick(key[0], organisation)

    def charge(self, organisation, units):
        self._known(organisation)
        before = self.time[organisation]
        moved = before + units / self.share.get(organisation, 1)
        # A refund never goes below the level at re-entry.
        if moved < before:
            moved = max(moved, min(before, self.floor[organisation]))
        self.time[organisation] = moved

    def correct(self, organisation, delta):
        self._known(organisation)
        before = self.time[organisation]
        low, high = self.pool_time - self.range, self.pool_time + self.range
        after = before + delta
        # Only the part of a correction that leads out of the range is left out.
        if delta > 0 and after > high:
            after = max(before, high)
        if delta < 0 and after < low:
            after = min(before, low)
        self.time[organisation] = after
        self.floor[organisation] += after - before

    def drop_entry(self, entry):
        for key in [key for key in self.waiting if key[0] == entry]:
            del self.waiting[key]

    def backlogged(self):
        return {organisation for _, organisation in self.waiting}

    def virtual_time(self, organisation):
        time = self.time.get(organisation, self.pool_time)
        if self._entries(organisation):
            return time
        return max(time, self.pool_time)
