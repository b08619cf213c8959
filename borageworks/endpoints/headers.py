"""Selection of the headers that a router forwards."""

from __future__ import annotations

from collections.abc import Iterable

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the router sets itself.
NOT_FORWARDED = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "authorization",
        "expect",
        "date",
        "server",
        "x-request-id",
        "x-organisation",
        "resume-offset",
    )
)


def end_to_end(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, without hop-by-hop headers."""
    fields = tuple(headers)
    connection_options = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in NOT_FORWARDED and name.lower() not in connection_options
    )
