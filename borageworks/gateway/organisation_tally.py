"""Counts what organisations asked for and got, for one log line now and then."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.events import Event, emit

# Organisations that one line names; the rest is summed up, so that its length does not
# grow with the deployment.
NAMED_ORGANISATIONS = 16
# Name under which requests without an organisation are counted.
NO_ORGANISATION = ""


@dataclass(slots=True)
class _Counts:
    asked: float = 0.0
    refused: float = 0.0


class OrganisationTally:
    """What organisations asked one part for, and what it refused them.

    Parameters
    ----------
    part
        Part that decides, as the log line names it.
    unit
        What is counted: requests or tokens.
    """

    def __init__(self, part: str, unit: str) -> None:
        self._part = part
        self._unit = unit
        self._counts: dict[str, _Counts] = {}

    def ask(self, organisation: str, amount: float = 1.0) -> None:
        """Count what an organisation asked for."""
        self._of(organisation).asked += amount

    def refuse(self, organisation: str, amount: float = 1.0) -> None:
        """Count what an organisation was refused."""
        self._of(organisation).refused += amount

    def report(self, **fields: object) -> None:
        """Write what was counted since the last report, if anything was refused."""
        counts, self._counts = self._counts, {}
        if not any(item.refused for item in counts.values()):
            return
        order = sorted(counts.items(), key=lambda item: (-item[1].refused, item[0]))
        named, rest = order[:NAMED_ORGANISATIONS], order[NAMED_ORGANISATIONS:]
        emit(
            Event.ORGANISATIONS_REFUSED,
            part=self._part,
            unit=self._unit,
            organisations={
                name: [round(item.asked), round(item.refused)] for name, item in named
            },
            others=[
                len(rest),
                round(sum(item.asked for _, item in rest)),
                round(sum(item.refused for _, item in rest)),
            ],
            **fields,
        )

    def _of(self, organisation: str) -> _Counts:
        counts = self._counts.get(organisation)
        if counts is None:
            counts = self._counts[organisation] = _Counts()
        return counts
