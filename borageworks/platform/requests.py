"""Decodes callers' requests and builds the headers that endpoints get."""

from __future__ import annotations

import math
from collections.abc import Iterable

from multidict import CIMultiDictProxy

from borageworks.endpoints.headers import end_to_end
from borageworks.gateway.caller_request import CallerRequest, Prompt, PromptPart
from borageworks.platform import names

KEY_SCHEME = "token "
MILLISECONDS_PER_SECOND = 1000.0
# Set by the router, or reserved for it: a caller could otherwise place work itself.
_REPLACED = frozenset(
    name.lower()
    for name in (
        names.REMAINING_MS,
        names.ORGANISATION,
        names.EXPECTED_ENDPOINT,
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
    """Return the request that a caller sent.

    Parameters
    ----------
    method, target
        Method and request target of the request line.
    headers
        Headers as they were sent.
    """
    host = headers.get("Host", "").rpartition(":")
    return CallerRequest(
        id=headers.get(names.REQUEST_ID, ""),
        method=method,
        target=target,
        host=(host[0] if host[1] and host[2].isdigit() else headers.get("Host", ""))
        .strip()
        .lower(),
        path=target.partition("?")[0],
        key=caller_key(headers),
        patience_s=_seconds(headers.get(names.REMAINING_MS)),
        last_event=_whole(headers.get(names.LAST_EVENT)),
        prompt=_prompt(headers),
        headers=tuple(
            (name, value)
            for name, value in end_to_end(headers.items())
            if name.lower() not in _REPLACED
            and name.lower() != names.LAST_EVENT.lower()
        ),
    )


def forwarded_headers(
    request: CallerRequest,
    host_header: str,
    organisation: str | None,
    endpoint: str,
    remaining_s: float,
    last_event: int | None,
) -> Iterable[tuple[str, str]]:
    """Return the headers for an endpoint.

    Parameters
    ----------
    request
        The caller's request.
    host_header
        Host header of the caller.
    organisation
        Name of the organisation that holds the key, or None without a key.
    endpoint
        Identity of the endpoint; any other one that has its address refuses.
    remaining_s
        Seconds in which the endpoint must have answered.
    last_event
        Last event that the caller has.
    """
    remaining_ms = max(1, math.floor(remaining_s * MILLISECONDS_PER_SECOND))
    yield "Host", host_header
    yield from request.headers
    yield names.REMAINING_MS, str(remaining_ms)
    yield names.EXPECTED_ENDPOINT, endpoint
    if organisation is not None:
        yield names.ORGANISATION, organisation
    if last_event is not None:
        yield names.LAST_EVENT, str(last_event)


def caller_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the API key of a request, or None."""
    authorization = headers.get("Authorization")
    if authorization is None or not authorization.lower().startswith(KEY_SCHEME):
        return None
    return authorization[len(KEY_SCHEME) :].strip()


def _seconds(text: str | None) -> float | None:
    try:
        seconds = float(text or "") / MILLISECONDS_PER_SECOND
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def _whole(text: str | None) -> int | None:
    return int(text) if text and text.isascii() and text.isdigit() else None


def _prompt(headers: CIMultiDictProxy[str]) -> Prompt | None:
    read, _, generated = headers.get(names.TOKEN_COUNT, "").partition(",")
    tokens, answer = _whole(read.strip()), _whole(generated.strip())
    if tokens is None or answer is None:
        return None
    return Prompt(
        model=headers.get(names.MODEL, ""),
        tokens=tokens,
        generated_tokens=answer,
        parts=tuple(_parts(headers.get(names.PROMPT_PARTS, ""))),
    )


def _parts(text: str) -> Iterable[PromptPart]:
    for item in text.split(","):
        part, _, tokens = item.strip().rpartition(":")
        count = _whole(tokens)
        if not part or count is None:
            # Later parts are kept only after this one, so they tell nothing.
            return
        yield PromptPart(part, count)
