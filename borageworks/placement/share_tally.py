"""What organisations requested from placement, got and were owed."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from borageworks.fair.max_min import max_min_level
from borageworks.placement.decisions import RefusalReason

# Further organisations are summed up, so that the size of a report does not grow with
# the deployment.
MAX_NAMED_ORGANISATIONS = 16
# Those of them that are named as they request most. Of these most is refused although
# they miss little of what they are owed.
MAX_NAMED_FLOODS = 6


@dataclass(slots=True)
class OrganisationAmounts:
    """Amounts of one organisation, in tokens of its requests or in plain requests.

    Parameters
    ----------
    requested, placed
        Requested, and placed on an endpoint.
    refused_on_arrival, refused_after_wait
        Refused at submission, and after waiting for an endpoint.
    refused_below_share
        Part of the refused amount that was refused while the organisation was not
        ahead of its share.
    """

    requested: float = 0.0
    placed: float = 0.0
    refused_on_arrival: float = 0.0
    refused_after_wait: float = 0.0
    refused_below_share: float = 0.0

    def add(self, other: OrganisationAmounts) -> None:
        """Add the amounts of another organisation."""
        self.requested += other.requested
        self.placed += other.placed
        self.refused_on_arrival += other.refused_on_arrival
        self.refused_after_wait += other.refused_after_wait
        self.refused_below_share += other.refused_below_share


@dataclass(frozen=True, slots=True)
class ShareReport:
    """Amounts of all organisations since the last report.

    Parameters
    ----------
    even_share
        Amount that each organisation was owed at most: the max-min level of what was
        requested over what was placed. Infinite if all was placed.
    organisations
        Amounts by organisation, those that missed most of what they were owed first.
        Among them are those that requested most.
    others, others_count
        Amounts of further organisations, and their number.
    best_served
        Amount of the organisation that got most.
    """

    even_share: float
    organisations: dict[str, OrganisationAmounts]
    others: OrganisationAmounts
    others_count: int
    best_served: float = 0.0

    def owed(self, amounts: OrganisationAmounts) -> float:
        """Return what an organisation was owed: its request up to the even share."""
        return min(amounts.requested, self.even_share)


@dataclass(slots=True)
class ShareTally:
    """Counts what organisations requested, got and were refused by one dispatcher."""

    _amounts: dict[str, OrganisationAmounts] = field(default_factory=dict)

    def record_requested(self, organisation: str, amount: float) -> None:
        """Add an amount that an organisation requested."""
        self._of(organisation).requested += amount

    def record_placed(self, organisation: str, amount: float) -> None:
        """Add an amount that was placed on an endpoint."""
        self._of(organisation).placed += amount

    def record_refused(
        self,
        organisation: str,
        amount: float,
        reason: RefusalReason,
        *,
        below_share: bool,
    ) -> None:
        """Add an amount that was refused.

        Parameters
        ----------
        organisation, amount
            Organisation and amount.
        reason
            Reason of the refusal.
        below_share
            Whether the organisation was not ahead of its share.
        """
        amounts = self._of(organisation)
        if reason is RefusalReason.WAIT_TIMEOUT:
            amounts.refused_after_wait += amount
        else:
            amounts.refused_on_arrival += amount
        if below_share:
            amounts.refused_below_share += amount

    def report(self) -> ShareReport:
        """Return the amounts since the last report and reset them."""
        amounts, self._amounts = self._amounts, {}
        even_share = max_min_level(
            (item.requested for item in amounts.values()),
            sum(item.placed for item in amounts.values()),
        )

        def missed(name: str) -> float:
            item = amounts[name]
            owed = min(item.requested, even_share)
            return max(owed - item.placed, 0.0) / owed if owed else 0.0

        largest = heapq.nlargest(
            MAX_NAMED_FLOODS, amounts, key=lambda name: amounts[name].requested
        )
        ranked = sorted(amounts, key=lambda name: (-missed(name), name))
        candidates = dict.fromkeys((*largest, *ranked))
        named = set(itertools.islice(candidates, MAX_NAMED_ORGANISATIONS))
        others = OrganisationAmounts()
        for name in amounts.keys() - named:
            others.add(amounts[name])
        return ShareReport(
            even_share,
            {name: amounts[name] for name in ranked if name in named},
            others,
            len(amounts) - len(named),
            max((item.placed for item in amounts.values()), default=0.0),
        )

    def _of(self, organisation: str) -> OrganisationAmounts:
        amounts = self._amounts.get(organisation)
        if amounts is None:
            amounts = self._amounts[organisation] = OrganisationAmounts()
        return amounts
