"""What organisations requested from placement, got and were owed."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field, fields

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

    What is requested or comes back is placed, refused, withdrawn, or waits: `requested`
    and `returned` add up to `placed`, `refused_on_arrival`, `refused_after_wait`,
    `withdrawn` and `waiting`.

    Parameters
    ----------
    requested, placed
        Requested, and placed on an endpoint.
    refused_on_arrival, refused_after_wait
        Refused at submission, and after waiting for an endpoint.
    refused_below_share
        Part of the refused amount that was refused while the organisation was not
        ahead of its share.
    withdrawn
        Withdrawn by callers or lost with their instance while it waited.
    waiting
        Change of what waits for an endpoint.
    returned
        Submitted again after a refusal or an attempt that did not begin, and not
        counted as requested once more.
    not_begun
        Placed, in this or an earlier report, and ended before its endpoint began to
        work on it.
    """

    requested: float = 0.0
    placed: float = 0.0
    refused_on_arrival: float = 0.0
    refused_after_wait: float = 0.0
    refused_below_share: float = 0.0
    withdrawn: float = 0.0
    waiting: float = 0.0
    returned: float = 0.0
    not_begun: float = 0.0

    @property
    def begun(self) -> float:
        """What was placed, without what ended before it began."""
        return max(self.placed - self.not_begun, 0.0)

    def add(self, other: OrganisationAmounts) -> None:
        """Add the amounts of another organisation."""
        for item in fields(self):
            total = getattr(self, item.name) + getattr(other, item.name)
            setattr(self, item.name, total)


@dataclass(frozen=True, slots=True)
class ShareReport:
    """Amounts of all organisations since the last report.

    Parameters
    ----------
    even_share
        Amount that each organisation was owed at most: the max-min level of what was
        requested over what was placed and begun. Infinite if all was.
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

    def record_returned(self, organisation: str, amount: float) -> None:
        """Add an amount that is submitted again."""
        self._of(organisation).returned += amount

    def record_withdrawn(self, organisation: str, amount: float) -> None:
        """Add an amount that no longer waits, as its caller or instance is gone."""
        self._of(organisation).withdrawn += amount

    def record_waiting(self, organisation: str, change: float) -> None:
        """Add a change of the amount that waits."""
        self._of(organisation).waiting += change

    def record_not_begun(self, organisation: str, amount: float) -> None:
        """Add a placed amount that ended before its endpoint began to respond."""
        self._of(organisation).not_begun += amount

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
            sum(item.begun for item in amounts.values()),
        )

        def missed(name: str) -> float:
            item = amounts[name]
            owed = min(item.requested, even_share)
            return max(owed - item.begun, 0.0) / owed if owed else 0.0

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
            max((item.begun for item in amounts.values()), default=0.0),
        )

    def _of(self, organisation: str) -> OrganisationAmounts:
        amounts = self._amounts.get(organisation)
        if amounts is None:
            amounts = self._amounts[organisation] = OrganisationAmounts()
        return amounts
