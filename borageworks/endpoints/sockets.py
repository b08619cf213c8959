"""TCP sockets with detection of unresponsive peers."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Any

# A connection is closed when sent data stays unacknowledged for this long. This allows
# three retransmissions on a local network.
USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
# Without a limit the system keeps megabytes for each connection whose bytes are not
# read, and they count as memory of the process.
RECEIVE_BUFFER_BYTES = 131_072
# The same for bytes that peers do not take. The system doubles the value.
SEND_BUFFER_BYTES = 131_072


def open_socket(address: tuple[Any, ...]) -> socket.socket:
    """Return a new TCP socket for one entry of `socket.getaddrinfo`."""
    family, socket_type, protocol, *_ = address
    unconnected = socket.socket(family=family, type=socket_type, proto=protocol)
    unconnected.setblocking(False)
    unconnected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    enable_dead_peer_detection(unconnected)
    return unconnected


def open_bounded_socket(address: tuple[Any, ...]) -> socket.socket:
    """Return the same with a limit on bytes that its peer does not take."""
    unconnected = open_socket(address)
    unconnected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return unconnected


def enable_dead_peer_detection(tcp_socket: socket.socket) -> None:
    """Make the operating system close connections to unresponsive peers."""
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the written bytes that the peer's system has not acknowledged."""
    connection = transport.get_extra_info("socket")
    descriptor = -1 if connection is None else connection.fileno()
    unacknowledged = 0
    if descriptor >= 0:
        reply = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(struct.calcsize("i")))
        (unacknowledged,) = struct.unpack("i", reply)
    return transport.get_write_buffer_size() + unacknowledged
