"""Versions of the engines that began the streams of callers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import xxhash

# Most streams that are remembered; those recorded first are forgotten beyond it.
MAX_STREAMS = 65_536
# Interval at which streams are forgotten that no caller resumes any more.
EXPIRY_INTERVAL_S = 5.0
# Longest time for which a stream may be resumed.
MAX_LIFETIME_S = 120.0
# Version of a stream of which two versions were recorded: it cannot be resumed.
CONFLICTING = ""


def stream_id(organisation: str | None, service: str, attempt: str) -> bytes:
    """Return the id of a stream by the attempt that brought its first event.

    Another organisation, or another service, gets another id for the same attempt, so
    that nobody can learn of others' streams.
    """
    text = "\0".join((organisation or "", service, attempt))
    return xxhash.xxh3_64_digest(text.encode(errors="surrogateescape"))


@dataclass(slots=True)
class StreamOrigin:
    """Version of the engine that began a stream.

    Parameters
    ----------
    version
        Version of the engine's software, `CONFLICTING` if two were recorded.
    expires_at
        Time after which no caller resumes the stream.
    scope
        Shard whose owner tells others of it, empty if this instance does not.
    source
        How this instance learned of it, for the log.
    """

    version: str
    expires_at: float
    scope: str
    source: str


class StreamOrigins:
    """Remembers the versions of the engines that began streams.

    What is not remembered is unknown, never guessed: parts of a stream that two
    versions have written do not fit together.
    """

    def __init__(self) -> None:
        self._origins: dict[bytes, StreamOrigin] = {}
        self._on_record: Callable[[bytes, StreamOrigin], None] = lambda *_: None
        self._expired_at = 0.0

    @property
    def count(self) -> int:
        """Number of streams that are remembered."""
        return len(self._origins)

    def attach(self, on_record: Callable[[bytes, StreamOrigin], None]) -> None:
        """Set what is called with each stream that others are to be told of."""
        self._on_record = on_record

    def record(
        self, now: float, stream: bytes, version: str, lifetime_s: float, scope: str
    ) -> None:
        """Record a stream that begins at an engine, to tell others of it.

        Parameters
        ----------
        now
            Time in seconds.
        stream
            Id of the stream.
        version
            Version of the engine's software.
        lifetime_s
            Seconds for which the caller may resume the stream.
        scope
            Shard of the engine.
        """
        origin = self._learn(now, stream, version, lifetime_s, "own", scope)
        if origin is not None:
            self._on_record(stream, origin)

    def learn(
        self, now: float, stream: bytes, version: str, lifetime_s: float, source: str
    ) -> None:
        """Record a stream that others need not be told of by this instance."""
        self._learn(now, stream, version, lifetime_s, source, "")

    def find(self, now: float, stream: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is unknown."""
        origin = self._origins.get(stream)
        if origin is None or origin.expires_at < now:
            return None
        return origin

    def recorded(self, now: float) -> Iterator[tuple[bytes, StreamOrigin]]:
        """Yield the streams that this instance has recorded and that may go on."""
        for stream, origin in self._origins.items():
            if origin.scope and origin.expires_at >= now:
                yield stream, origin

    def _learn(
        self,
        now: float,
        stream: bytes,
        version: str,
        lifetime_s: float,
        source: str,
        scope: str,
    ) -> StreamOrigin | None:
        """Record a stream; return its origin if that is news to its shard's owner."""
        self._forget(now)
        expires_at = now + min(lifetime_s, MAX_LIFETIME_S)
        known = self.find(now, stream)
        if known is None:
            known = StreamOrigin(version, expires_at, scope, source)
            self._origins[stream] = known
            return known
        known.expires_at = max(known.expires_at, expires_at)
        if known.version != version:
            known.version = CONFLICTING
        elif known.scope == scope:
            return None
        known.scope = known.scope or scope
        return known

    def _forget(self, now: float) -> None:
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._origins = {
                stream: origin
                for stream, origin in self._origins.items()
                if origin.expires_at >= now
            }
        elif len(self._origins) >= MAX_STREAMS:
            del self._origins[next(iter(self._origins))]
