"""Finds free ports on the loopback address."""

from __future__ import annotations

import random
import socket
from pathlib import Path

HOST = "127.0.0.1"
MIN_PORT = 10_000
EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_START = 32_768


class PortsExhaustedError(Exception):
    """Fewer ports are free than requested."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and for UDP.

    They lie below the ephemeral port range. Otherwise an outgoing connection could take
    the port of a router or an endpoint while that restarts.

    Raises
    ------
    PortsExhaustedError
        If fewer than `count` ports are free.
    """
    end_port = _ephemeral_start()
    # Unseeded, so that concurrent runs rarely choose the same ports.
    candidates = random.sample(range(MIN_PORT, end_port), end_port - MIN_PORT)
    sockets: list[socket.socket] = []
    ports: list[int] = []
    try:
        for port in candidates:
            if len(ports) == count:
                return ports
            bound = _bind(port)
            sockets.extend(bound)
            if len(bound) == 2:
                ports.append(port)
    finally:
        for sock in sockets:
            sock.close()
    if len(ports) == count:
        return ports
    raise PortsExhaustedError(f"{len(ports)} of {count} ports are free")


def _bind(port: int) -> list[socket.socket]:
    bound: list[socket.socket] = []
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        sock = socket.socket(socket.AF_INET, kind)
        try:
            sock.bind((HOST, port))
        except OSError:
            sock.close()
            break
        bound.append(sock)
    return bound


def _ephemeral_start() -> int:
    try:
        start = int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_EPHEMERAL_START
    # An ephemeral range that starts low leaves too few ports below it.
    return start if start > 2 * MIN_PORT else DEFAULT_EPHEMERAL_START
