"""Counts requested and refused amounts by organisation for a periodic log line."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.events import Event, emit

# Further organisations are summed up, so that the length of the log line does not grow
# with the deployment.
MAX_NAMED_ORGANISATIONS = 16
# Key for requests without an organisation.
NO_ORGANISATION = ""


@dataclass(slots=True)
class _Counts:
    requested: float = 0.0
    refused: float = 0.0
    not_admitted: float = 0.0


class OrganisationTally:
    """Amounts that each organisation requested and was refused by one component.

    Parameters
    ----------
    component
        Component that decides, as named in the log line.
    unit
        Unit of the amounts: requests or tokens.
    """

    def __init__(self, component: str, unit: str) -> None:
        self._component = component
        self._unit = unit
        self._counts: dict[str, _Counts] = {}

    def record_requested(self, organisation: str, amount: float = 1.0) -> None:
        """Add an amount that an organisation requested."""
        self._counts_for(organisation).requested += amount

    def record_refused(
        self, organisation: str, amount: float = 1.0, *, admitted: bool = True
    ) -> None:
        """Add an amount that an organisation was refused.

        Parameters
        ----------
        organisation, amount
            Organisation and amount.
        admitted
            Whether admission control had admitted it, and something else refused it.
        """
        counts = self._counts_for(organisation)
        counts.refused += amount
        if not admitted:
            counts.not_admitted += amount

    def report(self, **fields: object) -> bool:
        """Log the amounts since the last report; return whether any was refused."""
        counts, self._counts = self._counts, {}
        if not any(item.refused for item in counts.values()):
            return False
        ranked = sorted(counts.items(), key=lambda item: (-item[1].refused, item[0]))
        named, rest = ranked[:MAX_NAMED_ORGANISATIONS], ranked[MAX_NAMED_ORGANISATIONS:]
        emit(
            Event.ORGANISATIONS_REFUSED,
            part=self._component,
            unit=self._unit,
            organisations={
                name: [round(item.requested), round(item.refused)]
                for name, item in named
            },
            not_admitted={
                name: round(item.not_admitted)
                for name, item in named
                if item.not_admitted
            },
            others=[
                len(rest),
                round(sum(item.requested for _, item in rest)),
                round(sum(item.refused for _, item in rest)),
            ],
            **fields,
        )
        return True

    def _counts_for(self, organisation: str) -> _Counts:
        counts = self._counts.get(organisation)
        if counts is None:
            counts = self._counts[organisation] = _Counts()
        return counts
