"""Sums the service reports of one pool and derives each organisation's error."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.fair.counter import ServiceCounter
from borageworks.fair.ledger import ServiceLedger
from borageworks.fair.virtual_time_record import VirtualTimeRecord
from borageworks.wire.messages import ServiceError, ServiceReport


@dataclass(frozen=True, slots=True)
class OwnerNotification:
    """Error of one organisation and the owners to which it is sent."""

    owners: tuple[str, ...]
    error: ServiceError


@dataclass(slots=True)
class _ReportedDemand:
    reported_at: float
    owners: int


class Aggregator:
    """Aggregator of one pool in one failure domain.

    Owners of the domain report their counters; aggregators of other domains report
    the sums and virtual times of theirs. Counters only grow, so repeated, late or
    reordered reports have no effect, and the first report of a domain after a
    partition covers all that it served meanwhile.

    Parameters
    ----------
    pool
        Pool whose reports are aggregated.
    domain
        Failure domain of the aggregator.
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
        # By organisation and reporter: an owner of this domain, or "@" and the id of
        # another domain.
        self._demands: dict[str, dict[str, _ReportedDemand]] = {}
        self._unsent: set[str] = set()
        self._remote_records: list[VirtualTimeRecord] = []

    def __len__(self) -> int:
        """Return the number of stored counters."""
        return len(self._ledger)

    def report(self, now: float, report: ServiceReport) -> None:
        """Apply a report of an owner or of another domain."""
        local = report.domain == self._domain
        reporter = report.owner if local else f"@{report.domain}"
        organisation = report.organisation
        if local:
            self._count_local(report)
        self._ledger.merge(
            ServiceCounter(reporter, report.incarnation, organisation, report.units)
        )
        demands = self._demands.setdefault(organisation, {})
        if report.backlogged:
            demands[reporter] = _ReportedDemand(now, max(1, report.owners))
        else:
            demands.pop(reporter, None)
        if local:
            self._unsent.add(organisation)
        elif report.share > 0:
            self._remote_records.append(
                VirtualTimeRecord(
                    organisation, report.offset, report.share, report.backlogged
                )
            )

    def remove_owner(self, owner: str) -> None:
        """Remove an owner that left; the units it served stay in the totals."""
        self._ledger.retire(owner)
        for demands in self._demands.values():
            demands.pop(owner, None)

    def errors(
        self, now: float, shares: Mapping[str, float]
    ) -> list[OwnerNotification]:
        """Return the errors of backlogged organisations for this domain's owners."""
        self._expire(now)
        remote_records, self._remote_records = self._remote_records, []
        self._ledger.virtual_times.merge(remote_records, self._ledger.totals())
        errors = self._ledger.errors(shares, self._demands.keys())
        totals = self._ledger.totals()
        return [
            OwnerNotification(
                tuple(
                    reporter
                    for reporter in self._demands[organisation]
                    if not reporter.startswith("@")
                ),
                ServiceError(
                    self._pool,
                    organisation,
                    error,
                    sum(
                        demand.owners for demand in self._demands[organisation].values()
                    ),
                    totals.get(organisation, 0.0),
                ),
            )
            for organisation, error in errors.items()
        ]

    def domain_reports(self) -> list[ServiceReport]:
        """Return the domain's sums for organisations reported since the last call."""
        unsent, self._unsent = self._unsent, set()
        return self._domain_reports(sorted(unsent))

    def all_domain_reports(self) -> list[ServiceReport]:
        """Return the domain's sums of all organisations, for a new aggregator."""
        return self._domain_reports(sorted(self._domain_units))

    def _count_local(self, report: ServiceReport) -> None:
        key = report.owner, report.incarnation, report.organisation
        increase = report.units - self._counters.get(key, 0.0)
        if increase > 0:
            self._counters[key] = report.units
            self._domain_units[report.organisation] = (
                self._domain_units.get(report.organisation, 0.0) + increase
            )

    def _domain_reports(self, organisations: list[str]) -> list[ServiceReport]:
        records = {
            record.organisation: record
            for record in self._ledger.virtual_times.records()
        }
        return [
            self._domain_report(organisation, records.get(organisation))
            for organisation in organisations
        ]

    def _domain_report(
        self, organisation: str, record: VirtualTimeRecord | None
    ) -> ServiceReport:
        owners = sum(
            1
            for reporter in self._demands.get(organisation, {})
            if not reporter.startswith("@")
        )
        return ServiceReport(
            pool=self._pool,
            organisation=organisation,
            owner="",
            incarnation=0,
            units=self._domain_units.get(organisation, 0.0),
            backlogged=owners > 0,
            domain=self._domain,
            owners=owners,
            offset=0.0 if record is None else record.offset,
            share=0.0 if record is None else record.share,
        )

    def _expire(self, now: float) -> None:
        cutoff = now - self._expiry_s
        for organisation, demands in list(self._demands.items()):
            for reporter, demand in list(demands.items()):
                if demand.reported_at < cutoff:
                    del demands[reporter]
                    self._unsent.add(organisation)
            if not demands:
                del self._demands[organisation]
