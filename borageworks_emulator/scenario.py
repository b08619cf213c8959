"""Runner of scenarios: the baseline first, then the fleet, on the same trace."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from statistics import median
from typing import Any

import click

from borageworks.config.settings import FairSettings
from borageworks.fair.gap_bound import gap_bound
from borageworks_emulator import targets
from borageworks_emulator.analysis import Gap, Measures, RouterKill, analyse
from borageworks_emulator.baseline import run_central
from borageworks_emulator.fleet import (
    Fleet,
    FleetSample,
    TicketFailedError,
    max_rate,
    router_settings,
)
from borageworks_emulator.load import Balancer, Flow, LoadGenerator, LoadResult, Trace
from borageworks_emulator.loop_lag import LoopLag
from borageworks_emulator.probe import RouterNotReadyError
from borageworks_emulator.report import Check, Result
from borageworks_emulator.store import EmulatedStore
from borageworks_emulator.topology import TOPOLOGIES, AnyEndpoint, Topology

# Time for the instances to take on their roles and to load the configuration.
SETTLE_S = 3.0
IDLE_MEASUREMENT_S = 4.0


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options of a run; without `directory`, a temporary one is used."""

    topology: Topology
    seed: int = 1
    routers: int = 9
    duration_s: float = 20.0
    directory: Path | None = None


@dataclass(slots=True)
class ScenarioRun:
    """Running emulation that the faults of a scenario act on.

    Attributes
    ----------
    load_started_at
        Start of the load in monotonic time.
    router_kills
        Periods in which calls to a killed router may fail.
    notes
        Measurements made by the scenario itself.
    applied
        Number of faults applied outside the endpoints, by name.
    """

    options: RunOptions
    endpoints: list[AnyEndpoint]
    fleet: Fleet
    balancer: Balancer
    store: EmulatedStore
    load_started_at: float = 0.0
    router_kills: list[RouterKill] = field(default_factory=list)
    notes: dict[str, float] = field(default_factory=dict)
    applied: Counter[str] = field(default_factory=Counter)

    async def sleep_until_fraction(self, fraction: float) -> None:
        """Sleep until this fraction of the load's duration has passed."""
        at = self.load_started_at + fraction * self.options.duration_s
        await asyncio.sleep(max(0.0, at - time.monotonic()))


async def _no_faults(scenario_run: ScenarioRun) -> None:
    """Apply no faults to the fleet."""


async def _no_endpoint_faults(endpoints: list[AnyEndpoint], duration_s: float) -> None:
    """Apply no faults to the baseline's endpoints."""


def _no_checks(result: Result, calls: LoadResult) -> list[Check]:
    return []


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load with faults and targets.

    Parameters
    ----------
    flows
        Returns the load for a topology and a number of routers.
    faults
        Applies faults to the fleet while the load runs. The run ends when both load and
        faults have ended.
    endpoint_faults
        Applies the faults that the baseline's endpoints share: changes of speed.
    compared_with_baseline
        Whether fairness gap and utilisation are compared with the baseline. This needs
        a load that keeps some organisations backlogged.
    checks
        Returns the checks of this scenario beside the common ones.
    allowed_refusals
        Codes of refusals that are expected in this scenario.
    overrides
        Settings sections, by name, that replace the defaults of the routers.
    """

    name: str
    description: str
    flows: Callable[[Topology, int], list[Flow]]
    faults: Callable[[ScenarioRun], Awaitable[None]] = _no_faults
    endpoint_faults: Callable[[list[AnyEndpoint], float], Awaitable[None]] = (
        _no_endpoint_faults
    )
    compared_with_baseline: bool = False
    checks: Callable[[Result, LoadResult], list[Check]] = _no_checks
    allowed_refusals: frozenset[str] = frozenset()
    overrides: Mapping[str, Any] = field(default_factory=dict)


async def run_scenario(scenario: Scenario, options: RunOptions) -> Result:
    """Run baseline and fleet, and check the result against the targets."""
    topology = options.topology
    trace = Trace(
        scenario.flows(topology, options.routers), options.seed, options.duration_s
    )
    result = Result(
        scenario.name,
        topology.name,
        options.seed,
        options.routers,
        options.duration_s,
    )

    async def central_faults(endpoints: list[AnyEndpoint]) -> None:
        await scenario.endpoint_faults(endpoints, options.duration_s)

    _print_progress(
        f"{scenario.name}: running the central queue for {options.duration_s:g} s"
    )
    async with LoopLag() as lag:
        central = await run_central(topology, trace, central_faults)
    result.central = central.measures
    result.emulator_lag_ms["central"] = 1000 * lag.percentile(99)
    with contextlib.ExitStack() as stack:
        directory = options.directory
        if directory is None:
            temporary = tempfile.TemporaryDirectory(prefix="borageworks-")
            directory = Path(stack.enter_context(temporary))
        directory.mkdir(parents=True, exist_ok=True)
        calls = await _run_fleet(scenario, options, trace, result, directory)
    result.checks = common_checks(scenario, options, result)
    result.checks += scenario.checks(result, calls)
    return result


async def _run_fleet(
    scenario: Scenario,
    options: RunOptions,
    trace: Trace,
    result: Result,
    directory: Path,
) -> LoadResult:
    topology = options.topology
    store = EmulatedStore()
    endpoints = topology.endpoints()
    fleet: Fleet | None = None
    try:
        await store.start()
        for endpoint in endpoints:
            await endpoint.start()
        settings = router_settings(
            topology, options.routers, store.url, scenario.overrides
        )
        fleet = Fleet(settings, directory)
        _print_progress(f"{scenario.name}: starting {options.routers} routers")
        await fleet.start()
        await fleet.apply(topology.ticket(endpoints))
        await fleet.wait_ready()
        scenario_run = ScenarioRun(
            options, endpoints, fleet, Balancer(fleet.urls), store
        )
        await _measure_idle(scenario_run, result)
        _print_progress(
            f"{scenario.name}: running the load for {options.duration_s:g} s"
        )
        async with LoopLag() as lag:
            load = await _load(scenario, scenario_run, trace, result)
        result.emulator_lag_ms["fleet"] = 1000 * lag.percentile(99)
    finally:
        if fleet is not None:
            await fleet.stop()
        for endpoint in endpoints:
            await endpoint.stop()
        await store.stop()
    recordings = [endpoint.recording for endpoint in endpoints]
    result.measures = analyse(
        recordings, load.calls, topology.shares, load.ends_at, scenario_run.router_kills
    )
    faults = Counter(scenario_run.applied)
    for endpoint in endpoints:
        faults.update(endpoint.faults.applied)
    result.faults = dict(sorted(faults.items()))
    result.notes.update(scenario_run.notes)
    return load


async def _measure_idle(scenario_run: ScenarioRun, result: Result) -> None:
    """Measure CPU time and store calls of the fleet without requests."""
    await asyncio.sleep(SETTLE_S)
    before, calls_before = (
        await scenario_run.fleet.sample(),
        Counter(scenario_run.store.calls),
    )
    await asyncio.sleep(IDLE_MEASUREMENT_S)
    after = await scenario_run.fleet.sample()
    cpu = max_rate(before, after, "cpu_s")
    result.idle_cpu_percent = None if cpu is None else 100 * cpu
    store_calls = Counter(scenario_run.store.calls) - calls_before
    result.notes["idle_store_calls_per_second"] = (
        store_calls.total() / IDLE_MEASUREMENT_S
    )


async def _load(
    scenario: Scenario, scenario_run: ScenarioRun, trace: Trace, result: Result
) -> LoadResult:
    generator = LoadGenerator(trace, scenario_run.balancer)
    before, calls_before = (
        await scenario_run.fleet.sample(),
        Counter(scenario_run.store.calls),
    )
    scenario_run.load_started_at = time.monotonic()
    faults = asyncio.ensure_future(scenario.faults(scenario_run))
    sampler = asyncio.create_task(_sample_at_load_end(scenario_run))
    try:
        load = await generator.run()
        after = await sampler
        store_calls = Counter(scenario_run.store.calls) - calls_before
        result.store_calls = dict(sorted(store_calls.items()))
        result.store_calls_per_second = store_calls.total() / (
            time.monotonic() - scenario_run.load_started_at
        )
        await _await_faults(faults, result)
        _record_router_failures(scenario_run, result)
    finally:
        for task in (faults, sampler):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
    cpu = max_rate(before, after, "cpu_s")
    result.cpu_percent = None if cpu is None else 100 * cpu
    result.control_bytes_per_second = max_rate(before, after, "control_bytes")
    sent = max_rate(before, after, "control_bytes_sent")
    if sent is not None:
        result.notes["control_bytes_sent_per_second"] = sent
    result.memory_mb = max(after.memory_mb.values(), default=0.0)
    return load


async def _await_faults(faults: asyncio.Future[None], result: Result) -> None:
    """Wait for the faults; a fault that cannot be applied is a failure of the run."""
    try:
        await faults
    except (RouterNotReadyError, TicketFailedError, TimeoutError) as error:
        result.failures.append(f"{type(error).__name__}: {error}")


def _record_router_failures(scenario_run: ScenarioRun, result: Result) -> None:
    """Record routers that exited unexpectedly or logged internal errors."""
    for router in scenario_run.fleet.routers:
        name = router.settings.instance
        if not router.alive:
            result.failures.append(f"{name} exited: {router.output_tail()}")
        errors = router.internal_errors()
        if errors:
            result.failures.append(f"{name} logged internal errors: {errors[0]}")


async def _sample_at_load_end(scenario_run: ScenarioRun) -> FleetSample:
    """Sample the counters when the load ends, before the drain."""
    await scenario_run.sleep_until_fraction(1.0)
    return await scenario_run.fleet.sample()


def common_checks(
    scenario: Scenario, options: RunOptions, result: Result
) -> list[Check]:
    """Check a result against the targets that are common to all scenarios."""
    measures, central = result.measures, result.central or Measures()
    checks = [
        max_check(name, getattr(measures, name), 0)
        for name in ("wrong", "lost", "incomplete", "doubled", "false_not_run", "cut")
    ]
    unexpected = sum(
        count
        for code, count in measures.refusals.items()
        if code not in scenario.allowed_refusals
    )
    checks.append(max_check("refusals that the scenario does not allow", unexpected, 0))
    checks.append(max_check("failures of the run itself", len(result.failures), 0))
    checks.append(min_check("answers", measures.answers, 1))
    checks.append(
        max_check("memory of a router, MB", result.memory_mb, targets.MEMORY_MB)
    )
    if scenario.compared_with_baseline:
        backlogged = _backlogged_pools(scenario, result)
        checks += _baseline_checks(options, backlogged, measures, central)
    return checks


def _baseline_checks(
    options: RunOptions, backlogged: set[str], measures: Measures, central: Measures
) -> list[Check]:
    checks = []
    for pool in sorted(backlogged):
        gap = measures.gap_detail[pool]
        limit = targets.GAP_RATIO * central.fairness_gap[pool]
        checks.append(max_check(f"fairness gap of {pool}", gap.units, limit))
        bound = _fairness_gap_bound(options.topology, pool, gap, measures)
        checks.append(max_check(f"fairness gap of {pool}, bound", gap.units, bound))
        checks.append(
            min_check(
                f"utilisation of {pool}",
                measures.utilisation[pool],
                targets.UTILISATION_RATIO * central.utilisation[pool],
            )
        )
    return checks


def median_checks(scenario: Scenario, results: Sequence[Result]) -> list[Check]:
    """Check the median over seeds of the fairness gap relative to the baseline."""
    if not scenario.compared_with_baseline:
        return []
    checks = []
    for pool in sorted(_backlogged_pools(scenario, results[0])):
        ratios = [
            result.measures.fairness_gap[pool] / result.central.fairness_gap[pool]
            for result in results
            if result.central and result.central.fairness_gap[pool]
        ]
        median_ratio = median(ratios) if ratios else inf
        name = f"median gap of {pool} by the baseline's"
        checks.append(max_check(name, median_ratio, targets.GAP_MEDIAN_RATIO))
    return checks


def _backlogged_pools(scenario: Scenario, result: Result) -> set[str]:
    flows = scenario.flows(TOPOLOGIES[result.topology], result.routers)
    return {flow.pool for flow in flows if flow.workers and not flow.max_requests}


def _fairness_gap_bound(
    topology: Topology, pool: str, gap: Gap, measures: Measures
) -> float:
    if not gap.first:
        return 0.0
    shares = topology.shares
    fair = FairSettings()
    largest = measures.largest_units[pool]
    return gap_bound(
        topology.slots(pool),
        (largest, largest),
        (shares[gap.first], shares[gap.second]),
        interval_s=fair.exchange_interval_s,
        normalised_rate=topology.capacity(pool) / min(shares.values()),
        gain=fair.correction_gain,
    )


def max_check(name: str, measured: float, limit: float) -> Check:
    """Return a check that a value does not exceed a limit."""
    return Check(name, measured, limit, measured <= limit)


def min_check(name: str, measured: float, limit: float) -> Check:
    """Return a check that a value is not below a limit."""
    return Check(name, measured, limit, measured >= limit)


def _print_progress(text: str) -> None:
    click.echo(text, err=True)
