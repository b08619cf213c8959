"""Reference implementation of the service ledger that keeps every counter."""


class NaiveLedger:
    """Maximum value of each counter, without folding."""

    def __init__(self):
        self.units = {}

    def merge(self, owner, incarnation, organisation, units):
        key = (owner, incarnation, organisation)
        self.units[key] = max(units, self.units.get(key, 0.0))

    def totals(self):
        totals: dict[str, float] = {}
        for (_, _, organisation), units in self.units.items():
            if units:
                totals[organisation] = totals.get(organisation, 0.0) + units
        return totals
