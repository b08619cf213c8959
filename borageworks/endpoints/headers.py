"""Selection of headers that a router passes on."""

from __future__ import annotations

from collections.abc import Iterable

# RFC 9110 section 7.6.1, and the headers that the router sets itself.
DROPPED = frozenset(
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
    """Return the headers that are passed on."""
    items = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in items
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in items
        if name.lower() not in DROPPED and name.lower() not in named
    )
