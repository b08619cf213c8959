"""One framed and authenticated TCP connection to another instance."""

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
from borageworks.wire.authenticator import CODE_BYTES, Authenticator
from borageworks.wire.codec import decode, encode
from borageworks.wire.messages import Hello, Message

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1 << 20
MAX_GREETING_BYTES = 1024  # bounds what a peer that has proved nothing makes us buffer
NONCE_BYTES = 16
SEQUENCE_BYTES = 8
WRITE_HEADER_BYTES = 52  # IPv4 (20) and TCP with timestamps (32)
HELLO_CONTEXT = b"hello"
# A peer that vanished without closing is noticed after about 6 s; membership usually
# removes it earlier.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 6000


class LinkOwner(Protocol):
    """What a link reports to."""

    def link_greeted(self, link: Link) -> bool:
        """Decide on the peer that `link.peer` names; False closes the link."""

    def link_ready(self, link: Link) -> None:
        """Take a link whose peer has proved that it is no replay."""

    def link_received(self, link: Link, message: Message) -> None:
        """Take a message from the peer."""

    def link_writable(self, link: Link) -> None:
        """Continue to send after the transport's buffer has drained."""

    def link_closed(self, link: Link) -> None:
        """Forget the link."""


class Link(asyncio.Protocol):
    """A framed connection.

    Each frame is a length, a body and a code over both nonces, a sequence number and
    the body. Both sides first send a Hello with a fresh nonce, then an empty frame; the
    link is ready when that frame has been verified, since a Hello can be replayed.

    Parameters
    ----------
    owner
        Receiver of the link's events.
    hello
        Identity to send; the nonce is replaced by a fresh one.
    authenticator
        Signs and verifies frames.
    metrics
        Counts rejected frames.
    dialed
        Instance that this side connects to, or None for an accepted connection.
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
        self._buffer = bytearray()
        self._send_prefix = b""
        self._receive_prefix = b""
        self._sent = 0
        self._received = 0
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
        """Whether the transport takes more frames now."""
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
        context = self._send_prefix + self._sent.to_bytes(SEQUENCE_BYTES, "big")
        self._sent += 1
        self._write(body, context)

    def close(self) -> None:
        """Close after what was sent has been flushed."""
        if not self._closed:
            self._closed = True
            if self._transport is not None:
                self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the peer."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()
            return
        raw = transport.get_extra_info("socket")
        if raw is not None:
            _detect_silence(raw)
        self._write(encode((self._hello,)), HELLO_CONTEXT)

    def data_received(self, data: bytes) -> None:
        """Take the frames that are complete."""
        if self._closed:
            return
        self.bytes_received += len(data) + WRITE_HEADER_BYTES
        self._buffer += data
        try:
            while not self._closed and (frame := self._take_frame()) is not None:
                self._take(*frame)
        except (
            MessageMalformedError,
            MessageTooLargeError,
            MessageUnauthenticError,
        ) as error:
            self._reject(error)

    def pause_writing(self) -> None:
        """Stop sending until the transport's buffer has drained."""
        self._writable = False

    def resume_writing(self) -> None:
        """Continue to send."""
        self._writable = True
        self._owner.link_writable(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._closed = True
        self._owner.link_closed(self)

    def _write(self, body: bytes, context: bytes) -> None:
        if self._transport is None or self._closed:
            return
        data = b"".join(
            (
                len(body).to_bytes(LENGTH_BYTES, "big"),
                body,
                self._authenticator.sign(context, body),
            )
        )
        self.bytes_sent += len(data) + WRITE_HEADER_BYTES
        self._transport.write(data)

    def _take_frame(self) -> tuple[bytes, bytes] | None:
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        limit = MAX_FRAME_BYTES if self.ready else MAX_GREETING_BYTES
        if length > limit:
            raise MessageTooLargeError(
                f"peer announced a frame of {length} bytes, over the limit of {limit}"
            )
        end = LENGTH_BYTES + length
        if len(self._buffer) < end + CODE_BYTES:
            return None
        body = bytes(self._buffer[LENGTH_BYTES:end])
        code = bytes(self._buffer[end : end + CODE_BYTES])
        del self._buffer[: end + CODE_BYTES]
        return body, code

    def _take(self, body: bytes, code: bytes) -> None:
        if self.peer is None:
            self._authenticator.verify(HELLO_CONTEXT, body, code)
            self._greet(decode(body))
            return
        context = self._receive_prefix + self._received.to_bytes(SEQUENCE_BYTES, "big")
        self._authenticator.verify(context, body, code)
        self._received += 1
        messages = decode(body)
        if not self.ready:
            self.ready = True
            self._owner.link_ready(self)
        for message in messages:
            if self._closed:
                return
            self._owner.link_received(self, message)

    def _greet(self, messages: list[Message]) -> None:
        match messages:
            case [Hello(nonce=nonce) as peer] if len(nonce) == NONCE_BYTES:
                self.peer = peer
            case _:
                raise MessageMalformedError("the first frame is not a single Hello")
        # A frame sent back to its sender has the nonces in the wrong order.
        self._send_prefix = self._hello.nonce + peer.nonce
        self._receive_prefix = peer.nonce + self._hello.nonce
        if not self._owner.link_greeted(self):
            self.close()
            return
        self.send(encode(()))

    def _reject(self, error: BorageworksError) -> None:
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


def _detect_silence(raw: socket.socket) -> None:
    """Make the kernel close a connection whose peer has vanished."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        ("TCP_KEEPCNT", KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
    )
    for name, value in options:
        option = getattr(socket, name, None)
        if option is not None:  # not every platform has all of them
            raw.setsockopt(socket.IPPROTO_TCP, option, value)
