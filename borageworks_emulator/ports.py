"""Free ports of the loopback address."""

from __future__ import annotations

import random
import socket
from pathlib import Path

HOST = "127.0.0.1"
LOWEST = 10_000
RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL = 32_768


class PortsExhaustedError(Exception):
    """There are not enough free ports."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and for UDP.

    They lie below the range from which the system takes ports of outgoing connections:
    otherwise a connection could take the port of a router or an endpoint while that is
    down between two starts.

    Raises
    ------
    PortsExhaustedError
        If fewer ports are free.
    """
    highest = _lowest_ephemeral()
    # Unseeded, so that two runs at the same time rarely choose the same ports.
    candidates = random.sample(range(LOWEST, highest), highest - LOWEST)
    held: list[socket.socket] = []
    found: list[int] = []
    try:
        for port in candidates:
            if len(found) == count:
                return found
            opened = _open(port)
            held.extend(opened)
            if len(opened) == 2:
                found.append(port)
    finally:
        for one in held:
            one.close()
    if len(found) == count:
        return found
    raise PortsExhaustedError(f"{len(found)} of {count} ports are free")


def _open(port: int) -> list[socket.socket]:
    opened: list[socket.socket] = []
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        one = socket.socket(socket.AF_INET, kind)
        try:
            one.bind((HOST, port))
        except OSError:
            one.close()
            break
        opened.append(one)
    return opened


def _lowest_ephemeral() -> int:
    try:
        lowest = int(RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_EPHEMERAL
    # A range that starts low leaves no room below it.
    return lowest if lowest > 2 * LOWEST else DEFAULT_EPHEMERAL
