"""Settings of one gateway process."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple


class HostPort(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process.

    Parameters
    ----------
    instance, domain, host
        Name of the instance, its failure domain and its IP address.
    callers_address, status_address, relay_address
        Listening addresses for callers, for readiness and metrics, and for other
        instances that cannot reach the store.
    peer_port
        Port for connections between instances.
    seeds
        Relay addresses of some instances, which may be stale.
    store_address
        Address of the platform's store.
    capacity
        Processor capacity of the instance, in cores.
    max_descriptors
        Files and sockets that the process may have open.
    memory_bytes
        Memory that the process may use, infinite if there is no limit.
    memory_at_rest_bytes
        Resident memory of the process at rest; None measures it.
    peer_connections
        Connections that one peer address may have open, None for as many as fit.
    organisation_bodies
        Requests of one organisation whose bodies may be arriving at the same time, None
        for as many as connections may be open.
    config_apply_s
        Maximum time until a new configuration is applied.
    recovery_grace_s
        Time after a fault during which the guaranteed bounds do not hold yet.
    shutdown_timeout_s
        Time between SIGTERM and SIGKILL.
    lag_limit_s
        Mean event loop lag above which the instance counts as overloaded.
    retry_ratio, retry_window_s, retry_allowance
        Retry budget of the fleet for one service: in each window, at most `retry_ratio`
        retries for each request, and `retry_allowance` more.
    share_window_s
        Time over which each organisation is owed an even share of the engines.
    metrics_port
        Additional port for metrics, None if only the status address serves them.
    balancer_lag_s
        Time for which the load balancer still sends new connections to an instance
        that is no longer ready.
    first_start
        Whether the whole system starts for the first time.
    evacuate_s
        Time after which an evacuated failure domain must get no request.
    cold_over, cold_slack
        Bound of the requests to a cold endpoint, see `PlacementSettings`.
    """

    instance: str
    domain: str
    host: str
    callers_address: HostPort
    status_address: HostPort
    relay_address: HostPort
    peer_port: int
    seeds: tuple[HostPort, ...]
    store_address: HostPort
    capacity: float
    max_descriptors: int
    config_apply_s: float
    recovery_grace_s: float
    shutdown_timeout_s: float
    lag_limit_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    balancer_lag_s: float
    share_window_s: float
    metrics_port: int | None = None
    first_start: bool = False
    memory_bytes: float = math.inf
    evacuate_s: float = math.inf
    cold_over: float = 1.5
    cold_slack: float = 5.0
    memory_at_rest_bytes: float | None = None
    peer_connections: int | None = None
    organisation_bodies: int | None = None

    @property
    def limits_memory(self) -> bool:
        """Whether the memory of the process is limited."""
        return math.isfinite(self.memory_bytes)
