"""Measures computed from what the endpoints recorded and the callers saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations
from math import ceil, floor, inf

from borageworks_emulator.recording import BIN_S, Recording, Run, RunOutcome

WASTED = (RunOutcome.CANCELLED, RunOutcome.CRASHED)


class Verdict(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    WRONG = "wrong"
    INCOMPLETE = "incomplete"
    LOST = "lost"


@dataclass(slots=True)
class CallRecord:
    """What one caller saw of one attempt; times are of the monotonic clock.

    `tag` is the number of the request in its trace, `attempt` counts resends, `target`
    is the index of the router and `request_id` its name for the attempt.
    """

    tag: str
    organisation: str
    pool: str
    key: str
    sent: float
    first_byte: float | None = None
    end: float = 0.0
    verdict: Verdict = Verdict.LOST
    code: str = ""
    ran: str = ""
    request_id: str = ""
    attempt: int = 0
    target: int = 0


@dataclass(frozen=True, slots=True)
class Gap:
    """Largest difference of normalised service between two organisations."""

    units: float = 0.0
    pool: str = ""
    first: str = ""
    second: str = ""
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Excuse:
    """Span in which the connections to one router broke because it was killed."""

    target: int
    since: float
    until: float

    def covers(self, call: CallRecord) -> bool:
        """Whether the call was lost with the router."""
        return call.target == self.target and self.since <= call.end <= self.until


@dataclass(slots=True)
class Measures:
    """Measures of one run of a load; waits are in seconds."""

    answers: int = 0
    incomplete: int = 0
    wrong: int = 0
    lost: int = 0
    excused: int = 0
    doubled: int = 0
    false_not_run: int = 0
    cut: int = 0
    fairness_gap: dict[str, float] = field(default_factory=dict)
    gap_detail: dict[str, Gap] = field(default_factory=dict)
    utilisation: dict[str, float] = field(default_factory=dict)
    largest_units: dict[str, float] = field(default_factory=dict)
    wait: dict[str, float] = field(default_factory=dict)
    wait_p95: dict[str, float] = field(default_factory=dict)
    service: dict[str, dict[str, float]] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)


def widest(curve: Iterable[float]) -> float:
    """Return the largest difference between any two points of a curve, in O(n)."""
    low, high = inf, -inf
    for value in curve:
        low, high = min(low, value), max(high, value)
    return max(0.0, high - low)


def backlogged_bins(
    calls: Iterable[CallRecord], started: Mapping[str, float], until: float
) -> dict[str, set[int]]:
    """Return, per organisation, the time bins in which requests waited throughout.

    A request waits from the call until an endpoint first starts it, or until the caller
    gets a refusal. A bin counts when it lies within the union of these spans.

    Parameters
    ----------
    started
        First start at an endpoint by tag, in seconds.
    until
        End of the measured span, in seconds.
    """
    spans: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for call in calls:
        end = started.get(call.tag, call.end or until)
        end = min(max(end, call.sent), until)
        if end > call.sent:
            spans[call.organisation].append((call.sent, end))
    return {
        organisation: _covered_bins(sorted(found))
        for organisation, found in spans.items()
    }


def _covered_bins(spans: Sequence[tuple[float, float]]) -> set[int]:
    bins: set[int] = set()
    start, end = spans[0]
    for next_start, next_end in (*spans[1:], (inf, inf)):
        if next_start <= end:
            end = max(end, next_end)
            continue
        bins.update(range(ceil(start / BIN_S), floor(end / BIN_S)))
        start, end = next_start, next_end
    return bins


def fairness_gap(
    pool: str,
    units: Mapping[str, Mapping[int, float]],
    shares: Mapping[str, float],
    backlogged: Mapping[str, set[int]],
) -> Gap:
    """Return the largest gap over all pairs of organisations of one pool.

    For each maximal run of bins in which both organisations are backlogged, the
    difference of service units by share is a curve, and the largest change over any
    sub-interval is its maximum minus its minimum.
    """
    best = Gap(pool=pool)
    for first, second in combinations(sorted(backlogged), 2):
        common = sorted(backlogged[first] & backlogged[second])
        first_units, second_units = units.get(first, {}), units.get(second, {})
        for interval in _runs(common):
            curve, total = [0.0], 0.0
            for index in interval:
                total += first_units.get(index, 0.0) / shares[first]
                total -= second_units.get(index, 0.0) / shares[second]
                curve.append(total)
            width = widest(curve)
            if width > best.units:
                best = Gap(width, pool, first, second, len(interval) * BIN_S)
    return best


def _runs(bins: Sequence[int]) -> list[Sequence[int]]:
    """Split sorted bins into maximal runs of consecutive ones."""
    runs: list[Sequence[int]] = []
    start = 0
    for position in range(1, len(bins) + 1):
        if position == len(bins) or bins[position] != bins[position - 1] + 1:
            runs.append(bins[start:position])
            start = position
    return runs


def utilisation(
    recordings: Sequence[Recording],
    backlogged: Mapping[str, set[int]],
    answered: set[str],
) -> float:
    """Return useful service units by capacity over the bins in which a request waits.

    1.0 without such a bin. The part of all units that went to runs which crashed, were
    cancelled or whose request got no answer (`answered` holds tags) is not useful.
    """
    waiting: set[int] = set().union(*backlogged.values()) if backlogged else set()
    capacity = sum(recording.capacity for recording in recordings)
    if not waiting or capacity <= 0:
        return 1.0
    served = 0.0
    for recording in recordings:
        for bins in recording.units.values():
            served += sum(bins[index] for index in waiting & bins.keys())
    total = useful = 0.0
    for recording in recordings:
        for run in recording.runs:
            total += run.units
            if run.tag in answered and run.outcome not in WASTED:
                useful += run.units
    return served / (capacity * BIN_S * len(waiting)) * (useful / total if total else 1)


def doubled(runs: Iterable[Run]) -> int:
    """Return how many idempotency keys ran more than once."""
    counts = Counter(
        (run.pool, run.organisation, run.key) for run in runs if run.key and run.ran
    )
    return sum(1 for count in counts.values() if count > 1)


def analyse(
    recordings: Sequence[Recording],
    calls: Sequence[CallRecord],
    shares: Mapping[str, float],
    until: float,
    excused: Sequence[Excuse] = (),
) -> Measures:
    """Compute all measures of one run.

    Parameters
    ----------
    excused
        Spans in which a router was killed: calls that it lost are counted apart.
    until
        Time at which the load ended, in seconds; later bins do not count, since the
        drain of a finite load is no steady backlog.
    """
    measures = Measures()
    runs = [run for recording in recordings for run in recording.runs]
    started: dict[str, float] = {}
    for run in runs:
        if run.started is not None and run.tag:
            started[run.tag] = min(started.get(run.tag, inf), run.started)
    _count_verdicts(measures, calls, started, excused)
    measures.false_not_run = _false_not_run(calls, runs)
    measures.doubled = doubled(runs)
    answered = {call.tag for call in calls if call.verdict is Verdict.ANSWERED}
    for pool in sorted({recording.pool for recording in recordings}):
        members = [recording for recording in recordings if recording.pool == pool]
        pool_calls = [call for call in calls if call.pool == pool]
        units: dict[str, Counter[int]] = defaultdict(Counter)
        for recording in members:
            for organisation, bins in recording.units.items():
                units[organisation].update(bins)
        backlogged = backlogged_bins(pool_calls, started, until)
        gap = fairness_gap(pool, units, shares, backlogged)
        measures.fairness_gap[pool] = gap.units
        measures.gap_detail[pool] = gap
        measures.utilisation[pool] = utilisation(members, backlogged, answered)
        measures.largest_units[pool] = max(
            (run.units for member in members for run in member.runs), default=0.0
        )
        measures.service[pool] = {
            organisation: sum(bins.values())
            for organisation, bins in sorted(units.items())
        }
    return measures


def _false_not_run(calls: Sequence[CallRecord], runs: Sequence[Run]) -> int:
    """Count calls told `not_run` that ran.

    A request that was sent once is found by its tag. For resends only the attempt's
    own request id tells whether that attempt ran.
    """
    tags = {run.tag for run in runs if run.ran}
    request_ids = {run.request_id for run in runs if run.ran}
    attempts = Counter(call.tag for call in calls)
    return sum(
        1
        for call in calls
        if call.ran == "not_run"
        and (
            call.request_id in request_ids
            or (attempts[call.tag] == 1 and call.tag in tags)
        )
    )


def _count_verdicts(
    measures: Measures,
    calls: Sequence[CallRecord],
    started: Mapping[str, float],
    excused: Sequence[Excuse],
) -> None:
    waits: defaultdict[str, list[float]] = defaultdict(list)
    refusals: Counter[str] = Counter()
    for call in calls:
        broken = call.verdict in (Verdict.LOST, Verdict.INCOMPLETE)
        if broken and any(excuse.covers(call) for excuse in excused):
            measures.excused += 1
            continue
        match call.verdict:
            case Verdict.ANSWERED:
                measures.answers += 1
                begun = started.get(call.tag)
                if begun is not None:
                    waits[call.organisation].append(max(0.0, begun - call.sent))
            case Verdict.REFUSED:
                refusals[call.code or "without_code"] += 1
            case Verdict.WRONG:
                measures.wrong += 1
            case Verdict.INCOMPLETE:
                measures.incomplete += 1
                measures.cut += 1 if call.first_byte is not None else 0
            case Verdict.LOST:
                measures.lost += 1
    for organisation, found in sorted(waits.items()):
        found.sort()
        measures.wait[organisation] = sum(found) / len(found)
        measures.wait_p95[organisation] = found[int(0.95 * (len(found) - 1))]
    measures.refusals = dict(sorted(refusals.items()))
