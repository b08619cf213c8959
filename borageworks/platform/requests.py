"""Decodes requests of callers and builds the headers for endpoints."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

from multidict import CIMultiDictProxy

from borageworks.endpoints.headers import end_to_end
from borageworks.gateway.caller_request import CallerRequest, Prompt, PromptPart
from borageworks.platform import protocol_names

AUTHORIZATION_SCHEME = "token "
MILLISECONDS_PER_SECOND = 1000.0
# Larger numbers of tokens or events do not fit into the messages between instances.
_COUNT = re.compile(r"[0-9]{1,9}", re.ASCII)
_AUTHORIZATION = re.compile(
    rb"\r\nauthorization:[ \t]*token ([^\r\n]*)\r\n", re.IGNORECASE
)
# Only the router may set these: a caller could otherwise choose the endpoint or act as
# another organisation.
_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        protocol_names.REMAINING_MS,
        protocol_names.ORGANISATION,
        protocol_names.EXPECTED_ENDPOINT,
        "X-Borageworks-Hold",
        "X-Borageworks-Pin-Duration",
        "X-Borageworks-Kv-Backup",
        "X-Borageworks-Expect-Version",
        "Kv-From",
        "Kv-Fetch",
        "Wait-Ms",
    )
)


def decode_request(
    method: str, target: str, headers: CIMultiDictProxy[str]
) -> CallerRequest:
    """Return a caller's request in decoded form.

    Parameters
    ----------
    method, target
        Method and request target of the request line.
    headers
        Headers as received.
    """
    split_host = headers.get("Host", "").rpartition(":")
    return CallerRequest(
        id=headers.get(protocol_names.REQUEST_ID, ""),
        method=method,
        target=target,
        host=(
            split_host[0]
            if split_host[1] and split_host[2].isdigit()
            else headers.get("Host", "")
        )
        .strip()
        .lower(),
        path=target.partition("?")[0],
        api_key=caller_api_key(headers),
        remaining_s=_parse_seconds(headers.get(protocol_names.REMAINING_MS)),
        last_event_id=_parse_count(headers.get(protocol_names.LAST_EVENT_ID)),
        prompt=_decode_prompt(headers),
        headers=tuple(
            (name, value)
            for name, value in end_to_end(headers.items())
            if name.lower() not in _RESERVED_HEADERS
            and name.lower() != protocol_names.LAST_EVENT_ID.lower()
        ),
        resumed_attempt=_decode_resumed_attempt(headers),
    )


def forwarded_headers(
    request: CallerRequest,
    host_header: str,
    organisation: str | None,
    endpoint: str,
    remaining_s: float,
    last_event_id: int | None,
) -> Iterable[tuple[str, str]]:
    """Return the headers of a request to an endpoint.

    Parameters
    ----------
    request
        The caller's request.
    host_header
        Host header that the caller sent.
    organisation
        Name of the organisation to which the API key belongs, or None without a key.
    endpoint
        ID of the endpoint; another endpoint at the same address refuses the request.
    remaining_s
        Seconds until the endpoint must have responded.
    last_event_id
        ID of the last event that the caller received, or None.
    """
    remaining_ms = max(1, math.floor(remaining_s * MILLISECONDS_PER_SECOND))
    yield "Host", host_header
    yield from request.headers
    yield protocol_names.REMAINING_MS, str(remaining_ms)
    yield protocol_names.EXPECTED_ENDPOINT, endpoint
    if organisation is not None:
        yield protocol_names.ORGANISATION, organisation
    if last_event_id is not None:
        yield protocol_names.LAST_EVENT_ID, str(last_event_id)


def caller_api_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the API key of a request, or None."""
    authorization = headers.get("Authorization")
    if authorization is None or not authorization.lower().startswith(
        AUTHORIZATION_SCHEME
    ):
        return None
    return authorization[len(AUTHORIZATION_SCHEME) :].strip()


def find_api_key(request: bytes) -> str | None:
    """Return the API key of a request that has not been parsed, or None.

    Parameters
    ----------
    request
        Bytes that begin with the request's head.
    """
    found = _AUTHORIZATION.search(request)
    return None if found is None else found[1].decode("utf-8", "replace").strip()


def _decode_resumed_attempt(headers: CIMultiDictProxy[str]) -> str | None:
    attempts = {text.strip() for text in headers.getall(protocol_names.RESUMES, ())}
    return (attempts.pop() or None) if len(attempts) == 1 else None


def _parse_seconds(text: str | None) -> float | None:
    try:
        seconds = float(text or "") / MILLISECONDS_PER_SECOND
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def _parse_count(text: str | None) -> int | None:
    return int(text) if text and _COUNT.fullmatch(text) else None


def _decode_prompt(headers: CIMultiDictProxy[str]) -> Prompt | None:
    prompt, _, generated = headers.get(protocol_names.TOKEN_COUNT, "").partition(",")
    prompt_tokens, generated_tokens = (
        _parse_count(prompt.strip()),
        _parse_count(generated.strip()),
    )
    if prompt_tokens is None or generated_tokens is None:
        return None
    return Prompt(
        model=headers.get(protocol_names.MODEL, ""),
        tokens=prompt_tokens,
        generated_tokens=generated_tokens,
        parts=tuple(_decode_parts(headers.get(protocol_names.PROMPT_PARTS, ""))),
    )


def _decode_parts(text: str) -> Iterable[PromptPart]:
    for item in text.split(","):
        part, _, tokens = item.strip().rpartition(":")
        token_count = _parse_count(tokens)
        if not part or token_count is None:
            # Engines cache a part only together with all parts before it, so the
            # parts after an unreadable one are of no use.
            return
        yield PromptPart(part, token_count)
