"""Sums the service reports of one pool and derives each organisation's error."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.fair.counter import ServiceCounter
from borageworks.fair.ledger import ServiceLedger
from borageworks.fair.level import Level
from borageworks.wire.messages import ServiceError, ServiceReport


@dataclass(frozen=True, slots=True)
class TellOwners:
    """Send `error` to each of `owners`."""

    owners: tuple[str, ...]
    error: ServiceError


@dataclass(slots=True)
class _Holding:
    reported_at: float
    owners: int


class Aggregator:
    """Aggregator of one pool in one failure domain.

    Owners of the domain report their counters; aggregators of other domains report
    the sums and levels of theirs. Counters only grow, so repeated, late or reordered
    reports do no harm, and after a partition the next report of a domain carries all
    that it served.

    Parameters
    ----------
    pool, domain
        What is aggregated.
    expiry_s
        Seconds after which a report no longer counts as demand.
    """

    def __init__(self, pool: str, domain: str, expiry_s: float) -> None:
        self._pool = pool
        self._domain = domain
        self._expiry_s = expiry_s
        self._ledger = ServiceLedger()
        self._domain_units: dict[str, float] = {}
        self._counters: dict[tuple[str, int, str], float] = {}
        # Reporter (owner of this domain, or another domain) by organisation.
        self._holdings: dict[str, dict[str, _Holding]] = {}
        self._unsent: set[str] = set()
        self._other_levels: list[Level] = []

    def __len__(self) -> int:
        """Return the number of counters held."""
        return len(self._ledger)

    def report(self, now: float, report: ServiceReport) -> None:
        """Take over a report."""
        local = report.domain == self._domain
        reporter = report.owner if local else f"@{report.domain}"
        name = report.organisation
        if local:
            self._count_local(report)
        self._ledger.merge(
            ServiceCounter(reporter, report.incarnation, name, report.units)
        )
        holdings = self._holdings.setdefault(name, {})
        if report.backlogged:
            holdings[reporter] = _Holding(now, max(1, report.owners))
        else:
            holdings.pop(reporter, None)
        if local:
            self._unsent.add(name)
        elif report.share > 0:
            self._other_levels.append(
                Level(name, report.offset, report.share, report.backlogged)
            )

    def forget(self, owner: str) -> None:
        """Drop an owner that left; what it served stays in the totals."""
        self._ledger.retire(owner)
        for holdings in self._holdings.values():
            holdings.pop(owner, None)

    def errors(self, now: float, shares: Mapping[str, float]) -> list[TellOwners]:
        """Return the error of each backlogged organisation for this domain's owners."""
        self._expire(now)
        others, self._other_levels = self._other_levels, []
        self._ledger.levels.merge(others, self._ledger.totals())
        errors = self._ledger.errors(shares, self._holdings.keys())
        totals = self._ledger.totals()
        return [
            TellOwners(
                tuple(
                    reporter
                    for reporter in self._holdings[name]
                    if not reporter.startswith("@")
                ),
                ServiceError(
                    self._pool,
                    name,
                    error,
                    sum(holding.owners for holding in self._holdings[name].values()),
                    totals.get(name, 0.0),
                ),
            )
            for name, error in errors.items()
        ]

    def domain_reports(self) -> list[ServiceReport]:
        """Return the domain's sums that changed since the last call."""
        unsent, self._unsent = self._unsent, set()
        return self._domain_reports(sorted(unsent))

    def all_domain_reports(self) -> list[ServiceReport]:
        """Return the domain's sums of all organisations, for a new aggregator."""
        return self._domain_reports(sorted(self._domain_units))

    def _count_local(self, report: ServiceReport) -> None:
        key = report.owner, report.incarnation, report.organisation
        grown = report.units - self._counters.get(key, 0.0)
        if grown > 0:
            self._counters[key] = report.units
            self._domain_units[report.organisation] = (
                self._domain_units.get(report.organisation, 0.0) + grown
            )

    def _domain_reports(self, names: list[str]) -> list[ServiceReport]:
        levels = {level.organisation: level for level in self._ledger.levels.levels()}
        return [self._domain_report(name, levels.get(name)) for name in names]

    def _domain_report(self, name: str, level: Level | None) -> ServiceReport:
        owners = sum(
            1
            for reporter in self._holdings.get(name, {})
            if not reporter.startswith("@")
        )
        return ServiceReport(
            pool=self._pool,
            organisation=name,
            owner="",
            incarnation=0,
            units=self._domain_units.get(name, 0.0),
            backlogged=owners > 0,
            domain=self._domain,
            owners=owners,
            offset=0.0 if level is None else level.offset,
            share=0.0 if level is None else level.share,
        )

    def _expire(self, now: float) -> None:
        oldest = now - self._expiry_s
        for name, holdings in list(self._holdings.items()):
            for reporter, holding in list(holdings.items()):
                if holding.reported_at < oldest:
                    del holdings[reporter]
                    self._unsent.add(name)
            if not holdings:
                del self._holdings[name]
