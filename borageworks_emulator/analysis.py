"""Computes the measures of a load run from endpoint recordings and call results."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations
from math import ceil, floor, inf

from borageworks_emulator.recording import BIN_WIDTH_S, Recording, Run, RunOutcome

WASTED_OUTCOMES = (RunOutcome.CANCELLED, RunOutcome.CRASHED)


class Verdict(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    WRONG = "wrong"
    INCOMPLETE = "incomplete"
    LOST = "lost"


@dataclass(slots=True)
class CallRecord:
    """One attempt as its caller saw it; times are seconds of the monotonic clock.

    `tag` identifies the request in its trace, `attempt` counts resends, `router_index`
    is the index of the router, and `request_id` is the id that the router gave the
    attempt.
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
    router_index: int = 0


@dataclass(frozen=True, slots=True)
class Gap:
    """Largest difference in normalised service between two organisations."""

    units: float = 0.0
    pool: str = ""
    first: str = ""
    second: str = ""
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class RouterKill:
    """Time span in which calls to one router may fail because it was killed."""

    router_index: int
    since: float
    until: float

    def explains(self, call: CallRecord) -> bool:
        """Whether the call ended at this router within the span."""
        return (
            call.router_index == self.router_index
            and self.since <= call.end <= self.until
        )


@dataclass(slots=True)
class Measures:
    """Measures of one load run; waits are in seconds.

    Attributes
    ----------
    excused : int
        Lost or incomplete calls that a router kill explains.
    doubled : int
        Idempotency keys that ran more than once.
    false_not_run : int
        Calls reported as `not_run` whose request ran.
    cut : int
        Incomplete responses of which some bytes arrived.
    """

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


def value_range(curve: Iterable[float]) -> float:
    """Return the largest difference between any two points of a curve, in O(n)."""
    low, high = inf, -inf
    for value in curve:
        low, high = min(low, value), max(high, value)
    return max(0.0, high - low)


def backlogged_bins(
    calls: Iterable[CallRecord], started: Mapping[str, float], until: float
) -> dict[str, set[int]]:
    """Return, per organisation, the time bins throughout which requests waited.

    A request waits from the call until an endpoint first starts it, or until the caller
    receives a refusal. A bin counts if it lies within the union of these spans.

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
        organisation: _covered_bins(sorted(organisation_spans))
        for organisation, organisation_spans in spans.items()
    }


def _covered_bins(spans: Sequence[tuple[float, float]]) -> set[int]:
    bins: set[int] = set()
    start, end = spans[0]
    for next_start, next_end in (*spans[1:], (inf, inf)):
        if next_start <= end:
            end = max(end, next_end)
            continue
        bins.update(range(ceil(start / BIN_WIDTH_S), floor(end / BIN_WIDTH_S)))
        start, end = next_start, next_end
    return bins


def fairness_gap(
    pool: str,
    units: Mapping[str, Mapping[int, float]],
    shares: Mapping[str, float],
    backlogged: Mapping[str, set[int]],
) -> Gap:
    """Return the largest gap over all pairs of organisations of one pool.

    For each maximal sequence of bins in which both organisations are backlogged, the
    cumulative difference of service units divided by share forms a curve. The largest
    change over any sub-interval is the curve's maximum minus its minimum.
    """
    largest_gap = Gap(pool=pool)
    for first, second in combinations(sorted(backlogged), 2):
        common_bins = sorted(backlogged[first] & backlogged[second])
        first_units, second_units = units.get(first, {}), units.get(second, {})
        for consecutive_bins in _split_consecutive(common_bins):
            curve, total = [0.0], 0.0
            for index in consecutive_bins:
                total += first_units.get(index, 0.0) / shares[first]
                total -= second_units.get(index, 0.0) / shares[second]
                curve.append(total)
            gap_units = value_range(curve)
            if gap_units > largest_gap.units:
                largest_gap = Gap(
                    gap_units, pool, first, second, len(consecutive_bins) * BIN_WIDTH_S
                )
    return largest_gap


def _split_consecutive(bins: Sequence[int]) -> list[Sequence[int]]:
    """Split sorted bins into maximal sequences of consecutive bins."""
    sequences: list[Sequence[int]] = []
    start = 0
    for position in range(1, len(bins) + 1):
        if position == len(bins) or bins[position] != bins[position - 1] + 1:
            sequences.append(bins[start:position])
            start = position
    return sequences


def utilisation(
    recordings: Sequence[Recording],
    backlogged: Mapping[str, set[int]],
    answered_tags: set[str],
) -> float:
    """Return the ratio of useful service units to capacity while requests wait.

    Only bins in which an organisation is backlogged count; without one the ratio is
    1.0. The units served in these bins are scaled by the useful fraction of all units:
    runs that crashed, were cancelled or whose tag is not in `answered_tags` are wasted.
    """
    waiting_bins: set[int] = set().union(*backlogged.values()) if backlogged else set()
    capacity = sum(recording.capacity for recording in recordings)
    if not waiting_bins or capacity <= 0:
        return 1.0
    served = 0.0
    for recording in recordings:
        for bins in recording.units.values():
            served += sum(bins[index] for index in waiting_bins & bins.keys())
    total = useful = 0.0
    for recording in recordings:
        for run in recording.runs:
            total += run.units
            if run.tag in answered_tags and run.outcome not in WASTED_OUTCOMES:
                useful += run.units
    return (
        served
        / (capacity * BIN_WIDTH_S * len(waiting_bins))
        * (useful / total if total else 1)
    )


def count_repeated_keys(runs: Iterable[Run]) -> int:
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
    router_kills: Sequence[RouterKill] = (),
) -> Measures:
    """Compute all measures of one load run.

    Parameters
    ----------
    router_kills
        Spans in which a router was killed; calls lost in them count separately.
    until
        Time at which the load ended, in seconds; later bins do not count,
        because the drain of a finite load is not a steady backlog.
    """
    measures = Measures()
    runs = [run for recording in recordings for run in recording.runs]
    first_starts: dict[str, float] = {}
    for run in runs:
        if run.started is not None and run.tag:
            first_starts[run.tag] = min(first_starts.get(run.tag, inf), run.started)
    _count_verdicts(measures, calls, first_starts, router_kills)
    measures.false_not_run = _count_false_not_run(calls, runs)
    measures.doubled = count_repeated_keys(runs)
    answered_tags = {call.tag for call in calls if call.verdict is Verdict.ANSWERED}
    for pool in sorted({recording.pool for recording in recordings}):
        pool_recordings = [
            recording for recording in recordings if recording.pool == pool
        ]
        pool_calls = [call for call in calls if call.pool == pool]
        units: dict[str, Counter[int]] = defaultdict(Counter)
        for recording in pool_recordings:
            for organisation, bins in recording.units.items():
                units[organisation].update(bins)
        backlogged = backlogged_bins(pool_calls, first_starts, until)
        gap = fairness_gap(pool, units, shares, backlogged)
        measures.fairness_gap[pool] = gap.units
        measures.gap_detail[pool] = gap
        measures.utilisation[pool] = utilisation(
            pool_recordings, backlogged, answered_tags
        )
        measures.largest_units[pool] = max(
            (run.units for recording in pool_recordings for run in recording.runs),
            default=0.0,
        )
        measures.service[pool] = {
            organisation: sum(bins.values())
            for organisation, bins in sorted(units.items())
        }
    return measures


def _count_false_not_run(calls: Sequence[CallRecord], runs: Sequence[Run]) -> int:
    """Count calls reported as `not_run` whose request ran.

    A request that was sent once is matched by its tag. Resends share a tag, so each of
    their attempts is matched by its own request id only.
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
    first_starts: Mapping[str, float],
    router_kills: Sequence[RouterKill],
) -> None:
    waits: defaultdict[str, list[float]] = defaultdict(list)
    refusals: Counter[str] = Counter()
    for call in calls:
        connection_broken = call.verdict in (Verdict.LOST, Verdict.INCOMPLETE)
        if connection_broken and any(kill.explains(call) for kill in router_kills):
            measures.excused += 1
            continue
        match call.verdict:
            case Verdict.ANSWERED:
                measures.answers += 1
                run_started = first_starts.get(call.tag)
                if run_started is not None:
                    waits[call.organisation].append(max(0.0, run_started - call.sent))
            case Verdict.REFUSED:
                refusals[call.code or "without_code"] += 1
            case Verdict.WRONG:
                measures.wrong += 1
            case Verdict.INCOMPLETE:
                measures.incomplete += 1
                measures.cut += 1 if call.first_byte is not None else 0
            case Verdict.LOST:
                measures.lost += 1
    for organisation, organisation_waits in sorted(waits.items()):
        organisation_waits.sort()
        measures.wait[organisation] = sum(organisation_waits) / len(organisation_waits)
        measures.wait_p95[organisation] = organisation_waits[
            int(0.95 * (len(organisation_waits) - 1))
        ]
    measures.refusals = dict(sorted(refusals.items()))
