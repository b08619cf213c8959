"""Fleet of router processes for an emulated deployment."""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from borageworks.catalog.objects import Ticket
from borageworks.config.settings import Settings
from borageworks_emulator.ports import HOST, free_ports
from borageworks_emulator.probe import control_bytes, read_metrics
from borageworks_emulator.process import PROJECT_ROOT, RouterProcess
from borageworks_emulator.topology import Topology

TICKET_TIMEOUT_S = 30.0
CONTROL_BYTES_SENT_METRIC = "borageworks_control_bytes_sent"


class TicketFailedError(Exception):
    """`borageworks ticket apply` failed."""


@dataclass(frozen=True, slots=True)
class FleetSample:
    """Counters of the running routers at one point in time, by instance."""

    at: float
    cpu_s: dict[str, float] = field(default_factory=dict)
    control_bytes: dict[str, float] = field(default_factory=dict)
    control_bytes_sent: dict[str, float] = field(default_factory=dict)
    memory_mb: dict[str, float] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)


def router_settings(
    topology: Topology,
    routers: int,
    store_url: str,
    overrides: Mapping[str, Any] | None = None,
) -> list[Settings]:
    """Return settings of `routers` instances, spread over the failure domains.

    Parameters
    ----------
    overrides
        Settings sections, by name, that replace the defaults of this function.
    """
    ports = free_ports(3 * routers)
    key = secrets.token_hex(32)
    gossip = [{"host": HOST, "port": ports[3 * i + 1]} for i in range(routers)]
    return [
        Settings.model_validate(
            {
                "instance": f"router-{i}",
                "domain": topology.domain_of(i),
                "listen": {"host": HOST, "port": ports[3 * i]},
                "gossip": gossip[i],
                "peer": {"host": HOST, "port": ports[3 * i + 2]},
                "store": {"url": store_url},
                "membership": {"seeds": gossip, "keys": [key]},
                "shutdown": {"balancer_lag_s": 1.0},
                **(overrides or {}),
            }
        )
        for i in range(routers)
    ]


class Fleet:
    """Router processes; `stop` kills every one that was started.

    Parameters
    ----------
    settings
        Settings of each instance.
    directory
        Receives settings files, tickets and output.
    """

    def __init__(self, settings: list[Settings], directory: Path) -> None:
        self.directory = directory
        self.routers = [
            RouterProcess(instance_settings, directory)
            for instance_settings in settings
        ]
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session for probes, opened by `start`."""
        assert self._session is not None
        return self._session

    @property
    def urls(self) -> list[str]:
        """Base URLs of the routers."""
        return [router.url for router in self.routers]

    async def start(self) -> None:
        """Start all routers; they become ready after the first ticket."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0))
        for router in self.routers:
            await router.start()

    async def wait_ready(self) -> None:
        """Wait until every router is ready."""
        await asyncio.gather(*(r.wait_ready(self.session) for r in self.routers))

    async def stop(self) -> None:
        """Kill every router and close the session."""
        await asyncio.gather(*(router.kill() for router in self.routers))
        if self._session is not None:
            await self._session.close()

    async def apply(self, ticket: Ticket) -> None:
        """Apply a ticket with `borageworks ticket apply`."""
        await apply_ticket(self.routers[0].settings_file, ticket, self.directory)

    async def sample(self) -> FleetSample:
        """Read the counters of all running routers."""
        sample = FleetSample(asyncio.get_running_loop().time())
        for router in self.routers:
            if not router.alive:
                continue
            name = router.settings.instance
            metrics = await read_metrics(self.session, router.url)
            total_bytes = control_bytes(metrics)
            if total_bytes is not None:
                sample.control_bytes[name] = total_bytes
            if CONTROL_BYTES_SENT_METRIC in metrics:
                sample.control_bytes_sent[name] = metrics[CONTROL_BYTES_SENT_METRIC]
            sample.cpu_s[name] = router.cpu_s
            sample.memory_mb[name] = router.memory_mb
            sample.starts[name] = router.starts
        return sample


async def apply_ticket(settings_file: Path, ticket: Ticket, directory: Path) -> None:
    """Apply a ticket with `borageworks ticket apply`.

    Raises
    ------
    TicketFailedError
        If the command does not exit with 0.
    """
    path = directory / f"ticket-{ticket.number}.json"
    path.write_text(ticket.model_dump_json())
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "borageworks",
        *ticket_apply_arguments(settings_file, path),
        cwd=PROJECT_ROOT,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(TICKET_TIMEOUT_S):
            output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode != 0:
        raise TicketFailedError(output.decode(errors="replace")[-2000:])


def ticket_apply_arguments(settings: Path, ticket: Path) -> list[str]:
    """Return the command line arguments that apply a ticket."""
    return ["ticket", "apply", str(ticket), "--settings", str(settings)]


def max_rate(before: FleetSample, after: FleetSample, name: str) -> float | None:
    """Return the maximum rate per second of a counter over the routers.

    Routers that restarted between the samples are left out, since a restart resets
    their counters. `name` is a counter field of `FleetSample`; the result is None if no
    router reported it.
    """
    start: dict[str, float] = getattr(before, name)
    end: dict[str, float] = getattr(after, name)
    elapsed_s = after.at - before.at
    rates = [
        (end[router] - start[router]) / elapsed_s
        for router in start
        if router in end and before.starts[router] == after.starts[router]
    ]
    return max(rates, default=None) if elapsed_s > 0 else None
