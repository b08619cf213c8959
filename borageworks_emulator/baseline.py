"""Runs a trace against emulated endpoints behind the central queue."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

from borageworks_emulator.analysis import Measures, analyse
from borageworks_emulator.central import CentralQueue
from borageworks_emulator.load import Balancer, LoadGenerator, LoadResult, Trace
from borageworks_emulator.topology import AnyEndpoint, Topology

FaultScript = Callable[[list[AnyEndpoint]], Awaitable[None]]


@dataclass(slots=True)
class BaselineRun:
    """Measures, calls and endpoints of a run with the central queue."""

    measures: Measures
    load: LoadResult
    endpoints: list[AnyEndpoint]


async def run_central(
    topology: Topology, trace: Trace, script: FaultScript | None = None
) -> BaselineRun:
    """Run a trace through the central queue; `script` injects endpoint faults."""
    endpoints = topology.endpoints()
    central = CentralQueue(topology.shares, endpoints, topology.service_pools)
    script_task: asyncio.Future[None] | None = None
    try:
        for endpoint in endpoints:
            await endpoint.start()
        await central.start()
        if script is not None:
            script_task = asyncio.ensure_future(script(endpoints))
        load = await LoadGenerator(trace, Balancer([central.url])).run()
    finally:
        if script_task is not None:
            script_task.cancel()
            with suppress(asyncio.CancelledError):
                await script_task
        await central.stop()
        for endpoint in endpoints:
            await endpoint.stop()
    recordings = [endpoint.recording for endpoint in endpoints]
    measures = analyse(recordings, load.calls, topology.shares, load.ends_at)
    return BaselineRun(measures, load, endpoints)
