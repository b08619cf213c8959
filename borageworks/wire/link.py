"""Framed and authenticated TCP connection to another instance."""

from __future__ import annotations

import asyncio
import secrets
import socket
from typing import Protocol, cast

from borageworks.events import Event, emit
from borageworks.exceptions import (
    BorageworksError,
    MessageMalformedError,
    MessageTooLargeError,
    MessageUnauthenticError,
)
from borageworks.metrics import Metrics
from borageworks.wire.authenticator import AUTHENTICATION_CODE_BYTES, Authenticator
from borageworks.wire.codec import decode, encode
from borageworks.wire.messages import Hello, Message

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1 << 20
MAX_HANDSHAKE_FRAME_BYTES = 1024  # limits what is buffered for an unverified peer
NONCE_BYTES = 16
SEQUENCE_BYTES = 8
PACKET_HEADER_BYTES = 52  # IPv4 (20) and TCP with timestamps (32)
HELLO_CONTEXT = b"hello"
# A peer that disappears without closing the connection is detected after about 6 s;
# membership usually removes it earlier.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 3
TCP_USER_TIMEOUT_MS = 6000


class LinkOwner(Protocol):
    """Receiver of the events of links."""

    def link_identified(self, link: Link) -> bool:
        """Return whether to continue with `link.peer`; False closes the link."""

    def link_ready(self, link: Link) -> None:
        """Handle the end of the handshake; the peer's Hello was not a replay."""

    def link_received(self, link: Link, message: Message) -> None:
        """Handle a message from the peer."""

    def link_writable(self, link: Link) -> None:
        """Resume sending after the transport's buffer has drained."""

    def link_closed(self, link: Link) -> None:
        """Handle the end of the connection."""


class Link(asyncio.Protocol):
    """Framed and authenticated connection to one peer.

    A frame consists of a length, a body, and an authentication code over both nonces, a
    sequence number and the body. Each side first sends a Hello with a fresh nonce, then
    an empty frame. A Hello can be replayed, so the link is ready only when the empty
    frame has been verified.

    Parameters
    ----------
    owner
        Receiver of the link's events.
    hello
        Own identity; its nonce is replaced by a fresh one.
    authenticator
        Signs and verifies frames.
    metrics
        Counts rejected frames.
    dialed
        Name of the instance to connect to, or None for an accepted connection.
    """

    def __init__(
        self,
        owner: LinkOwner,
        hello: Hello,
        authenticator: Authenticator,
        metrics: Metrics,
        dialed: str | None,
    ) -> None:
        self._owner = owner
        self._authenticator = authenticator
        self._metrics = metrics
        self._hello = Hello(
            hello.instance,
            hello.incarnation,
            hello.domain,
            secrets.token_bytes(NONCE_BYTES),
        )
        self._transport: asyncio.Transport | None = None
        self._receive_buffer = bytearray()
        self._send_context = b""
        self._receive_context = b""
        self._frames_sent = 0
        self._frames_received = 0
        self._writable = True
        self._closed = False
        self.dialed = dialed
        self.peer: Hello | None = None
        self.ready = False
        self.ready_at = 0.0
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def writable(self) -> bool:
        """Whether the link is ready and the transport's buffer is not full."""
        return self.ready and self._writable and not self._closed

    @property
    def closed(self) -> bool:
        """Whether the link is closed or closing."""
        return self._closed

    def send(self, body: bytes) -> None:
        """Send one frame.

        Raises
        ------
        MessageTooLargeError
            If the body exceeds the frame limit; nothing is sent.
        """
        if len(body) > MAX_FRAME_BYTES:
            raise MessageTooLargeError(
                f"frame of {len(body)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
            )
        context = self._send_context + self._frames_sent.to_bytes(SEQUENCE_BYTES, "big")
        self._frames_sent += 1
        self._write_frame(body, context)

    def close(self) -> None:
        """Close the link after the frames sent so far have been flushed."""
        if not self._closed:
            self._closed = True
            if self._transport is not None:
                self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()
            return
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            _enable_dead_peer_detection(tcp_socket)
        self._write_frame(encode((self._hello,)), HELLO_CONTEXT)

    def data_received(self, data: bytes) -> None:
        """Process all complete frames."""
        if self._closed:
            return
        self.bytes_received += len(data) + PACKET_HEADER_BYTES
        self._receive_buffer += data
        try:
            while not self._closed and (frame := self._next_frame()) is not None:
                self._process_frame(*frame)
        except (
            MessageMalformedError,
            MessageTooLargeError,
            MessageUnauthenticError,
        ) as error:
            self._reject_peer(error)

    def pause_writing(self) -> None:
        """Stop sending until the transport's buffer has drained."""
        self._writable = False

    def resume_writing(self) -> None:
        """Resume sending."""
        self._writable = True
        self._owner.link_writable(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the owner."""
        self._closed = True
        self._owner.link_closed(self)

    def _write_frame(self, body: bytes, context: bytes) -> None:
        if self._transport is None or self._closed:
            return
        data = b"".join(
            (
                len(body).to_bytes(LENGTH_BYTES, "big"),
                body,
                self._authenticator.sign(context, body),
            )
        )
        self.bytes_sent += len(data) + PACKET_HEADER_BYTES
        self._transport.write(data)

    def _next_frame(self) -> tuple[bytes, bytes] | None:
        if len(self._receive_buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._receive_buffer[:LENGTH_BYTES], "big")
        limit = MAX_FRAME_BYTES if self.ready else MAX_HANDSHAKE_FRAME_BYTES
        if length > limit:
            raise MessageTooLargeError(
                f"peer announced a frame of {length} bytes; the limit is {limit}"
            )
        end = LENGTH_BYTES + length
        if len(self._receive_buffer) < end + AUTHENTICATION_CODE_BYTES:
            return None
        body = bytes(self._receive_buffer[LENGTH_BYTES:end])
        code = bytes(self._receive_buffer[end : end + AUTHENTICATION_CODE_BYTES])
        del self._receive_buffer[: end + AUTHENTICATION_CODE_BYTES]
        return body, code

    def _process_frame(self, body: bytes, code: bytes) -> None:
        if self.peer is None:
            self._authenticator.verify(HELLO_CONTEXT, body, code)
            self._process_hello(decode(body))
            return
        context = self._receive_context + self._frames_received.to_bytes(
            SEQUENCE_BYTES, "big"
        )
        self._authenticator.verify(context, body, code)
        self._frames_received += 1
        messages = decode(body)
        if not self.ready:
            self.ready = True
            self._owner.link_ready(self)
        for message in messages:
            if self._closed:
                return
            self._owner.link_received(self, message)

    def _process_hello(self, messages: list[Message]) -> None:
        match messages:
            case [Hello(nonce=nonce) as peer] if len(nonce) == NONCE_BYTES:
                self.peer = peer
            case _:
                raise MessageMalformedError(
                    "the first frame is not a single valid Hello"
                )
        # The nonces are ordered by direction, so that reflected frames are rejected.
        self._send_context = self._hello.nonce + peer.nonce
        self._receive_context = peer.nonce + self._hello.nonce
        if not self._owner.link_identified(self):
            self.close()
            return
        self.send(encode(()))

    def _reject_peer(self, error: BorageworksError) -> None:
        self._metrics.count("peer_links_rejected", error.code)
        emit(
            Event.PEER_REJECTED,
            instance=self.peer.instance if self.peer else self.dialed,
            code=error.code,
            reason=str(error),
        )
        self._closed = True
        if self._transport is not None:
            self._transport.abort()


def _enable_dead_peer_detection(tcp_socket: socket.socket) -> None:
    """Let the kernel close the connection when the peer stops responding."""
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        ("TCP_KEEPCNT", KEEPALIVE_PROBE_COUNT),
        ("TCP_USER_TIMEOUT", TCP_USER_TIMEOUT_MS),
    )
    for name, value in options:
        option = getattr(socket, name, None)
        if option is not None:  # not all platforms have all options
            tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
