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

Script = Callable[[list[AnyEndpoint]], Awaitable[None]]


@dataclass(slots=True)
class BaselineRun:
    """Measures, calls and endpoints of a run of the central queue."""

    measures: Measures
    load: LoadResult
    endpoints: list[AnyEndpoint]


async def run_central(
    topology: Topology, trace: Trace, script: Script | None = None
) -> BaselineRun:
    """Run a trace through the central queue; `script` switches endpoint faults."""
    endpoints = topology.endpoints()
    central = CentralQueue(topology.shares, endpoints, topology.service_pools)
    scripted: asyncio.Future[None] | None = None
    try:
        for endpoint in endpoints:
            await endpoint.start()
        await central.start()
        if script is not None:
            scripted = asyncio.ensure_future(script(endpoints))
        load = await LoadGenerator(trace, Balancer([central.url])).run()
    finally:
        if scripted is not None:
            scripted.cancel()
            with suppress(asyncio.CancelledError):
                await scripted
        await central.stop()
        for endpoint in endpoints:
            await endpoint.stop()
    recordings = [endpoint.recording for endpoint in endpoints]
    measures = analyse(recordings, load.calls, topology.shares, load.until)
    return BaselineRun(measures, load, endpoints)
