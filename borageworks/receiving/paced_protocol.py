"""Connections whose received bytes are processed in turns."""

from __future__ import annotations

import array
import asyncio
import fcntl
import termios
import time

from aiohttp.base_protocol import BaseProtocol

from borageworks.receiving.loop_watch import HOLD_LIMIT_S
from borageworks.receiving.turns import (
    MAX_PIECE_BYTES,
    MIN_PIECE_BYTES,
    QUANTUM_S,
    ReceiveTurns,
)


class PacedProtocol(BaseProtocol):
    """Mixin for protocols of the HTTP library that processes bytes in turns.

    Bytes that wait for a turn keep the transport from reading more, as a full buffer of
    the library does. The class that uses it sets the fields, as it may have slots.
    """

    __slots__ = ()

    _turns: ReceiveTurns
    _unprocessed: bytearray
    _piece_bytes: int

    @property
    def descriptor(self) -> int | None:
        """File descriptor of the connection, None if it is closed."""
        if self.transport is None:
            return None
        connection = self.transport.get_extra_info("socket")
        descriptor = -1 if connection is None else connection.fileno()
        return descriptor if descriptor >= 0 else None

    @property
    def ends_with_peer(self) -> bool:
        """Whether what was received is of no use when the peer has left."""
        return False

    @property
    def has_unprocessed(self) -> bool:
        """Whether bytes have been received that the parser has not seen."""
        return bool(self._unprocessed)

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that the event loop has not read yet."""
        return _unread_bytes(self.descriptor) > 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes received that the parser has not seen, with those in the system."""
        return len(self._unprocessed) + _unread_bytes(self.descriptor)

    @property
    def has_piece(self) -> bool:
        """Whether there are such bytes, and the parser takes them."""
        return bool(self._unprocessed) and self._parser_takes_bytes

    @property
    def _parser_takes_bytes(self) -> bool:
        return not self._reading_paused and not self._buffer_paused

    def data_received(self, data: bytes) -> None:
        """Process bytes now, or in the next iterations of the loop."""
        if not data:
            # The library continues with what its parser has kept.
            super().data_received(data)
        elif not self._unprocessed and len(data) <= MAX_PIECE_BYTES:
            # Work that waits here does not show as lag of the loop, by which an
            # overloaded instance knows that it is.
            self._process(data)
        else:
            self._unprocessed += data
            if self.has_piece:
                self._turns.wait(self)
            if self._unprocessed:
                self._pause_transport_reading()

    def process_piece(self) -> int:
        """Process the next bytes and return how many."""
        transport = self.transport
        if transport is None:
            self._unprocessed.clear()
        if transport is None or not self.has_piece:
            return 0
        piece = bytes(self._unprocessed[: self._piece_bytes])
        del self._unprocessed[: self._piece_bytes]
        try:
            self._process_timed(piece)
        except BaseException:
            # The event loop does the same when a transport delivers the bytes.
            transport.abort()
            raise
        if not self._unprocessed and self._parser_takes_bytes:
            self._resume_transport_reading()
        return len(piece)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Process what was received before the end of the connection."""
        if self._unprocessed and self.transport is not None:
            data = bytes(self._unprocessed)
            self._unprocessed.clear()
            self._process(data)
        self._unprocessed.clear()
        self._turns.record_reading(self)
        super().connection_lost(exc)

    def discard_unprocessed(self) -> None:
        """Forget received bytes of a connection that is given up."""
        self._unprocessed.clear()

    def _resume_transport_reading(self) -> None:
        if self._unprocessed:
            self._turns.wait(self)
        else:
            self._turns.record_reading(self)
            super()._resume_transport_reading()

    def _pause_transport_reading(self) -> None:
        self._turns.record_paused(self)
        super()._pause_transport_reading()

    def _process_timed(self, piece: bytes) -> None:
        """Process a piece and adapt the size of the next one to the time it took."""
        size = self._piece_bytes
        started = time.perf_counter()
        self._process(piece)
        if time.perf_counter() - started > QUANTUM_S:
            size = max(size // 2, MIN_PIECE_BYTES)
        else:
            size = min(size * 2, MAX_PIECE_BYTES)
        self._piece_bytes = size  # type: ignore[misc]  # a slot of its subclasses

    def abort(self) -> None:
        """Reset the connection; what waits to be sent is dropped."""
        if self.transport is not None:
            self.transport.abort()

    def _process(self, data: bytes) -> None:
        started = time.perf_counter()
        super().data_received(data)
        held_s = time.perf_counter() - started
        if held_s > HOLD_LIMIT_S:
            peer = _peer_name(self.transport)
            work = type(self).__name__
            self._turns.watch.report(held_s, work, size=len(data), peer=peer)


def _unread_bytes(descriptor: int | None) -> int:
    """Return the bytes that the system holds for a connection."""
    if descriptor is None:
        return 0
    count = array.array("i", [0])
    try:
        fcntl.ioctl(descriptor, termios.FIONREAD, count)
    except OSError:
        return 0
    return count[0]


def _peer_name(transport: asyncio.Transport | None) -> str:
    address = transport.get_extra_info("peername") if transport is not None else None
    return f"{address[0]}:{address[1]}" if address else ""
