"""Settings of one gateway process."""

from __future__ import annotations

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
    callers, status, relay
        Addresses for callers, for readiness and metrics, and for other instances that
        cannot reach the store.
    peer_port
        Port for links between instances.
    seeds
        Relay addresses of some instances, which may be stale.
    store
        Address of the platform's store.
    capacity
        Processor of the instance, in cores.
    apply_s
        Time in which a new configuration has to be in force.
    contact_s
        Time after a disturbance in which bounds do not yet hold.
    shutdown_s
        Time between the request to stop and the kill.
    lag_limit_s
        Mean lag of the loop above which new requests are refused.
    retry_ratio, retry_window_s, retry_extra
        Retries of the whole fleet to one service: in each window of that many seconds
        at most `retry_ratio` a request and `retry_extra` more.
    metrics_port
        Port for metrics beside the status address, None for the latter alone.
    balancer_lag_s
        Time in which the balancer still sends new connections to an instance that is
        not ready any more.
    """

    instance: str
    domain: str
    host: str
    callers: HostPort
    status: HostPort
    relay: HostPort
    peer_port: int
    seeds: tuple[HostPort, ...]
    store: HostPort
    capacity: float
    apply_s: float
    contact_s: float
    shutdown_s: float
    lag_limit_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    balancer_lag_s: float
    metrics_port: int | None = None
