"""Decides which requests and responses may take memory of the process."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# Part of the memory for objects of open connections and for what the allocator has not
# returned yet. With 0.08, 200 chunked bodies took a process of 160 MB to 161.6 MB.
MARGIN_RATIO = 0.1
# Part of the memory that is available in any case. A process that fills its memory at
# rest would otherwise refuse everything.
MIN_RATIO = 0.1
# What an open connection takes beside bodies: objects of its handler and parser, and
# what has arrived and not been read.
CONNECTION_BYTES = 28_672
# Part of the account that connections may fill.
CONNECTION_RATIO = 0.6
# Above this part of the account in actual use no connection is accepted.
CROWDED_RATIO = 0.5
# Above this part no request gets memory, as bytes that have arrived take more of it.
FULL_RATIO = 0.75
# Parts of the account that large bodies may fill. The rest is reserved for small ones,
# so that unfinished large uploads do not keep ordinary requests out.
LARGE_REQUEST_RATIO = 0.6
RESPONSE_RATIO = 0.8
# Part of what connections leave that buffers do not take from ordinary requests.
SMALL_ROOM_RATIO = 0.25
# Ordinary bodies have 1 to 100 KB.
SMALL_BYTES = 131_072
# Responses up to this size may exceed the limit: the request may have run, and a full
# account turned 15 of 400 ordinary responses into 502.
KEPT_RESPONSE_BYTES = 32_768
KEPT_RESPONSE_RATIO = 1.1
# A transfer that moved less than this for the time below is stalled. A body of the
# largest size would take 17 minutes at this rate, more than any time limit of a route.
PROGRESS_BYTES = 4_096
STALLED_S = 1.0


class Phase(Enum):
    """What a request waits for."""

    RECEIVING = "receiving"
    RUNNING = "running"
    SENDING = "sending"


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Memory of the process, and what it holds for itself.

    Parameters
    ----------
    memory_bytes
        Memory that the process may use, infinite if there is no limit.
    at_rest_bytes
        Resident memory while it holds nothing for callers and endpoints.
    """

    memory_bytes: float
    at_rest_bytes: float = 0.0

    @property
    def account_bytes(self) -> float:
        """Bytes that may be held for callers and endpoints."""
        available = (1.0 - MARGIN_RATIO) * self.memory_bytes - self.at_rest_bytes
        return max(available, MIN_RATIO * self.memory_bytes)


class Holding:
    """What one request holds: bytes of its body, and of responses to it.

    Parameters
    ----------
    number
        Position in the order of arrival.
    now
        Time of arrival.
    """

    def __init__(self, number: int, now: float) -> None:
        self.number = number
        self.phase = Phase.RECEIVING
        self.unknown_length = False
        self.request_bytes = 0
        self.response_bytes = 0
        self.unsent_bytes = 0
        self.ended = False
        self._progress_at = now
        self._moved_bytes = 0
        self._unsent_mark = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that count."""
        return self.request_bytes + max(self.response_bytes, self.unsent_bytes)

    @property
    def progress_at(self) -> float:
        """Time of the last progress."""
        return self._progress_at

    def enter(self, now: float, phase: Phase) -> None:
        """Record that the request has reached a phase."""
        self.phase = phase
        self._progress_at, self._moved_bytes = now, 0

    def record_received(self, now: float, size: int) -> None:
        """Record bytes of the request's body."""
        self._moved_bytes += size
        if self._moved_bytes >= PROGRESS_BYTES:
            self._progress_at, self._moved_bytes = now, 0

    def record_unsent(self, now: float, size: int) -> None:
        """Record how many bytes of the response wait for the caller."""
        # More than before means that the caller had read what waited.
        mark = self._unsent_mark
        if size == 0 or size > mark or size <= mark - PROGRESS_BYTES:
            self._unsent_mark, self._progress_at = size, now
        self.unsent_bytes = size


@dataclass(frozen=True, slots=True)
class Taken:
    """The bytes are counted."""


@dataclass(frozen=True, slots=True)
class Shortage:
    """There is no room until `victims` have ended; without any there is none at all."""

    victims: tuple[Holding, ...] = ()


class MemoryAccount:
    """Bytes that the process holds for callers and endpoints.

    At the limit those transfers end that have made no progress for longest, then the
    newest bodies without a stated length, or the largest unfinished response. A body
    whose length was accepted and that goes on arriving is never among them.

    Parameters
    ----------
    limits
        Memory of the process.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self._limits = limits
        self._holdings: dict[int, Holding] = {}
        self._next_number = 0
        self._held_bytes = 0
        self._buffered_bytes = 0
        self._connection_bytes = 0
        self._used_bytes = 0.0
        self._observed_at = 0.0
        self._resumed_at = 0.0

    @property
    def limit_bytes(self) -> float:
        """Bytes that may be held."""
        return self._limits.account_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that requests hold or have announced."""
        return self._held_bytes

    @property
    def buffered_bytes(self) -> int:
        """Bytes received that no request accounts for, as last observed."""
        return self._buffered_bytes

    @property
    def connection_bytes(self) -> int:
        """Bytes that open connections take beside bodies."""
        return self._connection_bytes

    @property
    def max_connections(self) -> float:
        """Connections that may be open, infinite without a limit."""
        return CONNECTION_RATIO * self.limit_bytes / CONNECTION_BYTES

    @property
    def is_half_full(self) -> bool:
        """Whether more than half of the limit is used."""
        used_bytes = self._held_bytes + self._buffered_bytes + self._connection_bytes
        return used_bytes > self.limit_bytes / 2

    @property
    def is_empty(self) -> bool:
        """Whether no request is open."""
        return not self._holdings

    def set_limits(self, limits: MemoryLimits) -> None:
        """Use other limits; what is held stays."""
        self._limits = limits

    def open(self, now: float) -> Holding:
        """Return the holding of a new request."""
        holding = Holding(self._next_number, now)
        self._next_number += 1
        self._holdings[holding.number] = holding
        return holding

    def close(self, holding: Holding) -> None:
        """Take back all that a request holds."""
        if self._holdings.pop(holding.number, None) is not None:
            self._held_bytes -= holding.held_bytes

    def set_buffered(self, buffered_bytes: int) -> None:
        """Record what connections have buffered."""
        self._buffered_bytes = buffered_bytes

    @property
    def crowded_bytes(self) -> float:
        """Bytes in actual use above what connections may be accepted with."""
        return self._used_bytes - CROWDED_RATIO * self.limit_bytes

    def set_used(self, used_bytes: float) -> None:
        """Record by how much the process has grown since it was at rest.

        Freed memory that the allocator keeps is part of it, and so is what no rule
        counts.
        """
        self._used_bytes = used_bytes

    def stalled(self, now: float) -> tuple[Holding, ...]:
        """Return stalled transfers that hold what is above `crowded_bytes`."""
        candidates = self._stalled(now, None)
        return _enough(candidates, self.crowded_bytes) or tuple(candidates)

    def set_connections(self, count: int) -> None:
        """Record how many connections are open."""
        self._connection_bytes = count * CONNECTION_BYTES

    def observe(self, now: float, interval: float) -> bool:
        """Record and return whether the process stood still since the last call.

        After a pause of the process all transfers count as having made progress, as
        their bytes may have been waiting.
        """
        stood_still = now - self._observed_at > 2.0 * interval
        if stood_still:
            self._resumed_at = now
        self._observed_at = now
        return stood_still

    def record_unsent(self, now: float, holding: Holding, size: int) -> None:
        """Record how many bytes of a response wait for its caller."""
        before = holding.held_bytes
        holding.record_unsent(now, size)
        if holding.number in self._holdings:
            self._held_bytes += holding.held_bytes - before

    def sending(self) -> list[Holding]:
        """Return the requests whose response is being sent."""
        return [item for item in self._holdings.values() if item.phase is Phase.SENDING]

    def take_request(
        self, now: float, holding: Holding, size: int, *, announced: bool
    ) -> Taken | Shortage:
        """Take bytes for the body of a request.

        Parameters
        ----------
        announced
            Whether this is the whole body, so that no further bytes will be taken.
        """
        if holding.held_bytes + size <= SMALL_BYTES:
            missing = self._missing_small(size, 1.0)
        else:
            missing = self._missing_large(size, LARGE_REQUEST_RATIO)
        missing = max(missing, self._used_bytes - FULL_RATIO * self.limit_bytes)
        if missing <= 0:
            holding.unknown_length = not announced
            holding.request_bytes += size
            self._held_bytes += size
            return Taken()
        ending = self._ending(holding)
        missing -= sum(item.held_bytes for item in ending)
        if missing <= 0:
            return Shortage(ending)
        victims = _enough(self._stalled(now, holding), missing)
        if not victims and not announced:
            newer = (
                item
                for item in reversed(self._holdings.values())
                if item.phase is Phase.RECEIVING
                and item.number > holding.number
                and item.unknown_length
                and not item.ended
            )
            victims = _enough(newer, missing)
        return Shortage(victims)

    def take_response(
        self, now: float, holding: Holding, size: int
    ) -> Taken | Shortage:
        """Take bytes for the body of a response.

        A response without end becomes the largest of all, so that it gives way and
        sound ones do not.
        """
        if holding.response_bytes + size <= KEPT_RESPONSE_BYTES:
            missing = self._missing_small(size, KEPT_RESPONSE_RATIO)
        else:
            missing = self._missing_large(size, RESPONSE_RATIO)
        if missing <= 0:
            holding.response_bytes += size
            self._held_bytes += size
            return Taken()
        ending = self._ending(holding)
        missing -= sum(item.held_bytes for item in ending)
        if missing <= 0:
            return Shortage(ending)
        victims = _enough(self._stalled(now, holding), missing)
        if not victims:
            largest = max(
                (item for item in self._holdings.values() if _is_unfinished(item)),
                key=lambda item: item.response_bytes,
                default=holding,
            )
            if largest.response_bytes > holding.response_bytes:
                victims = (largest,)
        return Shortage(victims)

    def _missing_small(self, size: int, ratio: float) -> float:
        """Return how many bytes of room are missing, 0 or less if there is enough.

        Buffers leave a part of the room to ordinary requests, so that endpoints and
        callers that fill them do not keep those out.
        """
        room = max(self._room - self._buffered_bytes, SMALL_ROOM_RATIO * self._room)
        return self._held_bytes + size - ratio * room

    def _missing_large(self, size: int, ratio: float) -> float:
        """Return the same for what may exceed the size of ordinary bodies."""
        return self._held_bytes + self._buffered_bytes + size - ratio * self._room

    @property
    def _room(self) -> float:
        """Bytes that are left beside open connections."""
        return max(self.limit_bytes - self._connection_bytes, 0.0)

    def _ending(self, asking: Holding) -> tuple[Holding, ...]:
        """Return the requests that are being ended and have not given back yet.

        If their room is enough, no further ones are ended for it: one shortage would
        otherwise end a request for each that waits.
        """
        return tuple(
            item
            for item in self._holdings.values()
            if item.ended and item is not asking
        )

    def _stalled(self, now: float, asking: Holding | None) -> list[Holding]:
        """Return the stalled transfers, the longest without progress first."""
        before = now - STALLED_S
        if self._resumed_at > before:
            return []
        stalled = [
            item
            for item in self._holdings.values()
            if item is not asking
            and not item.ended
            and item.held_bytes > 0
            and item.phase is not Phase.RUNNING
            and item.progress_at <= before
        ]
        return sorted(stalled, key=lambda item: item.progress_at)


def _is_unfinished(holding: Holding) -> bool:
    return holding.phase is Phase.RUNNING and not holding.ended


def _enough(candidates: Iterable[Holding], missing: float) -> tuple[Holding, ...]:
    """Return the first candidates that hold what is missing, none if all do not."""
    chosen: list[Holding] = []
    for item in candidates:
        if missing <= 0:
            break
        chosen.append(item)
        missing -= item.held_bytes
    return tuple(chosen) if missing <= 0 else ()
