"""`borageworks demo`: an in-process fleet in which one organisation floods."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import replace
from pathlib import Path

import aiohttp
import click

from borageworks.catalog.keys import CATALOG_PREFIX
from borageworks.catalog.objects import Ticket
from borageworks.catalog.tickets import apply_ticket
from borageworks.commands.loop import run_loop
from borageworks.config.settings import Settings
from borageworks.metrics import Metrics
from borageworks.router.router import Router
from borageworks.store.etcd import EtcdStore
from borageworks_emulator.analysis import Verdict, analyse
from borageworks_emulator.fleet import router_settings
from borageworks_emulator.load import Balancer, Flow, LoadGenerator, Trace
from borageworks_emulator.probe import control_bytes, read_metrics, wait_ready
from borageworks_emulator.report import Result, organisation_lines
from borageworks_emulator.store import EmulatedStore
from borageworks_emulator.topology import PATITSA, AnyEndpoint, Topology

ROUTER_COUNT = 3
SEED = 1
READY_TIMEOUT_S = 20.0
# A router owns no endpoints until another instance has confirmed its membership, and
# that may happen after it reports ready.
SETTLE_S = 3.0
FLOODING_ORG = "org-3"
# Routers, endpoints, store and load generator share one event loop, so the load stays
# well below the capacity of one core.
DEMO_TOPOLOGY = replace(
    PATITSA, name="demo", domains=("domain-a", "domain-b"), engines=2, services=2
)


@click.command()
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, allow_dash=True, path_type=Path),
    help="Write the result as JSON; - writes to standard output.",
)
@click.option(
    "--duration",
    default=10.0,
    show_default=True,
    type=click.FloatRange(2.0, 600.0),
    help="Seconds of load.",
)
def demo(json_file: Path | None, duration: float) -> None:
    """Show how three routers share emulated endpoints while one organisation floods."""
    result = run_loop(_run(duration))
    _show_summary(result)
    if json_file is not None and str(json_file) == "-":
        click.echo(result.json())
    elif json_file is not None:
        json_file.write_bytes(result.json())
    measures = result.measures
    if measures.wrong or measures.doubled or measures.incomplete:
        sys.exit(1)


def _flows(topology: Topology) -> list[Flow]:
    flows = []
    for name in topology.shares:
        flows.append(Flow(name, topology.model, topology.engine_pool, rate=1.0))
        for service, with_idempotency_key in (
            (topology.non_idempotent_service, True),
            (topology.idempotent_service, False),
        ):
            flows.append(
                Flow(
                    name,
                    service,
                    topology.service_pool,
                    engine=False,
                    rate=1.0,
                    length_mean=50.0,
                    length_max=500.0,
                    with_idempotency_key=with_idempotency_key,
                )
            )
    slots = topology.slots(topology.engine_pool)
    for name, workers in (
        ("org-0", slots),
        ("org-1", slots),
        (FLOODING_ORG, 4 * slots),
    ):
        flows.append(Flow(name, topology.model, topology.engine_pool, workers=workers))
    return flows


async def _run(duration: float) -> Result:
    async with AsyncExitStack() as stack:
        store = EmulatedStore()
        await store.start()
        stack.push_async_callback(store.stop)
        endpoints = DEMO_TOPOLOGY.endpoints()
        for endpoint in endpoints:
            await endpoint.start()
            stack.push_async_callback(endpoint.stop)
        settings = router_settings(DEMO_TOPOLOGY, ROUTER_COUNT, store.url)
        routers = [Router(router_config) for router_config in settings]
        for router in routers:
            await router.start()
            stack.push_async_callback(router.stop)
        _print_to_stderr(
            f"{ROUTER_COUNT} routers in {len(DEMO_TOPOLOGY.domains)} failure domains "
            "started"
        )
        await _apply_ticket(settings[0], DEMO_TOPOLOGY.ticket(endpoints))
        return await _run_load(settings, endpoints, store, duration)


async def _apply_ticket(settings: Settings, ticket: Ticket) -> None:
    store = EtcdStore(settings.store, Metrics())
    try:
        await apply_ticket(store, CATALOG_PREFIX, ticket)
    finally:
        await store.close()


async def _run_load(
    settings: list[Settings],
    endpoints: list[AnyEndpoint],
    store: EmulatedStore,
    duration: float,
) -> Result:
    urls = [_url(router_config) for router_config in settings]
    generator = LoadGenerator(
        Trace(_flows(DEMO_TOPOLOGY), SEED, duration), Balancer(urls)
    )
    async with aiohttp.ClientSession() as session:
        for url in urls:
            await wait_ready(session, url, READY_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        _print_to_stderr(
            f"ticket 1 in effect: {len(DEMO_TOPOLOGY.shares)} organisations, "
            f"{len(endpoints)} endpoints; {FLOODING_ORG} floods for {duration:g} s"
        )
        bytes_before = await _control_bytes(session, urls)
        calls_before = store.calls.total()
        progress = asyncio.create_task(_show_progress(generator, endpoints))
        try:
            load = await generator.run()
        finally:
            progress.cancel()
            with suppress(asyncio.CancelledError):
                await progress
        elapsed_s = time.monotonic() - load.started_at
        store_calls = (store.calls.total() - calls_before) / elapsed_s
        control = (
            (await _control_bytes(session, urls) - bytes_before) / elapsed_s / len(urls)
        )
    recordings = [endpoint.recording for endpoint in endpoints]
    measures = analyse(recordings, load.calls, DEMO_TOPOLOGY.shares, load.ends_at)
    result = Result("demo", DEMO_TOPOLOGY.name, SEED, ROUTER_COUNT, duration, measures)
    result.control_bytes_per_second = control
    result.store_calls_per_second = store_calls
    return result


async def _control_bytes(session: aiohttp.ClientSession, urls: list[str]) -> float:
    totals = [control_bytes(await read_metrics(session, url)) for url in urls]
    return sum(value for value in totals if value is not None)


async def _show_progress(
    generator: LoadGenerator, endpoints: list[AnyEndpoint]
) -> None:
    started_at = time.monotonic()
    while True:
        await asyncio.sleep(1.0)
        calls = generator.result.calls
        answered = sum(1 for call in calls if call.verdict is Verdict.ANSWERED)
        running = sum(endpoint.running for endpoint in endpoints)
        _print_to_stderr(
            f"{time.monotonic() - started_at:5.1f} s  answered {answered}, "
            f"running {running}, open {sum(1 for call in calls if not call.end)}"
        )


def _show_summary(result: Result) -> None:
    measures = result.measures
    _print_to_stderr("")
    for line in organisation_lines(measures, None, DEMO_TOPOLOGY.shares):
        _print_to_stderr(line)
    _print_to_stderr("")
    for pool in sorted(measures.fairness_gap):
        gap = measures.gap_detail[pool]
        between = f" between {gap.first} and {gap.second}" if gap.first else ""
        _print_to_stderr(
            f"{pool}: fairness gap {gap.units:.4g} units per share{between}, "
            f"utilisation {measures.utilisation[pool]:.3f} while requests waited"
        )
    _print_to_stderr(
        f"control traffic {result.control_bytes_per_second:.0f} bytes/s per router; "
        f"{measures.answers} correct responses, {measures.wrong} wrong, "
        f"{measures.incomplete} incomplete, {measures.doubled} executed more than once"
    )


def _url(settings: Settings) -> str:
    host, port = settings.listen.host_port
    return f"http://{host}:{port}"


def _print_to_stderr(text: str) -> None:
    click.echo(text, err=True)
